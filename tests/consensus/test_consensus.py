"""Lost disks, lost voters, planned stops, and leases of edges without a leader."""

from collections.abc import Callable
from dataclasses import replace
from unittest import mock

import testtools
from consensus_takeouts import disk_names_ignored

from ryelock.consensus.messages import LeaseReply, LeaseRequest
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.events import SERVER_EJECTED
from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.servers import ServerBehavior


def change(scenario: Scenario, name: str, through: str) -> int:
    found = scenario.world.task(
        scenario.operators,
        scenario.change(
            name,
            1,
            {"routes": {name: {"path": f"/{name}", "service": "pages"}}},
            f"/{name}",
            through,
        ),
        30,
    )
    return found.status


class ConsensusTests(testtools.TestCase):
    def lose_disk_and_leader(self, seed: int) -> tuple[Scenario, str]:
        """Leave one outdated voter and one empty disk, so no majority has the last command."""
        scenario = Scenario(seed, edges=1, probers=0)
        scenario.set_up()
        scenario.world.run(2)
        leader = scenario.leader()
        others = [name for name in scenario.cores if name != leader]
        for other in (leader, others[0]):
            scenario.world.cut(others[1], other)
        self.assertEqual(200, change(scenario, "gen-last", leader))
        scenario.lose_disk(others[0])
        scenario.world.kill(leader)
        scenario.world.heal()
        scenario.start(others[0])
        scenario.world.run(8)
        return scenario, leader

    def test_an_empty_disk_does_not_vote_for_the_disk_it_replaces(self) -> None:
        for seed in (1, 2, 3):
            scenario, leader = self.lose_disk_and_leader(seed)
            self.assertEqual("", scenario.leader())
            scenario.start(leader)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario: bool(  # type: ignore
                        scenario.leader()
                    ),
                    15,
                )
            )
            _, answer = scenario.ask_now("GET", "/configuration")
            self.assertEqual(2, answer["version"])

    def test_without_disk_names_the_last_command_is_lost(self) -> None:
        with disk_names_ignored():
            scenario, _ = self.lose_disk_and_leader(1)
            self.assertNotEqual("", scenario.leader())
            _, answer = scenario.ask_now("GET", "/configuration")
            self.assertEqual(1, answer["version"])

    def test_a_permanently_lost_voter_is_replaced_by_a_standby(self) -> None:
        for seed, cores in ((1, 4), (2, 6), (3, 4)):
            scenario = Scenario(seed, cores=cores, edges=1, probers=0)
            scenario.set_up()
            wanted = 5 if cores == 6 else 3

            def voters(scenario: Scenario = scenario) -> set[str]:
                leader = scenario.leader()
                return set(scenario.node(leader).core.consensus.voters) if leader else set()

            def complete(voters: Callable[[], set[str]] = voters, wanted: int = wanted) -> bool:
                return len(voters()) == wanted

            self.assertTrue(scenario.world.run_until(complete, 20))
            leader = scenario.leader()
            lost = next(
                name
                for name in scenario.cores
                if name != leader and scenario.node(name).core.consensus.disk in voters()
            )
            disk = scenario.node(lost).core.consensus.disk
            scenario.world.kill(lost, True)
            self.assertTrue(
                scenario.world.run_until(
                    lambda voters=voters, disk=disk, wanted=wanted: (  # type: ignore[misc]
                        disk not in voters() and len(voters()) == wanted
                    ),
                    25,
                ),
                f"seed {seed}",
            )
            scenario.start(lost)
            back = scenario.node(lost).core.consensus
            self.assertTrue(
                scenario.world.run_until(lambda back=back: back.knows_leader(), 10),  # type: ignore[misc]
                f"seed {seed}: the replaced voter has no leader",
            )
            self.assertEqual([], scenario.findings().violations)

    def test_a_planned_stop_transfers_leadership_and_role_to_the_successor(self) -> None:
        for seed in (1, 2, 3):
            scenario = Scenario(seed)
            scenario.set_up()
            scenario.world.run(3)
            leader = scenario.leader()
            role = scenario.node(leader).core.replicated_state.singletons["aggregator"]
            for name in dict.fromkeys([role.owner, leader]):
                node = scenario.node(name)
                scenario.world.task(node, node.core.stop(), 20)
                scenario.world.kill(name)
                self.assertTrue(
                    scenario.world.run_until(
                        lambda scenario=scenario: bool(  # type: ignore
                            scenario.leader()
                        ),
                        1.0,
                    ),
                    f"seed {seed}: no leader at once",
                )
                replicated_state = scenario.node(scenario.leader()).core.replicated_state
                if name == role.owner:
                    self.assertEqual(
                        (role.successor, role.fencing_token + 1),
                        (
                            replicated_state.singletons["aggregator"].owner,
                            replicated_state.singletons["aggregator"].fencing_token,
                        ),
                    )
                scenario.start(name)
                scenario.world.run(4)
            self.assertEqual([], scenario.findings().violations)

    def test_a_failing_server_is_ejected_and_readmitted(self) -> None:
        scenario = Scenario(4)
        scenario.set_up()
        scenario.start_callers(12, 5.0, 0)
        server = scenario.servers["pages0-1"]
        server.behavior = ServerBehavior.FAILING
        scenario.world.run(8)
        peer = scenario.servers["pages2-1"]

        def recent_requests(address: str) -> int:
            return sum(
                one.address == address and one.at > scenario.world.time - 4
                for one in scenario.history
            )

        self.assertIn(
            SERVER_EJECTED.number,
            [number for name in scenario.edges for number, _ in scenario.node(name).log.records],
        )
        self.assertLess(recent_requests(server.address) * 3, recent_requests(peer.address))
        server.behavior = ServerBehavior.SOUND
        scenario.world.run(25)
        self.assertGreater(recent_requests(server.address), 0)
        self.assertEqual([], scenario.findings().violations)

    def test_edges_that_cannot_reach_the_leader_renew_through_others(self) -> None:
        """An edge is without a lease for less than 2 s per run, and less than 1.6 s on average."""
        idle = {seed: self.tenths_without_lease(seed) for seed in range(2, 10)}
        self.assertLess(max(idle.values()), 20, idle)
        self.assertLess(sum(idle.values()) / len(idle), 16, idle)

    def tenths_without_lease(self, seed: int) -> int:
        """Return during how many of 80 tenths of a second some edge had no lease."""
        scenario = Scenario(seed)
        scenario.set_up()
        scenario.world.run(3)
        for edge in scenario.edges:
            scenario.world.cut(edge, scenario.leader())
        idle = 0
        for _ in range(80):
            scenario.world.run(0.1)
            idle += not all(scenario.node(edge).traffic.member.serving for edge in scenario.edges)
        self.assertEqual([], scenario.findings().violations)
        return idle

    def outdated_edge_serves(self, seed: int) -> bool:
        """Return True if an edge that missed an acknowledged command serves on voter leases."""
        scenario = Scenario(seed)
        scenario.set_up()
        scenario.world.run(2)
        edge = scenario.edges[0]
        for core in scenario.cores:
            scenario.world.cut(edge, core)
        self.assertEqual(200, change(scenario, "gen-missed", scenario.leader()))
        scenario.world.heal()
        for one in scenario.cores:
            for other in scenario.cores:
                if one < other:
                    scenario.world.cut(one, other)
        leader = scenario.leader()
        scenario.world.cut(edge, leader)
        scenario.world.run(1.4)
        scenario.world.cuts.discard((edge, leader))
        scenario.world.cuts.discard((leader, edge))
        scenario.world.run(3)
        return scenario.node(edge).traffic.member.serving

    def test_voter_leases_do_not_let_an_outdated_edge_serve(self) -> None:
        for seed in (1, 2):
            self.assertFalse(self.outdated_edge_serves(seed))
        on_request = QuorumLease.on_request

        def without_index(lease: QuorumLease, request: LeaseRequest) -> LeaseReply:
            return replace(on_request(lease, request), last_command_index=0)

        with mock.patch.object(QuorumLease, "on_request", without_index):
            self.assertTrue(self.outdated_edge_serves(1))
