"""Reports to operators when a member has had no leader contact for a while."""

from ryelock.consensus.state import MemberState
from ryelock.events import LEADER_FOUND, LEADER_LOST

ISOLATED_TIMEOUTS = 3
"""How long without leader contact before a member is isolated, in election timeouts."""


class IsolationMonitor:
    """Logs an event when a member becomes isolated and when it has leader contact again.

    Attributes:
        last_led_at: When this member last was leader, or started.
    """

    __slots__ = ("isolated", "last_led_at", "state")

    def __init__(self, state: MemberState) -> None:
        """Create the monitor of a member that starts now."""
        self.state = state
        self.isolated = False
        self.last_led_at = state.now()

    def record_leading(self) -> None:
        """Record that this member is leader now."""
        self.last_led_at = self.state.now()

    def check(self) -> None:
        """Log an event if the member became isolated or found a leader."""
        state = self.state
        contact_at = self.last_led_at
        if state.last_leader_contact_at is not None:
            contact_at = max(contact_at, state.last_leader_contact_at)
        limit = ISOLATED_TIMEOUTS * state.settings.election_timeout
        isolated = state.now() - contact_at > limit
        if isolated != self.isolated:
            self.isolated = isolated
            state.log.write(LEADER_LOST if isolated else LEADER_FOUND, epoch=state.term)
