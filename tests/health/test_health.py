"""Health status from real probes in the simulator: down, stale, unknown and healthy zones."""

from typing import Any
from unittest import mock

import testtools

from ryelock.control_plane.health_decisions import HealthDecisions
from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.events import ROLE_FENCED
from ryelock.health.health_status import TargetHealth
from ryelock.testing.checks import Findings, ProbeRecord, ZoneDown, check_down_verdicts
from ryelock.testing.scenario import CONFIGURATION, Scenario

JsonObject = dict[str, Any]


def verdict(scenario: Scenario) -> JsonObject:
    leader = scenario.leader()
    return dict(scenario.node(leader).core.replicated_state.verdict) if leader else {}


def zone_verdict(scenario: Scenario, zone: str) -> str:
    zones = verdict(scenario).get("zones")
    return str(zones[zone]["verdict"]) if zones and zone in zones else ""


def start_scenario(seed: int, **arguments: Any) -> Scenario:
    scenario = Scenario(seed, **arguments)
    scenario.set_up()
    scenario.start_callers(8, 3.0, 0)
    scenario.operators.scheduler.create_task(scenario.watch_verdicts(), name="verdicts")
    scenario.world.run(6)
    return scenario


def apply(scenario: Scenario, **parts: object) -> None:
    version = scenario.node(scenario.leader()).core.replicated_state.version
    found = scenario.world.task(
        scenario.operators, scenario.change(f"health-{version}", version, dict(parts)), 20
    )
    assert found.status == 200, found.status


class HealthTests(testtools.TestCase):
    def assert_no_violations(self, scenario: Scenario) -> None:
        self.assertEqual([], scenario.findings().violations)

    def test_a_failed_zone_is_down_and_recovers(self) -> None:
        for seed in (1, 2, 3):
            scenario = start_scenario(seed)
            self.assertEqual("healthy", zone_verdict(scenario, "zone0"))
            for name in scenario.edges[:2]:
                scenario.world.kill(name, seed % 2 == 0)
            found = scenario.world.run_until(
                lambda scenario=scenario: (  # type: ignore[misc]
                    zone_verdict(scenario, "zone0") == "down"
                ),
                15,
            )
            self.assertTrue(found, f"seed {seed}: {verdict(scenario)}")
            self.assertEqual("down", verdict(scenario)["network"])
            self.assertEqual("healthy", zone_verdict(scenario, "zone1"))
            zone = verdict(scenario)["zones"]["zone0"]
            self.assertTrue(all(len(target["failing_machines"]) >= 2 for target in zone["targets"]))
            self.assertTrue(zone["evidence"])
            for name in scenario.edges[:2]:
                scenario.start(name)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario: (  # type: ignore
                        zone_verdict(scenario, "zone0") == "healthy"
                    ),
                    15,
                )
            )
            self.assert_no_violations(scenario)

    def test_a_zone_that_fails_with_the_leader_is_down(self) -> None:
        for seed in (19, 20, 21):
            scenario = start_scenario(seed)
            for name in [*scenario.edges[:2], scenario.leader()]:
                scenario.world.kill(name, True)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario: (  # type: ignore[misc]
                        zone_verdict(scenario, "zone0") == "down"
                    ),
                    25,
                ),
                f"seed {seed}",
            )
            self.assert_no_violations(scenario)

    def test_an_edge_that_left_is_not_lost(self) -> None:
        scenario = start_scenario(22)
        node = scenario.node(scenario.edges[0])
        scenario.world.task(node, node.traffic.stop(), 20)
        scenario.world.kill(scenario.edges[0])
        scenario.world.run(8)
        for name in scenario.cores:
            self.assertEqual({}, scenario.node(name).core.membership.lost())
        self.assert_no_violations(scenario)

    def test_one_failed_edge_of_four_does_not_make_a_zone_down(self) -> None:
        scenario = start_scenario(4, zones=1, edges=4)
        scenario.world.kill(scenario.edges[0])
        for _ in range(20):
            scenario.world.run(1)
            self.assertEqual("healthy", zone_verdict(scenario, "zone0"))
        self.assertIn(scenario.edges[0], verdict(scenario)["zones"]["zone0"]["reason"])
        self.assert_no_violations(scenario)

    def test_a_wrong_watch_proves_nothing(self) -> None:
        scenario = start_scenario(5)
        apply(
            scenario,
            watches={"wrong": {"route": "plain", "object": "/plain/none", "marker": "NEVER THERE"}},
        )
        for _ in range(15):
            scenario.world.run(1)
            self.assertEqual("healthy", zone_verdict(scenario, "zone0"))
        version = scenario.node(scenario.leader()).core.replicated_state.version
        status, _ = scenario.ask_now(
            "POST",
            "/changes",
            {"id": "only-wrong", "base": version, "remove": {"watches": ["covers"]}},
        )
        self.assertEqual(200, status)
        scenario.world.run(15)
        self.assertEqual("unknown", zone_verdict(scenario, "zone0"))
        self.assert_no_violations(scenario)

    def test_failures_seen_by_one_machine_make_no_zone_down(self) -> None:
        scenario = start_scenario(6, zones=1, probers=1)
        for name in scenario.edges:
            scenario.world.kill(name)
        scenario.world.run(20)
        self.assertNotEqual("down", zone_verdict(scenario, "zone0"))
        self.assert_no_violations(scenario)

    def test_probers_of_other_zones_substitute_for_lost_ones(self) -> None:
        for seed in (17, 18):
            scenario = start_scenario(seed)
            for name in [*scenario.edges[:2], *scenario.probers[:2]]:
                scenario.world.kill(name, True)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario: (  # type: ignore[misc]
                        zone_verdict(scenario, "zone0") == "down"
                    ),
                    25,
                ),
                f"seed {seed}",
            )
            self.assertEqual("healthy", zone_verdict(scenario, "zone1"))
            self.assert_no_violations(scenario)

    def test_failures_of_a_disconnected_prober_do_not_count(self) -> None:
        scenario = start_scenario(7)
        disconnected = scenario.probers[0]
        for edge in scenario.edges:
            scenario.world.cut(disconnected, edge)
        for _ in range(45):
            scenario.world.run(1)
            self.assertEqual("healthy", zone_verdict(scenario, "zone0"))
        targets = verdict(scenario)["zones"]["zone0"]["targets"]
        self.assertEqual([], [target for target in targets if target["failing_machines"]])
        self.assert_no_violations(scenario)

    def test_a_stale_zone_is_found_by_the_etag_and_by_the_servers_dates(self) -> None:
        for dating in ("etag", "date", "last-modified"):
            scenario = Scenario(8, settings={"stale_seconds": 4.0})
            scenario.set_up()
            for server in scenario.servers.values():
                server.lifetime = "max-age=600"
            scenario.start_callers(8, 3.0, 0)
            routes = dict(CONFIGURATION["routes"]["covers"])  # type: ignore[index]
            apply(
                scenario,
                routes={"covers": {**routes, "lifetime_seconds": 600}},
                watches={
                    "covers": {
                        "route": "covers",
                        "object": "/covers/watched",
                        "marker": "OBJECT",
                        "dating": dating,
                    }
                },
            )
            for server in scenario.servers.values():
                server.modified = dating == "last-modified"
            scenario.objects["pages"].change("/covers/watched", scenario.world.time + 1.8e9)
            scenario.world.run(3)
            self.assertNotEqual("stale", zone_verdict(scenario, "zone0"), dating)
            scenario.objects["pages"].change("/covers/watched", scenario.world.time + 1.8e9)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario: (  # type: ignore[misc]
                        zone_verdict(scenario, "zone0") == "stale"
                    ),
                    30,
                ),
                dating,
            )
            self.assertEqual("stale", verdict(scenario)["network"])

    def test_unknown_age_is_no_failure(self) -> None:
        scenario = start_scenario(9, settings={"stale_seconds": 2.0})
        for server in scenario.servers.values():
            server.tagged = server.dated = False
        status, _ = scenario.ask_now(
            "POST", "/purges", {"id": "undated", "scopes": [{"prefix": "/"}]}
        )
        self.assertEqual(200, status)
        scenario.world.run(60)
        zone = verdict(scenario)["zones"]["zone0"]
        self.assertEqual("healthy", zone["verdict"])
        self.assertIsNone(zone["worst_age_seconds"])
        self.assert_no_violations(scenario)

    def test_wrong_clocks_make_nothing_stale(self) -> None:
        scenario = start_scenario(10, settings={"stale_seconds": 20.0})
        routes = dict(CONFIGURATION["routes"]["covers"])  # type: ignore[index]
        apply(
            scenario,
            routes={"covers": routes},
            watches={"covers": {"route": "covers", "object": "/covers/watched", "dating": "date"}},
        )
        for number, node in enumerate(scenario.world.nodes.values()):
            node.clock.error = [0.0, 400.0, -400.0][number % 3]
        for server in scenario.servers.values():
            server.clock_error = 900.0
        scenario.world.run(5)
        for _ in range(15):
            scenario.world.run(1)
            self.assertEqual("healthy", zone_verdict(scenario, "zone0"))
        self.assert_no_violations(scenario)

    def test_weights_follow_visitors(self) -> None:
        scenario = Scenario(11)
        scenario.set_up()
        zone0_edges = scenario.edges[:2]
        with mock.patch.object(Scenario, "ready_edges", lambda _scenario: zone0_edges):
            scenario.start_callers(8, 5.0, 0)
            scenario.world.run(6)
            self.assertFalse(verdict(scenario)["weights_assumed"])
            for name in scenario.edges[2:]:
                scenario.world.kill(name)
            self.assertTrue(
                scenario.world.run_until(lambda: zone_verdict(scenario, "zone1") == "down", 15)
            )
        self.assertEqual("stale", verdict(scenario)["network"])
        self.assertLess(verdict(scenario)["down_weight"], 0.15)

    def test_the_aggregator_is_replaced_and_fenced(self) -> None:
        for seed in (12, 13, 14):
            scenario = start_scenario(seed)
            replicated_state = scenario.node(scenario.leader()).core.replicated_state
            role = replicated_state.singletons["aggregator"]
            scenario.world.freeze(role.owner, True)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario,  # type: ignore
                    fencing_token=role.fencing_token: (
                        scenario.leader() != ""
                        and scenario.node(scenario.leader())
                        .core.replicated_state.singletons["aggregator"]
                        .fencing_token
                        > fencing_token
                    ),
                    20,
                )
            )
            scenario.world.run(5)
            self.assertEqual("healthy", zone_verdict(scenario, "zone0"))
            before = verdict(scenario)["epoch"]
            former_owner = scenario.node(role.owner)
            scenario.world.freeze(role.owner, False)
            scenario.world.run(0.2)
            leader = scenario.node(scenario.leader())
            committed = scenario.world.task(
                former_owner,
                former_owner.core.decisions.submit(
                    {
                        "clock": [leader.core.consensus.disk, leader.scheduler.now()],
                        "kind": "decision",
                        "holder": role.owner,
                        "epoch": role.fencing_token,
                        "verdict": {"network": "down", "zones": {}},
                    }
                ),
                10,
            )
            self.assertFalse(committed)
            scenario.world.run(3)
            self.assertGreaterEqual(verdict(scenario)["epoch"], before)
            self.assertNotEqual("down", verdict(scenario)["network"])
            self.assertIn(ROLE_FENCED.number, [number for number, _ in former_owner.log.records])
            self.assert_no_violations(scenario)

    def test_edges_of_a_down_zone_are_not_ready_while_another_serves(self) -> None:
        scenario = start_scenario(15)
        servers = [name for name in scenario.world.nodes if name.startswith(("pages", "desks"))]
        for name in scenario.edges[:2]:
            for server in servers:
                scenario.world.cut(name, server)
        self.assertTrue(
            scenario.world.run_until(lambda: zone_verdict(scenario, "zone0") == "down", 20)
        )
        scenario.world.run(1)
        self.assertEqual(
            [False, False, True, True],
            [scenario.node(name).traffic.ready for name in scenario.edges],
        )
        for name in scenario.edges[2:]:
            for server in servers:
                scenario.world.cut(name, server)
        self.assertTrue(
            scenario.world.run_until(lambda: zone_verdict(scenario, "zone1") == "down", 20)
        )
        scenario.world.run(1)
        self.assertTrue(all(scenario.node(name).traffic.ready for name in scenario.edges))
        self.assert_no_violations(scenario)

    def test_drain_declines_what_the_network_needs(self) -> None:
        scenario = start_scenario(16)
        for name in scenario.edges[2:]:
            scenario.world.kill(name)
        self.assertTrue(
            scenario.world.run_until(lambda: zone_verdict(scenario, "zone1") == "down", 20)
        )
        status, answer = scenario.ask_now("POST", "/drains", {"id": "d1", "target": "zone:zone0"})
        self.assertEqual((409, "declined"), (status, answer["status"]))
        status, _ = scenario.ask_now(
            "POST", "/drains", {"id": "d2", "target": "zone:zone0", "force": True}
        )
        self.assertEqual(200, status)
        scenario.world.run(0.5)
        self.assertFalse(any(scenario.node(name).traffic.ready for name in scenario.edges[:2]))
        status, _ = scenario.ask_now("POST", "/recoveries", {"id": "r1", "target": "zone:zone0"})
        self.assertEqual(200, status)
        scenario.world.run(0.5)
        self.assertTrue(all(scenario.node(name).traffic.ready for name in scenario.edges[:2]))
        status, _ = scenario.ask_now("POST", "/drains", {"id": "d3", "target": scenario.edges[0]})
        self.assertEqual(200, status)
        kinds = [
            record["kind"]
            for record in scenario.node(scenario.leader()).core.replicated_state.decisions
        ]
        self.assertEqual(
            ["drain", "recover", "drain"], [kind for kind in kinds if kind != "verdict"]
        )

    def test_without_a_quorum_the_checker_finds_violations(self) -> None:
        original = TargetHealth.__init__

        def without_quorum(target: Any, *arguments: Any) -> None:
            original(target, *arguments)
            target.failed = target.failure_count >= 1

        with (
            mock.patch.object(TargetHealth, "__init__", without_quorum),
            mock.patch("ryelock.health.evaluation.disconnected_probers", lambda *_rest: set()),
        ):
            scenario = start_scenario(7)
            for edge in scenario.edges:
                scenario.world.cut(scenario.probers[0], edge)
            scenario.world.run(10)
        rules = {line.partition(":")[0] for line in scenario.findings().violations}
        self.assertIn("downs", rules)

    def failed_probes_under_overload(self, seed: int) -> int:
        """Return the failed probes at six times a service's rate, without any other fault."""
        scenario = Scenario(seed, settings={"probe_seconds": 2.0, "probe_timeout": 1.9})
        scenario.service_rates = {"pages": 40.0, "desks": 20.0}
        scenario.set_up()
        apply(scenario, services={"pages": {"rate": 40, "answer_seconds": 2}})
        scenario.operators.scheduler.create_task(scenario.watch_verdicts(), name="verdicts")
        scenario.world.run(8)
        since = scenario.world.time
        scenario.start_callers(80, 3.0, 0)
        scenario.world.run(25)
        self.assert_no_violations(scenario)
        self.assertEqual([], scenario.downs)
        return sum(probe.failed and probe.at >= since for probe in scenario.probe_records())

    def test_probes_take_precedence_under_overload(self) -> None:
        failed = sum(self.failed_probes_under_overload(seed) for seed in (1, 2, 3))
        original = AdmissionQueue.acquire

        async def acquire_without_precedence(
            queue: AdmissionQueue, route: str, share: float, queue_timeout: float, _first: bool
        ) -> Any:
            return await original(queue, route, share, queue_timeout, False)

        with mock.patch.object(AdmissionQueue, "acquire", acquire_without_precedence):
            failed_without_precedence = sum(
                self.failed_probes_under_overload(seed) for seed in (1, 2, 3)
            )
        self.assertGreater(failed_without_precedence, 5 * max(1, failed))

    def test_only_probes_with_a_members_secret_are_accepted(self) -> None:
        scenario = start_scenario(60)
        node = scenario.node(scenario.edges[0]).traffic
        assert node.handler is not None
        secret = scenario.node(scenario.probers[0]).traffic.session.probe_secret
        name = scenario.probers[0].encode()
        self.assertTrue(node.handler.router.is_probe(name + b" " + secret.encode()))
        for credentials in (None, b"", b"x", name, name + b" ", name + b" 0123456789abcdef"):
            self.assertFalse(node.handler.router.is_probe(credentials))

    def test_the_checker_finds_unjustified_down_statuses(self) -> None:
        def failed_results(count: int, machines: int) -> list[ProbeRecord]:
            return [
                ProbeRecord(
                    10.0 + number,
                    "e",
                    "w",
                    f"m{number % machines}",
                    f"p{number % machines}",
                    number,
                    True,
                )
                for number in range(count)
            ]

        def evidence_of(probed: list[ProbeRecord], at: float) -> list[JsonObject]:
            return [
                {
                    "prober": record.prober,
                    "machine": record.machine,
                    "sequence": record.sequence,
                    "seconds_ago": at - record.at,
                }
                for record in probed
            ]

        def is_violation(
            probed: list[ProbeRecord], evidence: list[JsonObject], at: float = 15.0
        ) -> bool:
            findings = Findings()
            check_down_verdicts(
                findings,
                [ZoneDown(at, "z", ["e"], [{"edge": "e", "watch": "w", "failed_rows": evidence}])],
                probed,
                late=2.5,
            )
            return bool(findings.violations)

        good = failed_results(4, 2)
        self.assertFalse(is_violation(good, evidence_of(good, 15.0)))
        self.assertTrue(is_violation(good, evidence_of(good[:2], 15.0)), "only two failures")
        self.assertTrue(
            is_violation(failed_results(4, 1), evidence_of(failed_results(4, 1), 15.0)),
            "only one machine",
        )
        self.assertTrue(
            is_violation(good[1:], evidence_of(good, 15.0)), "a probe that did not take place"
        )
        self.assertTrue(
            is_violation(good, evidence_of([*good[:2], good[0]], 15.0)), "the same probe twice"
        )
        self.assertTrue(is_violation(good, evidence_of(good, 15.0), 20.0), "an outdated verdict")
        good[3].failed = False
        self.assertTrue(is_violation(good, evidence_of(good, 15.0)), "a probe that did not fail")

    def test_an_outdated_verdict_is_rejected(self) -> None:
        """A decision is delayed by a network fault while its fencing token is still valid."""
        for checked, expected in ((True, False), (False, True)):
            with mock.patch.object(
                HealthDecisions,
                "is_recent",
                HealthDecisions.is_recent if checked else lambda *_arguments: True,
            ):
                violated = any(self.outdated_verdict_commits(seed) for seed in range(30, 36))
            self.assertEqual(expected, violated)

    def outdated_verdict_commits(self, seed: int) -> bool:
        """Delay a decision that a zone is down; return True if it violates the down rule."""
        scenario = start_scenario(seed)
        scenario.max_evaluation_seconds = 0.5
        leader = scenario.leader()
        owner = scenario.node(leader).core.replicated_state.singletons["aggregator"].owner
        if owner == leader:
            return False
        for name in scenario.edges[:2]:
            scenario.world.kill(name)
        aggregator = scenario.node(owner).core.aggregator
        scenario.world.run_until(lambda: aggregator.evaluate().zones["zone0"].status == "down", 9)
        scenario.world.cut(owner, leader, False)
        scenario.world.run(2.95)
        scenario.world.heal()
        scenario.world.run(4.0)
        return any(line.startswith("downs") for line in scenario.findings().violations)

    def test_partial_faults_make_no_zone_down(self) -> None:
        for number, inject_fault in enumerate(
            (
                isolated_edge,
                isolated_prober,
                prober_cut_one_way,
                one_prober_left,
                failures_with_unknown_ages,
                wrong_clocks,
                changed_watch,
            )
        ):
            scenario = start_scenario(40 + number)
            inject_fault(scenario)
            for _ in range(16):
                scenario.world.run(1)
                for zone in scenario.zones:
                    self.assertNotEqual("down", zone_verdict(scenario, zone), inject_fault.__name__)
            self.assert_no_violations(scenario)

    def test_the_published_defaults_find_only_a_failed_zone(self) -> None:
        for seed in (50, 51):
            scenario = start_scenario(seed, settings={"probe_seconds": 30.0, "probe_timeout": 6.0})
            scenario.world.run(130)
            for zone in scenario.zones:
                self.assertEqual("healthy", zone_verdict(scenario, zone))
            for name in scenario.edges[:2]:
                scenario.world.kill(name, True)
            self.assertTrue(
                scenario.world.run_until(
                    lambda scenario=scenario: (  # type: ignore
                        zone_verdict(scenario, "zone0") == "down"
                    ),
                    120,
                )
            )
            self.assertEqual("healthy", zone_verdict(scenario, "zone1"))
            self.assert_no_violations(scenario)


def isolated_edge(scenario: Scenario) -> None:
    scenario.world.isolate(scenario.edges[0])


def isolated_prober(scenario: Scenario) -> None:
    scenario.world.isolate(scenario.probers[0])


def prober_cut_one_way(scenario: Scenario) -> None:
    for edge in scenario.edges:
        scenario.world.cut(edge, scenario.probers[0], False)


def one_prober_left(scenario: Scenario) -> None:
    """Kill a zone's edges and all probers but one, so that no other can substitute."""
    for name in [*scenario.edges[:2], *scenario.probers[1:]]:
        scenario.world.kill(name)


def failures_with_unknown_ages(scenario: Scenario) -> None:
    for server in list(scenario.servers.values())[::2]:
        server.tagged = server.dated = False
    scenario.world.kill(scenario.edges[0])


def wrong_clocks(scenario: Scenario) -> None:
    for number, node in enumerate(scenario.world.nodes.values()):
        node.clock.error = [0.0, 400.0, -4000.0][number % 3]
    scenario.world.kill(scenario.edges[1])


def changed_watch(scenario: Scenario) -> None:
    apply(
        scenario,
        watches={
            "covers": {
                "route": "covers",
                "object": "/covers/other",
                "marker": "NOT THERE",
                "dating": "etag",
            }
        },
    )
