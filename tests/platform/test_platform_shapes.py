"""Deployments of several shapes on the simulator: everything comes up, is served and is held."""

from typing import Any

import testtools

from deployment import HOST, Deployment, route
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE

ONE_ZONE = {"a": "north"}
REGIONS = {"a": "north", "b": "south", "c": "west"}
FIVE = {"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"}


def mix(number: int) -> tuple[str, str, str]:
    """Kind, method and target of any order of a crowd."""
    part = number % 4
    if part == 0:
        return UNSAFE, "POST", f"/orders/{number}"
    if part == 1:
        return SAFE, "GET", f"/plain/{number}"
    return CACHEABLE, "GET", f"/covers/{number % 40}"


class ShapeTests(testtools.TestCase):
    def serve(
        self, deployment: Deployment, seconds: float = 8.0, clients: int = 15, targets: Any = mix
    ) -> float:
        """A crowd for a while; the part of its orders that was served."""
        deployment.callers_on = True
        since = deployment.world.time
        deployment.crowd(clients, 4.0, targets)
        deployment.world.run(seconds)
        deployment.callers_on = False
        deployment.world.run(3)
        self.assertEqual([], deployment.broken())
        last = {note.request_name: note for note in deployment.notes if note.sent_at >= since}
        self.assertGreater(len(last), clients * seconds * 2)
        return sum(note.served for note in last.values()) / len(last)

    def test_three_zones_serve(self) -> None:
        self.assertGreater(self.serve(Deployment(1).set_up()), 0.98)

    def test_one_zone_with_three_control_nodes_serves(self) -> None:
        self.assertGreater(self.serve(Deployment(2, ONE_ZONE, edges=3, cores=3).set_up()), 0.98)

    def test_one_zone_with_one_control_node_serves(self) -> None:
        """The deploy file has one control node a zone, so one zone has one."""
        self.assertGreater(self.serve(Deployment(3, ONE_ZONE, edges=3).set_up()), 0.98)

    def test_two_zones_with_one_control_node_each_serve(self) -> None:
        zones = {"a": "north", "b": "south"}
        self.assertGreater(self.serve(Deployment(4, zones).set_up()), 0.98)

    def test_three_regions_serve(self) -> None:
        self.assertGreater(self.serve(Deployment(5, REGIONS).set_up()), 0.98)

    def test_five_zones_serve(self) -> None:
        self.assertGreater(self.serve(Deployment(6, FIVE).set_up(), clients=20), 0.98)

    def test_five_zones_with_three_edges_each_make_one_core(self) -> None:
        deployment = Deployment(7, FIVE, edges=3, servers=1).set_up()
        leaders = [
            name for name in deployment.cores if deployment.node(name).core.consensus.leader_ready
        ]
        self.assertEqual(1, len(leaders))
        deployment.world.run(10)
        voters = deployment.node(leaders[0]).core.consensus.voters
        self.assertEqual(5, len(voters))

    def test_control_nodes_without_a_disk_pass_operators_words_on(self) -> None:
        self.pass_on(["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"])

    def test_control_nodes_found_also_where_a_seed_has_no_disk(self) -> None:
        """The platform names any three machines that serve operators."""
        self.pass_on(["10.1.0.1:8146", "10.1.0.2:8146", "10.2.0.1:8146"])

    def pass_on(self, seeds: list[str]) -> None:
        """Words through every control node, of which each zone's second has no disk."""
        deployment = Deployment(20, edges=3, cores=2)
        for machine, told in deployment.lines.items():
            told["seed_nodes"] = ",".join(seeds)
            if machine.endswith("-1"):
                del told["data_directory"], told["limits.disk_mb"]
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

    def test_ten_services_serve_each_its_own_orders(self) -> None:
        names = tuple(f"service{number}" for number in range(10))
        deployment = Deployment(8, services=names, servers=1)
        deployment.configuration["routes"] = [
            route(name, f"/{name}/", (SAFE, UNSAFE, CACHEABLE)[number % 3], name)
            for number, name in enumerate(names)
        ]
        deployment.set_up()

        def targets(number: int) -> tuple[str, str, str]:
            which = number % 10
            kind = (SAFE, UNSAFE, CACHEABLE)[which % 3]
            return kind, "POST" if kind == UNSAFE else "GET", f"/service{which}/{number % 500}"

        self.assertGreater(self.serve(deployment, targets=targets), 0.98)
        self.assertEqual(
            set(names), {arrival.service for arrival in deployment.history if arrival.ran}
        )

    def test_a_host_without_routes_is_told_404_and_others_are_served(self) -> None:
        deployment = Deployment(9).set_up()
        for edge in deployment.edges:
            note = deployment.ask(SAFE, "GET", "/plain/1", edge=edge, host="empty.example")
            self.assertEqual(404, note.status)
            self.assertEqual([], deployment.arrivals(note))
            self.assertTrue(deployment.ask(SAFE, "GET", "/plain/1", edge=edge, host=HOST).served)

    def test_a_configuration_without_routes_and_services_is_one(self) -> None:
        deployment = Deployment(10)
        deployment.configuration = {**deployment.configuration, "routes": [], "services": []}
        deployment.set_up()
        self.assertEqual(deployment.configuration, deployment.read())
        self.assertEqual(404, deployment.ask(SAFE, "GET", "/plain/1").status)

    def test_a_service_without_servers_is_told_503_soon_and_served_once_it_has_one(self) -> None:
        deployment = Deployment(11, servers=0).set_up()
        note = deployment.ask(UNSAFE, "POST", "/orders/1")
        self.assertEqual(503, note.status)
        self.assertLess(note.seconds, 0.5)
        deployment.add_server("desks", "a")
        deployment.world.run(3)
        for edge in deployment.edges:
            self.assertTrue(deployment.ask(UNSAFE, "POST", "/orders/2", edge=edge).served)

    def test_fewer_parts_of_the_rules_in_force(self) -> None:
        for parts in ("base", "base,config", "base,drain,config", "base,config,cost,retry,recover"):
            deployment = Deployment(12, edges=1)
            for lines in deployment.lines.values():
                lines["contract_parts"] = parts
            self.assertGreater(self.serve(deployment.set_up(), 4.0), 0.98, parts)

    def test_a_zone_that_is_lost_is_served_by_the_others(self) -> None:
        deployment = Deployment(13, REGIONS).set_up()
        for name in deployment.cores + deployment.edges:
            if name.startswith("edge-a-"):
                deployment.kill(name, True)
        for instance in deployment.servers.values():
            if instance.zone == "a":
                deployment.platform.crash(instance)
        deployment.world.run(8)
        self.assertGreater(self.serve(deployment), 0.97)
        sent = {**deployment.configuration, "version": "r6"}
        self.assertEqual(200, deployment.replace(sent, "r5")[0])
        self.assertEqual(sent, deployment.read())

    def test_after_all_power_is_lost_the_same_is_served(self) -> None:
        for seed in (14, 15):
            deployment = Deployment(seed).set_up()
            for name in deployment.cores + deployment.edges:
                deployment.kill(name, True)
            deployment.world.run(1)
            for name in deployment.cores + deployment.edges:
                deployment.start(name)
            deployment.world.run(12)
            self.assertGreater(self.serve(deployment), 0.98, f"seed {seed}")
            self.assertEqual(deployment.configuration, deployment.read())

    def test_while_processes_are_started_anew_one_by_one_no_rule_breaks(self) -> None:
        deployment = Deployment(16).set_up()
        deployment.crowd(18, 5.0, mix)
        for name in deployment.edges + deployment.cores:
            deployment.kill(name)
            deployment.world.run(0.5)
            deployment.start(name)
            deployment.world.run(3)
        deployment.callers_on = False
        deployment.world.run(3)
        self.assertEqual([], deployment.broken())
        last = {note.request_name: note for note in deployment.notes}
        self.assertGreater(sum(note.served for note in last.values()), 0.95 * len(last))

    def test_edges_that_are_cut_off_from_the_core_go_on_serving(self) -> None:
        deployment = Deployment(17).set_up()
        machines = [name.rpartition(".")[0] for name in deployment.cores]
        edge = next(name for name in deployment.edges if name.rpartition(".")[0] not in machines)
        for machine in machines:
            deployment.world.cut(edge.rpartition(".")[0], machine)
        deployment.world.run(8)
        for number in range(5):
            self.assertTrue(deployment.ask(SAFE, "GET", f"/plain/{number}", edge=edge).served)
            self.assertTrue(deployment.ask(UNSAFE, "POST", f"/orders/{number}", edge=edge).served)
        self.assertEqual(
            200, deployment.amend({"version": "r6", "remove": {"routes": ["covers"]}}, "r5")[0]
        )
        deployment.world.heal()
        deployment.world.run(3)
        self.assertEqual(404, deployment.ask(CACHEABLE, "GET", "/covers/1", edge=edge).status)
        self.assertEqual([], deployment.broken())

    def test_the_same_seed_gives_the_same_notes(self) -> None:
        def notes(seed: int) -> list[tuple[float, str, int]]:
            deployment = Deployment(seed, edges=1).set_up()
            deployment.crowd(6, 5.0, mix)
            deployment.world.run(5)
            return [(note.sent_at, note.identity, note.status) for note in deployment.notes]

        self.assertEqual(notes(18), notes(18))
        self.assertNotEqual(notes(18), notes(19))
