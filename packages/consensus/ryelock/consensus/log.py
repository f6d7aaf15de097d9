"""The durable replicated log of one member: epoch, vote, image and the entries behind it.

`ReplicatedLog` holds what Raft calls persistent state and nothing else: it knows no network, no
clock and no role, so that it can be tested alone. Each method that changes the log writes it to
the journal first; where the journal fails, the log in memory stays as it was and the method
returns False.
"""

from bisect import bisect_left, bisect_right

from ryelock.consensus.entries import (
    COMMAND,
    VOTERS,
    Entry,
    Snapshot,
    Stored,
    Voters,
    entry_record,
    promise_record,
    vote_record,
    voters_of,
)
from ryelock.journal import Journal

RETAINED_BYTES = 1_048_576
"""The most bytes of entries kept in memory behind the image that replaced them."""
ENTRY_OVERHEAD_BYTES = 32


def epoch_of(entry: Entry) -> int:
    """The key by which a log's entries are in order."""
    return entry.term


def last_of(entries: list[Entry], most: int) -> list[Entry]:
    """The last entries that come to so many bytes at most."""
    size = 0
    for place in range(len(entries) - 1, -1, -1):
        size += len(entries[place].data) + ENTRY_OVERHEAD_BYTES
        if size > most:
            return entries[place + 1 :]
    return entries


class ReplicatedLog:
    """Entries with indexes from `image.index + 1` up to `last_index`, without a gap.

    `epoch` and `voted` are the current epoch and the disk that got this member's vote in it
    (empty: none). `promise_noted` says that the member may have promised to follow no leader.
    `retained` are the last entries that the image replaced, kept in memory for replicas that are
    only a little behind; they end at the image's index and are gone after a restart.
    """

    __slots__ = (
        "entries",
        "journal",
        "promise_noted",
        "restored",
        "retained",
        "retained_most",
        "snapshot",
        "term",
        "voted",
    )

    def __init__(self, journal: Journal, retained_most: int = RETAINED_BYTES) -> None:
        stored = Stored(journal.snapshot, journal.records)
        self.journal = journal
        self.restored = journal.snapshot is not None or bool(journal.records)
        journal.snapshot = None
        journal.records = []
        self.snapshot = stored.snapshot
        self.entries = stored.entries
        self.retained: list[Entry] = []
        self.retained_most = retained_most
        self.term = stored.epoch
        self.voted = stored.voted
        self.promise_noted = stored.promised

    # Reading.

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def empty(self) -> bool:
        """Whether nothing was ever written to this disk."""
        return not self.restored and not self.entries and self.term == 0

    def term_at(self, index: int) -> int:
        """The epoch of the entry at an index that is retained, the image's or behind it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """The entry at an index that is retained or behind the image."""
        place = index - self.snapshot.index - 1
        return self.entries[place] if place >= 0 else self.retained[place]

    @property
    def retained_from(self) -> int:
        """The first index that is retained; the one behind the image where none is."""
        return self.snapshot.index + 1 - len(self.retained)

    def reaches_back(self, index: int) -> bool:
        """Whether the entry at an index is known, or is the last that the image replaced."""
        return index >= min(self.retained_from, self.snapshot.index)

    def entries_from(self, index: int) -> list[Entry]:
        """All entries from an index on; the index lies behind the image."""
        return self.entries[index - self.snapshot.index - 1 :]

    def holds(self, index: int, epoch: int) -> bool:
        """Whether the log has an entry of that epoch at that index, or its image ends there."""
        return self.snapshot.index <= index <= self.last_index and self.term_at(index) == epoch

    def first_index_of_term_at(self, index: int) -> int:
        """The first index behind the image whose entry has the epoch of the one at an index."""
        epoch = self.term_at(index)
        return self.snapshot.index + 1 + bisect_left(self.entries, epoch, key=epoch_of)

    def last_index_of_terms_until(self, epoch: int) -> int:
        """The last index whose entry's epoch is not above one; the image's end if there is none."""
        return self.snapshot.index + bisect_right(self.entries, epoch, key=epoch_of)

    def voters_at(self, index: int) -> Voters:
        """The voters as the entries up to an index name them, agreed or not."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.kind == VOTERS:
                return voters_of(entry.data)
        return self.snapshot.voters

    def configuration_place(self) -> tuple[int, int]:
        """Epoch and index up to which this log certainly names the newest voters it knows."""
        for entry in reversed(self.entries):
            if entry.kind == VOTERS:
                return entry.term, entry.index
        return self.snapshot.term, self.snapshot.index

    def commands_between(self, index: int, last: int) -> list[tuple[int, bytes]]:
        """The words behind an index, up to and with the last, that a replica has to apply.

        Both indexes lie within the log, and all up to the last were applied here.
        """
        between = self.entries[max(0, index - self.snapshot.index) : last - self.snapshot.index]
        if index < self.snapshot.index:
            between = self.retained[index - self.snapshot.index :] + between
        return [
            (entry.index, entry.data)
            for entry in between
            if entry.kind == COMMAND and not entry.repeated
        ]

    def last_command_index(self) -> int:
        """The index of the last word, agreed or not."""
        for entry in reversed(self.entries):
            if entry.kind == COMMAND:
                return entry.index
        return self.snapshot.command_index

    # Changing.

    def save_vote(self, epoch: int, voted: str) -> bool:
        """Enter an epoch, with the vote given in it."""
        if self.journal.write([vote_record(epoch, voted)]).is_error():
            return False
        self.term = epoch
        self.voted = voted
        return True

    def save_promise(self, noted: bool) -> bool:
        """Note on disk that a promise may stand, or that none does."""
        if self.journal.write([promise_record(noted)]).is_error():
            return False
        self.promise_noted = noted
        return True

    def begin(self, epoch: int, entry: Entry) -> bool:
        """Write the first epoch and entry of an empty log in one."""
        if self.journal.write([vote_record(epoch, ""), entry_record(entry)]).is_error():
            return False
        self.term = epoch
        self.entries = [entry]
        return True

    def append(self, entries: list[Entry]) -> bool:
        """Write the entries that are lacking; the first one of another epoch cuts the tail off."""
        lacking = list(entries)
        while lacking and lacking[0].index <= self.last_index:
            first = lacking[0]
            if first.index > self.snapshot.index and self.term_at(first.index) != first.term:
                break
            lacking.pop(0)
        if not lacking:
            return True
        if self.journal.write([entry_record(entry) for entry in lacking]).is_error():
            return False
        del self.entries[lacking[0].index - self.snapshot.index - 1 :]
        self.entries += lacking
        return True

    def compact(self, snapshot: Snapshot) -> bool:
        """Put an image of this log's own entries in their place; the last of them are retained."""
        replaced = self.retained + self.entries[: snapshot.index - self.snapshot.index]
        if not self.replace_start(snapshot, self.entries_from(snapshot.index + 1)):
            return False
        self.retained = last_of(replaced, self.retained_most)
        return True

    def install(self, snapshot: Snapshot) -> bool:
        """Take a leader's image, which reaches farther than what this member has applied.

        Where the entry at its end has its epoch the logs agree up to there, and the entries behind
        it stay: they were acknowledged, and a leader may count on them.
        """
        agrees = self.holds(snapshot.index, snapshot.term)
        if not self.replace_start(
            snapshot, self.entries_from(snapshot.index + 1) if agrees else []
        ):
            return False
        self.retained = []
        return True

    def replace_start(self, snapshot: Snapshot, kept: list[Entry]) -> bool:
        records = [
            vote_record(self.term, self.voted),
            promise_record(self.promise_noted),
            *(entry_record(entry) for entry in kept),
        ]
        if self.journal.write_snapshot(snapshot.encode(), records).is_error():
            return False
        self.snapshot = snapshot
        self.entries = kept
        return True
