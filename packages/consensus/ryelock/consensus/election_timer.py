"""The randomised election timeout (Raft, section 5.2)."""

from random import Random

from ryelock.consensus.state import MemberState


class ElectionTimer:
    """When this member campaigns unless it hears a leader or grants a vote before."""

    __slots__ = ("deadline", "random", "state")

    def __init__(self, state: MemberState, random: Random) -> None:
        """Create a timer that runs from now on."""
        self.state = state
        self.random = random
        self.deadline = 0.0
        self.reset()

    def reset(self) -> None:
        """Start a new timeout of random length.

        It is shorter in a process that has heard no leader yet: after a restart of all members
        nobody leads, and a pre-vote disturbs nobody who does.
        """
        timeout = self.state.settings.election_timeout
        if self.state.last_leader_contact_at is None:
            delay = timeout * (0.1 + 0.5 * self.random.random())
        else:
            delay = timeout * (1 + 0.7 * self.random.random())
        self.deadline = self.state.now() + delay

    @property
    def expired(self) -> bool:
        """Whether the timeout is over."""
        return self.state.now() >= self.deadline
