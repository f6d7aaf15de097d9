"""An edge, a prober or a control API without a disk: its parts, its start and its end.

A control API without a disk carries no requests of callers and probes nothing: it passes
operators' requests on.
"""

from random import Random

from ryelock.control_api import ControlApi
from ryelock.edge.configuration_rollout import ConfigurationRollout
from ryelock.edge.context import EdgeContext
from ryelock.edge.edge_delegate import EdgeDelegate
from ryelock.edge.handler import RequestHandler
from ryelock.edge.lease_renewal import LeaseRenewal
from ryelock.edge.member import EdgeSession, SessionSettings
from ryelock.edge.probe_reporting import ProbeReporter
from ryelock.edge.quota_shares import QuotaShares
from ryelock.edge.readiness import NodeReadiness
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.edge.session_messages import LEADER_QUERY
from ryelock.edge.targets import ProbeTargets
from ryelock.events import STARTED, STOPPED, STOPPING, Log
from ryelock.health import Prober
from ryelock.http import HttpServer, Limits, ProtocolProfile
from ryelock.membership import Session
from ryelock.metrics import Metrics, export_metrics
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, Reply, RpcClients, RpcServer
from ryelock.runtime import Network, Scheduler, Task
from ryelock.settings import NodeRole, Settings

SESSION_REFRESH_SECONDS = 0.1


class TrafficNode:
    """An edge (with or without probing), a prober or a control API without a disk."""

    __slots__ = (
        "control_api",
        "handler",
        "listener",
        "log",
        "member",
        "network",
        "probe_reporter",
        "probe_targets",
        "prober",
        "quota",
        "readiness",
        "renewal",
        "replicated_state",
        "request_server",
        "role",
        "rpc_clients",
        "running",
        "scheduler",
        "session",
        "settings",
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
        """Create a node and its listeners; `start` makes it run.

        Args:
            role: "edge", "prober" or "desk" (a control API without a disk).
            settings: settings of the process.
            scheduler: clock and tasks.
            network: where connections are opened and accepted.
            log: where events are written.
            random: source of the incarnation, of secrets and of the choice of servers.
            dialect: HTTP profile that the platform asks for; None for the product's own.
        """
        self.role = role
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.rpc_clients = RpcClients(scheduler, network, log)
        self.replicated_state = ReplicatedState()
        self.session = new_session(role, settings, random)
        self.member = self.build_member()
        self.readiness = NodeReadiness(role, settings, self.member)
        self.listener = RpcServer(scheduler, network, log, settings.wire_address, self.on_message)
        self.session.rpc_address = self.listener.address
        self.control_api = self.build_control_api()
        self.session.control_address = self.control_api.listener.address
        self.handler: RequestHandler | None = None
        self.request_server: HttpServer | None = None
        self.quota: QuotaShares | None = None
        delegate = SessionDelegate()
        metrics = Metrics()
        if role == NodeRole.EDGE:
            self.handler = self.build_handler(random, dialect)
            delegate = self.build_request_path(self.handler)
            metrics = self.handler.context.metrics.all
        self.renewal = LeaseRenewal(scheduler, self.rpc_clients, log, self.member, delegate)
        self.export(metrics)
        self.probe_targets = ProbeTargets(settings, self.replicated_state, self.member.membership)
        self.prober = self.build_prober(dialect) if self.session.probes else None
        self.probe_reporter = self.build_probe_reporter(self.prober)
        self.running: list[Task] = []

    def build_member(self) -> EdgeSession:
        """Return the session with the control plane."""
        settings = self.settings
        return EdgeSession(
            self.scheduler,
            self.rpc_clients,
            self.log,
            self.replicated_state,
            self.session,
            SessionSettings(
                seeds=settings.seeds,
                lease_seconds=settings.term_seconds,
                server_list_seconds=settings.listing_term,
                hold_seconds=settings.hold_seconds,
                serve_lapsed=settings.serve_lapsed,
            ),
        )

    def build_control_api(self) -> ControlApi:
        """Return the control API, which passes operators' requests on to the leader."""
        return ControlApi(
            self.scheduler,
            self.network,
            self.log,
            self.rpc_clients,
            self.settings.control_address,
            lambda: self.member.leader,
            lambda: self.member.discovery.control_nodes,
            None,
            self.readiness.report,
            self.explain if self.role == NodeRole.EDGE else None,
        )

    def build_handler(self, random: Random, dialect: ProtocolProfile | None) -> RequestHandler:
        """Return the request path of an edge."""
        context = EdgeContext(
            self.settings,
            self.scheduler,
            self.network,
            self.log,
            self.member,
            random,
            dialect or ProtocolProfile(),
        )
        return RequestHandler(context)

    def export(self, metrics: Metrics) -> None:
        """Answer metrics on their address, and write them to the log where that is set."""
        export_metrics(
            self.scheduler,
            self.network,
            self.log,
            metrics,
            self.settings.metrics_address,
            self.settings.metrics_log_seconds,
        )

    def build_request_path(self, handler: RequestHandler) -> SessionDelegate:
        """Open the request server of an edge; return what makes its request path follow."""
        settings = self.settings
        limits = Limits(
            settings.head_bytes,
            settings.body_bytes,
            settings.links_most,
            settings.idle_seconds,
            settings.order_seconds,
        )
        self.request_server = HttpServer(
            self.scheduler,
            self.network,
            self.log,
            settings.order_address,
            limits,
            handler.serve,
            bulk=True,
        )
        self.session.request_address = self.request_server.address
        self.quota = QuotaShares(self.scheduler, self.member, handler.context.admission_queues)
        rollout = ConfigurationRollout(
            self.scheduler, settings, self.member, handler.context, self.request_server.limits
        )
        return EdgeDelegate(self.scheduler, handler, self.quota, rollout)

    def build_prober(self, dialect: ProtocolProfile | None) -> Prober:
        """Return the prober of a node that probes."""
        settings = self.settings
        return Prober(
            self.scheduler,
            self.network,
            settings.name,
            self.session.probe_secret,
            settings.machine,
            settings.zone,
            settings.probe_seconds,
            settings.probe_timeout,
            settings.probe_flight,
            settings.verdict_span,
            self.probe_targets.current,
            dialect,
        )

    def build_probe_reporter(self, prober: Prober | None) -> ProbeReporter | None:
        """Return what sends a prober's results, where there is a prober."""
        if prober is None:
            return None
        return ProbeReporter(
            self.scheduler, self.rpc_clients, self.member, prober, self.settings.verdict_seconds
        )

    def start(self) -> None:
        """Write the start event and start the node's tasks."""
        self.log.write(
            STARTED,
            role=self.role,
            zone=self.settings.zone,
            wire=self.session.rpc_address,
            control=self.session.control_address,
            orders=self.session.request_address,
        )
        self.renewal.start()
        self.running.append(
            self.scheduler.create_task(self.refresh_session(), name="session refresh")
        )
        if self.prober is not None and self.probe_reporter is not None:
            self.prober.start()
            self.running.append(
                self.scheduler.create_task(self.probe_reporter.run(), name="probe reports")
            )

    def follow(self, settings: Settings) -> None:
        """Take settings that changed: the seeds; all others stand for the life of the process."""
        self.member.discovery.seeds = settings.seeds

    async def stop(self) -> None:
        """Shut down gracefully: not ready, finish requests, leave the membership."""
        self.readiness.stopping = True
        self.session.ready = False
        self.log.write(STOPPING)
        if self.request_server is not None:
            await self.drain(self.request_server)
        if self.prober is not None:
            self.prober.stop()
        await self.renewal.leave()
        for running in self.running:
            running.cancel()
        self.log.write(STOPPED)

    async def drain(self, server: HttpServer) -> None:
        """Accept connections until callers know that the node stops, then finish what is open."""
        linger_seconds = self.settings.linger_seconds
        if not self.settings.serve_lapsed:
            linger_seconds = min(linger_seconds, self.settings.stop_seconds / 4)
        server.draining = True
        await self.scheduler.sleep(linger_seconds)
        server.stop_accepting()
        await server.finish(self.settings.stop_seconds)

    async def refresh_session(self) -> None:
        """Keep what the session reports of this node up to date."""
        while True:
            if self.handler is not None:
                self.session.served = self.handler.context.requests_served
            self.session.applied = self.replicated_state.index
            self.session.ready = self.ready
            await self.scheduler.sleep(SESSION_REFRESH_SECONDS)

    # Answers to other processes and to operators.

    @property
    def ready(self) -> bool:
        """Whether the node should get new callers."""
        return self.readiness.ready

    def on_message(self, message: Message, reply: Reply) -> None:
        """Answer who leads: a control API may be a seed, but has no disk and is no voter."""
        if message.get("kind") == LEADER_QUERY and self.role == NodeRole.CONTROL_API:
            reply({"diskless": True, "leader_address": self.member.leader})
            return
        reply({"fault": "this node answers no asks"})

    async def explain(self, query: Message) -> Message:
        """Explain a request that was served, or what a method and URL would do now."""
        handler = self.handler
        if handler is None:
            return {"fault": "no orders come here"}
        identity = query.get("order")
        if isinstance(identity, str):
            kept = handler.context.recent_requests.kept.get(identity)
            if kept is None:
                return {"fault": f"order {identity} is not remembered here"}
            return kept.to_wire()
        method, target = str(query.get("method", "GET")), str(query.get("target", "/"))
        return handler.preview.describe(method, target, str(query.get("host", "")))


def new_session(role: str, settings: Settings, random: Random) -> Session:
    """Return the session of a new run of a node, with an incarnation and secrets of its own."""
    session = Session()
    session.name = settings.name
    session.role = role
    session.zone = settings.zone
    session.machine = settings.machine
    session.incarnation = f"{random.getrandbits(48):012x}"
    session.probes = role == NodeRole.PROBER or (role == NodeRole.EDGE and settings.probe)
    # Edges know each other's requests by the secret, as they know a prober's.
    has_secret = session.probes or (role == NodeRole.EDGE and settings.share_copies)
    session.probe_secret = f"{random.getrandbits(64):016x}" if has_secret else ""
    return session
