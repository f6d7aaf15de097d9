"""Reading the platform's server list: pagination, rate limit, malformed pages, reused addresses."""

import json
from typing import Any

import testtools

from deployment import Deployment
from ryelock.control_plane.platform import ServerListResult
from ryelock.testing.hosting_platform.attempts import SAFE, UNSAFE
from servers import ServerListReader

PAGE_TIMEOUT_SECONDS = 1.0


def entry(
    service: object = "pages",
    address: str = "10.128.0.1:8080",
    state: str = "ready",
    **more: object,
) -> dict[str, object]:
    """Return the entry of a server in the list."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slot_count": 8,
        "state": state,
        "cold_remaining_ms": 0,
        **more,
    }


def page(entries: object, token: object = None) -> bytes:
    """Return a page of the list."""
    return json.dumps({"instances": entries, "next_token": token}).encode()


class ServerListReaderTests(testtools.TestCase):
    """Single reads of the list."""

    def setUp(self) -> None:
        super().setUp()
        self.deployment = Deployment(1, page_size=3)
        self.deployment.world.run(2)

    def read(self, raw: bytes | None = None) -> ServerListResult:
        """Read the list; `raw` replaces each page that the platform returns."""
        deployment = self.deployment
        deployment.platform.raw_page = raw
        node = deployment.operator_node
        return deployment.world.task(
            node,
            ServerListReader(
                node.scheduler, node.network, deployment.platform.address, PAGE_TIMEOUT_SECONDS
            ).read(),
            60,
        )

    def test_all_pages_are_read_as_one_list(self) -> None:
        servers = self.read().ok
        self.assertEqual(12, len(servers))
        self.assertEqual(4, self.deployment.platform.calls)
        self.assertEqual(
            sorted(
                (instance.service.name, instance.address, instance.zone, name)
                for name, instance in self.deployment.servers.items()
            ),
            sorted(
                (server.service, server.address, server.zone, server.incarnation)
                for server in servers
            ),
        )
        self.assertEqual({8}, {server.slots for server in servers})

    def test_draining_and_warming_servers_are_marked(self) -> None:
        instances = list(self.deployment.servers.values())
        self.deployment.platform.drain(instances[0])
        instances[1].warming_until = self.deployment.world.time + 10
        self.deployment.world.run(0.5)
        self.assertFalse(any(server.leaving for server in self.read().ok))
        self.deployment.world.run(0.5)
        servers = {server.incarnation: server for server in self.read().ok}
        self.assertTrue(servers[instances[0].identifier].leaving)
        self.assertTrue(servers[instances[1].identifier].cold)
        self.assertEqual(1, sum(server.leaving for server in servers.values()))
        self.assertEqual(1, sum(server.cold for server in servers.values()))

    def test_a_read_over_the_rate_limit_fails(self) -> None:
        self.deployment.platform.rate = 2
        result = self.read()
        self.assertTrue(result.is_error())
        self.assertTrue(result.error.no_answer)

    def test_a_failed_page_fails_the_read(self) -> None:
        for number in range(4):
            self.deployment.platform.cut_pages = {number}
            result = self.read()
            self.assertTrue(result.is_error(), number)
            self.assertTrue(result.error.no_answer)
        self.deployment.platform.cut_pages = {4}
        self.assertTrue(self.read().is_ok())

    def test_a_read_without_a_response_times_out(self) -> None:
        self.deployment.platform.silent = True
        before = self.deployment.world.time
        self.assertTrue(self.read().is_error())
        self.assertLess(self.deployment.world.time - before, 3)

    def test_a_read_of_cyclic_pages_fails(self) -> None:
        self.deployment.platform.rate = 1e9
        self.assertTrue(self.read(page({}, "p-0")).is_error())

    def test_an_empty_page_is_a_list_without_servers(self) -> None:
        self.assertEqual([], self.read(page({})).ok)

    def test_unknown_fields_are_ignored(self) -> None:
        listed = {"instances": {"i-1": entry(moon="full")}, "next_token": None, "later": 1}
        self.assertEqual(1, len(self.read(json.dumps(listed).encode()).ok))

    def test_a_malformed_page_fails_the_read(self) -> None:
        good = entry(address="10.128.0.2:8080")
        malformed: list[Any] = [
            3,
            None,
            [],
            entry(service=3),
            entry(service=""),
            entry(address="host:80"),
            entry(address="10.128.0.1"),
            entry(address="10.128.0.1:99999"),
            entry(zone=None),
            entry(slot_count=-1),
            entry(slot_count="8"),
            entry(slot_count=True),
            entry(cold_remaining_ms="soon"),
            entry(cold_remaining_ms=None),
        ]
        for bad in malformed:
            result = self.read(page({"i-1": good, "i-2": bad}))
            self.assertTrue(result.is_error(), repr(bad))
            self.assertFalse(result.error.no_answer, repr(bad))
        for raw in (
            b"",
            b"{",
            b"[]",
            b"3",
            b"\xff",
            page([]),
            page(None),
            page({}, 3),
            b'{"next_token":null}',
        ):
            result = self.read(raw)
            self.assertTrue(result.is_error(), raw)

    def test_of_two_servers_with_one_address_the_ready_one_is_kept(self) -> None:
        for states, kept in (
            (("draining", "ready"), "i-2"),
            (("ready", "draining"), "i-1"),
            (("draining", "draining"), "i-2"),
        ):
            servers = self.read(
                page({"i-1": entry(state=states[0]), "i-2": entry("desks", state=states[1])})
            ).ok
            self.assertEqual([kept], [server.incarnation for server in servers], str(states))

    def test_of_two_ready_servers_with_one_address_one_is_kept(self) -> None:
        servers = self.read(page({"i-1": entry(), "i-2": entry("desks")})).ok
        self.assertEqual(1, len(servers))


class ServerListUpdateTests(testtools.TestCase):
    """Deployments that follow changes of the list."""

    def known_servers(self, deployment: Deployment, edge: str) -> dict[str, bool]:
        """Return the servers that an edge knows, and if they are draining, by instance."""
        handler = deployment.node(edge).traffic.handler
        assert handler is not None
        return {
            state.server.incarnation: state.server.leaving
            for states in handler.context.servers.by_service.values()
            for state in states
        }

    def test_all_nodes_together_stay_below_the_rate_limit_of_the_list(self) -> None:
        deployment = Deployment(2, page_size=5).set_up()
        before = deployment.platform.calls
        deployment.world.run(20)
        calls = (deployment.platform.calls - before) / 20
        self.assertGreater(calls, 1)
        self.assertLess(calls, 15)
        self.assertEqual(0, deployment.platform.rejected)

    def test_a_new_server_reaches_every_edge(self) -> None:
        deployment = Deployment(3).set_up()
        instance = deployment.add_server("pages", "b")
        deployment.world.run(deployment.platform.lag + 2.0)
        for edge in deployment.edges:
            self.assertIn(instance.identifier, self.known_servers(deployment, edge))

    def test_a_draining_server_soon_gets_no_requests(self) -> None:
        deployment = Deployment(4).set_up()
        deployment.start_clients(12, 8.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
        deployment.world.run(3)
        instance = deployment.servers_of("pages")[0]
        self.assertTrue(
            any(arrival.identifier == instance.identifier for arrival in deployment.history)
        )
        deployment.platform.drain(instance)
        shown = deployment.world.time + deployment.platform.lag
        deployment.world.run(8)
        late = [
            arrival
            for arrival in deployment.history
            if arrival.identifier == instance.identifier and arrival.at > shown + 2.5
        ]
        self.assertEqual(0, len(late))
        self.assertEqual([], deployment.violations())

    def test_requests_are_served_while_the_list_is_unavailable(self) -> None:
        deployment = Deployment(5).set_up()
        for rate, silent in ((0.0, False), (52.0, True)):
            deployment.platform.rate, deployment.platform.silent = rate, silent
            deployment.world.run(10)
            for edge in deployment.edges:
                self.assertEqual(200, deployment.request(SAFE, "GET", "/plain/1", edge=edge).status)
        self.assertEqual([], deployment.violations())

    def test_a_malformed_list_is_ignored(self) -> None:
        deployment = Deployment(6).set_up()
        known = self.known_servers(deployment, deployment.edges[0])
        deployment.platform.raw_page = page({"i-1": entry(), "i-2": entry(address="nowhere")})
        deployment.world.run(6)
        for edge in deployment.edges:
            self.assertEqual(known, self.known_servers(deployment, edge))
        self.assertEqual([], deployment.world.faults)

    def test_another_node_reads_the_list_after_the_reader_is_killed(self) -> None:
        deployment = Deployment(7).set_up()
        for name in list(deployment.cores):
            deployment.kill(name)
            before = deployment.platform.calls
            deployment.world.run(6)
            self.assertGreater(deployment.platform.calls - before, 2, name)
            deployment.start(name)
            deployment.world.run(6)
        instance = deployment.add_server("pages", "a")
        deployment.world.run(4)
        for edge in deployment.edges:
            self.assertIn(instance.identifier, self.known_servers(deployment, edge))

    def test_a_reused_address_gets_no_requests_of_its_former_service(self) -> None:
        for seed in (8, 9, 10):
            deployment = Deployment(seed, servers=1).set_up()
            deployment.start_clients(
                12,
                10.0,
                lambda number: (
                    (SAFE, "GET", f"/plain/{number}")
                    if number % 2
                    else (UNSAFE, "POST", f"/orders/{number}")
                ),
            )
            deployment.world.run(2)
            instance = deployment.servers_of("pages")[0]
            other = deployment.servers_of("desks")[0]
            for gone in (instance, other):
                deployment.platform.crash(gone)
            deployment.world.run(0.3)
            deployment.add_server("desks", "a", instance.address)
            deployment.add_server("pages", "a", other.address)
            deployment.world.run(6)
            deployment.clients_running = False
            deployment.world.run(3)
            self.assertTrue(any(arrival.status == 421 for arrival in deployment.history))
            self.assertEqual([], deployment.violations())
            last = {record.request_name: record for record in deployment.records}
            served = sum(record.served for record in last.values()) / len(last)
            self.assertGreater(served, 0.95, f"seed {seed}")

    def test_several_hundred_servers_reach_every_edge(self) -> None:
        deployment = Deployment(11, edges=1, servers=70)
        self.assertEqual(420, len(deployment.servers))
        deployment.set_up()
        deployment.world.run(3)
        for edge in deployment.edges:
            self.assertEqual(set(deployment.servers), set(self.known_servers(deployment, edge)))
        self.assertEqual(0, deployment.platform.rejected)
