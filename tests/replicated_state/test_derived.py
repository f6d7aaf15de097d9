"""Derived watches: created from served objects, probed by two machines per zone, used for steering.

The simulated deployment is set up like the users' platform: the configuration has no watches,
servers add a seal to successful responses, and edges are the probers.
"""

from typing import Any
from unittest import mock

import testtools

from ryelock.edge.process import TrafficNode
from ryelock.edge.rejections import RejectionResponder
from ryelock.edge.servers import Servers
from ryelock.edge.targets import ProberAssignment
from ryelock.events import WATCH_DERIVED, WATCH_ENDED
from ryelock.health import (
    EvaluationRules,
    History,
    ProbeResult,
    ProbeTarget,
    ZoneShares,
    evaluate,
    find_gone_watches,
    watch_fingerprint,
)
from ryelock.http import Fields, HttpExchange, ProtocolProfile, field
from ryelock.membership import Server, ServerList, Session
from ryelock.replicated_state import ReplicatedState, Watch, encode_command
from ryelock.settings import read_settings
from ryelock.testing.scenario import CONFIGURATION, Scenario
from ryelock.testing.simulated import SimNode, World
from ryelock.testing.stand_ins.servers import ServerBehavior, ServerStandIn

PROFILE = ProtocolProfile(
    identity=b"X-Order-Identity",
    deadline=b"Deadline-Remaining",
    seal=b"Server-Seal",
    expected=b"Expected-Instance",
    not_run=b"Not-Executed",
    labels=b"Object-Labels",
    fractions=True,
)
PLATFORM_SETTINGS: dict[str, object] = {
    "probe": True,
    "probers_chosen": 2,
    "derive_watches": True,
    "serve_lapsed": True,
    "reader_duty": True,
    "spread_region": True,
    "share_copies": True,
    "regions": "zone0=r,zone1=r",
    "probe_seconds": 2.0,
    "probe_timeout": 0.8,
    "verdict_quorum": 3,
    "verdict_rows": 5,
    "hold_seconds": 0.3,
    "settle_seconds": 0.6,
    "term_seconds": 1.5,
}
SERVICES = CONFIGURATION["services"]
ROUTES: dict[str, Any] = CONFIGURATION["routes"]  # type: ignore[assignment]
WATCH = Watch("r", "/r/1")
original_build = World.build
original_fields = ServerStandIn.fields
original_serve = ServerStandIn.serve


def build_with_profile(world: World, node: SimNode, role: str, settings: Any) -> Any:
    if role == "core":
        return original_build(world, node, role, settings)
    return TrafficNode(role, settings, node.scheduler, node.network, node.log, node.random, PROFILE)


def sealed_fields(server: ServerStandIn, target: str, revision: int) -> Fields:
    """Return response fields with a seal, and with the identity of the request if it has one."""
    identity = server.history[-1].identity.encode()
    return [
        *original_fields(server, target, revision),
        (b"Server-Seal", b"1"),
        *([(b"X-Order-Identity", identity)] if identity else []),
    ]


class WatchlessDeployment:
    """A running deployment whose configuration has no watches."""

    def __init__(self, seed: int, edges: int = 3, callers: int = 8, **settings: object) -> None:
        self.scenario = Scenario(
            seed, edges=edges, probers=0, settings={**PLATFORM_SETTINGS, **settings}
        )
        scenario, world = self.scenario, self.scenario.world
        scenario.start_all()
        assert world.run_until(lambda: bool(scenario.leader()), 30)
        response = world.task(
            scenario.operators,
            scenario.change("setup", 0, {"services": SERVICES, "routes": ROUTES}),
            30,
        )
        assert response.status == 200, response.status
        assert world.run_until(
            lambda: all(scenario.node(name).traffic.ready for name in scenario.edges), 30
        )
        scenario.operators.scheduler.create_task(scenario.watch_verdicts(), name="verdicts")
        scenario.start_callers(callers, 3.0, 0)

    @property
    def replicated_state(self) -> ReplicatedState:
        return self.scenario.node(self.scenario.leader()).core.replicated_state

    def zone_verdict(self, zone: str) -> str:
        zones: Any = self.replicated_state.verdict.get("zones", {})
        return str(zones.get(zone, {}).get("verdict", ""))

    def run_until(self, condition: Any, seconds: float) -> bool:
        return self.scenario.world.run_until(
            lambda: bool(self.scenario.leader()) and condition(), seconds
        )

    def change(self, **parts: object) -> None:
        version = self.replicated_state.version
        status, body = self.scenario.ask_now(
            "POST", "/changes", {"id": f"derived-{version}", "base": version, **parts}
        )
        assert status == 200, body

    def probe_results(self) -> list[tuple[str, ProbeResult]]:
        results = []
        for name in self.scenario.edges:
            prober = self.scenario.node(name).traffic.prober
            assert prober is not None
            results += [(name, result) for result in prober.results]
        return results

    def cut_off_servers(self, zone: int, edges: int) -> None:
        servers = [
            name for name in self.scenario.world.nodes if name.startswith(("pages", "desks"))
        ]
        for name in self.scenario.edges[zone * edges : (zone + 1) * edges]:
            for server in servers:
                self.scenario.world.cut(name, server)

    def served_fraction(self, seconds: float) -> float:
        """Run for a time; return the fraction of requests for covers with a complete response."""
        since = self.scenario.world.time
        self.scenario.world.run(seconds)
        records = [
            record
            for record in self.scenario.request_records
            if record.sent_at >= since and record.target.startswith("/covers")
        ]
        return sum(record.status == 200 and record.complete for record in records) / max(
            1, len(records)
        )


class DerivedCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for patch in (
            mock.patch.object(World, "build", build_with_profile),
            mock.patch.object(ServerStandIn, "fields", sealed_fields),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def assert_no_faults(self, deployment: WatchlessDeployment) -> None:
        self.assertEqual([], deployment.scenario.world.faults)


class DerivedWatchTests(DerivedCase):
    def test_a_watch_is_derived_from_a_served_object(self) -> None:
        deployment = WatchlessDeployment(1)
        self.assertTrue(deployment.run_until(lambda: deployment.replicated_state.derived, 10))
        watch = deployment.replicated_state.derived["covers"]
        self.assertEqual(("covers", "etag"), (watch.route, watch.dating))
        self.assertTrue(watch.object.startswith("/covers/"))
        self.assertEqual(["covers"], list(deployment.replicated_state.derived))
        self.assertTrue(
            deployment.run_until(
                lambda: (
                    deployment.zone_verdict("zone0") == "healthy"
                    and deployment.zone_verdict("zone1") == "healthy"
                ),
                20,
            )
        )
        deployment.scenario.world.run(1)
        nodes = [
            deployment.scenario.node(name)
            for name in deployment.scenario.alive(
                deployment.scenario.cores + deployment.scenario.edges
            )
        ]
        self.assertEqual(
            1,
            len(
                {
                    repr(node.inner.replicated_state.watches)
                    for node in nodes
                    if node.inner is not None
                }
            ),
        )
        for name in deployment.scenario.edges:
            handler = deployment.scenario.node(name).traffic.handler
            assert handler is not None
            self.assertEqual([], handler.served_objects.report())
        self.assertTrue(all(result.error == "" for _, result in deployment.probe_results()))
        probed = [request.target for request in deployment.scenario.history if not request.identity]
        self.assertGreater(len(probed), 2)
        self.assertEqual({watch.object}, set(probed))
        self.assert_no_faults(deployment)

    def test_no_watch_is_derived_if_the_setting_is_off(self) -> None:
        deployment = WatchlessDeployment(2, derive_watches=False)
        deployment.scenario.world.run(8)
        self.assertEqual({}, deployment.replicated_state.derived)
        self.assertEqual([], deployment.probe_results())
        self.assert_no_faults(deployment)

    def test_a_derived_watch_ends_with_its_route_or_for_a_configured_watch(self) -> None:
        deployment = WatchlessDeployment(3)
        self.assertTrue(deployment.run_until(lambda: deployment.replicated_state.derived, 10))
        first = watch_fingerprint(deployment.replicated_state.derived["covers"])
        deployment.change(put={"routes": {"plain": {**ROUTES["plain"], "share": 0.9}}})
        self.assertEqual(first, watch_fingerprint(deployment.replicated_state.derived["covers"]))
        deployment.change(put={"routes": {"covers": {**ROUTES["covers"], "lifetime_seconds": 3}}})
        self.assertTrue(deployment.run_until(lambda: deployment.replicated_state.derived, 10))
        self.assertNotEqual(first, watch_fingerprint(deployment.replicated_state.derived["covers"]))
        deployment.change(put={"watches": {"own": {"route": "plain", "object": "/plain/1"}}})
        deployment.scenario.world.run(3)
        self.assertEqual(["own"], list(deployment.replicated_state.watches))
        deployment.change(remove={"watches": ["own"]})
        self.assertTrue(deployment.run_until(lambda: deployment.replicated_state.derived, 10))
        deployment.change(put={"routes": {"covers": {"path": "/covers", "service": "pages"}}})
        deployment.scenario.world.run(3)
        self.assertEqual({}, deployment.replicated_state.watches)
        self.assert_no_faults(deployment)

    def test_a_watch_of_a_deleted_object_is_replaced_without_a_zone_being_down(self) -> None:
        gone: set[str] = set()

        async def serve(server: ServerStandIn, exchange: HttpExchange) -> None:
            if exchange.head.target.decode() in gone:
                identity = field(exchange.head.fields, b"x-order-identity") or b""
                named = [(b"X-Order-Identity", identity)] if identity else []
                await exchange.respond(404, named, b"")
                return
            await original_serve(server, exchange)

        with mock.patch.object(ServerStandIn, "serve", serve):
            deployment = WatchlessDeployment(4)
            self.assertTrue(
                deployment.run_until(lambda: deployment.zone_verdict("zone0") == "healthy", 20)
            )
            gone.add(deployment.replicated_state.derived["covers"].object)
            self.assertTrue(
                deployment.run_until(
                    lambda: (
                        deployment.replicated_state.derived
                        and deployment.replicated_state.derived["covers"].object not in gone
                    ),
                    30,
                )
            )
            self.assertTrue(
                deployment.run_until(lambda: deployment.zone_verdict("zone0") == "healthy", 20)
            )
        self.assertEqual([], deployment.scenario.downs)
        numbers = [
            number
            for name in deployment.scenario.cores
            for number, _ in deployment.scenario.node(name).log.records
            if number in (WATCH_DERIVED.number, WATCH_ENDED.number)
        ]
        self.assertEqual([1703, 1703, 1704], sorted(numbers))
        self.assert_no_faults(deployment)

    def test_a_success_without_a_seal_is_invalid(self) -> None:
        deployment = WatchlessDeployment(5)
        self.assertTrue(
            deployment.run_until(lambda: deployment.zone_verdict("zone0") == "healthy", 20)
        )
        since = deployment.scenario.world.time
        for name in deployment.scenario.edges:
            prober = deployment.scenario.node(name).traffic.prober
            assert prober is not None
            prober.profile = ProtocolProfile(seal=b"Another-Seal")
        deployment.scenario.world.run(6)
        late_results = [
            result
            for name, result in deployment.probe_results()
            if result.started_at - deployment.scenario.node(name).clock.zero > since + 1
        ]
        self.assertTrue(late_results)
        self.assertEqual(
            {(True, False, "no server's seal")},
            {(result.reachable, result.manifest_valid, result.error) for result in late_results},
        )

    def test_rejections_of_overloaded_servers_make_no_zone_down(self) -> None:
        async def serve(server: ServerStandIn, exchange: HttpExchange) -> None:
            if server.behavior != ServerBehavior.FAILING:
                await original_serve(server, exchange)
                return
            identity = field(exchange.head.fields, b"x-order-identity") or b""
            named = [(b"X-Order-Identity", identity)] if identity else []
            await exchange.respond(503, [*named, (b"Not-Executed", b"1")], b"")

        for detects_overload, expected in ((True, "healthy"), (False, "down")):
            with (
                mock.patch.object(ServerStandIn, "serve", serve),
                mock.patch.object(
                    RejectionResponder,
                    "is_at_capacity",
                    RejectionResponder.is_at_capacity
                    if detects_overload
                    else lambda *_arguments: False,
                ),
            ):
                deployment = WatchlessDeployment(8)
                deployment.scenario.world.run(12)
                self.assertEqual("healthy", deployment.zone_verdict("zone0"))
                for server in deployment.scenario.servers.values():
                    server.behavior = ServerBehavior.FAILING
                deployment.scenario.world.run(20)
                self.assertEqual(expected, deployment.zone_verdict("zone0"))

    def test_probes_of_an_uncached_route_reach_no_server(self) -> None:
        deployment = WatchlessDeployment(9)
        self.assertTrue(
            deployment.run_until(lambda: deployment.zone_verdict("zone0") == "healthy", 20)
        )
        for name in deployment.scenario.edges:
            prober = deployment.scenario.node(name).traffic.prober
            assert prober is not None
            prober.list_targets = lambda name=name: [  # type: ignore[misc]
                ProbeTarget(
                    "zone0",
                    edge,
                    deployment.scenario.node(edge).traffic.session.request_address,
                    "lookups",
                    Watch("lookups", "/lookups/77777"),
                    False,
                )
                for edge in deployment.scenario.edges
                if edge != name
            ]
        deployment.scenario.world.run(5)
        self.assertTrue(
            [result for _, result in deployment.probe_results() if result.watch == "lookups"]
        )
        self.assertEqual(
            [],
            [
                request
                for request in deployment.scenario.history
                if request.target == "/lookups/77777"
            ],
        )

    def test_a_cached_response_that_is_never_revalidated_makes_a_zone_stale(self) -> None:
        def may_reuse_without_cache_control(
            _copy: object, _route: object, fields: Fields, _now: float
        ) -> bool:
            return field(fields, b"cache-control") is None

        deployment = WatchlessDeployment(6, stale_seconds=4.0)
        deployment.change(
            put={"routes": {"covers": {"path": "/covers", "service": "pages", "cached": True}}}
        )
        for server in deployment.scenario.servers.values():
            server.lifetime = "max-age=3"
        self.assertTrue(deployment.run_until(lambda: deployment.replicated_state.derived, 10))
        target = deployment.replicated_state.derived["covers"].object
        deployment.scenario.world.run(8)
        self.assertNotEqual("stale", deployment.zone_verdict("zone0"))
        with mock.patch("ryelock.edge.cache_lookup.may_reuse", may_reuse_without_cache_control):
            deployment.scenario.objects["pages"].change(target, deployment.scenario.world.time)
            self.assertTrue(
                deployment.run_until(lambda: deployment.zone_verdict("zone0") == "stale", 30)
            )


class ReplicatedStateTests(testtools.TestCase):
    def replicated_state(self) -> ReplicatedState:
        replicated_state = ReplicatedState()
        replicated_state.apply(
            1,
            encode_command(
                "change",
                id="a",
                change={
                    "id": "a",
                    "base": 0,
                    "put": {
                        "services": SERVICES,
                        "routes": {
                            **ROUTES,
                            "albums": {"path": "/albums", "service": "pages", "cached": True},
                            "hosted": {
                                "path": "/h",
                                "service": "desks",
                                "cached": True,
                                "host": "shop.example",
                            },
                        },
                    },
                },
            ),
        )
        return replicated_state

    def test_replicas_derive_the_same_watches(self) -> None:
        places = {
            "covers": ["", "/covers/1"],
            "albums": ["", "/albums/2"],
            "plain": ["", "/plain/1"],
            "none": ["", "/none"],
            "hosted": ["", "/h/1"],
        }
        one, other = self.replicated_state(), self.replicated_state()
        one.apply(2, encode_command("derived", places=places))
        other.apply(2, encode_command("derived", places=dict(reversed(places.items()))))
        self.assertEqual(["albums"], list(one.derived))
        self.assertEqual(one.snapshot(), other.snapshot())
        restored = ReplicatedState()
        restored.restore(one.snapshot())
        self.assertEqual(
            (one.snapshot(), one.watches, one.derivable),
            (restored.snapshot(), restored.watches, restored.derivable),
        )
        one.apply(3, encode_command("derived", places={"hosted": ["shop.example", "/h/1"]}))
        self.assertEqual(({"hosted"}, {"covers", "albums"}), (set(one.derived), one.derivable))

    def test_a_malformed_command_changes_nothing(self) -> None:
        replicated_state = self.replicated_state()
        replicated_state.apply(2, encode_command("derived", places={"covers": ["", "/covers/1"]}))
        before = replicated_state.snapshot()
        unreadable: tuple[object, ...] = (
            None,
            3,
            [],
            {"covers": "x"},
            {"covers": ["", 3]},
            {"covers": []},
        )
        for places in unreadable:
            replicated_state.apply(2, encode_command("derived", places=places))
            self.assertEqual(before, replicated_state.snapshot())

    def test_an_older_snapshot_has_no_derived_watches(self) -> None:
        replicated_state = self.replicated_state()
        shared = replicated_state.shared_fields
        with mock.patch.object(
            ReplicatedState,
            "shared_fields",
            lambda _state: {key: value for key, value in shared().items() if key != "derived"},
        ):
            snapshot = replicated_state.snapshot()
        replicated_state.restore(snapshot)
        self.assertEqual(
            ({}, {"albums", "covers", "hosted"}),
            (replicated_state.derived, replicated_state.derivable),
        )


class EvaluationTests(testtools.TestCase):
    def probe_result(
        self, number: int, edge: str, error: str, outside: bool = False
    ) -> ProbeResult:
        result = ProbeResult(
            f"p{number % 2}",
            f"m{number % 2}",
            number,
            "a",
            edge,
            "w",
            outside,
            0.0,
            watch_fingerprint(WATCH),
        )
        result.started_at = float(number)
        result.reachable = True
        result.manifest_valid = result.object_fetchable = not error
        result.error = error
        return result

    def history(self, *results: ProbeResult) -> History:
        history = History(600.0)
        for result in results:
            history.add(result)
        return history

    def test_cross_zone_results_do_not_fill_the_window(self) -> None:
        history = self.history(
            self.probe_result(0, "e", ""),
            *(
                self.probe_result(number, "e", "manifest status 503", number > 4)
                for number in range(1, 12)
            ),
        )

        def found() -> str:
            return (
                evaluate(
                    {"a": ["e"]},
                    {"w": WATCH},
                    ZoneShares({"a": 1.0}, False),
                    history,
                    EvaluationRules(),
                    12.0,
                )
                .zones["a"]
                .status
            )

        self.assertEqual("down", found())
        window = History.window
        with mock.patch.object(
            History,
            "window",
            lambda history, target, now, count, own_zone_only=False: [
                result
                for result in window(history, target, now, count)
                if not (own_zone_only and result.cross_zone)
            ],
        ):
            self.assertNotEqual("down", found())

    def test_a_watch_is_gone_only_if_no_edge_can_fetch_its_object(self) -> None:
        not_found = "manifest status 404"
        watches = {"w": WATCH}
        results = [self.probe_result(number, "ef"[number % 2], not_found) for number in range(4)]
        self.assertEqual(
            {"w": watch_fingerprint(WATCH)},
            find_gone_watches(watches, self.history(*results), EvaluationRules(), 9.0),
        )
        self.assertEqual(
            {}, find_gone_watches(watches, self.history(*results[:2]), EvaluationRules(), 9.0)
        )
        self.assertEqual(
            {},
            find_gone_watches(
                watches,
                self.history(*results, self.probe_result(5, "g", "")),
                EvaluationRules(),
                9.0,
            ),
        )
        self.assertEqual(
            {},
            find_gone_watches(
                {"w": Watch("r", "/r/2")}, self.history(*results), EvaluationRules(), 9.0
            ),
        )


class ProberAssignmentTests(DerivedCase):
    def session(self, name: str, zone: str = "a", machine: str = "", ready: bool = True) -> Session:
        session = Session()
        session.name, session.zone, session.machine = name, zone, machine or name
        session.role, session.probes, session.ready = "edge", True, ready
        return session

    def assignment(self, *sessions: Session) -> ProberAssignment:
        return ProberAssignment(list(reversed(sessions)))

    def test_two_machines_probe_an_edge_and_others_replace_them(self) -> None:
        first, second, third, fourth = (self.session(name) for name in ("e1", "e2", "e3", "e4"))
        all_edges = self.assignment(first, second, third, fourth)
        self.assertEqual(["e1", "e2"], all_edges.probers_of(fourth, 2))
        self.assertEqual(["e2", "e3"], all_edges.probers_of(first, 2))
        self.assertEqual(["e2", "e3"], self.assignment(second, third, fourth).probers_of(fourth, 2))
        second.ready = False
        self.assertEqual(
            ["e1", "e3"], self.assignment(first, second, third, fourth).probers_of(fourth, 2)
        )

    def test_a_machine_counts_once_and_other_zones_fill_up(self) -> None:
        twins = [self.session("e1", machine="m"), self.session("e2", machine="m")]
        others = [self.session(name, "b") for name in ("f1", "f2", "f3")]
        edge = self.session("e3")
        self.assertEqual(["e1", "f1", "f2"], self.assignment(*twins, *others).probers_of(edge, 2))
        self.assertEqual(["f1", "f2"], self.assignment(*twins, *others).probers_of(twins[0], 2))

    def test_edges_that_are_not_ready_probe_if_there_are_no_others(self) -> None:
        sessions = [self.session(f"e{number}", ready=False) for number in (1, 2, 3)]
        self.assertEqual(["e1", "e2"], self.assignment(*sessions).probers_of(sessions[2], 2))

    def test_two_of_four_edges_probe_and_another_replaces_a_lost_one(self) -> None:
        deployment = WatchlessDeployment(7, edges=4)
        self.assertTrue(
            deployment.run_until(lambda: deployment.zone_verdict("zone0") == "healthy", 20)
        )
        edges = deployment.scenario.edges[:4]
        of_last = {
            name
            for name, result in deployment.probe_results()
            if result.edge == edges[3] and not result.cross_zone
        }
        self.assertEqual(set(edges[:2]), of_last)
        self.assertEqual(
            [], [result for name, result in deployment.probe_results() if name == edges[3]]
        )
        deployment.scenario.world.kill(edges[0])
        deployment.scenario.world.run(8)
        of_last = {
            name
            for name, result in deployment.probe_results()
            if result.edge == edges[3] and not result.cross_zone
        }
        self.assertIn(edges[2], of_last)
        self.assertEqual("healthy", deployment.zone_verdict("zone0"))
        self.assert_no_faults(deployment)


class SteeringTests(DerivedCase):
    """The edges of a zone cannot reach any server, which only derived watches reveal."""

    def served_fraction_after_cut(self, seed: int, edges: int, derives: bool = True) -> float:
        deployment = WatchlessDeployment(seed, edges=edges, derive_watches=derives)
        deployment.scenario.world.run(12)
        deployment.cut_off_servers(0, edges)
        deployment.scenario.world.run(20)
        fraction = deployment.served_fraction(10)
        self.assertEqual(derives, deployment.zone_verdict("zone0") == "down")
        self.assertNotEqual("down", deployment.zone_verdict("zone1"))
        ready = [deployment.scenario.node(name).traffic.ready for name in deployment.scenario.edges]
        self.assertEqual(
            [deployment.zone_verdict("zone0") != "down"] * edges + [True] * edges, ready
        )
        deployment.scenario.world.heal()
        self.assertTrue(
            deployment.run_until(
                lambda: all(
                    deployment.scenario.node(name).traffic.ready
                    for name in deployment.scenario.edges
                ),
                30,
            )
        )
        self.assert_no_faults(deployment)
        return fraction

    def test_verdicts_of_derived_watches_steer_callers(self) -> None:
        for seed, edges in ((10, 3), (11, 2)):
            self.assertGreater(self.served_fraction_after_cut(seed, edges), 0.98)

    def test_without_derived_watches_callers_are_not_steered(self) -> None:
        self.assertLess(self.served_fraction_after_cut(10, 3, derives=False), 0.8)

    def test_servers_of_a_down_zone_are_picked_last(self) -> None:
        for spread in (True, False):
            self.assertEqual(
                {"near", "other"},
                self.picked_servers({"b": "unknown", "c": "unknown"}, spread, "b", "c"),
            )
            self.assertEqual(
                {"other"}, self.picked_servers({"b": "down", "c": "healthy"}, spread, "b", "c")
            )
            self.assertEqual({"near"}, self.picked_servers({"b": "down"}, spread, "b"))
        self.assertEqual(
            {"near", "other"}, self.picked_servers({"b": "unknown", "c": "healthy"}, True, "b", "c")
        )

    def picked_servers(self, verdicts: dict[str, str], spread: bool, *zones: str) -> set[str]:
        settings = read_settings(
            "edge",
            "",
            {
                "name": "e",
                "zone": "a",
                "seeds": "10.0.0.1:1,10.0.0.2:1,10.0.0.3:1",
                "wire_address": "10.0.0.9:1",
                "control_address": "10.0.0.9:2",
                "order_address": "10.0.0.9:3",
                "spread_region": spread,
                "regions": "a=r,b=r,c=r",
            },
        )
        world = World(1)
        node = world.add("e", "e", "10.0.0.9")
        servers = Servers(node.scheduler, node.log, settings, node.random)
        names = dict(zip(("10.0.1.1:80", "10.0.1.2:80"), ("near", "other"), strict=True))
        servers.update(
            ServerList(
                "s",
                1,
                [
                    Server("pages", address, zone, "1", False)
                    for address, zone in zip(names, zones, strict=False)
                ],
                requested_at=0.0,
                answered_at=0.0,
                valid_until=1e9,
            )
        )
        picked = set()
        for _ in range(40):
            state = servers.pick("pages", set(), verdicts, None)
            assert state is not None
            picked.add(names[state.server.address])
        return picked
