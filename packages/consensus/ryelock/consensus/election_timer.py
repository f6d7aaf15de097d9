"""The randomised election timeout (Raft, section 5.2)."""

from random import Random

from ryelock.consensus.state import MemberState


class ElectionTimer:
    """Timer until this member campaigns, reset on leader contact and on a granted vote."""

    __slots__ = ("deadline", "random", "state")

    def __init__(self, state: MemberState, random: Random) -> None:
        """Create and start the timer."""
        self.state = state
        self.random = random
        self.deadline = 0.0
        self.reset()

    def reset(self) -> None:
        """Start a new randomised timeout.

        The timeout is shorter in a process that has had no leader contact: after a restart of all
        members there is no leader, and if there is one, the pre-vote does not disturb it.
        """
        timeout = self.state.settings.election_timeout
        if self.state.last_leader_contact_at is None:
            delay = timeout * (0.1 + 0.5 * self.random.random())
        else:
            delay = timeout * (1 + 0.7 * self.random.random())
        self.deadline = self.state.now() + delay

    @property
    def expired(self) -> bool:
        """True once the timeout has passed."""
        return self.state.now() >= self.deadline
