"""An edge, a prober or a desk as a whole: what it holds for the life of the process, its end.

A desk carries no orders of callers and probes nothing: it passes operators' orders on.
"""

from random import Random

from ryelock.control_api import ControlApi
from ryelock.edge.gate import AdmissionQueue
from ryelock.edge.handler import RequestHandler
from ryelock.edge.member import EdgeSession
from ryelock.edge.plan import Plan
from ryelock.edge.targets import ProbeTargets
from ryelock.events import STARTED, STOPPED, STOPPING, Log
from ryelock.health import Prober
from ryelock.http import HttpServer, Limits, ProtocolProfile
from ryelock.membership import ServerList, Session
from ryelock.metrics import Metrics, export_metrics
from ryelock.rate_limit import GRANT_LIFETIME_SECONDS, is_narrow, leaderless_share
from ryelock.replicated_state import CallerLimits, ReplicatedState
from ryelock.rpc import Message, Reply, RpcClients, RpcServer
from ryelock.runtime import Network, Scheduler, Task
from ryelock.settings import Settings

LASTING = 1e18


class TrafficNode:
    """An edge (with or without probing), a prober or a desk."""

    __slots__ = (
        "control_api",
        "handler",
        "lines",
        "listener",
        "log",
        "member",
        "network",
        "probe_targets",
        "prober",
        "replicated_state",
        "request_server",
        "role",
        "running",
        "scheduler",
        "session",
        "settings",
        "stopping",
        "told",
        "told_epoch",
    )

    def __init__(
        self,
        role: str,
        settings: Settings,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        random: Random,
        dialect: ProtocolProfile | None = None,
    ) -> None:
        self.role = role
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.stopping = False
        self.lines = RpcClients(scheduler, network, log)
        self.replicated_state = ReplicatedState()
        self.session = Session()
        self.session.name = settings.name
        self.session.role = role
        self.session.zone = settings.zone
        self.session.machine = settings.machine
        self.session.incarnation = f"{random.getrandbits(48):012x}"
        self.session.probes = role == "prober" or (role == "edge" and settings.probe)
        marked = self.session.probes or (role == "edge" and settings.share_copies)
        self.session.probe_secret = f"{random.getrandbits(64):016x}" if marked else ""
        self.member = EdgeSession(
            scheduler,
            self.lines,
            log,
            self.replicated_state,
            self.session,
            settings.seeds,
            settings.term_seconds,
            settings.listing_term,
            settings.hold_seconds,
            settings.serve_lapsed,
        )
        self.member.changed = self.on_change
        self.member.listing_news = self.on_listing
        self.handler: RequestHandler | None = None
        self.request_server: HttpServer | None = None
        self.listener = RpcServer(scheduler, network, log, settings.wire_address, self.on_ask)
        self.session.rpc_address = self.listener.address
        self.control_api = ControlApi(
            scheduler,
            network,
            log,
            self.lines,
            settings.control_address,
            lambda: self.member.leader,
            lambda: self.member.control_nodes,
            None,
            self.fitness,
            self.explain if role == "edge" else None,
        )
        self.session.control_address = self.control_api.listener.address
        if role == "edge":
            self.handler = RequestHandler(
                settings, scheduler, network, log, self.member, random, dialect or ProtocolProfile()
            )
            self.member.demand = self.demand
            self.member.holding = self.holding
            self.member.promised_shares = self.promised_shares
            self.member.wanted = self.wanted
            self.member.shares = self.on_shares
            self.member.grants = self.on_grants
            self.member.failures = self.handler.failed.take_fresh
            self.member.objects = self.handler.lately_served
            self.member.hear_failed = self.on_failed
            limits = Limits(
                settings.head_bytes,
                settings.body_bytes,
                settings.links_most,
                settings.idle_seconds,
                settings.order_seconds,
            )
            self.request_server = HttpServer(
                scheduler,
                network,
                log,
                settings.order_address,
                limits,
                self.handler.serve,
                bulk=True,
            )
            self.session.request_address = self.request_server.address
        figures = self.handler.metrics.all if self.handler is not None else Metrics()
        export_metrics(
            scheduler, network, log, figures, settings.metrics_address, settings.metrics_log_seconds
        )
        self.probe_targets = ProbeTargets(settings, self.replicated_state, self.member)
        self.prober: Prober | None = None
        self.told = 0
        self.told_epoch = -1
        if self.session.probes:
            self.prober = Prober(
                scheduler,
                network,
                settings.name,
                self.session.probe_secret,
                settings.machine,
                settings.zone,
                settings.probe_seconds,
                settings.probe_timeout,
                settings.probe_flight,
                settings.verdict_span,
                self.probe_targets.all,
                dialect,
            )
        self.running: list[Task] = []

    def start(self) -> None:
        self.log.write(
            STARTED,
            role=self.role,
            zone=self.settings.zone,
            wire=self.session.rpc_address,
            control=self.session.control_address,
            orders=self.session.request_address,
        )
        self.member.start()
        self.running.append(self.scheduler.create_task(self.tend(), name="tends"))
        if self.prober is not None:
            self.prober.start()
            self.running.append(self.scheduler.create_task(self.tell_rows(), name="tells rows"))

    def follow(self, settings: Settings) -> None:
        """Settings that changed: the seeds; all others stand for the life of the process."""
        self.member.seeds = settings.seeds

    def on_ask(self, message: Message, reply: Reply) -> None:
        """A desk that is a seed says that it has no disk, and who leads as far as it knows."""
        if message.get("kind") == "council.who" and self.role == "desk":
            reply({"diskless": True, "leader_address": self.member.leader})
            return
        reply({"fault": "this node answers no asks"})

    # Following the control plane.

    def on_change(self) -> None:
        """A new place in the register: plan, gates and copies follow at once."""
        handler = self.handler
        if handler is None:
            return
        configuration = self.replicated_state.configuration
        if handler.plan.version != self.replicated_state.version:
            before = handler.plan
            handler.plan = Plan(self.replicated_state.version, configuration)
            known = dict(zip(before.route_names, before.routes, strict=True))
            moved = {
                name
                for name, route in known.items()
                if (now := configuration.routes.get(name)) is None
                or (now.service, now.split, now.cached)
                != (route.service, route.split, route.cached)
            }
            for key in [key for key in handler.store.responses if key[0] in moved]:
                handler.store.drop(key)
            for key, fill in list(handler.store.fills.items()):
                if key[0] in moved:
                    fill.spoiled = True
            self.limit(configuration.limits.get("callers"))
            for name, service in configuration.services.items():
                gate = handler.gates.get(name)
                if gate is None:
                    gate = handler.gates[name] = AdmissionQueue(self.scheduler, name, service)
                gate.resize(service, self.member.edges)
            for name in [name for name in handler.gates if name not in configuration.services]:
                handler.gates.pop(name).running.cancel()
        handler.store.take_purges(self.replicated_state.purges, self.replicated_state.purge_number)

    def limit(self, said: CallerLimits | None) -> None:
        """What callers may send, by the configuration or else by this process's settings."""
        if self.request_server is None:
            return
        limits, settings = self.request_server.limits, self.settings
        said = said or CallerLimits()
        limits.head_bytes = said.head_bytes or settings.head_bytes
        limits.body_bytes = said.body_bytes or settings.body_bytes
        limits.idle_seconds = said.idle_seconds or settings.idle_seconds

    def on_listing(self, listing: ServerList) -> None:
        if self.handler is not None:
            self.handler.servers.take(listing)

    def demand(self) -> dict[str, float]:
        if self.handler is None:
            return {}
        return {name: gate.measure() for name, gate in self.handler.gates.items()}

    def holding(self) -> dict[str, float]:
        if self.handler is None:
            return {}
        now = self.scheduler.now()
        return {name: gate.bucket.current_share(now) for name, gate in self.handler.gates.items()}

    def promised_shares(self) -> dict[str, float]:
        """What this edge may spend while there is no leader: what it held, or the reserve."""
        if self.handler is None:
            return {}
        edges = self.member.edges
        held = self.holding()
        for name, gate in self.handler.gates.items():
            service = gate.service
            if gate.bucket.uses_grants or is_narrow(service.rate, service.burst_seconds, edges):
                held[name] = leaderless_share(service.rate, service.burst_seconds, edges)
        return held

    def wanted(self) -> dict[str, int]:
        if self.handler is None:
            return {}
        return {name: gate.wanted() for name, gate in self.handler.gates.items() if gate.wanted()}

    def on_grants(self, grants: dict[str, tuple[int, float, float]], asked: float) -> None:
        """Whole orders of narrow services; good for a moment from before they were asked for."""
        if self.handler is None:
            return
        for name, (granted, expected, found) in grants.items():
            gate = self.handler.gates.get(name)
            if gate is not None:
                gate.bucket.add_grants(granted, expected, found, asked + GRANT_LIFETIME_SECONDS)
                if gate.waiting:
                    gate.news.put(True)

    def on_failed(self, callers: list[bytes]) -> None:
        """Failures that other edges told callers, who may come here next."""
        if self.handler is not None:
            for caller in callers:
                self.handler.failed.hear(caller, self.scheduler.now())

    def on_shares(self, shares: dict[str, float], until: float, edges: int) -> None:
        if self.handler is None:
            return
        now = self.scheduler.now()
        if self.settings.serve_lapsed:
            until = LASTING
        for name, share in shares.items():
            gate = self.handler.gates.get(name)
            if gate is not None:
                gate.bucket.assign_share(share, until, now)
        for gate in self.handler.gates.values():
            gate.resize(gate.service, edges)

    async def tend(self) -> None:
        """Keep what the session says of this node up to date."""
        while True:
            if self.handler is not None:
                self.session.served = self.handler.served
            self.session.applied = self.replicated_state.index
            self.session.ready = self.ready
            await self.scheduler.sleep(0.1)

    # Fitness.

    @property
    def not_ready_for(self) -> str:
        """Why this node should get no new callers; empty when it should."""
        if self.stopping:
            return "stopping"
        if self.role != "edge":
            return "" if self.member.leader else "no leader is known"
        if not self.member.serving:
            return "no term"
        if self.settings.name in self.replicated_state.drains:
            return "drained"
        zone = self.settings.zone
        if f"zone:{zone}" in self.replicated_state.drains:
            return "its zone is drained"
        verdicts = self.member.verdicts()
        drained = {
            target[5:] for target in self.replicated_state.drains if target.startswith("zone:")
        }
        better = [
            name
            for name, word in verdicts.items()
            if name != zone and word in ("healthy", "stale") and name not in drained
        ]
        if verdicts.get(zone) == "down" and better:
            return "its zone is down and another serves"
        return ""

    @property
    def ready(self) -> bool:
        return not self.not_ready_for

    def fitness(self) -> Message:
        reason = self.not_ready_for
        return {
            "name": self.settings.name,
            "role": self.role,
            "zone": self.settings.zone,
            "ready": not reason,
            "reason": reason,
            "version": self.replicated_state.version,
            "index": self.replicated_state.index,
            "served": self.session.served,
            "orders": self.session.request_address,
            "leader": self.member.leader,
            "term_left": round(max(0.0, self.member.term_until - self.scheduler.now()), 3),
        }

    # Probing.

    async def tell_rows(self) -> None:
        """Rows to the aggregator; to a new one all that are kept."""
        while True:
            await self.scheduler.sleep(min(0.5, self.settings.verdict_seconds / 2))
            duty = self.replicated_state.singletons.get("aggregator")
            if duty is None or self.prober is None:
                continue
            if duty.fencing_token != self.told_epoch:
                self.told_epoch = duty.fencing_token
                self.told = 0
            rows = self.prober.results_since(self.told)
            holder = self.member.members.get(duty.owner)
            if not rows or holder is None:
                continue
            now = self.scheduler.now()
            found = await self.lines.call(
                holder.rpc_address,
                {
                    "kind": "rows",
                    "epoch": duty.fencing_token,
                    "holder": duty.owner,
                    "rows": [row.to_wire(now) for row in rows],
                },
                2.0,
            )
            if (
                found.is_ok()
                and found.ok.get("ok") is True
                and duty.fencing_token == self.told_epoch
            ):
                self.told = rows[-1].sequence

    # Explain.

    async def explain(self, query: Message) -> Message:
        """What became of an order, or what would become of a method and URL now."""
        handler = self.handler
        if handler is None:
            return {"fault": "no orders come here"}
        identity = query.get("order")
        if isinstance(identity, str):
            kept = handler.recent_requests.kept.get(identity)
            if kept is None:
                return {"fault": f"order {identity} is not remembered here"}
            return kept.plain()
        method, target = str(query.get("method", "GET")), str(query.get("target", "/"))
        return handler.foresee(method, target, str(query.get("host", "")))

    # The end.

    async def stop(self) -> None:
        """Not ready, finish answers, say goodbye."""
        self.stopping = True
        self.session.ready = False
        self.log.write(STOPPING)
        if self.request_server is not None:
            linger = self.settings.linger_seconds
            if not self.settings.serve_lapsed:
                linger = min(linger, self.settings.stop_seconds / 4)
            self.request_server.draining = True
            await self.scheduler.sleep(linger)
            self.request_server.stop_accepting()
            await self.request_server.finish(self.settings.stop_seconds)
        if self.prober is not None:
            self.prober.stop()
        await self.member.say_goodbye()
        for running in self.running:
            running.cancel()
        self.log.write(STOPPED)
