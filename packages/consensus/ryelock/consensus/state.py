"""The state of one member: Raft's figure 2, "persistent state" and "volatile state".

The persistent part (term, vote, log) is `ReplicatedLog`; the volatile part is here. The parts of a
member (election, replicator, applier, ...) share one `MemberState`. It is changed by the owner's
task of `Consensus` only, but for `Election.campaign`, whose steps check again after each wait
whether they still apply.
"""

import math
from enum import StrEnum

from ryelock.consensus.entries import Entry, EntryKind, Snapshot, Voters, majority_of
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.settings import ConsensusSettings
from ryelock.events import Log
from ryelock.runtime import Scheduler


class Role(StrEnum):
    """What a member is in its current term (Raft, section 5.1)."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


def seconds_since(now: float, moment: float | None) -> float:
    """Return seconds from a moment to now; infinity where the moment never came."""
    return math.inf if moment is None else now - moment


class MemberState:
    """Who this member is, and its volatile state.

    Attributes:
        replicated_log: The persistent state.
        voters: Addresses of the voters by disk: those of the newest entry that names any, whether
            committed or not (dissertation, section 4.1).
        commit_index: The last index known to be committed.
        applied_index: The last index applied to the state machine; never above commit_index.
        applied_command_index: The last applied index whose entry was a command for all replicas.
        leader: The disk of the leader that this member follows; empty where it knows none.
        last_leader_contact_at: When a message of a leader of the current term last came.
        elected_at: When this member last became leader.
        leader_ready_at: When it had applied an entry of the term that it last led.
        disk_failed_at: When the disk last refused a write that an election rests on.
        leaving: Whether a planned stop is under way; such a member does not campaign.
    """

    __slots__ = (
        "address",
        "applied_command_index",
        "applied_index",
        "commit_index",
        "disk",
        "disk_failed_at",
        "elected_at",
        "last_leader_contact_at",
        "leader",
        "leader_address",
        "leader_ready_at",
        "leaving",
        "log",
        "name",
        "replicated_log",
        "role",
        "scheduler",
        "settings",
        "voters",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        replicated_log: ReplicatedLog,
        settings: ConsensusSettings,
        name: str,
        disk: str,
        address: str,
    ) -> None:
        """Create the state of a member that has just started: a follower without a leader."""
        self.scheduler = scheduler
        self.log = log
        self.replicated_log = replicated_log
        self.settings = settings
        self.name = name
        self.disk = disk
        self.address = address
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_address = ""
        self.last_leader_contact_at: float | None = None
        self.elected_at: float | None = None
        self.leader_ready_at: float | None = None
        self.disk_failed_at: float | None = None
        self.leaving = False
        self.commit_index = self.snapshot.index
        self.applied_index = self.snapshot.index
        self.applied_command_index = self.snapshot.command_index
        self.voters: Voters = {}
        self.refresh_voters()

    def now(self) -> float:
        """Return the moment by the member's steady clock, in seconds."""
        return self.scheduler.now()

    # The persistent state.

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that the entries follow."""
        return self.replicated_log.snapshot

    @property
    def term(self) -> int:
        """The current term."""
        return self.replicated_log.term

    @property
    def last_index(self) -> int:
        """The index of the log's last entry."""
        return self.replicated_log.last_index

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index."""
        return self.replicated_log.term_at(index)

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index."""
        return self.replicated_log.entry_at(index)

    def last_position(self) -> tuple[int, int]:
        """Return term and index of the last entry: how up-to-date the log is (section 5.4.1)."""
        return self.term_at(self.last_index), self.last_index

    def save_vote(self, term: int, voted_for: str) -> bool:
        """Persist a term and the vote in it; False where the disk refused."""
        saved = self.replicated_log.save_vote(term, voted_for)
        if not saved:
            self.record_disk_failure()
        return saved

    def record_disk_failure(self) -> None:
        """Remember that the disk refused a write just now."""
        self.disk_failed_at = self.now()

    # Voters.

    def refresh_voters(self) -> None:
        """Take the voters from the log: a change counts from its append on (section 6)."""
        self.voters = self.replicated_log.voters_at(self.last_index)

    @property
    def majority(self) -> int:
        """The number of voters that make a majority."""
        return majority_of(len(self.voters))

    @property
    def may_campaign(self) -> bool:
        """Whether this member may be elected: a voter, or one whose removal is not committed yet.

        The latter may be the only one whose log is up-to-date enough. It does not count itself,
        and steps down once its removal is committed (dissertation, section 4.2.2).
        """
        if self.disk in self.voters:
            return True
        return self.disk in self.replicated_log.voters_at(self.commit_index)

    @property
    def voter_change_pending(self) -> bool:
        """Whether a change of voters is in the log and not committed yet."""
        uncommitted = self.replicated_log.entries[self.commit_index - self.snapshot.index :]
        return any(entry.kind is EntryKind.VOTERS for entry in uncommitted)

    # The leader.

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role is Role.LEADER

    def knows_leader(self) -> bool:
        """Whether it leads, or heard its leader within the shortest election timeout."""
        silence = seconds_since(self.now(), self.last_leader_contact_at)
        return self.is_leader or silence < self.settings.election_timeout

    @property
    def leader_ready(self) -> bool:
        """Whether it leads and has applied an entry of its own term.

        By leader completeness (section 5.4.3) it has then applied all that was committed before
        its election, which linearizable reads need (dissertation, section 6.4, step 1).
        """
        return self.is_leader and self.term_at(self.applied_index) == self.term
