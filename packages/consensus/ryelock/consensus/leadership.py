"""Leadership: contact with a majority, and stepping down."""

from ryelock.consensus.election_timer import ElectionTimer
from ryelock.consensus.errors import LeadershipLostError
from ryelock.consensus.followers import Followers
from ryelock.consensus.pending import PendingProposals
from ryelock.consensus.state import MemberState, Role

NEVER_CONTACTED = -1e9
"""Stands for the time of a contact that never happened.

It is finite, because leases send the age of the last contact on the wire.
"""
STEP_DOWN_TIMEOUTS = 1.5
"""How long without majority contact before a leader steps down, in election timeouts."""


class Leadership:
    """Tracks a leader's contact with a majority, and makes it step down."""

    __slots__ = ("followers", "pending", "state", "timer")

    def __init__(
        self,
        state: MemberState,
        timer: ElectionTimer,
        followers: Followers,
        pending: PendingProposals,
    ) -> None:
        """Create the leadership component of a member that is not the leader."""
        self.state = state
        self.timer = timer
        self.followers = followers
        self.pending = pending

    def step_down(self, reason: str) -> None:
        """Become a follower without a leader; pending proposals fail with uncertain outcome."""
        if not self.state.is_leader:
            return
        self.state.role = Role.FOLLOWER
        self.state.leader = ""
        self.state.leader_address = ""
        self.followers.drop_all()
        self.pending.fail_all(LeadershipLostError(reason))
        self.timer.reset()

    def observe_term(self, term: int) -> None:
        """Become a follower in a higher term that was observed (Raft, section 5.1)."""
        if term <= self.state.term:
            return
        self.step_down("a higher epoch")  # This text is sent to operators.
        self.state.role = Role.FOLLOWER
        self.state.save_vote(term, "")

    def majority_contact_at(self) -> float:
        """Return the send time of the newest request that a majority has answered.

        Replies prove that the voters still followed this leader at the send time. Leases and
        confirmed reads depend on it (dissertation, sections 6.4.1 and 6.4). `NEVER_CONTACTED` if no
        majority has replied.
        """
        moments = sorted(self.contact_at(disk) for disk in self.state.voters)
        return moments[len(moments) - self.state.majority] if moments else NEVER_CONTACTED

    def contact_at(self, disk: str) -> float:
        """Return the send time of the newest request that a voter has answered."""
        if disk == self.state.disk:
            return self.state.now()
        follower = self.followers.by_disk.get(disk)
        if follower is None or follower.last_contact_at is None:
            return NEVER_CONTACTED
        return follower.last_contact_at

    def lost_majority(self) -> bool:
        """Return True if no majority has replied for too long (dissertation, section 6.2)."""
        elected_at = NEVER_CONTACTED if self.state.elected_at is None else self.state.elected_at
        silence = self.state.now() - max(self.majority_contact_at(), elected_at)
        return silence > self.state.settings.election_timeout * STEP_DOWN_TIMEOUTS
