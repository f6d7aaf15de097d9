"""Permanent losses: service returns without repair for clients that follow readiness."""

from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from ryelock.control_plane.platform import PlatformReader
from ryelock.control_plane.process import ControlNode
from ryelock.edge.readiness import NodeReadiness
from ryelock.edge.rejections import RejectionResponder
from ryelock.membership import ServerList
from ryelock.testing.finals import FINALS, request_once, run_final
from ryelock.testing.scenario import Scenario


class FinalTests(testtools.TestCase):
    def violated_rules(self, name: str, seed: int = 1) -> set[str]:
        result = run_final(seed, name)
        return {line.partition(":")[0] for line in result.findings.violations}

    def test_without_readings_of_peers_service_does_not_return(self) -> None:
        with mock.patch.object(PlatformReader, "receive_from_peer", lambda *_arguments: None):
            self.assertIn("final", self.violated_rules("listing-out-of-leaders-reach"))

    def test_an_edge_without_a_lease_that_reports_ready_is_found(self) -> None:
        original = RejectionResponder.reject

        async def reject_late(
            responder: RejectionResponder, exchange: Any, request: Any, failure: Any
        ) -> Any:
            if failure.reason == "no term: cut off":
                await responder.context.scheduler.sleep(20.0)
            await original(responder, exchange, request, failure)

        with (
            mock.patch.object(NodeReadiness, "not_ready_reason", property(lambda _node: "")),
            mock.patch.object(RejectionResponder, "reject", reject_late),
        ):
            self.assertIn("final", self.violated_rules("edge-cut-off"))

    def status_through_a_node_cut_off_from_the_leader(self) -> int:
        scenario = Scenario(3)
        scenario.set_up()
        scenario.world.run(2)
        leader = scenario.leader()
        other = next(name for name in scenario.cores if name != leader)
        scenario.world.cut(leader, other)
        status, _ = scenario.ask_now("GET", "/configuration", None, other)
        changed = scenario.world.task(
            scenario.operators, scenario.add_route("gen-round", 1, other), 30
        )
        self.assertEqual(status, changed.status)
        return status

    def test_operator_requests_are_routed_around_a_partition(self) -> None:
        self.assertEqual(200, self.status_through_a_node_cut_off_from_the_leader())
        with mock.patch.object(ControlNode, "other_control_nodes", lambda _node: []):
            self.assertEqual(503, self.status_through_a_node_cut_off_from_the_leader())

    def test_without_a_majority_of_disks_callers_are_rejected_at_once(self) -> None:
        """Nothing can be committed or served, but no caller is left waiting."""
        scenario = Scenario(4)
        scenario.set_up()
        scenario.world.run(2)
        for name in scenario.cores[:2]:
            scenario.world.kill(name, True)
        scenario.world.run(6)
        since = scenario.world.time
        for number, edge in enumerate(scenario.edges):
            for target in ("/covers/1", "/lookups/1"):
                scenario.world.task(
                    scenario.outside,
                    request_once(
                        scenario, f"{scenario.node(edge).host}:3", "GET", target, f"m{number}"
                    ),
                    10,
                )
            scenario.world.task(
                scenario.outside,
                request_once(
                    scenario, f"{scenario.node(edge).host}:3", "POST", "/orders/1", f"o{number}"
                ),
                10,
            )
        answers = [note for note in scenario.request_records if note.sent_at >= since]
        self.assertEqual({(503, "not-run")}, {(note.status, note.outcome) for note in answers})
        self.assertTrue(all(note.retry_after and note.seconds < 0.5 for note in answers))
        status, _ = scenario.ask_now("POST", "/changes", {"id": "x", "base": 1, "put": {}})
        self.assertIn(status, (503, 504))
        scenario.start(scenario.cores[0])
        self.assertTrue(
            scenario.world.run_until(
                lambda: all(scenario.node(edge).traffic.ready for edge in scenario.edges), 15
            )
        )
        self.assertEqual([], scenario.findings().violations)

    def test_a_delayed_reading_does_not_restore_a_server(self) -> None:
        def reading(requested_at: float, answered_at: float) -> ServerList:
            return ServerList("a", 0, [], requested_at, answered_at, 9.0)

        self.assertTrue(reading(2.0, 2.1).follows(reading(1.0, 1.9)))
        self.assertFalse(reading(1.8, 2.1).follows(reading(1.0, 1.9)))


def make_test(name: str, number: int) -> Callable[[FinalTests], None]:
    def test(case: FinalTests) -> None:
        result = run_final(1 + number % 3, name, before=number % 2)
        case.assertEqual([], result.findings.violations, f"{name}: {result.events}")
        case.assertGreater(result.findings.checked["final"], 0)

    return test


for number, final in enumerate(FINALS):
    method_name = f"test_service_returns_after_{final.replace('-', '_')}"
    setattr(FinalTests, method_name, make_test(final, number))
