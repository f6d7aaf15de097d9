"""Tells operators when a member has heard no leader for a while."""

from ryelock.consensus.state import MemberState
from ryelock.events import LEADER_FOUND, LEADER_LOST

ISOLATED_TIMEOUTS = 3
"""Election timeouts without a leader after which a member counts as isolated."""


class IsolationMonitor:
    """Writes one event when a member becomes isolated, and one when it hears a leader again.

    Attributes:
        last_led_at: When this member last led, or started.
    """

    __slots__ = ("isolated", "last_led_at", "state")

    def __init__(self, state: MemberState) -> None:
        """Create the monitor of a member that starts now."""
        self.state = state
        self.isolated = False
        self.last_led_at = state.now()

    def record_leading(self) -> None:
        """Note that this member leads now."""
        self.last_led_at = self.state.now()

    def check(self) -> None:
        """Write an event where the member has become isolated or found its leader."""
        state = self.state
        heard_at = self.last_led_at
        if state.last_leader_contact_at is not None:
            heard_at = max(heard_at, state.last_leader_contact_at)
        limit = ISOLATED_TIMEOUTS * state.settings.election_timeout
        isolated = state.now() - heard_at > limit
        if isolated != self.isolated:
            self.isolated = isolated
            state.log.write(LEADER_LOST if isolated else LEADER_FOUND, epoch=state.term)
