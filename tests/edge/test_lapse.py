"""Serving after the lease expired, recovery after a power loss, graceful stop, and SIGHUP."""

import json
import os
import selectors
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

import testtools

from ryelock.consensus.election_timer import ElectionTimer
from ryelock.http import fetch
from ryelock.rate_limit import QuotaAllocator, QuotaRequest
from ryelock.testing.scenario import Scenario


def start_serve_lapsed(seed: int, **settings: object) -> Scenario:
    scenario = Scenario(
        seed,
        zones=2,
        edges=2,
        probers=0,
        settings={
            "serve_lapsed": True,
            "settle_seconds": 0.6,
            "probe_seconds": 600.0,
            "reader_duty": True,
            **settings,
        },
    )
    scenario.set_up()
    scenario.world.run(3.0)
    return scenario


def status_of(scenario: Scenario, edge: str, target: str) -> int:
    found = scenario.world.task(
        scenario.outside,
        fetch(
            scenario.outside.scheduler,
            scenario.outside.network,
            f"{scenario.node(edge).host}:3",
            b"GET",
            target.encode(),
            [(b"Host", b"site")],
            b"",
            5.0,
        ),
        20,
    )
    return found.ok[0].status if found.is_ok() else 0


class ServeLapsedTests(testtools.TestCase):
    def cut_off(self, scenario: Scenario, edge: str) -> None:
        for core in scenario.cores:
            scenario.world.cut(edge, core)
        scenario.world.run(6.0)

    def test_an_edge_that_is_cut_off_keeps_serving_with_serve_lapsed(self) -> None:
        scenario = start_serve_lapsed(1)
        edge = scenario.edges[0]
        self.cut_off(scenario, edge)
        node = scenario.node(edge).traffic
        expires_at = node.member.lease.expires_at
        assert expires_at is not None
        self.assertLess(expires_at, node.scheduler.now())
        for number in range(5):
            self.assertEqual(200, status_of(scenario, edge, f"/plain/{number}"))
        self.assertTrue(node.ready)

    def test_an_edge_that_is_cut_off_rejects_requests_by_default(self) -> None:
        scenario = start_serve_lapsed(1, serve_lapsed=False)
        edge = scenario.edges[0]
        self.cut_off(scenario, edge)
        self.assertEqual(503, status_of(scenario, edge, "/plain/1"))
        self.assertFalse(scenario.node(edge).traffic.ready)

    def test_an_edge_without_a_configuration_rejects_requests(self) -> None:
        scenario = start_serve_lapsed(2)
        edge = scenario.edges[0]
        scenario.world.kill(edge, True)
        for core in scenario.cores:
            scenario.world.cut(edge, core)
        scenario.start(edge)
        scenario.world.run(3.0)
        self.assertEqual(503, status_of(scenario, edge, "/plain/1"))
        self.assertFalse(scenario.node(edge).traffic.ready)

    def test_a_returning_edge_applies_the_changes_that_it_missed(self) -> None:
        scenario = start_serve_lapsed(3)
        edge = scenario.edges[0]
        self.cut_off(scenario, edge)
        changed = scenario.world.task(
            scenario.operators, scenario.add_route("later", 1, scenario.cores[0]), 20
        )
        self.assertEqual(200, changed.status)
        self.assertEqual(404, status_of(scenario, edge, "/later"))
        scenario.world.heal()
        scenario.world.run(2.0)
        self.assertEqual(200, status_of(scenario, edge, "/later"))

    def test_an_edge_that_is_cut_off_does_not_delay_a_change(self) -> None:
        scenario = start_serve_lapsed(4)
        for core in scenario.cores:
            scenario.world.cut(scenario.edges[0], core)
        before = scenario.world.time
        changed = scenario.world.task(
            scenario.operators, scenario.add_route("later", 1, scenario.cores[0]), 20
        )
        self.assertEqual(200, changed.status)
        self.assertLess(scenario.world.time - before, 1.0)


class PowerLossTests(testtools.TestCase):
    def recovery_seconds(self, scenario: Scenario) -> float:
        """Cut and restore power of all nodes; return the seconds until every edge serves again."""
        for name in (*scenario.cores, *scenario.edges):
            scenario.world.kill(name, True)
        scenario.world.run(1.0)
        for name in (*scenario.cores, *scenario.edges):
            scenario.start(name)
        started = scenario.world.time
        recovered = scenario.world.run_until(
            lambda: all(
                scenario.node(name).traffic.ready
                and (quota := scenario.node(name).traffic.quota) is not None
                and quota.held().get("pages", 0.0) > 0
                for name in scenario.edges
            ),
            20,
        )
        self.assertTrue(recovered)
        return scenario.world.time - started

    def test_all_edges_serve_before_an_election_of_the_usual_length_could_end(self) -> None:
        seconds = [self.recovery_seconds(start_serve_lapsed(seed)) for seed in range(10, 16)]
        self.assertLess(sorted(seconds)[len(seconds) // 2], 0.5, seconds)

    def test_without_serve_lapsed_shares_wait_for_a_lease(self) -> None:
        seconds = [
            self.recovery_seconds(start_serve_lapsed(seed, serve_lapsed=False))
            for seed in range(10, 13)
        ]
        self.assertGreater(min(seconds), 1.5, seconds)

    def test_the_usual_first_election_timeout_delays_recovery(self) -> None:
        """Check the effect of the short first timeout by removing it."""
        reset = ElectionTimer.reset

        def reset_to_usual(timer: ElectionTimer) -> None:
            last_leader_contact_at = timer.state.last_leader_contact_at
            timer.state.last_leader_contact_at = (
                -1e6 if last_leader_contact_at is None else last_leader_contact_at
            )
            reset(timer)
            timer.state.last_leader_contact_at = last_leader_contact_at

        with mock.patch.object(ElectionTimer, "reset", reset_to_usual):
            seconds = [self.recovery_seconds(start_serve_lapsed(seed)) for seed in range(10, 16)]
        self.assertGreater(sorted(seconds)[len(seconds) // 2], 0.7, seconds)


class SpareShareTests(testtools.TestCase):
    def test_a_spare_share_stays_within_the_rate_that_others_hold(self) -> None:
        """One edge holds the rate of 100/s; nine edges spend spare shares for 0.6 s.

        All together stay within 110% of the rate over 5 s.
        """
        allocator = QuotaAllocator()
        edges = [f"edge{number}" for number in range(10)]
        holder = QuotaRequest("s", 100.0, 0.2, "edge0", current_share=100.0)
        allocator.share(holder, edges, 0.0, 1.5, False, True)
        spare = sum(
            allocator.share(
                QuotaRequest("s", 100.0, 0.2, name, current_share=0.0), edges, 0.0, 1.5, False, True
            )
            for name in edges[1:]
        )
        self.assertGreater(spare, 0.0)
        self.assertLessEqual(100.0 * 5 + spare * 0.6, 100.0 * 5 * 1.1)

    def test_without_spare_shares_an_edge_that_holds_nothing_gets_nothing(self) -> None:
        request = QuotaRequest("s", 100.0, 0.2, "a", current_share=0.0)
        self.assertEqual(0.0, QuotaAllocator().share(request, ["a"], 0.0, 1.5, False))


class StopTests(testtools.TestCase):
    def test_a_stopping_edge_accepts_connections_while_it_lingers(self) -> None:
        scenario = start_serve_lapsed(5, linger_seconds=2.0, stop_seconds=5.0)
        edge = scenario.edges[0]
        node = scenario.node(edge)
        node.scheduler.create_task(node.traffic.stop(), name="stop")
        scenario.world.run(1.0)
        self.assertFalse(node.traffic.ready)
        self.assertEqual(200, status_of(scenario, edge, "/plain/1"))
        scenario.world.run(1.5)
        self.assertEqual(0, status_of(scenario, edge, "/plain/2"))


class SignalTests(testtools.TestCase):
    def test_sighup_does_not_end_the_process(self) -> None:
        folder = Path(tempfile.mkdtemp())
        file = folder / "core.json"
        file.write_text(
            json.dumps(
                {
                    "name": "core-1",
                    "zone": "north",
                    "seeds": ["127.0.0.1:1"],
                    "wire_address": "127.0.0.1:0",
                    "control_address": "127.0.0.1:0",
                    "data_folder": str(folder / "data"),
                }
            )
        )
        process = subprocess.Popen(
            [
                sys.executable,
                "-W",
                "ignore",
                "-m",
                "ryelock.cli",
                "core",
                "--settings",
                str(file),
            ],
            stderr=subprocess.PIPE,
        )
        try:
            assert process.stderr is not None
            self.assertIn(b"process started", self.read_log_line(process))
            os.kill(process.pid, signal.SIGHUP)
            os.kill(process.pid, signal.SIGTERM)
            self.assertEqual(0, process.wait(30))
        finally:
            process.kill()
            process.communicate()

    def read_log_line(self, process: "subprocess.Popen[bytes]") -> bytes:
        assert process.stderr is not None
        with selectors.DefaultSelector() as selector:
            selector.register(process.stderr, selectors.EVENT_READ)
            self.assertTrue(selector.select(30), "the process wrote no log line")
        return process.stderr.readline()
