"""The soak: its plans repeat by seed, its judge finds each broken rule, and a short run holds."""

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import cast

from ryelock.runtime import Scheduler
from ryelock.testing.checks import Findings
from ryelock.testing.processes.fleet import Fleet, Process
from ryelock.testing.soak.clients import CLIENT_TIMEOUT_SECONDS, SoakRequest
from ryelock.testing.soak.judging import MAX_CROSSING_SECONDS, RequestJudge, judge
from ryelock.testing.soak.plan import FleetSize, SeriesKind, draw_plan
from ryelock.testing.soak.processes import Span, Supervisor
from ryelock.testing.soak.run import run_plan
from ryelock.testing.soak.servers import Arrival
from ryelock.testing.stand_ins.callers import COMPLETE, RequestRecord

SHORT_RUN_SEEDS = (1, 2)
SHORT_RUN_SECONDS = 15.0
CUT = "link ended before the answer"
PLANS = 60


class PlanTests(unittest.TestCase):
    def test_a_seed_stands_for_one_plan(self) -> None:
        for seed in range(PLANS):
            self.assertEqual(draw_plan(seed, FleetSize.SMALL), draw_plan(seed, FleetSize.SMALL))

    def test_every_kind_of_series_is_drawn(self) -> None:
        drawn = {
            series.kind
            for seed in range(PLANS)
            for series in draw_plan(seed, FleetSize.SMALL).series
        }
        self.assertEqual(set(SeriesKind), drawn)

    def test_each_plan_terminates_edges_and_changes_the_configuration(self) -> None:
        for seed in range(PLANS):
            kinds = {series.kind for series in draw_plan(seed, FleetSize.SMALL).series}
            self.assertLessEqual({SeriesKind.TERMINATE_EDGES, SeriesKind.CHANGE}, kinds)


class JudgeTests(unittest.TestCase):
    """Each violation that is injected is found, and what the rules allow is not."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        process = Process("edge-1", "edge", "north", "127.0.0.1", Path(folder.name))
        process.log.write_text("")
        fleet = cast("Fleet", type("FleetOfOne", (), {"processes": {"edge-1": process}})())
        self.process = process
        self.supervisor = Supervisor(cast("Scheduler", None), fleet)

    def violations(
        self, ending: str, status: int, seconds: float, arrivals: int = 1, method: str = "GET"
    ) -> list[str]:
        """Judge one request that was sent at 10 s."""
        record = RequestRecord(10.0, "127.0.0.1:1", method, "/status/1", "c1-1", status)
        record.ending = ending
        record.complete = ending == COMPLETE
        found = Findings()
        at_servers = {"c1-1": [Arrival(10.1, "127.0.0.2:1", 12.0)] * arrivals}
        judge_of_one = RequestJudge(found, self.supervisor, at_servers)
        judge_of_one.check(SoakRequest("edge-1", record, 10.0 + seconds))
        return [text.partition(":")[0] for text in found.violations]

    def test_a_request_that_was_passed_on_is_lost(self) -> None:
        self.assertEqual(["lost"], self.violations(CUT, 0, 0.1))
        self.assertEqual(["lost"], self.violations(CUT, 0, 0.1, method="POST"))
        self.assertEqual(["lost"], self.violations(CUT, 200, 0.1))

    def test_a_request_that_crosses_a_close_is_not_lost(self) -> None:
        self.assertEqual([], self.violations(CUT, 0, 0.1, arrivals=0))
        self.assertEqual(["lost"], self.violations(CUT, 0, MAX_CROSSING_SECONDS + 0.1, arrivals=0))

    def test_an_error_in_place_of_a_server_at_work(self) -> None:
        for status in (502, 503, 504):
            self.assertEqual(["answered in place"], self.violations(COMPLETE, status, 1.0))
            self.assertEqual([], self.violations(COMPLETE, status, 1.0, arrivals=0))
        self.assertEqual([], self.violations(COMPLETE, 200, 1.0))

    def test_a_request_that_is_held(self) -> None:
        self.assertEqual(["held"], self.violations(COMPLETE, 200, CLIENT_TIMEOUT_SECONDS))

    def test_a_crash_excuses_only_its_own_time(self) -> None:
        crashes = self.supervisor.processes["edge-1"].crashes
        crashes.append(Span(20.0, 25.0))
        self.assertEqual(["lost"], self.violations(CUT, 0, 0.1))
        crashes.append(Span(9.0, 10.05))
        self.assertEqual([], self.violations(CUT, 0, 0.1))

    def test_faults_of_processes(self) -> None:
        self.supervisor.faults.append("edge-1 ended by itself with 1")
        event = {"event": 1004, "task": "signals", "fault": "KeyError()"}
        self.process.log.write_text(json.dumps(event) + "\n")
        found = judge([], {}, [], {}, {}, self.supervisor)
        self.assertEqual(
            [
                "process: edge-1 ended by itself with 1",
                "process: edge-1: task signals: KeyError()",
            ],
            found.violations,
        )


class ShortRunTests(unittest.TestCase):
    def test_real_processes_keep_the_rules_under_signals_restarts_and_changes(self) -> None:
        for seed in SHORT_RUN_SEEDS:
            result = run_plan(draw_plan(seed, FleetSize.SMALL, SHORT_RUN_SECONDS))
            self.assertEqual([], result.findings.violations, result.report())
            self.assertGreater(result.requests, 0)
            self.assertGreater(result.changes, 0)


if __name__ == "__main__":
    unittest.main()
