"""Being leader: contact with a majority, and stepping down."""

from ryelock.consensus.election_timer import ElectionTimer
from ryelock.consensus.errors import LeadershipLostError
from ryelock.consensus.followers import Followers
from ryelock.consensus.pending import PendingProposals
from ryelock.consensus.state import MemberState, Role

NEVER_CONTACTED = -1e9
"""The moment of a contact that never was, in seconds of the steady clock.

It stays a number: leases carry the age of the contact on the wire.
"""
STEP_DOWN_TIMEOUTS = 1.5
"""A leader that no majority answered for so many election timeouts steps down."""


class Leadership:
    """Ends this member's leadership, and knows what it rests on while it lasts."""

    __slots__ = ("followers", "pending", "state", "timer")

    def __init__(
        self,
        state: MemberState,
        timer: ElectionTimer,
        followers: Followers,
        pending: PendingProposals,
    ) -> None:
        """Create the leadership of a member that does not lead."""
        self.state = state
        self.timer = timer
        self.followers = followers
        self.pending = pending

    def step_down(self, reason: str) -> None:
        """Become a follower without a leader; proposals that wait fail, as uncertain."""
        if not self.state.is_leader:
            return
        self.state.role = Role.FOLLOWER
        self.state.leader = ""
        self.state.leader_address = ""
        self.followers.drop_all()
        self.pending.fail_all(LeadershipLostError(reason))
        self.timer.reset()

    def observe_term(self, term: int) -> None:
        """Enter a higher term that was seen, as a follower (Raft, section 5.1)."""
        if term <= self.state.term:
            return
        self.step_down("a higher epoch")  # Operators are answered this text.
        self.state.role = Role.FOLLOWER
        self.state.save_vote(term, "")

    def majority_contact_at(self) -> float:
        """Return when the newest request was sent that a majority has answered.

        Answers prove that the voters still followed when it was sent. Leases and confirmed reads
        rest on this (dissertation, sections 6.4.1 and 6.4). `NEVER_CONTACTED` where there is none.
        """
        moments = sorted(self.contact_at(disk) for disk in self.state.voters)
        return moments[len(moments) - self.state.majority] if moments else NEVER_CONTACTED

    def contact_at(self, disk: str) -> float:
        """Return when the newest request was sent that one voter has answered."""
        if disk == self.state.disk:
            return self.state.now()
        follower = self.followers.by_disk.get(disk)
        if follower is None or follower.last_contact_at is None:
            return NEVER_CONTACTED
        return follower.last_contact_at

    def lost_majority(self) -> bool:
        """Whether no majority has answered for too long (dissertation, section 6.2)."""
        elected_at = NEVER_CONTACTED if self.state.elected_at is None else self.state.elected_at
        silence = self.state.now() - max(self.majority_contact_at(), elected_at)
        return silence > self.state.settings.election_timeout * STEP_DOWN_TIMEOUTS
