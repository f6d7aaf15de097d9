"""Log entries, snapshots, voter sets and their journal records."""

from enum import StrEnum

import cbor2

from ryelock.rpc.errors import MalformedMessageError

Voters = dict[str, str]
"""Addresses of the voters by disk ID."""


class EntryKind(StrEnum):
    """The kind of a log entry; the values are sent in messages and stored on disk."""

    COMMAND = "word"
    """A command applied by every replica, control nodes and edges alike."""
    INTERNAL = "note"
    """A command applied by control nodes only."""
    VOTERS = "voters"
    """A new voter set."""
    NO_OP = "nothing"
    """An entry without effect, appended by a new leader at the start of its term."""


KINDS: dict[str, EntryKind] = {kind.value: kind for kind in EntryKind}


def majority_of(voters: int) -> int:
    """Return the size of a majority; any two majorities share at least one voter."""
    return voters // 2 + 1


class Entry:
    """A log entry.

    Attributes:
        kind: A member of `EntryKind`, so that it can be compared with `is`. A kind unknown to this
            version is kept as a plain string, and applying it has no effect.
        is_duplicate: True if the state machine reported the command as already applied. Duplicates
            are not sent to replicas, which lack the outcomes of old commands and would apply them a
            second time.
    """

    __slots__ = ("data", "index", "is_duplicate", "kind", "term")

    def __init__(self, index: int, term: int, kind: str, data: bytes) -> None:
        """Create an entry that has not been applied."""
        self.index = index
        self.term = term
        self.kind = KINDS.get(kind, kind)
        self.data = data
        self.is_duplicate = False

    def to_wire(self) -> list[object]:
        """Encode the entry for messages and journal records."""
        return [self.index, self.term, self.kind, self.data]


def entry_from_wire(data: object) -> Entry:
    """Decode an entry of a message or journal record; raises MalformedMessageError."""
    match data:
        case [int(index), int(term), str(kind), bytes(content)]:
            return Entry(index, term, kind, content)
        case _:
            raise MalformedMessageError("entries: not an entry")


def decode_voters(data: bytes) -> Voters:
    """Decode the data of a voter entry; raises MalformedMessageError."""
    try:
        voters = cbor2.loads(data)
    except cbor2.CBORDecodeError as error:
        raise MalformedMessageError(f"voters: {error}") from error
    if not isinstance(voters, dict):
        raise MalformedMessageError("voters: not a map")
    return {str(disk): str(address) for disk, address in voters.items()}


class Snapshot:
    """The state after applying all entries up to an index (Raft, section 7).

    Attributes:
        index: The index of the last entry included.
        term: The term of the entry at that index.
        voters: The voters at that index.
        state: The serialised state machine.
        command_index: The index of the last included command for all replicas.
    """

    __slots__ = ("command_index", "index", "state", "term", "voters")

    def __init__(
        self, index: int, term: int, voters: Voters, state: bytes, command_index: int
    ) -> None:
        """Create a snapshot."""
        self.index = index
        self.term = term
        self.voters = voters
        self.state = state
        self.command_index = command_index

    def encode(self) -> bytes:
        """Encode the snapshot for the journal."""
        return cbor2.dumps([self.index, self.term, self.voters, self.state, self.command_index])


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a stored snapshot; raises ValueError.

    The first format has no command index, because every entry then counted as a command.
    """
    match cbor2.loads(data):
        case [int(index), int(term), dict(voters), bytes(state), int(command_index)]:
            return Snapshot(index, term, voters, state, command_index)
        case [int(index), int(term), dict(voters), bytes(state)]:
            return Snapshot(index, term, voters, state, index)
        case _:
            raise MalformedMessageError("stored snapshot is not a list of its four or five fields")


def entry_record(entry: Entry) -> bytes:
    """Encode the journal record of an appended entry."""
    return cbor2.dumps(["entry", *entry.to_wire()])


def vote_record(term: int, voted_for: str) -> bytes:
    """Encode the journal record of a term and the vote cast in it (empty: no vote)."""
    return cbor2.dumps(["vote", term, voted_for])


def promise_record(may_be_active: bool) -> bytes:
    """Encode the journal record of whether a lease granted by this voter may be active.

    `promise` is the name of this record on disk.
    """
    return cbor2.dumps(["promise", may_be_active])


class RecoveredState:
    """The persistent state rebuilt from a journal.

    A later record of an entry replaces the entry at its index and all entries after it.
    """

    __slots__ = ("entries", "lease_may_be_active", "snapshot", "term", "voted_for")

    def __init__(self, snapshot: bytes | None, records: list[bytes]) -> None:
        """Replay the records after a snapshot; raises ValueError on an invalid record."""
        self.snapshot = (
            decode_snapshot(snapshot) if snapshot is not None else Snapshot(0, 0, {}, b"", 0)
        )
        self.entries: list[Entry] = []
        self.term = self.snapshot.term
        self.voted_for = ""
        self.lease_may_be_active = False
        for record in records:
            self.replay(cbor2.loads(record))

    def replay(self, record: object) -> None:
        """Apply the next record."""
        match record:
            case ["entry", *entry]:
                self.append(entry_from_wire(entry))
            case ["vote", int(term), str(voted_for)]:
                self.term = term
                self.voted_for = voted_for
            case ["promise", bool(may_be_active)]:
                self.lease_may_be_active = may_be_active
            case _:
                raise MalformedMessageError("journal record of unknown kind or form")

    def append(self, entry: Entry) -> None:
        """Put an entry at its index, dropping any entries at or after that index."""
        position = entry.index - self.snapshot.index - 1
        if position < 0:
            return
        if position > len(self.entries):
            last_index = self.snapshot.index + len(self.entries)
            raise MalformedMessageError(f"log has a gap: entry {entry.index} after {last_index}")
        del self.entries[position:]
        self.entries.append(entry)
