"""The control node: composition root and life cycle."""

from dataclasses import replace
from random import Random

from ryelock.consensus import Consensus, ConsensusSettings
from ryelock.control_api import ControlApi
from ryelock.control_plane.aggregator import Aggregator
from ryelock.control_plane.departure import MAX_DEPARTURE_SECONDS, ConsensusDeparture
from ryelock.control_plane.derived_watch_manager import DerivedWatchManager
from ryelock.control_plane.health_decisions import HealthDecisions
from ryelock.control_plane.idempotency_keys import IdempotencyKeys
from ryelock.control_plane.leader_location import leader_location
from ryelock.control_plane.lease_renewal import LeaseRenewals
from ryelock.control_plane.metrics import ControlMetrics
from ryelock.control_plane.operator_requests import OperatorRequests
from ryelock.control_plane.platform import PlatformReader
from ryelock.control_plane.reader_role import ReaderRole
from ryelock.control_plane.readiness import NodeReadiness
from ryelock.control_plane.rpc_handlers import RpcHandlers
from ryelock.control_plane.singleton_roles import (
    AGGREGATOR_ROLE,
    SERVER_LIST_READER_ROLE,
    RoleAssigner,
)
from ryelock.control_plane.soft_state_exchange import SoftStateExchange
from ryelock.control_plane.voters import VoterManager
from ryelock.events import STARTED, STOPPED, STOPPING, Log
from ryelock.journal import Journal
from ryelock.membership import Membership, Session
from ryelock.metrics import export_metrics
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, Reply, RpcClients, RpcServer
from ryelock.runtime import Network, Scheduler, Task
from ryelock.settings import NodeRole, Settings

FINISH_SECONDS = 0.5
"""Minimum time for open requests on the control address to finish at shutdown."""
MIN_SESSION_TIMEOUT_SECONDS = 3.0
"""Lower bound of the session timeout, which is two leases otherwise."""
MAINTENANCE_INTERVAL_SECONDS = 0.4
OWN_SESSION_INTERVAL_SECONDS = 0.25


class ControlNode:
    """One control node: a disk, a member of the consensus group, and the leader's tasks."""

    __slots__ = (
        "aggregator",
        "clients",
        "consensus",
        "control_api",
        "decisions",
        "departure",
        "derived_watches",
        "listener",
        "log",
        "membership",
        "network",
        "operator_requests",
        "platform",
        "readiness",
        "renewals",
        "replicated_state",
        "role_assigner",
        "rpc_handlers",
        "scheduler",
        "session",
        "settings",
        "soft_state",
        "tasks",
        "voters",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        random: Random,
        disk: str,
        journal: Journal,
    ) -> None:
        """Compose a node on an open disk and listen; tasks run only after `start`.

        Args:
            settings: the node's settings.
            scheduler: clock and tasks.
            network: opens listeners and connections.
            log: the event log.
            random: source of the incarnation and of election timeouts.
            disk: the disk's identity.
            journal: the disk's opened journal.
        """
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.tasks: list[Task] = []
        self.clients = RpcClients(scheduler, network, log)
        self.replicated_state = ReplicatedState()
        incarnation = f"{random.getrandbits(48):012x}"
        source = f"{settings.name}/{incarnation}"
        self.membership = self.build_membership(source)
        self.listener = RpcServer(scheduler, network, log, settings.wire_address, self.on_message)
        self.consensus = self.build_consensus(disk, journal, random)
        self.readiness = NodeReadiness(settings, self.consensus, self.replicated_state)
        self.voters = VoterManager(scheduler, self.consensus, self.membership)
        reader_role = ReaderRole(settings, self.consensus, self.replicated_state)
        self.platform = PlatformReader(
            settings, scheduler, network, log, f"servers@{source}", reader_role
        )
        self.build_leader_parts(f"members@{source}")
        self.build_aggregator()
        self.register_callbacks()
        self.control_api = self.build_control_api()
        self.rpc_handlers = self.build_rpc_handlers()
        self.departure = ConsensusDeparture(
            scheduler, log, self.clients, self.consensus, self.voters
        )
        self.session = self.build_session(incarnation, disk)

    # Composition.

    def build_membership(self, source: str) -> Membership:
        """Return a membership without sessions.

        Args:
            source: name of this run of the node, under which peers keep its sessions.
        """
        timeout_seconds = max(MIN_SESSION_TIMEOUT_SECONDS, 2 * self.settings.term_seconds)
        return Membership(self.scheduler, source, timeout_seconds, self.settings.gone_seconds)

    def build_consensus(self, disk: str, journal: Journal, random: Random) -> Consensus:
        """Return this node's member of the consensus group."""
        settings = self.settings
        return Consensus(
            self.scheduler,
            self.clients,
            self.log,
            journal,
            self.replicated_state,
            settings.name,
            disk,
            self.listener.address,
            settings.seeds,
            ConsensusSettings(
                settings.beat_seconds,
                settings.election_seconds,
                settings.term_seconds,
                settings.replace_seconds,
                settings.image_records,
                settings.may_found,
                settings.disk_bytes,
            ),
            random,
        )

    def build_leader_parts(self, members_source: str) -> None:
        """Create the components that answer edges and operators, and those of the leader.

        Args:
            members_source: name of this run's membership in the versions that nodes keep.
        """
        settings, scheduler, log = self.settings, self.scheduler, self.log
        consensus, state, membership = self.consensus, self.replicated_state, self.membership
        self.renewals = LeaseRenewals(
            settings, scheduler, log, consensus, state, membership, self.platform, members_source
        )
        self.operator_requests = OperatorRequests(
            scheduler, log, consensus, state, membership, self.renewals.leases, self.voters
        )
        export_metrics(
            scheduler,
            self.network,
            log,
            ControlMetrics(consensus, state, self.renewals).all,
            settings.metrics_address,
            settings.metrics_log_seconds,
        )
        roles: tuple[str, ...] = (AGGREGATOR_ROLE,)
        if settings.reader_duty:
            roles = (AGGREGATOR_ROLE, SERVER_LIST_READER_ROLE)
        self.role_assigner = RoleAssigner(scheduler, log, consensus, state, membership, roles)
        self.derived_watches = DerivedWatchManager(
            log, consensus, state, self.renewals.served_objects, settings.derive_watches
        )

    def build_aggregator(self) -> None:
        """Create the aggregator and the component that submits its decisions to the leader."""
        self.soft_state = SoftStateExchange(self.scheduler, self.membership, self.platform)
        self.decisions = HealthDecisions(
            self.scheduler, self.log, self.clients, self.consensus, self.replicated_state
        )
        self.aggregator = Aggregator(
            self.settings,
            self.scheduler,
            self.replicated_state,
            self.membership,
            self.decisions.submit,
            self.soft_state.peer_clock,
        )

    def register_callbacks(self) -> None:
        """Attach soft state to heartbeats, and notify held renewals of new state."""
        self.consensus.payloads.heartbeat_payload = self.soft_state.payload
        self.consensus.payloads.on_payload = self.soft_state.receive
        self.consensus.add_applied_listener(self.renewals.notify_waiting_renewals)
        self.platform.on_change = self.renewals.notify_waiting_renewals

    def build_control_api(self) -> ControlApi:
        """Return the control API, already listening."""
        return ControlApi(
            self.scheduler,
            self.network,
            self.log,
            self.clients,
            self.settings.control_address,
            self.leader,
            self.other_control_nodes,
            self.operator_requests.serve,
            self.readiness.report,
            None,
        )

    def build_rpc_handlers(self) -> RpcHandlers:
        """Return the dispatcher of requests from other processes."""
        return RpcHandlers(
            self.scheduler,
            self.log,
            self.clients,
            self.consensus,
            self.platform,
            self.renewals,
            self.operator_requests,
            self.control_api,
            IdempotencyKeys(self.clients, self.consensus),
            self.decisions,
            self.voters,
            self.aggregator,
        )

    def build_session(self, incarnation: str, disk: str) -> Session:
        """Return this node's own session."""
        return Session(
            name=self.settings.name,
            role=NodeRole.CONTROL.value,
            zone=self.settings.zone,
            machine=self.settings.machine,
            rpc_address=self.listener.address,
            control_address=self.control_api.listener.address,
            incarnation=incarnation,
            disk=disk,
        )

    # Life cycle.

    def start(self) -> None:
        """Join the consensus group and start the tasks."""
        self.log.write(
            STARTED,
            role=NodeRole.CONTROL.value,
            zone=self.settings.zone,
            wire=self.session.rpc_address,
            control=self.session.control_address,
            disk=self.session.disk,
        )
        self.consensus.start()
        create_task = self.scheduler.create_task
        self.tasks = [
            create_task(self.maintain_cluster(), name="cluster maintenance"),
            create_task(self.voters.run(), name="voters"),
            create_task(self.aggregator.run(), name="aggregator"),
            create_task(self.maintain_sessions(), name="sessions"),
        ]
        if self.settings.platform_address:
            self.tasks.append(create_task(self.platform.run(), name="platform"))

    def follow(self, settings: Settings) -> None:
        """Apply changed settings; only the seeds can change while the process runs."""
        self.consensus.seeds = settings.seeds

    async def stop(self) -> None:
        """Shut down: hand over roles and voter membership, then finish open requests."""
        until = self.scheduler.now() + min(self.settings.stop_seconds, MAX_DEPARTURE_SECONDS)
        self.readiness.stopping = True
        self.log.write(STOPPING)
        self.session.ready = False
        await self.role_assigner.hand_over(self.settings.name)
        await self.departure.leave(until)
        self.control_api.listener.stop_accepting()
        await self.control_api.listener.finish(max(FINISH_SECONDS, until - self.scheduler.now()))
        for task in self.tasks:
            task.cancel()
        self.log.write(STOPPED)

    async def maintain_cluster(self) -> None:
        """Assign roles and derive watches while this node leads."""
        while True:
            await self.scheduler.sleep(MAINTENANCE_INTERVAL_SECONDS)
            if self.consensus.leader_ready:
                await self.role_assigner.assign_roles()
            # The node may have lost leadership while it waited for a commit.
            if self.consensus.leader_ready:
                await self.derived_watches.refresh()

    async def maintain_sessions(self) -> None:
        """Renew this node's own session and expire the sessions that were not renewed."""
        while True:
            self.session.ready = not self.readiness.stopping
            self.session.applied = self.consensus.applied_index
            self.membership.renew(replace(self.session))
            self.renewals.expire_sessions()
            await self.scheduler.sleep(OWN_SESSION_INTERVAL_SECONDS)

    # Callbacks of other components.

    def on_message(self, message: Message, reply: Reply) -> None:
        """Answer a request of another process.

        The listener is created before `rpc_handlers`, which depend on its address.
        """
        self.rpc_handlers.handle(message, reply)

    def leader(self) -> str:
        """Return the leader's address, LOCAL_LEADER if this node leads, or "" if unknown."""
        return leader_location(self.consensus)

    def other_control_nodes(self) -> list[str]:
        """Return the addresses of the other voters."""
        return [
            address
            for address in self.consensus.voters.values()
            if address != self.session.rpc_address
        ]

    @property
    def ready(self) -> bool:
        """True if the node should receive operators' requests."""
        return self.readiness.ready
