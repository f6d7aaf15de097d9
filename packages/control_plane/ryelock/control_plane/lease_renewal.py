"""The leader's side of lease renewal: sessions, and what each node lacks of the soft state.

A lease is granted only while the leader's own contact with a majority is younger than the shortest
silence after which a voter could take part in an election (Raft, section 6.4.1 of Ongaro's
dissertation), and it lasts one lease less that age.
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

MAX_MAJORITY_AGE = 0.9
"""No lease is granted on a majority contact older than this part of the election timeout."""
MISSING_SHARE_SECONDS = 0.1
"""An edge without a share of a service is answered after so long at the latest."""
MAX_HOLD_SECONDS = 5.0
"""A response is held back for so long at most while there is nothing new."""


class LeaseRenewals:
    """Answers renewals of sessions, and ends the sessions that were not renewed."""

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
        """Create the answering side; `source` names this run's membership in nodes' versions."""
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

    def wake_waiting(self) -> None:
        """There is something new: let all renewals that wait look for it."""
        for wakeups in self.waiting_renewals.values():
            wakeups.put(True)

    async def renew(self, message: Message, reply: Reply) -> None:
        """Answer one node's renewal, held back a little while there is nothing new for it."""
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
        self.record(request)
        await self.wait_for_update(request)
        # This leader may have been deposed while the renewal waited.
        if not self.consensus.leader_ready or self.leases.term != self.consensus.term:
            reply(NotLeaderResponse(self.consensus.leader_address).to_wire())
            return
        reply(self.respond(request))

    def is_outdated(self, request: RenewalRequest) -> bool:
        """Tell whether a later request of the same run of the node was taken already.

        Requests may overtake each other on the way: what an older one reports as held was given
        back since.
        """
        session = self.membership.sessions.get(request.session.name)
        return (
            session is not None
            and session.incarnation == request.session.incarnation
            and request.sequence <= session.sequence
        )

    def record(self, request: RenewalRequest) -> None:
        """Take over what a node reports of itself."""
        session = request.session
        session.sequence = request.sequence
        if self.membership.renew(session):
            self.log.write(
                SESSION_STARTED, member=session.name, zone=session.zone, role=session.role
            )
        self.leases.table.acknowledge(request.node, request.applied_index)
        self.served_objects.update(
            (route, served)
            for route, served in request.served_objects.items()
            if route in self.replicated_state.derivable
        )
        self.failed_callers.report(session.name, request.failed_callers)
        self.quota.report(session.name, request.demand, request.waiting, self.scheduler.now())

    async def wait_for_update(self, request: RenewalRequest) -> None:
        """Wait until there is something new for a node, for the time that it allows at most."""
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
        """Return seconds until a node may get quota that it waits for; infinite for never."""
        now, edge_count = self.scheduler.now(), len(self.edges())
        pause = self.quota.seconds_until_grant(request.waiting, edge_count, now)
        if self.quota.lacks_share(request.holding, edge_count):
            pause = min(pause, received_at + MISSING_SHARE_SECONDS - now)
        return pause

    def has_update(self, versions: dict[str, int]) -> bool:
        """Tell whether a node with these versions lacks something that is worth waking it for."""
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
        """Return the names of all edges with a session here, sorted."""
        return sorted(
            name
            for name, session in self.membership.sessions.items()
            if session.role == NodeRole.EDGE
        )

    def respond(self, request: RenewalRequest) -> Message:
        """Return the response to a request, with a lease where this leader is certain to lead."""
        now = self.scheduler.now()
        age = max(0.0, now - self.consensus.majority_contact_at())
        if age >= MAX_MAJORITY_AGE * self.consensus.settings.election_timeout:
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
        """Record a lease for an edge and return what the edge may spend under it."""
        self.leases.grant(request.node, now)
        return self.quota.allocate(
            request.session.name, self.edges(), request.holding, request.waiting, now
        )

    def members_for(self, versions: dict[str, int]) -> Message | None:
        """Return the members for a node; None where it has the present version."""
        version = versions.get(self.membership_changes.source)
        if version == self.membership_changes.refresh():
            return None
        return self.membership_changes.update_since(version)

    def leave(self, message: Message, reply: Reply) -> None:
        """End the session of a node that stops: it serves no more, so its quota is free."""
        name, incarnation = str(message.get("name")), str(message.get("incarnation"))
        left = self.membership.leave(name, incarnation)
        if left:
            self.quota.release(name)
            self.leases.table.revoke((name, incarnation))
            self.membership_changes.refresh()
        reply({"ok": left})

    def expire_sessions(self) -> None:
        """End the sessions that were not renewed in time."""
        for session in self.membership.expire():
            self.quota.forget(session.name)
            self.log.write(SESSION_ENDED, member=session.name, zone=session.zone, role=session.role)
        self.membership_changes.refresh()
