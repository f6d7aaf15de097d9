"""Requests to an object's owner: the cost of its timeouts, and the limit of servers reached."""

from typing import Any

import testtools

from deployment import HOST, Deployment, route
from ryelock.edge.peers import owner_of
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, AttemptRecord
from ryelock.testing.hosting_platform.checks import retry_violations

ONE_ZONE = {"a": "north"}
MANNERS = (Manner.FAILING, Manner.LOST, Manner.WRONG, Manner.CUT, Manner.FULL)


def one_zone(seed: int, limit: int = 3) -> Deployment:
    """Return three edges that share their caches, with four servers and no delay spikes."""
    deployment = Deployment(seed, ONE_ZONE, edges=3, servers=4)
    routes: Any = deployment.configuration["routes"]
    routes[1] = route("covers", "/covers/", CACHEABLE, attempt_limit=limit)
    deployment.set_up()
    deployment.world.spikes = 0.0
    return deployment


def object_owned_by(deployment: Deployment, requesting: str, owner: str, number: int = 0) -> str:
    """Return the target of an object owned by `owner`; each number gives a different one."""
    handler = deployment.node(requesting).traffic.handler
    assert handler is not None and handler.context.peers is not None
    handler.context.peers.update_members(handler.context.member.members)
    found = [
        target
        for target in (f"/covers/{place}" for place in range(400))
        if owner_of((HOST, target), handler.context.peers.zone_edge_names) == owner
    ]
    return found[number]


def retry_tokens(deployment: Deployment, edge: str) -> float:
    handler = deployment.node(edge).traffic.handler
    assert handler is not None
    return handler.context.admission_queues["pages"].budget.tokens


def exhaust_retry_budget(deployment: Deployment, edge: str) -> None:
    handler = deployment.node(edge).traffic.handler
    assert handler is not None
    handler.context.admission_queues["pages"].budget.tokens = 0.0


def fetch_object(deployment: Deployment, target: str, edge: str, **more: Any) -> AttemptRecord:
    return deployment.request(CACHEABLE, "GET", target, edge=edge, **more)


async def send_one(client: Any, edge: str, target: str) -> None:
    await client.request(CACHEABLE, "GET", HOST, target, b"", 1.0, None, 1, edge)


class OwnerTimeoutTests(testtools.TestCase):
    """An owner that hangs or is slow must not use up the requesting edge's retry budget."""

    def test_a_lookup_at_a_frozen_owner_costs_no_retry(self) -> None:
        deployment = one_zone(1)
        requesting, owner = deployment.edges[0], deployment.edges[1]
        target = object_owned_by(deployment, requesting, owner)
        deployment.world.freeze(owner, True)
        exhaust_retry_budget(deployment, requesting)
        record = fetch_object(deployment, target, requesting, deadline=0.8)
        self.assertTrue(record.served, f"{record.status}")
        self.assertEqual(1, len(deployment.arrivals(record)))
        deployment.world.freeze(owner, False)
        deployment.world.run(2)
        self.assertEqual(1, len(deployment.arrivals(record)), "the owner sent it after it resumed")

    def test_a_frozen_owner_is_suspected_after_one_timeout(self) -> None:
        deployment = one_zone(2)
        requesting, owner = deployment.edges[0], deployment.edges[1]
        deployment.world.freeze(owner, True)
        records = [
            fetch_object(
                deployment,
                object_owned_by(deployment, requesting, owner, number),
                requesting,
                deadline=0.8,
            )
            for number in range(6)
        ]
        self.assertTrue(all(record.served for record in records))
        self.assertLess(records[0].seconds, 0.25 + 0.1)
        self.assertTrue(all(record.seconds < 0.1 for record in records[1:]))

    def test_a_slow_owner_is_awaited_if_no_retry_is_left(self) -> None:
        """The owner's fetch is in progress; this edge may not send the request itself."""
        deployment = one_zone(3)
        requesting, owner = deployment.edges[0], deployment.edges[1]
        deployment.services["pages"].work_seconds = 0.4
        exhaust_retry_budget(deployment, requesting)
        record = fetch_object(
            deployment, object_owned_by(deployment, requesting, owner), requesting, deadline=1.0
        )
        self.assertTrue(record.served, f"{record.status}")
        self.assertEqual(1, len(deployment.arrivals(record)))

    def test_edges_without_retries_wait_for_a_slow_fill_at_the_owner(self) -> None:
        """A direct fetch would be a retry, and the budget has none left."""
        deployment = one_zone(7)
        requesting, owner, other = deployment.edges
        deployment.services["pages"].work_seconds = 0.4
        target = object_owned_by(deployment, requesting, owner)
        for edge in (requesting, other):
            exhaust_retry_budget(deployment, edge)
        for number, edge in enumerate((owner, requesting, other)):
            client = deployment.client(f"slow{number}")
            deployment.client_node.scheduler.create_task(
                send_one(client, edge, target),
                name="slow",
            )
            deployment.world.run(0.01)
        deployment.world.run(2)
        self.assertEqual([True] * 3, [record.served for record in deployment.records[-3:]])
        sent = [len(deployment.arrivals(record)) for record in deployment.records[-3:]]
        self.assertEqual([0, 0, 1], sorted(sent))

    def test_a_fetch_that_times_out_at_the_owner_is_charged_as_a_retry(self) -> None:
        deployment = one_zone(4)
        requesting, owner = deployment.edges[0], deployment.edges[1]
        for instance in deployment.servers_of("pages"):
            instance.manner = Manner.HANGING
        for number in range(10):
            fetch_object(deployment, f"/covers/{300 + number}", deployment.edges[2], deadline=0.05)
        before = retry_tokens(deployment, requesting)
        self.assertGreaterEqual(before, 1.0)
        record = fetch_object(
            deployment, object_owned_by(deployment, requesting, owner), requesting, deadline=0.8
        )
        self.assertFalse(record.served)
        self.assertNotIn(record.status, (408, 421, 429, 503))
        self.assertEqual(2, len(deployment.arrivals(record)))
        self.assertAlmostEqual(before - 1.0, retry_tokens(deployment, requesting))

    def test_a_failed_fetch_at_the_owner_gets_retry_after_if_no_retry_is_left(
        self,
    ) -> None:
        """For an idempotent request, 503 does not state that the request has not run."""
        deployment = one_zone(6)
        requesting, owner = deployment.edges[0], deployment.edges[1]
        for instance in deployment.servers_of("pages"):
            instance.manner = Manner.LOST
        exhaust_retry_budget(deployment, requesting)
        record = fetch_object(
            deployment, object_owned_by(deployment, requesting, owner), requesting, deadline=0.8
        )
        self.assertGreater(deployment.execution_count(record), 0)
        self.assertEqual(503, record.status)
        self.assertIn(b"retry-after", {name.lower() for name, _ in record.fields})

    def test_a_frozen_owner_does_not_exhaust_the_retry_budget_under_load(self) -> None:
        deployment = one_zone(5)
        deployment.start_clients(
            12, 10.0, lambda number: (CACHEABLE, "GET", f"/covers/{number % 4000}")
        )
        deployment.world.run(2)
        deployment.world.freeze(deployment.edges[1], True)
        deployment.world.run(1.5)
        deployment.world.freeze(deployment.edges[1], False)
        deployment.world.run(3)
        deployment.clients_running = False
        deployment.world.run(2)
        self.assertEqual(
            [],
            retry_violations(
                deployment.records, deployment.history, "pages", deployment.allowed_services, 0.2, 8
            ),
        )
        asked = [record for record in deployment.records if record.edge != deployment.edges[1]]
        self.assertGreater(len(asked), 300)
        refused = [record for record in asked if record.complete and not record.served]
        self.assertEqual([], [(record.sent_at, record.status) for record in refused])
        self.assertEqual([], deployment.violations())


class ServersReachedTests(testtools.TestCase):
    """A request reaches no more servers than its route allows, over all edges that handle it."""

    def reached(self, deployment: Deployment, record: AttemptRecord) -> int:
        return len(deployment.arrivals(record))

    def test_limit_holds_across_the_owner(self) -> None:
        for limit in (1, 2, 3):
            for manner in MANNERS:
                deployment = one_zone(10 + limit, limit)
                for instance in deployment.servers_of("pages"):
                    instance.manner = manner
                for edge in deployment.edges:
                    for number in range(6):
                        record = fetch_object(deployment, f"/covers/{number}", edge, deadline=0.9)
                        self.assertFalse(record.served)
                        self.assertLessEqual(
                            self.reached(deployment, record), limit, f"{manner}, limit {limit}"
                        )
                self.assertEqual([], deployment.violations())

    def test_limit_holds_if_the_owner_times_out_during_a_fetch(self) -> None:
        for limit in (1, 2, 3):
            deployment = one_zone(20 + limit, limit)
            requesting, owner = deployment.edges[0], deployment.edges[1]
            for instance in deployment.servers_of("pages"):
                instance.manner = Manner.HANGING
            record = fetch_object(
                deployment, object_owned_by(deployment, requesting, owner), requesting, deadline=0.9
            )
            deployment.world.run(3)
            self.assertFalse(record.served)
            self.assertTrue(1 <= self.reached(deployment, record) <= limit, f"limit {limit}")

    def test_limit_holds_for_requests_that_join_a_fill(self) -> None:
        for limit in (1, 2, 3):
            deployment = one_zone(30 + limit, limit)
            deployment.services["pages"].work_seconds = 0.05
            for instance in deployment.servers_of("pages"):
                instance.manner = Manner.FAILING
            clients = [deployment.client(f"joined{number}") for number in range(12)]
            for number, client in enumerate(clients):
                deployment.client_node.scheduler.create_task(
                    send_one(client, deployment.edges[number % 3], "/covers/7"), name="joined"
                )
            deployment.world.run(3)
            self.assertEqual(12, len(deployment.records))
            for record in deployment.records:
                self.assertLessEqual(self.reached(deployment, record), limit, f"limit {limit}")
            self.assertEqual([], deployment.violations())

    def test_attempts_that_the_owner_did_not_use_are_left(self) -> None:
        deployment = one_zone(40, 3)
        requesting, owner = deployment.edges[0], deployment.edges[1]
        handler = deployment.node(owner).traffic.handler
        assert handler is not None
        exhaust_retry_budget(deployment, owner)
        instances = deployment.servers_of("pages")
        for instance in instances:
            instance.manners.append(Manner.LOST)
        record = fetch_object(
            deployment, object_owned_by(deployment, requesting, owner), requesting, deadline=0.9
        )
        self.assertEqual(2, len(deployment.arrivals(record)))
