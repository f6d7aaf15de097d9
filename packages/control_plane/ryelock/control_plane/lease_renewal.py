"""Session and lease renewal at the leader, with the state updates sent in the responses.

A lease is granted only if a majority of the voters answered this leader within the minimum election
timeout, during which they grant no vote to another candidate (Raft, section 6.4.1 of Ongaro's
dissertation). The lease duration counts from that contact.
"""

from ryelock.consensus import Consensus
from ryelock.control_plane.configuration_updates import ConfigurationUpdates
from ryelock.control_plane.edge_leases import EdgeLeases
from ryelock.control_plane.errors import MalformedRenewalError
from ryelock.control_plane.failed_callers import FailedCallers
from ryelock.control_plane.membership_changes import MembershipChanges
from ryelock.control_plane.platform import PlatformReader
from ryelock.control_plane.quota_shares import EdgeQuota, QuotaShares
from ryelock.control_plane.renewal_messages import (
    STATE_SOURCE,
    CachedObject,
    NotLeaderResponse,
    RejectedRenewalResponse,
    RenewalRequest,
    RenewalResponse,
    UnconfirmedRenewalResponse,
)
from ryelock.events import SESSION_ENDED, SESSION_STARTED, Log
from ryelock.membership import Membership
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, Reply
from ryelock.runtime import Queue, Scheduler
from ryelock.settings import NodeRole, Settings

MAX_MAJORITY_AGE_RATIO = 0.9
"""Maximum age of the majority contact for a lease, as a fraction of the election timeout."""
MAX_HOLD_WITHOUT_SHARE_SECONDS = 0.1
"""Maximum hold of a response to an edge that has no share of a service yet."""
MAX_HOLD_SECONDS = 5.0
"""Maximum time that a response is held until there is new state to send."""


class LeaseRenewals:
    """Answers renewal requests and expires the sessions that were not renewed."""

    __slots__ = (
        "configuration_updates",
        "consensus",
        "failed_callers",
        "leases",
        "log",
        "membership",
        "membership_changes",
        "platform",
        "quota",
        "replicated_state",
        "scheduler",
        "served_objects",
        "waiting_renewals",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        membership: Membership,
        platform: PlatformReader,
        source: str,
    ) -> None:
        """Create the service without sessions.

        Args:
            settings: the node's settings.
            scheduler: clock and tasks.
            log: the event log.
            consensus: this node's member of the consensus group.
            replicated_state: the replicated state of this node.
            membership: sessions of all nodes.
            platform: reader of the platform's server list.
            source: name of this run's membership in the versions that nodes keep.
        """
        self.scheduler = scheduler
        self.log = log
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.membership = membership
        self.platform = platform
        self.leases = EdgeLeases(settings, scheduler, consensus)
        self.quota = QuotaShares(settings, self.leases, replicated_state)
        self.configuration_updates = ConfigurationUpdates(consensus, replicated_state)
        self.membership_changes = MembershipChanges(membership, source)
        self.failed_callers = FailedCallers(f"failed@{source}")
        self.served_objects: dict[str, CachedObject] = {}
        self.waiting_renewals: dict[int, Queue[bool]] = {}

    def notify_waiting_renewals(self) -> None:
        """Wake the renewals that wait for new state, so that they check for it."""
        for wakeups in self.waiting_renewals.values():
            wakeups.put(True)

    async def renew(self, message: Message, reply: Reply) -> None:
        """Answer one node's renewal; the response is held until there is new state for the node."""
        if not self.consensus.leader_ready:
            reply(NotLeaderResponse(self.consensus.leader_address).to_wire())
            return
        if self.leases.begin_term():
            self.quota.reset()
        try:
            request = RenewalRequest.from_wire(message)
        except MalformedRenewalError as error:
            reply(RejectedRenewalResponse(str(error)).to_wire())
            return
        if self.is_outdated(request):
            reply(RejectedRenewalResponse("an older ask").to_wire())
            return
        self.record_report(request)
        await self.wait_for_update(request)
        # This node may have lost leadership while the renewal waited.
        if not self.consensus.leader_ready or self.leases.term != self.consensus.term:
            reply(NotLeaderResponse(self.consensus.leader_address).to_wire())
            return
        reply(self.build_response(request))

    def is_outdated(self, request: RenewalRequest) -> bool:
        """Return True if a later request of the same run of the node was already processed.

        Requests may arrive out of order. An older one may report quota as held that the node has
        returned since.
        """
        session = self.membership.sessions.get(request.session.name)
        return (
            session is not None
            and session.incarnation == request.session.incarnation
            and request.sequence <= session.sequence
        )

    def record_report(self, request: RenewalRequest) -> None:
        """Record the session, applied index, demand and failures that a node reports."""
        session = request.session
        session.sequence = request.sequence
        if self.membership.renew(session):
            self.log.write(
                SESSION_STARTED, member=session.name, zone=session.zone, role=session.role
            )
        self.leases.table.acknowledge(request.node_run, request.applied_index)
        self.served_objects.update(
            (route, served)
            for route, served in request.served_objects.items()
            if route in self.replicated_state.derivable
        )
        self.failed_callers.report(session.name, request.failed_callers)
        self.quota.report_demand(
            session.name, request.demand, request.waiting, self.scheduler.now()
        )

    async def wait_for_update(self, request: RenewalRequest) -> None:
        """Wait until there is new state or quota for a node, at most as long as it allows."""
        until = self.scheduler.now() + min(MAX_HOLD_SECONDS, max(0.0, request.hold_seconds))
        received_at = until - request.hold_seconds
        wakeups: Queue[bool] = Queue(self.scheduler)
        self.waiting_renewals[id(wakeups)] = wakeups
        try:
            while not self.has_update(request.versions) and self.scheduler.now() < until:
                pause = self.seconds_until_quota(request, received_at)
                if pause <= 0:
                    break
                await wakeups.get(min(pause, until - self.scheduler.now()))
        finally:
            del self.waiting_renewals[id(wakeups)]

    def seconds_until_quota(self, request: RenewalRequest, received_at: float) -> float:
        """Return the seconds until a node may get quota; infinite if it waits for none."""
        now, edge_count = self.scheduler.now(), len(self.edges())
        pause = self.quota.seconds_until_grant(request.waiting, edge_count, now)
        if self.quota.lacks_share(request.holding, edge_count):
            pause = min(pause, received_at + MAX_HOLD_WITHOUT_SHARE_SECONDS - now)
        return pause

    def has_update(self, versions: dict[str, int]) -> bool:
        """Return True if a node with these versions lacks state that it should get at once."""
        server_list = self.platform.current_list(self.scheduler.now())
        return (
            versions.get(STATE_SOURCE, 0) < self.consensus.applied_command_index
            or self.membership_changes.source not in versions
            or (
                server_list is not None
                and versions.get(self.platform.source) != server_list.version
            )
        )

    def edges(self) -> list[str]:
        """Return the sorted names of the edges that have a session with this node."""
        return sorted(
            name
            for name, session in self.membership.sessions.items()
            if session.role == NodeRole.EDGE
        )

    def build_response(self, request: RenewalRequest) -> Message:
        """Return the response to a request.

        It grants a lease only if a recent majority contact proves that there is no newer leader.
        """
        now = self.scheduler.now()
        age = max(0.0, now - self.consensus.majority_contact_at())
        if age >= MAX_MAJORITY_AGE_RATIO * self.consensus.settings.election_timeout:
            return UnconfirmedRenewalResponse(age, request.applied_index).to_wire()
        return RenewalResponse(
            majority_age_seconds=age,
            update=self.configuration_updates.update_since(request.applied_index),
            quota=self.grant_lease(request, now) if request.session.role == NodeRole.EDGE else None,
            server_list=self.platform.update_for_node(request.versions, now),
            failed_callers=self.failed_callers.update_for(request.session.name, request.versions),
            members=self.members_for(request.versions),
        ).to_wire()

    def grant_lease(self, request: RenewalRequest, now: float) -> EdgeQuota:
        """Record a lease for an edge and return the quota that comes with it."""
        self.leases.grant(request.node_run, now)
        return self.quota.allocate(
            request.session.name, self.edges(), request.holding, request.waiting, now
        )

    def members_for(self, versions: dict[str, int]) -> Message | None:
        """Return the membership update for a node; None if it has the current version."""
        version = versions.get(self.membership_changes.source)
        if version == self.membership_changes.refresh():
            return None
        return self.membership_changes.update_since(version)

    def leave(self, message: Message, reply: Reply) -> None:
        """End the session of a node that shuts down.

        The node serves no more requests, so its quota and its leases are released at once.
        """
        name, incarnation = str(message.get("name")), str(message.get("incarnation"))
        left = self.membership.leave(name, incarnation)
        if left:
            self.quota.release_edge(name)
            self.leases.table.revoke((name, incarnation))
            self.membership_changes.refresh()
        reply({"ok": left})

    def expire_sessions(self) -> None:
        """Expire the sessions that were not renewed in time."""
        for session in self.membership.expire():
            self.quota.remove_edge(session.name)
            self.log.write(SESSION_ENDED, member=session.name, zone=session.zone, role=session.role)
        self.membership_changes.refresh()
