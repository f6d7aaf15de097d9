"""The durable replicated log of one member: term, vote, snapshot and the entries behind it.

`ReplicatedLog` holds what Raft calls persistent state (figure 2) and nothing else: it knows no
network, no clock and no role, so that it can be tested alone. Each method that changes the log
writes it to the journal first; where the journal fails, the log in memory stays as it was and the
method returns False.
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
"""The most bytes of entries remaining in memory behind the snapshot that replaced them."""
VOTERS, COMMAND = EntryKind.VOTERS, EntryKind.COMMAND
"""Looked up once: the loops over all entries below are on the replication path."""
ENTRY_OVERHEAD_BYTES = 32
"""What an entry counts excluding its data."""


def term_of(entry: Entry) -> int:
    """Return the key by which a log's entries are in order."""
    return entry.term


def newest_entries(entries: list[Entry], max_bytes: int) -> list[Entry]:
    """Return the last entries that come to so many bytes at most."""
    size = 0
    for position in range(len(entries) - 1, -1, -1):
        size += len(entries[position].data) + ENTRY_OVERHEAD_BYTES
        if size > max_bytes:
            return entries[position + 1 :]
    return entries


class ReplicatedLog:
    """Entries with indexes from `snapshot.index + 1` up to `last_index`, without a gap.

    Attributes:
        term: The current term.
        voted_for: The disk that got this member's vote in it; empty where none did.
        lease_may_be_active: Whether a lease that this voter granted may be in force.
        snapshot: What replaced the entries up to its index.
        entries: The entries behind the snapshot.
        retained: The last entries that the snapshot replaced, remaining in memory for replicas that
            are only a little behind; they end at the snapshot's index and go with a restart.
        restored: Whether the disk held anything when it was opened.
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
        """Take over what an opened journal gave back; raises ValueError on what is no record."""
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

    # Reading.

    @property
    def last_index(self) -> int:
        """The index of the last entry; the snapshot's where there is none behind it."""
        return self.snapshot.index + len(self.entries)

    @property
    def empty(self) -> bool:
        """Whether nothing was ever written to this disk."""
        return not self.restored and not self.entries and self.term == 0

    def term_at(self, index: int) -> int:
        """Return the term at an index that is retained, the snapshot's or behind it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index that is retained or behind the snapshot."""
        position = index - self.snapshot.index - 1
        return self.entries[position] if position >= 0 else self.retained[position]

    @property
    def first_retained_index(self) -> int:
        """The first index that is retained; the one behind the snapshot where none is."""
        return self.snapshot.index + 1 - len(self.retained)

    def has_term_at(self, index: int) -> bool:
        """Whether the entry at an index is known, or is the last that the snapshot replaced."""
        return index >= min(self.first_retained_index, self.snapshot.index)

    def entries_from(self, index: int) -> list[Entry]:
        """Return all entries from an index on; the index lies behind the snapshot."""
        return self.entries[index - self.snapshot.index - 1 :]

    def contains(self, index: int, term: int) -> bool:
        """Whether the log has an entry of that term at that index, or its snapshot ends there."""
        return self.snapshot.index <= index <= self.last_index and self.term_at(index) == term

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index behind the snapshot that has the same term as an index."""
        term = self.term_at(index)
        return self.snapshot.index + 1 + bisect_left(self.entries, term, key=term_of)

    def last_index_of_terms_until(self, term: int) -> int:
        """Return the last index whose entry's term is not above one; else the snapshot's."""
        return self.snapshot.index + bisect_right(self.entries, term, key=term_of)

    def voters_at(self, index: int) -> Voters:
        """Return the voters as the entries up to an index name them, committed or not."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.kind is VOTERS:
                return decode_voters(entry.data)
        return self.snapshot.voters

    def configuration_position(self) -> tuple[int, int]:
        """Return term and index up to which this log certainly names the newest voters it knows."""
        for entry in reversed(self.entries):
            if entry.kind is VOTERS:
                return entry.term, entry.index
        return self.snapshot.term, self.snapshot.index

    def commands_between(self, index: int, last: int) -> list[tuple[int, bytes]]:
        """Return the commands behind an index, up to the last, that a replica has to apply.

        Both indexes lie within the log, and all up to the last were applied here.
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

    # Changing.

    def save_vote(self, term: int, voted_for: str) -> bool:
        """Enter a term, with the vote given in it (Raft, section 5.2)."""
        if self.journal.write([vote_record(term, voted_for)]).is_error():
            return False
        self.term = term
        self.voted_for = voted_for
        return True

    def save_lease_flag(self, noted: bool) -> bool:
        """Note on disk that a lease may be in force, or that none is."""
        if self.journal.write([promise_record(noted)]).is_error():
            return False
        self.lease_may_be_active = noted
        return True

    def bootstrap(self, term: int, entry: Entry) -> bool:
        """Write the first term and entry of an empty log in one."""
        if self.journal.write([vote_record(term, ""), entry_record(entry)]).is_error():
            return False
        self.term = term
        self.entries = [entry]
        return True

    def append(self, entries: list[Entry]) -> bool:
        """Write the entries that are missing; the first one of another term cuts the tail off.

        Entries that the log has already stay, whatever is behind them: a request that was delayed
        must not cut off what a later one appended (Raft, section 5.3 and figure 2, AppendEntries).
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
        """Replace this log's own entries by a snapshot; the last of them are retained."""
        replaced = self.retained + self.entries[: snapshot.index - self.snapshot.index]
        if not self.replace_prefix(snapshot, self.entries_from(snapshot.index + 1)):
            return False
        self.retained = newest_entries(replaced, self.max_retained_bytes)
        return True

    def install(self, snapshot: Snapshot) -> bool:
        """Take a leader's snapshot, which reaches farther than what this member has applied.

        Where the entry at its end has its term the logs agree up to there, and the entries behind
        it stay: they were acknowledged, and a leader may count on them (Raft, section 7).
        """
        agrees = self.contains(snapshot.index, snapshot.term)
        if not self.replace_prefix(
            snapshot, self.entries_from(snapshot.index + 1) if agrees else []
        ):
            return False
        self.retained = []
        return True

    def replace_prefix(self, snapshot: Snapshot, remaining: list[Entry]) -> bool:
        """Write a snapshot with the entries behind it; False where the disk refused."""
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
