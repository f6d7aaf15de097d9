"""A simulated fleet with its environment, and the actions that runs apply to it.

Control nodes, edges, probers, servers, a platform, callers and operators are nodes of the world.
Callers and operators record their requests and answers; `findings` checks all invariants over
these records and the servers' histories. Operators' answers are recorded with their times, so
that later requests can be checked against acknowledged changes and purges.
"""

from collections import deque
from collections.abc import Callable
from random import Random

from ryelock.control_client import call_control_api
from ryelock.health import ProbeResult
from ryelock.http import fetch
from ryelock.testing.checks import (
    MAX_EVALUATION_SECONDS,
    ChangeRecord,
    Findings,
    ProbeRecord,
    PurgeRecord,
    ZoneDown,
    check_at_most_once,
    check_bytes,
    check_changes,
    check_down_verdicts,
    check_leaving,
    check_lifetimes,
    check_misrouted,
    check_purges,
    check_rates,
    check_retry_budget,
)
from ryelock.testing.simulated.world import SimFolder, SimNode, World
from ryelock.testing.stand_ins.callers import Caller, RequestRecord
from ryelock.testing.stand_ins.servers import (
    Objects,
    PlatformStandIn,
    ServedRequest,
    ServerBehavior,
    ServerStandIn,
)

LIFETIME_SECONDS = 6.0
DRAINED_REASONS = ("drained", "its zone is drained")
CONFIGURATION: dict[str, object] = {
    "services": {
        "pages": {"rate": 120, "answer_seconds": 2},
        "desks": {"rate": 20, "flight": 8, "answer_seconds": 2},
    },
    "routes": {
        "covers": {
            "path": "/covers",
            "service": "pages",
            "cached": True,
            "lifetime_seconds": LIFETIME_SECONDS,
        },
        "plain": {"path": "/plain", "service": "pages"},
        "orders": {"path": "/orders", "service": "desks", "once": True},
        "lookups": {"path": "/lookups", "service": "desks", "share": 0.6},
    },
    "watches": {
        "covers": {
            "route": "covers",
            "object": "/covers/watched",
            "marker": "OBJECT",
            "dating": "etag",
        }
    },
}
SERVICE_OF = {"/covers": "pages", "/plain": "pages", "/orders": "desks", "/lookups": "desks"}


class Scenario:
    """One simulated fleet.

    Attributes:
        world: the simulated machines and network.
        plans: role and settings of each planned process, by name.
        history: requests that servers executed.
        request_records: requests that callers sent.
        changes: changes that operators sent.
        purges: acknowledged purges.
        reads: start, end and version of each read of the configuration.
        downs: down verdicts found in the replicated state.
        probe_stores: results kept by each started prober, with its node.
        polled_ready: edges found ready over the network; None while readiness is read directly.
        callers_on: callers run while it is set.
        service_rates: rates that the checkers allow, by service.
        max_evaluation_seconds: longest time that `check_down_verdicts` allows from evaluation
            to commit.
    """

    __slots__ = (
        "callers_on",
        "changes",
        "cores",
        "downs",
        "edges",
        "history",
        "max_evaluation_seconds",
        "objects",
        "operators",
        "outside",
        "planned_count",
        "plans",
        "platform",
        "platform_node",
        "polled_ready",
        "probe_stores",
        "probers",
        "purges",
        "random",
        "reads",
        "request_records",
        "servers",
        "service_rates",
        "settings",
        "world",
        "zones",
    )

    def __init__(
        self,
        seed: int,
        cores: int = 3,
        zones: int = 2,
        edges: int = 2,
        probers: int = 2,
        settings: dict[str, object] | None = None,
    ) -> None:
        """Plan a deployment; `set_up` starts it.

        Args:
            seed: seed of the world and of the scenario's draws.
            cores: number of control nodes.
            zones: number of zones.
            edges: edges per zone.
            probers: probers per zone.
            settings: settings of all processes; "spread_servers" adds servers to two zones.
        """
        settings = dict(settings or {})
        spread = settings.pop("spread_servers", False) is True
        self.world = World(seed)
        self.random = Random(f"scenario {seed}")
        self.zones = [f"zone{number}" for number in range(zones)]
        self.settings: dict[str, object] = {
            "probe_seconds": 1.0,
            "probe_timeout": 0.8,
            "replace_seconds": 2.0,
            "verdict_seconds": 0.5,
            **settings,
        }
        self.history: list[ServedRequest] = []
        self.request_records: list[RequestRecord] = []
        self.changes: list[ChangeRecord] = []
        self.purges: list[PurgeRecord] = []
        self.reads: list[tuple[float, float, int]] = []
        self.downs: list[ZoneDown] = []
        self.probe_stores: list[tuple[SimNode, deque[ProbeResult]]] = []
        self.objects = {"pages": Objects(300), "desks": Objects(100)}
        self.servers: dict[str, ServerStandIn] = {}
        self.callers_on = True
        self.polled_ready: set[str] | None = None
        self.service_rates = {"pages": 120.0, "desks": 20.0}
        self.planned_count = 0
        self.max_evaluation_seconds = MAX_EVALUATION_SECONDS
        self.plans: dict[str, tuple[str, dict[str, object]]] = {}
        self.outside = self.world.add("outside", "outside", "10.9.0.1")
        self.operators = self.world.add("operators", "operators", "10.9.0.2")
        self.platform_node = self.world.add("platform", "platform", "10.9.0.3")
        self.platform = PlatformStandIn(
            self.platform_node.scheduler,
            self.platform_node.network,
            self.platform_node.log,
            "10.9.0.3:80",
        )
        # Two servers per zone and service; three where one of two zones may be lost.
        for number, zone in enumerate(self.zones * (3 if spread and zones == 2 else 2)):
            for service in ("pages", "desks"):
                self.add_server(service, zone, f"{service}{number}", 1)
        self.cores = [
            self.plan("core", f"core{number}", self.zones[number % zones])
            for number in range(cores)
        ]
        self.edges = [
            self.plan("edge", f"edge{zone}{number}", self.zones[zone])
            for zone in range(zones)
            for number in range(edges)
        ]
        self.probers = [
            self.plan("prober", f"prober{zone}{number}", self.zones[zone])
            for zone in range(zones)
            for number in range(probers)
        ]

    # Processes.

    def plan(self, role: str, name: str, zone: str) -> str:
        """Plan a process of a role in a zone and return its name; `start` starts it."""
        host = f"10.{1 + self.planned_count // 200}.0.{1 + self.planned_count % 200}"
        self.planned_count += 1
        node = self.world.add(name, name, host)
        node.alive = False
        node.clock.zero = node.random.random() * 1000
        seeds = [f"10.1.0.{number}:1" for number in (1, 2, 3)]
        process_settings: dict[str, object] = {
            "name": name,
            "zone": zone,
            "machine": name,
            "seeds": seeds,
            "wire_address": f"{host}:1",
            "control_address": f"{host}:2",
            **self.settings,
        }
        if role == "core":
            process_settings.update(data_folder="/data", platform_address="10.9.0.3:80")
        if role == "edge":
            process_settings["order_address"] = f"{host}:3"
        self.plans[name] = (role, process_settings)
        return name

    def add_server(
        self, service: str, zone: str, name: str, incarnation: int, address: str = ""
    ) -> ServerStandIn:
        """Start a server of a service in a zone, at a new address unless one is given."""
        host = (
            address.rpartition(":")[0]
            or f"10.8.{len(self.servers) // 200}.{1 + len(self.servers) % 200}"
        )
        node = self.world.add(f"{name}-{incarnation}", f"{name}-{incarnation}", host)
        server = ServerStandIn(
            node.scheduler,
            node.network,
            node.log,
            service,
            address or f"{host}:80",
            self.objects[service],
            self.history,
        )
        server.lifetime = ""
        self.servers[node.name] = server
        self.platform.show(service, server.address, zone, incarnation)
        return server

    def start(self, name: str) -> None:
        """Start a planned process."""
        role, process_settings = self.plans[name]
        node = self.world.nodes[name]
        self.world.start_daemon(node, role, process_settings)
        if role == "prober" and node.alive:
            prober = node.traffic.prober
            assert prober is not None
            self.probe_stores.append((node, prober.results))

    def start_all(self) -> None:
        """Start all planned processes."""
        for name in self.plans:
            self.start(name)

    def lose_disk(self, name: str) -> None:
        """Cut a machine's power and replace its disk by an empty one."""
        self.world.kill(name, True)
        self.world.nodes[name].folder = SimFolder()

    def node(self, name: str) -> SimNode:
        """Return the node of a process."""
        return self.world.nodes[name]

    def alive(self, names: list[str]) -> list[str]:
        """Return the names of those processes that run and are not frozen."""
        return [name for name in names if self.node(name).alive and not self.node(name).frozen]

    def leader(self) -> str:
        """Return the name of a leader that is ready; empty if there is none."""
        for name in self.alive(self.cores):
            if self.node(name).core.consensus.leader_ready:
                return name
        return ""

    # Operators.

    async def operator(
        self, method: str, target: str, given: object = None, through: str = ""
    ) -> tuple[int, dict[str, object]]:
        """Send an operator's request through a named process, or through a random one.

        Returns:
            Status, 0 without an answer, and body.
        """
        names = [through] if through else self.alive(self.cores + self.edges)
        if not names:
            return 0, {"fault": "no process runs"}
        name = through or self.random.choice(names)
        found = await call_control_api(
            self.operators.scheduler,
            self.operators.network,
            f"{self.node(name).host}:2",
            method,
            target,
            given,
        )
        return found.ok if found.is_ok() else (0, {"fault": str(found.error)})

    def ask_now(
        self,
        method: str,
        target: str,
        given: object = None,
        through: str = "",
        seconds: float = 40.0,
    ) -> tuple[int, dict[str, object]]:
        """Send an operator's request and run the world until it is answered."""
        return self.world.task(
            self.operators, self.operator(method, target, given, through), seconds
        )

    async def change(
        self,
        identity: str,
        base: int,
        put: dict[str, object],
        marker_path: str = "",
        through: str = "",
    ) -> ChangeRecord:
        """Send one change and record its answer; `marker_path` is the path of a route it adds."""
        change = ChangeRecord(identity, marker_path, self.world.time)
        self.changes.append(change)
        status, answer = await self.operator(
            "POST", "/changes", {"id": identity, "base": base, "put": put}, through
        )
        change.answered_at = self.world.time
        change.status = status
        version = answer.get("version")
        change.version = version if status == 200 and isinstance(version, int) else 0
        return change

    async def add_route(self, name: str, base: int, through: str = "") -> ChangeRecord:
        """Send a change that adds a route of its own name, so that requests show its effect."""
        return await self.change(
            name,
            base,
            {"routes": {name: {"path": f"/{name}", "service": "pages"}}},
            f"/{name}",
            through,
        )

    def set_up(self, seconds: float = 30.0) -> None:
        """Start all processes and wait for a leader, the configuration and ready edges."""
        self.start_all()
        if not self.world.run_until(lambda: bool(self.leader()), seconds):
            raise AssertionError("no leader")
        found = self.world.task(self.operators, self.change("setup", 0, CONFIGURATION), 30)
        if found.status != 200:
            raise AssertionError(f"set-up was told {found.status}")
        if not self.world.run_until(
            lambda: all(self.node(name).traffic.ready for name in self.edges), seconds
        ):
            raise AssertionError("edges are not ready")

    async def operate(self, number: int, seconds: float) -> None:
        """Run an operator that sends valid, conflicting and invalid changes, reads and purges."""
        random = Random(f"operator {self.world.seed} {number}")
        version = 1
        until = self.world.time + seconds
        count = 0
        while self.world.time < until:
            count += 1
            await self.operators.scheduler.sleep(0.3 + random.random() * 1.5)
            name = f"gen-{number}-{count}"
            draw = random.random()
            if draw < 0.5:
                route = {"path": f"/{name}", "service": "pages"}
                if draw < 0.1:
                    route["service"] = "nobody"
                change = await self.change(name, version, {"routes": {name: route}}, f"/{name}")
                version = change.version or version
            elif draw < 0.75:
                started = self.world.time
                status, answer = await self.operator("GET", "/configuration")
                if status == 200:
                    found = answer.get("version")
                    version = found if isinstance(found, int) else version
                    self.reads.append((started, self.world.time, version))
            else:
                target = f"/covers/{random.randrange(8)}"
                await self.change_and_purge(target, f"purge-{name}")

    async def change_and_purge(self, target: str, identity: str) -> None:
        """Change an object and purge it; record the purge if it is acknowledged."""
        self.objects["pages"].change(target, self.world.time)
        purge = PurgeRecord(target, self.objects["pages"].revision(target))
        status, _ = await self.operator(
            "POST", "/purges", {"id": identity, "scopes": [{"path": target}]}
        )
        if status == 200:
            purge.acknowledged_at = self.world.time
            self.purges.append(purge)

    # Callers.

    async def call(self, number: int, rate: float, retries: bool = False) -> None:
        """Run one caller; with `retries`, it retries failures almost at once."""
        random = Random(f"caller {self.world.seed} {number}")
        scheduler = self.outside.scheduler
        caller = Caller(scheduler, self.outside.network, random, self.request_records, 8.0)
        count = 0
        while self.callers_on:
            count += 1
            await scheduler.sleep(random.expovariate(rate))
            edges = self.ready_edges()
            if not edges:
                continue
            edge = f"{self.node(random.choice(edges)).host}:3"
            method, target = self.pick_request(random)
            identity = f"c{number}-{count}"
            key = [(b"Idempotency-Key", identity.encode())]
            record = await caller.request(
                edge, method, target, identity, key, b"body" if method == "POST" else b""
            )
            attempts = 1
            while (
                retries
                and method == "POST"
                and record.status != 200
                and attempts < 6
                and self.callers_on
            ):
                attempts += 1
                await scheduler.sleep(0.3 * random.random())
                edges = self.ready_edges() or edges
                edge = f"{self.node(random.choice(edges)).host}:3"
                record = await caller.request(edge, method, target, identity, key, b"body")
            retry_count = 0
            while (
                retries
                and method == "GET"
                and record.status not in (200, 404)
                and retry_count < 40
                and self.callers_on
            ):
                retry_count += 1
                await scheduler.sleep(0.05)
                record = await caller.request(
                    edge,
                    method,
                    target,
                    f"{identity}r{retry_count}",
                    [(b"X-Retry-Count", b"%d" % retry_count)],
                )
        caller.close()

    def poll_readiness(self) -> None:
        """Poll the edges' readiness over the network, as the platform does, from now on."""
        self.polled_ready = set(self.edges)
        for name in self.edges:
            self.platform_node.scheduler.create_task(
                self.poll_edge_readiness(name), name=f"readiness of {name}"
            )

    async def poll_edge_readiness(self, name: str) -> None:
        """Poll the readiness of one edge, as the platform does."""
        ready = self.polled_ready
        assert ready is not None
        scheduler = self.platform_node.scheduler
        while True:
            found = await fetch(
                scheduler,
                self.platform_node.network,
                f"{self.node(name).host}:2",
                b"GET",
                b"/fitness/ready",
                [],
                b"",
                1.0,
            )
            is_ready = found.is_ok() and found.ok[0].status == 200
            (ready.add if is_ready else ready.discard)(name)
            await scheduler.sleep(0.25)

    def ready_edges(self) -> list[str]:
        """Return the edges that report ready, to which the platform sends callers."""
        if self.polled_ready is not None:
            return sorted(self.polled_ready)
        return [
            name
            for name in self.edges
            if self.node(name).alive and (self.node(name).frozen or self.node(name).traffic.ready)
        ]

    def pick_request(self, random: Random) -> tuple[str, str]:
        """Draw the method and target of a caller's request."""
        draw = random.random()
        if draw < 0.5:
            return "GET", f"/covers/{random.randrange(8)}"
        if draw < 0.6:
            return "GET", f"/plain/{random.randrange(50)}"
        if draw < 0.75:
            return "GET", f"/lookups/{random.randrange(50)}"
        if draw < 0.9:
            return "POST", f"/orders/{random.randrange(1000)}"
        marker_paths = [change.marker_path for change in self.changes if change.marker_path]
        return "GET", random.choice(marker_paths) if marker_paths else "/nothing"

    def start_callers(self, count: int = 12, rate: float = 3.0, retrying: int = 4) -> None:
        """Start `count` callers at `rate` per second each; the first `retrying` retry failures."""
        for number in range(count):
            self.outside.scheduler.create_task(
                self.call(number, rate, number < retrying), name=f"caller {number}"
            )

    async def watch_verdicts(self) -> None:
        """Record every down verdict in the replicated state, with its evidence."""
        seen: set[tuple[str, int]] = set()
        while True:
            await self.operators.scheduler.sleep(0.1)
            for name in self.alive(self.cores):
                replicated_state = self.node(name).core.replicated_state
                zones = replicated_state.verdict.get("zones")
                if not isinstance(zones, dict):
                    continue
                for zone, found in zones.items():
                    key = (zone, int(str(replicated_state.verdict.get("index"))))
                    if found.get("verdict") == "down" and key not in seen:
                        seen.add(key)
                        self.downs.append(
                            ZoneDown(
                                self.world.time, zone, list(found["edges"]), list(found["targets"])
                            )
                        )

    def served_since(self, since: float) -> Callable[[], bool]:
        """Return a condition that holds once every undrained edge has served since a time.

        Each such edge must have given a complete 200, and one must have been to a POST.
        """

        def done() -> bool:
            edges = {
                f"{self.node(name).host}:3"
                for name in self.alive(self.edges)
                if self.node(name).traffic.readiness.not_ready_reason not in DRAINED_REASONS
            }
            served = {
                record.edge
                for record in self.request_records
                if record.sent_at >= since and record.status == 200 and record.complete
            }
            posted = any(
                record.sent_at >= since and record.status == 200 and record.method == "POST"
                for record in self.request_records
            )
            return bool(edges) and edges <= served and posted

        return done

    def clear_faults(self) -> None:
        """End all faults: heal the network, restart processes, restore disks and servers."""
        self.world.heal()
        for name in self.cores:
            folder = self.node(name).folder
            if folder is not None:
                folder.full = False
        for name in self.plans:
            self.world.freeze(name, False)
            if not self.node(name).alive:
                self.start(name)
        for server in self.servers.values():
            server.behavior = ServerBehavior.SOUND
            server.delay = 0.0

    def probe_records(self) -> list[ProbeRecord]:
        """Return the probes that all probers have stored."""
        return [
            ProbeRecord(
                row.started_at - node.clock.zero,
                row.edge,
                row.watch,
                row.machine,
                row.prober,
                row.sequence,
                row.failed,
            )
            for node, rows in self.probe_stores
            for row in rows
        ]

    def findings(self) -> Findings:
        """Check all invariants over the records of callers and the histories of servers."""
        found = Findings()
        check_at_most_once(found, self.request_records, self.history)
        check_bytes(found, self.request_records, self.objects, SERVICE_OF)
        check_rates(found, self.history, self.service_rates)
        check_retry_budget(found, self.history)
        check_misrouted(found, self.history, SERVICE_OF)
        check_leaving(found, self.history, self.platform.shown_since)
        check_changes(found, self.request_records, self.changes, self.reads)
        check_purges(found, self.request_records, self.purges)
        check_lifetimes(found, self.request_records, self.objects["pages"], LIFETIME_SECONDS)
        check_down_verdicts(
            found, self.downs, self.probe_records(), late=self.max_evaluation_seconds
        )
        for fault in self.world.faults:
            found.add_violation("faults", fault)
        return found
