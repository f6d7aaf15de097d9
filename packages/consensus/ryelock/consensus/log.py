"""The durable replicated log of a member: term, vote, snapshot and the entries after it.

`ReplicatedLog` holds Raft's persistent state (figure 2) and does not depend on network, clock or
role, so that it can be tested in isolation. Every method that changes the log writes to the journal
first; if that fails, it leaves the log in memory unchanged and returns False.
"""

from bisect import bisect_left, bisect_right

from ryelock.consensus.entries import (
    Entry,
    EntryKind,
    RecoveredState,
    Snapshot,
    Voters,
    decode_voters,
    entry_record,
    promise_record,
    vote_record,
)
from ryelock.journal import Journal

MAX_RETAINED_BYTES = 1_048_576
"""Maximum size of the compacted entries that are kept in memory."""
VOTERS, COMMAND = EntryKind.VOTERS, EntryKind.COMMAND
"""Module globals, since loops over all entries on the replication path compare with them."""
ENTRY_OVERHEAD_BYTES = 32
"""Bytes counted per entry in addition to its data."""


def term_of(entry: Entry) -> int:
    """Return the bisection key of an entry; terms never decrease along a log."""
    return entry.term


def newest_entries(entries: list[Entry], max_bytes: int) -> list[Entry]:
    """Return the longest tail of the entries that fits into `max_bytes`."""
    size = 0
    for position in range(len(entries) - 1, -1, -1):
        size += len(entries[position].data) + ENTRY_OVERHEAD_BYTES
        if size > max_bytes:
            return entries[position + 1 :]
    return entries


class ReplicatedLog:
    """The log of a member: entries from `snapshot.index + 1` to `last_index`, without gaps.

    Attributes:
        term: The current term.
        voted_for: The disk ID of the candidate voted for in this term; empty if none.
        lease_may_be_active: True if a lease granted by this voter may still be active.
        snapshot: The snapshot that replaced all entries up to its index.
        entries: The entries after the snapshot.
        retained: The newest compacted entries, up to the snapshot's index. They stay in memory for
            replicas that lag only a little, and are lost on restart.
        restored: True if the disk had content when it was opened.
    """

    __slots__ = (
        "entries",
        "journal",
        "lease_may_be_active",
        "max_retained_bytes",
        "restored",
        "retained",
        "snapshot",
        "term",
        "voted_for",
    )

    def __init__(self, journal: Journal, max_retained_bytes: int = MAX_RETAINED_BYTES) -> None:
        """Restore the log from an open journal; raises ValueError on an invalid record."""
        stored = RecoveredState(journal.snapshot, journal.records)
        self.journal = journal
        self.restored = journal.snapshot is not None or bool(journal.records)
        journal.snapshot = None
        journal.records = []
        self.snapshot = stored.snapshot
        self.entries = stored.entries
        self.retained: list[Entry] = []
        self.max_retained_bytes = max_retained_bytes
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.lease_may_be_active = stored.lease_may_be_active

    # Read access.

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot.index + len(self.entries)

    @property
    def empty(self) -> bool:
        """True if nothing was ever written to this disk."""
        return not self.restored and not self.entries and self.term == 0

    def term_at(self, index: int) -> int:
        """Return the term at an index; the index must satisfy `has_term_at`."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index that is retained or after the snapshot."""
        position = index - self.snapshot.index - 1
        return self.entries[position] if position >= 0 else self.retained[position]

    @property
    def first_retained_index(self) -> int:
        """The first retained index, or the index after the snapshot if nothing is retained."""
        return self.snapshot.index + 1 - len(self.retained)

    def has_term_at(self, index: int) -> bool:
        """Return True if the term at an index is still available despite compaction."""
        return index >= min(self.first_retained_index, self.snapshot.index)

    def entries_from(self, index: int) -> list[Entry]:
        """Return all entries from an index onwards; the index must be after the snapshot."""
        return self.entries[index - self.snapshot.index - 1 :]

    def contains(self, index: int, term: int) -> bool:
        """Return True if the log or the end of its snapshot has that term at that index."""
        return self.snapshot.index <= index <= self.last_index and self.term_at(index) == term

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index after the snapshot with the same term as the entry at `index`."""
        term = self.term_at(index)
        return self.snapshot.index + 1 + bisect_left(self.entries, term, key=term_of)

    def last_index_up_to_term(self, term: int) -> int:
        """Return the last index with a term of at most `term`, or else the snapshot's index."""
        return self.snapshot.index + bisect_right(self.entries, term, key=term_of)

    def voters_at(self, index: int) -> Voters:
        """Return the voters set by the newest voter entry up to an index, committed or not."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.kind is VOTERS:
                return decode_voters(entry.data)
        return self.snapshot.voters

    def configuration_position(self) -> tuple[int, int]:
        """Return (term, index) of the newest voter entry, or of the snapshot if there is none."""
        for entry in reversed(self.entries):
            if entry.kind is VOTERS:
                return entry.term, entry.index
        return self.snapshot.term, self.snapshot.index

    def commands_between(self, index: int, last: int) -> list[tuple[int, bytes]]:
        """Return the commands that a replica must apply after `index`, up to and including `last`.

        Both indexes must be in the log, and all entries up to `last` must be applied here.
        """
        between = self.entries[max(0, index - self.snapshot.index) : last - self.snapshot.index]
        if index < self.snapshot.index:
            between = self.retained[index - self.snapshot.index :] + between
        return [
            (entry.index, entry.data)
            for entry in between
            if entry.kind is COMMAND and not entry.is_duplicate
        ]

    def last_command_index(self) -> int:
        """Return the index of the last command, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind is COMMAND:
                return entry.index
        return self.snapshot.command_index

    # Changes.

    def save_vote(self, term: int, voted_for: str) -> bool:
        """Persist a term and the vote cast in it (Raft, section 5.2)."""
        if self.journal.write([vote_record(term, voted_for)]).is_error():
            return False
        self.term = term
        self.voted_for = voted_for
        return True

    def save_lease_flag(self, may_be_active: bool) -> bool:
        """Persist whether a lease granted by this voter may be active."""
        if self.journal.write([promise_record(may_be_active)]).is_error():
            return False
        self.lease_may_be_active = may_be_active
        return True

    def bootstrap(self, term: int, entry: Entry) -> bool:
        """Write the first term and the first entry of an empty log in one batch."""
        if self.journal.write([vote_record(term, ""), entry_record(entry)]).is_error():
            return False
        self.term = term
        self.entries = [entry]
        return True

    def append(self, entries: list[Entry]) -> bool:
        """Append the missing entries; an entry of a conflicting term truncates the log first.

        Entries that the log already has are skipped and do not truncate it: a delayed request must
        not remove what a later request appended (Raft, section 5.3 and figure 2, AppendEntries).
        """
        missing = list(entries)
        while missing and missing[0].index <= self.last_index:
            first = missing[0]
            if first.index > self.snapshot.index and self.term_at(first.index) != first.term:
                break
            missing.pop(0)
        if not missing:
            return True
        if self.journal.write([entry_record(entry) for entry in missing]).is_error():
            return False
        del self.entries[missing[0].index - self.snapshot.index - 1 :]
        self.entries += missing
        return True

    def compact(self, snapshot: Snapshot) -> bool:
        """Replace applied entries by a snapshot; the newest of them are retained in memory."""
        replaced = self.retained + self.entries[: snapshot.index - self.snapshot.index]
        if not self.replace_prefix(snapshot, self.entries_from(snapshot.index + 1)):
            return False
        self.retained = newest_entries(replaced, self.max_retained_bytes)
        return True

    def install(self, snapshot: Snapshot) -> bool:
        """Install a leader's snapshot that ends after the entries this member has applied.

        If the log has the snapshot's term at its index, the logs agree up to there and the entries
        after it are kept: they were acknowledged, and a leader may have counted them towards a
        commit (Raft, section 7).
        """
        agrees = self.contains(snapshot.index, snapshot.term)
        if not self.replace_prefix(
            snapshot, self.entries_from(snapshot.index + 1) if agrees else []
        ):
            return False
        self.retained = []
        return True

    def replace_prefix(self, snapshot: Snapshot, remaining: list[Entry]) -> bool:
        """Write a snapshot and the entries after it; return False if the write failed."""
        records = [
            vote_record(self.term, self.voted_for),
            promise_record(self.lease_may_be_active),
            *(entry_record(entry) for entry in remaining),
        ]
        if self.journal.write_snapshot(snapshot.encode(), records).is_error():
            return False
        self.snapshot = snapshot
        self.entries = remaining
        return True
