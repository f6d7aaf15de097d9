"""Simulated deployments of several sizes start, serve requests and violate no rule."""

from typing import Any

import testtools

from deployment import HOST, Deployment, route
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE

ONE_ZONE = {"a": "north"}
REGIONS = {"a": "north", "b": "south", "c": "west"}
FIVE_ZONES = {"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"}


def draw_request(number: int) -> tuple[str, str, str]:
    """Return kind, method and target of a client's request for a random number."""
    part = number % 4
    if part == 0:
        return UNSAFE, "POST", f"/orders/{number}"
    if part == 1:
        return SAFE, "GET", f"/plain/{number}"
    return CACHEABLE, "GET", f"/covers/{number % 40}"


class TopologyTests(testtools.TestCase):
    def served_fraction(
        self,
        deployment: Deployment,
        seconds: float = 8.0,
        clients: int = 15,
        targets: Any = draw_request,
    ) -> float:
        """Run clients for a while; return the fraction of requests that were served."""
        deployment.clients_running = True
        since = deployment.world.time
        deployment.start_clients(clients, 4.0, targets)
        deployment.world.run(seconds)
        deployment.clients_running = False
        deployment.world.run(3)
        self.assertEqual([], deployment.violations())
        last = {
            record.request_name: record for record in deployment.records if record.sent_at >= since
        }
        self.assertGreater(len(last), clients * seconds * 2)
        return sum(record.served for record in last.values()) / len(last)

    def test_three_zones_serve(self) -> None:
        self.assertGreater(self.served_fraction(Deployment(1).set_up()), 0.98)

    def test_one_zone_with_three_control_nodes_serves(self) -> None:
        self.assertGreater(
            self.served_fraction(Deployment(2, ONE_ZONE, edges=3, cores=3).set_up()), 0.98
        )

    def test_one_zone_with_one_control_node_serves(self) -> None:
        """The deploy file runs one control node per zone."""
        self.assertGreater(self.served_fraction(Deployment(3, ONE_ZONE, edges=3).set_up()), 0.98)

    def test_two_zones_with_one_control_node_each_serve(self) -> None:
        zones = {"a": "north", "b": "south"}
        self.assertGreater(self.served_fraction(Deployment(4, zones).set_up()), 0.98)

    def test_three_regions_serve(self) -> None:
        self.assertGreater(self.served_fraction(Deployment(5, REGIONS).set_up()), 0.98)

    def test_five_zones_serve(self) -> None:
        self.assertGreater(
            self.served_fraction(Deployment(6, FIVE_ZONES).set_up(), clients=20), 0.98
        )

    def test_five_zones_with_three_edges_each_elect_one_leader(self) -> None:
        deployment = Deployment(7, FIVE_ZONES, edges=3, servers=1).set_up()
        leaders = [
            name for name in deployment.cores if deployment.node(name).core.consensus.leader_ready
        ]
        self.assertEqual(1, len(leaders))
        deployment.world.run(10)
        voters = deployment.node(leaders[0]).core.consensus.voters
        self.assertEqual(5, len(voters))

    def test_control_nodes_without_a_disk_forward_operators_requests(self) -> None:
        self.check_operator_requests(["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"])

    def test_a_seed_may_have_no_disk(self) -> None:
        """The platform may list any machines with an operator API as seeds."""
        self.check_operator_requests(["10.1.0.1:8146", "10.1.0.2:8146", "10.2.0.1:8146"])

    def check_operator_requests(self, seeds: list[str]) -> None:
        """Send requests to each control node; the second one of each zone has no disk."""
        deployment = Deployment(20, edges=3, cores=2)
        for machine, lines in deployment.lines.items():
            lines["seed_nodes"] = ",".join(seeds)
            if machine.endswith("-1"):
                del lines["data_directory"], lines["limits.disk_mb"]
        deployment.set_up()
        self.assertEqual(6, len(deployment.operator.nodes))
        base = "r5"
        for number, node in enumerate(list(deployment.operator.nodes)):
            deployment.operator.nodes = [node]
            sent = {**deployment.configuration, "version": f"r{6 + number}"}
            self.assertEqual(200, deployment.replace(sent, base)[0], node)
            self.assertEqual(sent, deployment.read())
            self.assertEqual(200, deployment.purge(label="shelf-covers"))
            base = f"r{6 + number}"

    def test_each_of_ten_services_gets_its_own_requests(self) -> None:
        names = tuple(f"service{number}" for number in range(10))
        deployment = Deployment(8, services=names, servers=1)
        deployment.configuration["routes"] = [
            route(name, f"/{name}/", (SAFE, UNSAFE, CACHEABLE)[number % 3], name)
            for number, name in enumerate(names)
        ]
        deployment.set_up()

        def targets(number: int) -> tuple[str, str, str]:
            index = number % 10
            kind = (SAFE, UNSAFE, CACHEABLE)[index % 3]
            return kind, "POST" if kind == UNSAFE else "GET", f"/service{index}/{number % 500}"

        self.assertGreater(self.served_fraction(deployment, targets=targets), 0.98)
        self.assertEqual(
            set(names), {arrival.service for arrival in deployment.history if arrival.ran}
        )

    def test_a_host_without_routes_gets_404(self) -> None:
        deployment = Deployment(9).set_up()
        for edge in deployment.edges:
            record = deployment.request(SAFE, "GET", "/plain/1", edge=edge, host="empty.example")
            self.assertEqual(404, record.status)
            self.assertEqual([], deployment.arrivals(record))
            self.assertTrue(
                deployment.request(SAFE, "GET", "/plain/1", edge=edge, host=HOST).served
            )

    def test_an_empty_configuration_is_accepted(self) -> None:
        deployment = Deployment(10)
        deployment.configuration = {**deployment.configuration, "routes": [], "services": []}
        deployment.set_up()
        self.assertEqual(deployment.configuration, deployment.read())
        self.assertEqual(404, deployment.request(SAFE, "GET", "/plain/1").status)

    def test_a_service_without_servers_gets_503_until_one_is_added(self) -> None:
        deployment = Deployment(11, servers=0).set_up()
        record = deployment.request(UNSAFE, "POST", "/orders/1")
        self.assertEqual(503, record.status)
        self.assertLess(record.seconds, 0.5)
        deployment.add_server("desks", "a")
        deployment.world.run(3)
        for edge in deployment.edges:
            self.assertTrue(deployment.request(UNSAFE, "POST", "/orders/2", edge=edge).served)

    def test_subsets_of_the_contract_parts_are_accepted(self) -> None:
        for parts in ("base", "base,config", "base,drain,config", "base,config,cost,retry,recover"):
            deployment = Deployment(12, edges=1)
            for lines in deployment.lines.values():
                lines["contract_parts"] = parts
            self.assertGreater(self.served_fraction(deployment.set_up(), 4.0), 0.98, parts)

    def test_other_zones_serve_after_the_loss_of_a_zone(self) -> None:
        deployment = Deployment(13, REGIONS).set_up()
        for name in deployment.cores + deployment.edges:
            if name.startswith("edge-a-"):
                deployment.kill(name, True)
        for instance in deployment.servers.values():
            if instance.zone == "a":
                deployment.platform.crash(instance)
        deployment.world.run(8)
        self.assertGreater(self.served_fraction(deployment), 0.97)
        sent = {**deployment.configuration, "version": "r6"}
        self.assertEqual(200, deployment.replace(sent, "r5")[0])
        self.assertEqual(sent, deployment.read())

    def test_service_resumes_after_a_power_loss_of_all_processes(self) -> None:
        for seed in (14, 15):
            deployment = Deployment(seed).set_up()
            for name in deployment.cores + deployment.edges:
                deployment.kill(name, True)
            deployment.world.run(1)
            for name in deployment.cores + deployment.edges:
                deployment.start(name)
            deployment.world.run(12)
            self.assertGreater(self.served_fraction(deployment), 0.98, f"seed {seed}")
            self.assertEqual(deployment.configuration, deployment.read())

    def test_a_rolling_restart_violates_no_rule(self) -> None:
        deployment = Deployment(16).set_up()
        deployment.start_clients(18, 5.0, draw_request)
        for name in deployment.edges + deployment.cores:
            deployment.kill(name)
            deployment.world.run(0.5)
            deployment.start(name)
            deployment.world.run(3)
        deployment.clients_running = False
        deployment.world.run(3)
        self.assertEqual([], deployment.violations())
        last = {record.request_name: record for record in deployment.records}
        self.assertGreater(sum(record.served for record in last.values()), 0.95 * len(last))

    def test_an_edge_partitioned_from_the_control_nodes_keeps_serving(self) -> None:
        deployment = Deployment(17).set_up()
        machines = [name.rpartition(".")[0] for name in deployment.cores]
        edge = next(name for name in deployment.edges if name.rpartition(".")[0] not in machines)
        for machine in machines:
            deployment.world.cut(edge.rpartition(".")[0], machine)
        deployment.world.run(8)
        for number in range(5):
            self.assertTrue(deployment.request(SAFE, "GET", f"/plain/{number}", edge=edge).served)
            self.assertTrue(
                deployment.request(UNSAFE, "POST", f"/orders/{number}", edge=edge).served
            )
        self.assertEqual(
            200, deployment.amend({"version": "r6", "remove": {"routes": ["covers"]}}, "r5")[0]
        )
        deployment.world.heal()
        deployment.world.run(3)
        self.assertEqual(404, deployment.request(CACHEABLE, "GET", "/covers/1", edge=edge).status)
        self.assertEqual([], deployment.violations())

    def test_runs_with_the_same_seed_are_identical(self) -> None:
        def run(seed: int) -> list[tuple[float, str, int]]:
            deployment = Deployment(seed, edges=1).set_up()
            deployment.start_clients(6, 5.0, draw_request)
            deployment.world.run(5)
            return [
                (record.sent_at, record.identity, record.status) for record in deployment.records
            ]

        self.assertEqual(run(18), run(18))
        self.assertNotEqual(run(18), run(19))
