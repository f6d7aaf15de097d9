"""The state of a member: "persistent state" and "volatile state" in figure 2 of the Raft paper.

`ReplicatedLog` holds the persistent state (term, vote, log); this module holds the volatile state.
The components of a member (election, replicator, applier, ...) share one `MemberState`. Only the
owner task of `Consensus` changes it, except for `Election.campaign`, which checks after each await
that its campaign is still current.
"""

import math
from enum import StrEnum

from ryelock.consensus.entries import Entry, EntryKind, Snapshot, Voters, majority_of
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.settings import ConsensusSettings
from ryelock.events import Log
from ryelock.runtime import Scheduler


class Role(StrEnum):
    """The role of a member in its current term (Raft, section 5.1)."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


def seconds_since(now: float, moment: float | None) -> float:
    """Return the seconds from `moment` to `now`; infinity if `moment` is None."""
    return math.inf if moment is None else now - moment


class MemberState:
    """A member's identity and volatile state.

    Attributes:
        replicated_log: The persistent state.
        voters: Addresses of the voters by disk ID, from the newest voter entry in the log, whether
            committed or not (dissertation, section 4.1).
        commit_index: The highest index known to be committed.
        applied_index: The highest index applied to the state machine; at most commit_index.
        applied_command_index: The index of the last applied command for all replicas.
        leader: The disk ID of the leader that this member follows; empty if unknown.
        last_leader_contact_at: When this member last received a message from a current leader.
        elected_at: When this member last became leader.
        leader_ready_at: When it first had `leader_ready` in the term that it last led.
        disk_failed_at: When the disk last failed to persist a vote or a leader's entries.
        leaving: True during a planned stop; a leaving member does not campaign.
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
        """Create the state of a newly started member: a follower without a leader."""
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
        """Return the time of the member's monotonic clock, in seconds."""
        return self.scheduler.now()

    # Persistent state.

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that precedes the first log entry."""
        return self.replicated_log.snapshot

    @property
    def term(self) -> int:
        """The current term."""
        return self.replicated_log.term

    @property
    def last_index(self) -> int:
        """The index of the last log entry."""
        return self.replicated_log.last_index

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index."""
        return self.replicated_log.term_at(index)

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index."""
        return self.replicated_log.entry_at(index)

    def last_position(self) -> tuple[int, int]:
        """Return (term, index) of the last entry, which orders logs by recency (section 5.4.1)."""
        return self.term_at(self.last_index), self.last_index

    def save_vote(self, term: int, voted_for: str) -> bool:
        """Persist a term and the vote cast in it; return False if the write failed."""
        saved = self.replicated_log.save_vote(term, voted_for)
        if not saved:
            self.record_disk_failure()
        return saved

    def record_disk_failure(self) -> None:
        """Record the time of a failed write."""
        self.disk_failed_at = self.now()

    # Voters.

    def refresh_voters(self) -> None:
        """Read the voters from the log; a change takes effect when appended (section 6)."""
        self.voters = self.replicated_log.voters_at(self.last_index)

    @property
    def majority(self) -> int:
        """The number of voters in a majority."""
        return majority_of(len(self.voters))

    @property
    def may_campaign(self) -> bool:
        """True if this member is a voter, or its removal as a voter is not committed yet.

        A member being removed may be the only one whose log is up-to-date enough to win. It does
        not count its own vote, and steps down once its removal is committed (dissertation, section
        4.2.2).
        """
        if self.disk in self.voters:
            return True
        return self.disk in self.replicated_log.voters_at(self.commit_index)

    @property
    def voter_change_pending(self) -> bool:
        """True while a change of voters is in the log but not committed."""
        uncommitted = self.replicated_log.entries[self.commit_index - self.snapshot.index :]
        return any(entry.kind is EntryKind.VOTERS for entry in uncommitted)

    # Leadership.

    @property
    def is_leader(self) -> bool:
        """True if this member is the leader of its current term."""
        return self.role is Role.LEADER

    def knows_leader(self) -> bool:
        """Return True if this member leads or had leader contact within the election timeout."""
        silence = seconds_since(self.now(), self.last_leader_contact_at)
        return self.is_leader or silence < self.settings.election_timeout

    @property
    def leader_ready(self) -> bool:
        """True if this member leads and has applied an entry of its own term.

        By leader completeness (section 5.4.3) such a leader has applied every entry committed
        before its election, as linearizable reads require (dissertation, section 6.4, step 1).
        """
        return self.is_leader and self.term_at(self.applied_index) == self.term
