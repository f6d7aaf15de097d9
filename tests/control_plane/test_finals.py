"""Final losses: nothing is mended, and service is back for all who go by readiness."""

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
    def broken(self, name: str, seed: int = 1) -> set[str]:
        ended = run_final(seed, name)
        return {line.partition(":")[0] for line in ended.findings.violations}

    def test_only_the_leaders_reading_is_not_enough(self) -> None:
        with mock.patch.object(PlatformReader, "receive_from_peer", lambda *_arguments: None):
            self.assertIn("final", self.broken("listing-out-of-leaders-reach"))

    def test_an_edge_that_lost_its_term_must_not_say_ready(self) -> None:
        plain = RejectionResponder.reject

        async def decline(
            responder: RejectionResponder, exchange: Any, request: Any, failure: Any
        ) -> Any:
            if failure.reason == "no term: cut off":
                await responder.context.scheduler.sleep(20.0)
            await plain(responder, exchange, request, failure)

        with (
            mock.patch.object(NodeReadiness, "not_ready_reason", property(lambda _node: "")),
            mock.patch.object(RejectionResponder, "reject", decline),
        ):
            self.assertIn("final", self.broken("edge-cut-off"))

    def through_a_core_that_is_cut_from_the_leader(self) -> int:
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

    def test_operators_find_a_way_round_a_cut(self) -> None:
        self.assertEqual(200, self.through_a_core_that_is_cut_from_the_leader())
        with mock.patch.object(ControlNode, "other_control_nodes", lambda _node: []):
            self.assertEqual(503, self.through_a_core_that_is_cut_from_the_leader())

    def test_without_a_majority_of_disks_callers_are_told_at_once(self) -> None:
        """What no agreement gets over: nothing is served, and nobody is left waiting."""
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
        told = [one for one in scenario.notes if one.sent_at >= since]
        self.assertEqual({(503, "not-run")}, {(one.status, one.outcome) for one in told})
        self.assertTrue(all(one.retry_after and one.seconds < 0.5 for one in told))
        status, _ = scenario.ask_now("POST", "/changes", {"id": "x", "base": 1, "put": {}})
        self.assertIn(status, (503, 504))
        scenario.start(scenario.cores[0])
        self.assertTrue(
            scenario.world.run_until(
                lambda: all(scenario.node(edge).traffic.ready for edge in scenario.edges), 15
            )
        )
        self.assertEqual([], scenario.findings().violations)

    def test_a_late_reading_brings_no_server_back(self) -> None:
        def listing(since: float, seen: float, version: int = 0) -> ServerList:
            return ServerList("a", version, [], since, seen, 9.0)

        self.assertTrue(listing(2.0, 2.1).follows(listing(1.0, 1.9)))
        self.assertFalse(listing(1.8, 2.1).follows(listing(1.0, 1.9)))


def holds(name: str, number: int) -> Callable[[FinalTests], None]:
    def test(case: FinalTests) -> None:
        ended = run_final(1 + number % 3, name, before=number % 2)
        case.assertEqual([], ended.findings.violations, f"{name}: {ended.happened}")
        case.assertGreater(ended.findings.checked["final"], 0)

    return test


for place, final in enumerate(FINALS):
    setattr(FinalTests, f"test_got_over_{final.replace('-', '_')}", holds(final, place))
