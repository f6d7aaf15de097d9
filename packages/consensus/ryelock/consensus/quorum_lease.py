"""Leases that voters grant to edges while there is no leader.

An edge that holds leases of a majority of the voters may go on serving: none of these voters
follows a leader or votes for one until its lease has ended, so no new configuration can be
committed meanwhile. The voter notes on disk that a lease may be in force before it grants the
first, and after a restart follows nobody for the length of the longest lease.
See docs/design.md.
"""

from ryelock.consensus.messages import LeaseReply, LeaseRequest
from ryelock.consensus.state import MemberState, seconds_since

RESTART_MARGIN = 1.1
"""After a restart a lease counts for so many times its longest length: clocks may run apart."""
UNREACHABLE_TIMEOUTS = 3
"""A round that reached no majority counts for so many election timeouts."""


class QuorumLease:
    """The lease that this voter has granted, if any.

    Attributes:
        granted_until: This member follows no leader and votes for none before that moment.
        majority_unreachable_at: When a round of requests last reached no majority of the voters;
            None where the last one did.
    """

    __slots__ = ("granted_until", "majority_unreachable_at", "state")

    def __init__(self, state: MemberState) -> None:
        """Create the lease of a member that has just started."""
        self.state = state
        self.majority_unreachable_at: float | None = None
        self.granted_until: float | None = None
        if state.replicated_log.lease_may_be_active:
            self.granted_until = state.now() + state.settings.lease_seconds * RESTART_MARGIN

    @property
    def active(self) -> bool:
        """Whether this member may follow no leader now."""
        return self.granted_until is not None and self.state.now() < self.granted_until

    def record_reachability(self, majority_reached: bool) -> None:
        """Note whether a round of requests reached a majority of the voters."""
        self.majority_unreachable_at = None if majority_reached else self.state.now()

    def on_request(self, request: LeaseRequest) -> LeaseReply:
        """Grant a lease to an edge where no leader can be had."""
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
        """Follow no leader for so many seconds; False where that must not be granted."""
        if not self.may_grant(seconds):
            return False
        log = self.state.replicated_log
        if not log.lease_may_be_active and not log.save_lease_flag(True):
            return False
        until = self.state.now() + seconds
        self.granted_until = until if self.granted_until is None else max(self.granted_until, until)
        return True

    def may_grant(self, seconds: float) -> bool:
        """Whether this member is a voter without a leader that can reach no majority."""
        silence = seconds_since(self.state.now(), self.majority_unreachable_at)
        return (
            self.state.disk in self.state.voters
            and not self.state.knows_leader()
            and 0 < seconds <= self.state.settings.lease_seconds
            and silence < UNREACHABLE_TIMEOUTS * self.state.settings.election_timeout
        )

    def clear_lease_flag(self) -> None:
        """Note on disk that no lease is in force; called once a leader is followed again."""
        if self.state.replicated_log.lease_may_be_active:
            self.state.replicated_log.save_lease_flag(False)
