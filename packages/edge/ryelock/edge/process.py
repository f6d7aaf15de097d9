"""Assembly, startup and shutdown of diskless nodes: edges, probers and diskless control APIs.

A diskless control API serves no client traffic and runs no probes. It only forwards operators'
requests to the control leader.
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
from ryelock.edge.session_metrics import add_session_metrics
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
    """An edge (with or without a prober), a prober, or a diskless control API."""

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
        profile: ProtocolProfile | None = None,
    ) -> None:
        """Create a node and bind its listeners; `start` starts its tasks.

        Args:
            role: "edge", "prober" or "desk" (a diskless control API).
            settings: settings of the process.
            scheduler: clock and tasks.
            network: opens and accepts connections.
            log: event log.
            random: source of the incarnation, the secrets and the load balancer's choices.
            profile: HTTP profile required by the hosting platform; None for the default profile.
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
            self.handler = self.build_handler(random, profile)
            delegate = self.build_request_path(self.handler)
            metrics = self.handler.context.metrics.all
        add_session_metrics(metrics, self.member.server_lists)
        self.renewal = LeaseRenewal(scheduler, self.rpc_clients, log, self.member, delegate)
        self.start_metrics_export(metrics)
        self.probe_targets = ProbeTargets(settings, self.replicated_state, self.member.membership)
        self.prober = self.build_prober(profile) if self.session.probes else None
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
        """Return the control API, which forwards operators' requests to the leader."""
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

    def build_handler(self, random: Random, profile: ProtocolProfile | None) -> RequestHandler:
        """Return the request handler of an edge."""
        context = EdgeContext(
            self.settings,
            self.scheduler,
            self.network,
            self.log,
            self.member,
            random,
            profile or ProtocolProfile(),
        )
        return RequestHandler(context)

    def start_metrics_export(self, metrics: Metrics) -> None:
        """Serve metrics over HTTP and, where configured, write them to the log periodically."""
        export_metrics(
            self.scheduler,
            self.network,
            self.log,
            metrics,
            self.settings.metrics_address,
            self.settings.metrics_log_seconds,
        )

    def build_request_path(self, handler: RequestHandler) -> SessionDelegate:
        """Bind the request server; return the delegate that applies updates to the request path."""
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

    def build_prober(self, profile: ProtocolProfile | None) -> Prober:
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
            profile,
        )

    def build_probe_reporter(self, prober: Prober | None) -> ProbeReporter | None:
        """Return the reporter of a prober's results; None on a node without a prober."""
        if prober is None:
            return None
        return ProbeReporter(
            self.scheduler, self.rpc_clients, self.member, prober, self.settings.verdict_seconds
        )

    def start(self) -> None:
        """Log the start event and start the node's tasks."""
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
        """Apply reloaded settings; only the seeds can change without a restart."""
        self.member.discovery.seeds = settings.seeds

    async def stop(self) -> None:
        """Shut down gracefully: report not ready, drain requests, leave the membership."""
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
        """Accept connections until load balancers see the node as not ready, then drain them."""
        linger_seconds = self.settings.linger_seconds
        if not self.settings.serve_lapsed:
            linger_seconds = min(linger_seconds, self.settings.stop_seconds / 4)
        server.draining = True
        await self.scheduler.sleep(linger_seconds)
        server.stop_accepting()
        await server.finish(self.settings.stop_seconds)

    async def refresh_session(self) -> None:
        """Update the session fields that renewals report, periodically."""
        while True:
            if self.handler is not None:
                self.session.served = self.handler.context.requests_served
            self.session.applied = self.replicated_state.index
            self.session.ready = self.ready
            await self.scheduler.sleep(SESSION_REFRESH_SECONDS)

    @property
    def ready(self) -> bool:
        """True if the node should receive new client traffic."""
        return self.readiness.ready

    def on_message(self, message: Message, reply: Reply) -> None:
        """Answer leader queries; a diskless control API may be a seed but is never a voter."""
        if message.get("kind") == LEADER_QUERY and self.role == NodeRole.CONTROL_API:
            reply({"diskless": True, "leader_address": self.member.leader})
            return
        reply({"fault": "this node answers no asks"})

    async def explain(self, query: Message) -> Message:
        """Explain a served request by its id, or preview how a method and URL would be routed."""
        handler = self.handler
        if handler is None:
            return {"fault": "no orders come here"}
        identity = query.get("order")
        if isinstance(identity, str):
            explanation = handler.context.recent_requests.by_identity.get(identity)
            if explanation is None:
                return {"fault": f"order {identity} is not remembered here"}
            return explanation.to_wire()
        method, target = str(query.get("method", "GET")), str(query.get("target", "/"))
        return handler.preview.describe(method, target, str(query.get("host", "")))


def new_session(role: str, settings: Settings, random: Random) -> Session:
    """Return the session of a newly started node, with a random incarnation and probe secret."""
    session = Session()
    session.name = settings.name
    session.role = role
    session.zone = settings.zone
    session.machine = settings.machine
    session.incarnation = f"{random.getrandbits(48):012x}"
    session.probes = role == NodeRole.PROBER or (role == NodeRole.EDGE and settings.probe)
    # Edges authenticate peers' requests by this secret, just as they do probes.
    has_secret = session.probes or (role == NodeRole.EDGE and settings.share_copies)
    session.probe_secret = f"{random.getrandbits(64):016x}" if has_secret else ""
    return session
