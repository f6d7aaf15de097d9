"""Leases that voters grant to edges while there is no leader.

An edge with leases from a majority of the voters may continue to serve: none of these voters
follows or votes for a leader until its lease expires, so no new configuration can be committed
in the meantime. A voter persists that a lease may be active before granting the first one, and
after a restart follows no leader for the longest lease duration. See docs/design.md.
"""

from ryelock.consensus.messages import LeaseReply, LeaseRequest
from ryelock.consensus.state import MemberState, seconds_since

RESTART_LEASE_FACTOR = 1.1
"""Factor on the longest lease after a restart, because clocks may drift."""
UNREACHABLE_TIMEOUTS = 3
"""How long a failure to reach a majority allows granting leases, in election timeouts."""


class QuorumLease:
    """The lease granted by this voter, if any.

    Attributes:
        granted_until: Before this time, the member neither follows nor votes for a leader.
        majority_unreachable_at: When requests last failed to reach a majority of the voters; None
            if the latest requests reached one.
    """

    __slots__ = ("granted_until", "majority_unreachable_at", "state")

    def __init__(self, state: MemberState) -> None:
        """Create the lease state of a newly started member."""
        self.state = state
        self.majority_unreachable_at: float | None = None
        self.granted_until: float | None = None
        if state.replicated_log.lease_may_be_active:
            self.granted_until = state.now() + state.settings.lease_seconds * RESTART_LEASE_FACTOR

    @property
    def active(self) -> bool:
        """True while this member must not follow a leader."""
        return self.granted_until is not None and self.state.now() < self.granted_until

    def record_reachability(self, majority_reached: bool) -> None:
        """Record whether requests to all voters reached a majority."""
        self.majority_unreachable_at = None if majority_reached else self.state.now()

    def on_request(self, request: LeaseRequest) -> LeaseReply:
        """Handle a lease request from an edge."""
        granted = False
        if isinstance(request.seconds, float):
            granted = self.grant(request.seconds)
        log = self.state.replicated_log
        return LeaseReply(
            granted=granted,
            sender=self.state.disk,
            voters=sorted(self.state.voters),
            last_command_index=log.last_command_index(),
            configuration=list(log.configuration_position()),
        )

    def grant(self, seconds: float) -> bool:
        """Grant a lease if permitted: follow no leader for `seconds`; return True if granted."""
        if not self.may_grant(seconds):
            return False
        log = self.state.replicated_log
        if not log.lease_may_be_active and not log.save_lease_flag(True):
            return False
        until = self.state.now() + seconds
        self.granted_until = until if self.granted_until is None else max(self.granted_until, until)
        return True

    def may_grant(self, seconds: float) -> bool:
        """Return True if this member is a voter without a leader that reaches no majority."""
        since_unreachable = seconds_since(self.state.now(), self.majority_unreachable_at)
        return (
            self.state.disk in self.state.voters
            and not self.state.knows_leader()
            and 0 < seconds <= self.state.settings.lease_seconds
            and since_unreachable < UNREACHABLE_TIMEOUTS * self.state.settings.election_timeout
        )

    def clear_lease_flag(self) -> None:
        """Persist that no lease is active; called when this member follows a leader again."""
        if self.state.replicated_log.lease_may_be_active:
            self.state.replicated_log.save_lease_flag(False)
