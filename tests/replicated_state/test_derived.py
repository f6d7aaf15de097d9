"""Watches that nobody wrote: made up of what edges served, probed by two machines a zone, and what
their verdicts change. The fleet is set up as the users' platform is: its configuration names only
routes, servers seal their successes, edges are the probers."""

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

DIALECT = ProtocolProfile(
    identity=b"X-Order-Identity",
    deadline=b"Deadline-Remaining",
    seal=b"Server-Seal",
    expected=b"Expected-Instance",
    not_run=b"Not-Executed",
    labels=b"Object-Labels",
    fractions=True,
)
PLATFORM: dict[str, object] = {
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
build = World.build
plain_fields = ServerStandIn.fields
plain_serve = ServerStandIn.serve


def speaking_build(world: World, node: SimNode, role: str, settings: Any) -> Any:
    if role == "core":
        return build(world, node, role, settings)
    return TrafficNode(role, settings, node.scheduler, node.network, node.log, node.random, DIALECT)


def sealed_fields(server: ServerStandIn, target: str, revision: int) -> Fields:
    """An answer bears its seal and its order's name, where a caller gave it one."""
    named = server.history[-1].identity.encode()
    return [
        *plain_fields(server, target, revision),
        (b"Server-Seal", b"1"),
        *([(b"X-Order-Identity", named)] if named else []),
    ]


class Derived:
    """A fleet whose operator writes no watches."""

    def __init__(self, seed: int, edges: int = 3, callers: int = 8, **settings: object) -> None:
        self.scenario = Scenario(seed, edges=edges, probers=0, settings={**PLATFORM, **settings})
        scenario, world = self.scenario, self.scenario.world
        scenario.start_all()
        assert world.run_until(lambda: bool(scenario.leader()), 30)
        found = world.task(
            scenario.operators,
            scenario.change("setup", 0, {"services": SERVICES, "routes": ROUTES}),
            30,
        )
        assert found.status == 200, found.status
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

    def until(self, done: Any, seconds: float) -> bool:
        return self.scenario.world.run_until(
            lambda: bool(self.scenario.leader()) and done(), seconds
        )

    def change(self, **parts: object) -> None:
        version = self.replicated_state.version
        status, answer = self.scenario.ask_now(
            "POST", "/changes", {"id": f"derived-{version}", "base": version, **parts}
        )
        assert status == 200, answer

    def rows(self) -> list[tuple[str, ProbeResult]]:
        found = []
        for name in self.scenario.edges:
            prober = self.scenario.node(name).traffic.prober
            assert prober is not None
            found += [(name, row) for row in prober.results]
        return found

    def cut_off_servers(self, zone: int, edges: int) -> None:
        servers = [
            name for name in self.scenario.world.nodes if name.startswith(("pages", "desks"))
        ]
        for name in self.scenario.edges[zone * edges : (zone + 1) * edges]:
            for server in servers:
                self.scenario.world.cut(name, server)

    def served_share(self, seconds: float) -> float:
        """The share of readers' orders for covers that were answered whole from now on."""
        since = self.scenario.world.time
        self.scenario.world.run(seconds)
        told = [
            note
            for note in self.scenario.notes
            if note.sent_at >= since and note.target.startswith("/covers")
        ]
        return sum(note.status == 200 and note.complete for note in told) / max(1, len(told))


class DerivedCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for patch in (
            mock.patch.object(World, "build", speaking_build),
            mock.patch.object(ServerStandIn, "fields", sealed_fields),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def holds(self, fleet: Derived) -> None:
        self.assertEqual([], fleet.scenario.world.faults)


class DerivedWatchTests(DerivedCase):
    def test_a_watch_is_made_up_of_what_was_served(self) -> None:
        fleet = Derived(1)
        self.assertTrue(fleet.until(lambda: fleet.replicated_state.derived, 10))
        watch = fleet.replicated_state.derived["covers"]
        self.assertEqual(("covers", "etag"), (watch.route, watch.dating))
        self.assertTrue(watch.object.startswith("/covers/"))
        self.assertEqual(["covers"], list(fleet.replicated_state.derived))
        self.assertTrue(
            fleet.until(
                lambda: (
                    fleet.zone_verdict("zone0") == "healthy"
                    and fleet.zone_verdict("zone1") == "healthy"
                ),
                20,
            )
        )
        fleet.scenario.world.run(1)
        nodes = [
            fleet.scenario.node(name)
            for name in fleet.scenario.alive(fleet.scenario.cores + fleet.scenario.edges)
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
        for name in fleet.scenario.edges:
            handler = fleet.scenario.node(name).traffic.handler
            assert handler is not None
            self.assertEqual([], handler.served_objects.report())
        self.assertTrue(all(row.error == "" for _, row in fleet.rows()))
        nameless = [ran.target for ran in fleet.scenario.history if not ran.identity]
        self.assertGreater(len(nameless), 2)
        self.assertEqual({watch.object}, set(nameless))
        self.holds(fleet)

    def test_nothing_is_made_up_where_it_is_not_wanted(self) -> None:
        fleet = Derived(2, derive_watches=False)
        fleet.scenario.world.run(8)
        self.assertEqual({}, fleet.replicated_state.derived)
        self.assertEqual([], fleet.rows())
        self.holds(fleet)

    def test_a_watch_ends_with_its_route_and_gives_way_to_an_operators(self) -> None:
        fleet = Derived(3)
        self.assertTrue(fleet.until(lambda: fleet.replicated_state.derived, 10))
        first = watch_fingerprint(fleet.replicated_state.derived["covers"])
        fleet.change(put={"routes": {"plain": {**ROUTES["plain"], "share": 0.9}}})
        self.assertEqual(first, watch_fingerprint(fleet.replicated_state.derived["covers"]))
        fleet.change(put={"routes": {"covers": {**ROUTES["covers"], "lifetime_seconds": 3}}})
        self.assertTrue(fleet.until(lambda: fleet.replicated_state.derived, 10))
        self.assertNotEqual(first, watch_fingerprint(fleet.replicated_state.derived["covers"]))
        fleet.change(put={"watches": {"own": {"route": "plain", "object": "/plain/1"}}})
        fleet.scenario.world.run(3)
        self.assertEqual(["own"], list(fleet.replicated_state.watches))
        fleet.change(remove={"watches": ["own"]})
        self.assertTrue(fleet.until(lambda: fleet.replicated_state.derived, 10))
        fleet.change(put={"routes": {"covers": {"path": "/covers", "service": "pages"}}})
        fleet.scenario.world.run(3)
        self.assertEqual({}, fleet.replicated_state.watches)
        self.holds(fleet)

    def test_an_object_that_is_gone_is_replaced_and_no_zone_is_down(self) -> None:
        gone: set[str] = set()

        async def serve(server: ServerStandIn, exchange: HttpExchange) -> None:
            if exchange.head.target.decode() in gone:
                identity = field(exchange.head.fields, b"x-order-identity") or b""
                named = [(b"X-Order-Identity", identity)] if identity else []
                await exchange.respond(404, named, b"")
                return
            await plain_serve(server, exchange)

        with mock.patch.object(ServerStandIn, "serve", serve):
            fleet = Derived(4)
            self.assertTrue(fleet.until(lambda: fleet.zone_verdict("zone0") == "healthy", 20))
            gone.add(fleet.replicated_state.derived["covers"].object)
            self.assertTrue(
                fleet.until(
                    lambda: (
                        fleet.replicated_state.derived
                        and fleet.replicated_state.derived["covers"].object not in gone
                    ),
                    30,
                )
            )
            self.assertTrue(fleet.until(lambda: fleet.zone_verdict("zone0") == "healthy", 20))
        self.assertEqual([], fleet.scenario.downs)
        numbers = [
            number
            for name in fleet.scenario.cores
            for number, _ in fleet.scenario.node(name).log.records
            if number in (WATCH_DERIVED.number, WATCH_ENDED.number)
        ]
        self.assertEqual([1703, 1703, 1704], sorted(numbers))
        self.holds(fleet)

    def test_a_success_without_a_seal_is_invalid(self) -> None:
        fleet = Derived(5)
        self.assertTrue(fleet.until(lambda: fleet.zone_verdict("zone0") == "healthy", 20))
        since = fleet.scenario.world.time
        for name in fleet.scenario.edges:
            prober = fleet.scenario.node(name).traffic.prober
            assert prober is not None
            prober.profile = ProtocolProfile(seal=b"Another-Seal")
        fleet.scenario.world.run(6)
        late = [
            row
            for name, row in fleet.rows()
            if row.started_at - fleet.scenario.node(name).clock.zero > since + 1
        ]
        self.assertTrue(late)
        self.assertEqual(
            {(True, False, "no server's seal")},
            {(row.reachable, row.manifest_valid, row.error) for row in late},
        )

    def test_a_crowd_at_the_servers_makes_no_zone_down(self) -> None:
        async def serve(server: ServerStandIn, exchange: HttpExchange) -> None:
            if server.behavior != ServerBehavior.FAILING:
                await plain_serve(server, exchange)
                return
            identity = field(exchange.head.fields, b"x-order-identity") or b""
            named = [(b"X-Order-Identity", identity)] if identity else []
            await exchange.respond(503, [*named, (b"Not-Executed", b"1")], b"")

        for tells, wanted in ((True, "healthy"), (False, "down")):
            with (
                mock.patch.object(ServerStandIn, "serve", serve),
                mock.patch.object(
                    RejectionResponder,
                    "is_crowded",
                    RejectionResponder.is_crowded if tells else lambda *_arguments: False,
                ),
            ):
                fleet = Derived(8)
                fleet.scenario.world.run(12)
                self.assertEqual("healthy", fleet.zone_verdict("zone0"))
                for server in fleet.scenario.servers.values():
                    server.behavior = ServerBehavior.FAILING
                fleet.scenario.world.run(20)
                self.assertEqual(wanted, fleet.zone_verdict("zone0"))

    def test_what_is_not_cached_is_not_probed_in_the_servers_words(self) -> None:
        fleet = Derived(9)
        self.assertTrue(fleet.until(lambda: fleet.zone_verdict("zone0") == "healthy", 20))
        for name in fleet.scenario.edges:
            prober = fleet.scenario.node(name).traffic.prober
            assert prober is not None
            prober.list_targets = lambda name=name: [  # type: ignore[misc]
                ProbeTarget(
                    "zone0",
                    edge,
                    fleet.scenario.node(edge).traffic.session.request_address,
                    "lookups",
                    Watch("lookups", "/lookups/77777"),
                    False,
                )
                for edge in fleet.scenario.edges
                if edge != name
            ]
        fleet.scenario.world.run(5)
        self.assertTrue([row for _, row in fleet.rows() if row.watch == "lookups"])
        self.assertEqual(
            [], [ran for ran in fleet.scenario.history if ran.target == "/lookups/77777"]
        )

    def test_a_copy_that_is_never_renewed_is_found_to_be_stale(self) -> None:
        def never_ends(_copy: object, _route: object, fields: Fields, _now: float) -> bool:
            return field(fields, b"cache-control") is None

        fleet = Derived(6, stale_seconds=4.0)
        fleet.change(
            put={"routes": {"covers": {"path": "/covers", "service": "pages", "cached": True}}}
        )
        for server in fleet.scenario.servers.values():
            server.lifetime = "max-age=3"
        self.assertTrue(fleet.until(lambda: fleet.replicated_state.derived, 10))
        target = fleet.replicated_state.derived["covers"].object
        fleet.scenario.world.run(8)
        self.assertNotEqual("stale", fleet.zone_verdict("zone0"))
        with mock.patch("ryelock.edge.cache_lookup.may_reuse", never_ends):
            fleet.scenario.objects["pages"].change(target, fleet.scenario.world.time)
            self.assertTrue(fleet.until(lambda: fleet.zone_verdict("zone0") == "stale", 30))


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

    def test_a_command_comes_to_the_same_everywhere(self) -> None:
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
            lambda _register: {key: value for key, value in shared().items() if key != "derived"},
        ):
            snapshot = replicated_state.snapshot()
        replicated_state.restore(snapshot)
        self.assertEqual(
            ({}, {"albums", "covers", "hosted"}),
            (replicated_state.derived, replicated_state.derivable),
        )


class JudgeTests(testtools.TestCase):
    def row(self, number: int, edge: str, error: str, outside: bool = False) -> ProbeResult:
        row = ProbeResult(
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
        row.started_at = float(number)
        row.reachable = True
        row.manifest_valid = row.object_fetchable = not error
        row.error = error
        return row

    def history(self, *rows: ProbeResult) -> History:
        history = History(600.0)
        for row in rows:
            history.add(row)
        return history

    def test_rows_of_other_zones_take_no_room(self) -> None:
        history = self.history(
            self.row(0, "e", ""),
            *(self.row(number, "e", "manifest status 503", number > 4) for number in range(1, 12)),
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
                row
                for row in window(history, target, now, count)
                if not (own_zone_only and row.cross_zone)
            ],
        ):
            self.assertNotEqual("down", found())

    def test_an_object_is_gone_only_where_no_edge_fetches_it(self) -> None:
        lost = "manifest status 404"
        watches = {"w": WATCH}
        rows = [self.row(number, "ef"[number % 2], lost) for number in range(4)]
        self.assertEqual(
            {"w": watch_fingerprint(WATCH)},
            find_gone_watches(watches, self.history(*rows), EvaluationRules(), 9.0),
        )
        self.assertEqual(
            {}, find_gone_watches(watches, self.history(*rows[:2]), EvaluationRules(), 9.0)
        )
        self.assertEqual(
            {},
            find_gone_watches(
                watches, self.history(*rows, self.row(5, "g", "")), EvaluationRules(), 9.0
            ),
        )
        self.assertEqual(
            {},
            find_gone_watches(
                {"w": Watch("r", "/r/2")}, self.history(*rows), EvaluationRules(), 9.0
            ),
        )


class ProbersTests(DerivedCase):
    def session(self, name: str, zone: str = "a", machine: str = "", ready: bool = True) -> Session:
        session = Session()
        session.name, session.zone, session.machine = name, zone, machine or name
        session.role, session.probes, session.ready = "edge", True, ready
        return session

    def probing(self, *sessions: Session) -> ProberAssignment:
        return ProberAssignment(list(reversed(sessions)))

    def test_two_machines_probe_an_edge_and_the_next_takes_over(self) -> None:
        first, second, third, fourth = (self.session(name) for name in ("e1", "e2", "e3", "e4"))
        everyone = self.probing(first, second, third, fourth)
        self.assertEqual(["e1", "e2"], everyone.probers_of(fourth, 2))
        self.assertEqual(["e2", "e3"], everyone.probers_of(first, 2))
        self.assertEqual(["e2", "e3"], self.probing(second, third, fourth).probers_of(fourth, 2))
        second.ready = False
        self.assertEqual(
            ["e1", "e3"], self.probing(first, second, third, fourth).probers_of(fourth, 2)
        )

    def test_one_machine_counts_once_and_other_zones_stand_in(self) -> None:
        twins = [self.session("e1", machine="m"), self.session("e2", machine="m")]
        others = [self.session(name, "b") for name in ("f1", "f2", "f3")]
        edge = self.session("e3")
        self.assertEqual(["e1", "f1", "f2"], self.probing(*twins, *others).probers_of(edge, 2))
        self.assertEqual(["f1", "f2"], self.probing(*twins, *others).probers_of(twins[0], 2))

    def test_those_that_are_not_ready_probe_where_no_other_can(self) -> None:
        sessions = [self.session(f"e{number}", ready=False) for number in (1, 2, 3)]
        self.assertEqual(["e1", "e2"], self.probing(*sessions).probers_of(sessions[2], 2))

    def test_two_of_four_probe_and_others_take_over(self) -> None:
        fleet = Derived(7, edges=4)
        self.assertTrue(fleet.until(lambda: fleet.zone_verdict("zone0") == "healthy", 20))
        edges = fleet.scenario.edges[:4]
        of_last = {
            name for name, row in fleet.rows() if row.edge == edges[3] and not row.cross_zone
        }
        self.assertEqual(set(edges[:2]), of_last)
        self.assertEqual([], [row for name, row in fleet.rows() if name == edges[3]])
        fleet.scenario.world.kill(edges[0])
        fleet.scenario.world.run(8)
        of_last = {
            name for name, row in fleet.rows() if row.edge == edges[3] and not row.cross_zone
        }
        self.assertIn(edges[2], of_last)
        self.assertEqual("healthy", fleet.zone_verdict("zone0"))
        self.holds(fleet)


class DecidesTests(DerivedCase):
    """The edges of a zone reach no server; what they say of themselves is that all is well."""

    def readers_served(self, seed: int, edges: int, derives: bool = True) -> float:
        fleet = Derived(seed, edges=edges, derive_watches=derives)
        fleet.scenario.world.run(12)
        fleet.cut_off_servers(0, edges)
        fleet.scenario.world.run(20)
        share = fleet.served_share(10)
        self.assertEqual(derives, fleet.zone_verdict("zone0") == "down")
        self.assertNotEqual("down", fleet.zone_verdict("zone1"))
        ready = [fleet.scenario.node(name).traffic.ready for name in fleet.scenario.edges]
        self.assertEqual([fleet.zone_verdict("zone0") != "down"] * edges + [True] * edges, ready)
        fleet.scenario.world.heal()
        self.assertTrue(
            fleet.until(
                lambda: all(
                    fleet.scenario.node(name).traffic.ready for name in fleet.scenario.edges
                ),
                30,
            )
        )
        self.holds(fleet)
        return share

    def test_callers_are_steered_by_a_verdict_of_a_derived_watch(self) -> None:
        for seed, edges in ((10, 3), (11, 2)):
            self.assertGreater(self.readers_served(seed, edges), 0.98)

    def test_without_derived_watches_callers_are_not_steered(self) -> None:
        self.assertLess(self.readers_served(10, 3, derives=False), 0.8)

    def test_servers_of_a_down_zone_are_picked_last_over_a_region_too(self) -> None:
        for spread in (True, False):
            self.assertEqual(
                {"near", "other"}, self.picked({"b": "unknown", "c": "unknown"}, spread, "b", "c")
            )
            self.assertEqual(
                {"other"}, self.picked({"b": "down", "c": "healthy"}, spread, "b", "c")
            )
            self.assertEqual({"near"}, self.picked({"b": "down"}, spread, "b"))
        self.assertEqual(
            {"near", "other"}, self.picked({"b": "unknown", "c": "healthy"}, True, "b", "c")
        )

    def picked(self, verdicts: dict[str, str], spread: bool, *zones: str) -> set[str]:
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
        found = set()
        for _ in range(40):
            state = servers.pick("pages", set(), verdicts, None)
            assert state is not None
            found.add(names[state.server.address])
        return found
