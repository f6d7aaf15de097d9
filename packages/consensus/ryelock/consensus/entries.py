"""Log entries, snapshots and voters, and their records on disk."""

from enum import StrEnum

import cbor2

from ryelock.rpc.errors import MalformedMessageError

Voters = dict[str, str]
"""Addresses of the voters by disk."""


class EntryKind(StrEnum):
    """What an entry is for; the values stand in messages and on disk."""

    COMMAND = "word"
    """A command for every replica of the state machine."""
    INTERNAL = "note"
    """A command for the control nodes' state machines only."""
    VOTERS = "voters"
    """A change of voters."""
    NO_OP = "nothing"
    """The first entry of a leader's term."""


KINDS: dict[str, EntryKind] = {kind.value: kind for kind in EntryKind}


def majority_of(voters: int) -> int:
    """Return the least number of voters of which any two groups share one."""
    return voters // 2 + 1


class Entry:
    """One entry of the log.

    Attributes:
        kind: A member of `EntryKind`, so that `is` compares it; a kind that this version does not
            know stays as it came, and applying it does nothing.
        is_duplicate: Whether the state machine said that it had applied the command before. Such an
            entry is kept from replicas that lack the outcomes of old commands and would apply it a
            second time.
    """

    __slots__ = ("data", "index", "is_duplicate", "kind", "term")

    def __init__(self, index: int, term: int, kind: str, data: bytes) -> None:
        """Create an entry that was not applied yet."""
        self.index = index
        self.term = term
        self.kind = KINDS.get(kind, kind)
        self.data = data
        self.is_duplicate = False

    def to_wire(self) -> list[object]:
        """Return the entry as messages and records carry it."""
        return [self.index, self.term, self.kind, self.data]


def entry_from_wire(data: object) -> Entry:
    """Read an entry from a message or record; raises MalformedMessageError."""
    match data:
        case [int(index), int(term), str(kind), bytes(content)]:
            return Entry(index, term, kind, content)
        case _:
            raise MalformedMessageError("entries: not an entry")


def decode_voters(data: bytes) -> Voters:
    """Read the voters of an entry; raises MalformedMessageError."""
    try:
        found = cbor2.loads(data)
    except cbor2.CBORDecodeError as error:
        raise MalformedMessageError(f"voters: {error}") from error
    if not isinstance(found, dict):
        raise MalformedMessageError("voters: not a map")
    return {str(disk): str(address) for disk, address in found.items()}


class Snapshot:
    """The state that the entries up to an index led to (Raft, section 7).

    Attributes:
        index: The last index that the snapshot replaces.
        term: The term of the entry at that index.
        voters: The voters at that index.
        state: What the state machine wrote.
        command_index: The last index up to there whose entry was a command for all replicas.
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
        """Return the snapshot as the journal stores it."""
        return cbor2.dumps([self.index, self.term, self.voters, self.state, self.command_index])


def decode_snapshot(data: bytes) -> Snapshot:
    """Read a stored snapshot; raises ValueError.

    One of the first format has no command index; its entries were all counted as commands.
    """
    match cbor2.loads(data):
        case [int(index), int(term), dict(voters), bytes(state), int(command_index)]:
            return Snapshot(index, term, voters, state, command_index)
        case [int(index), int(term), dict(voters), bytes(state)]:
            return Snapshot(index, term, voters, state, index)
        case _:
            raise MalformedMessageError("not a snapshot")


def entry_record(entry: Entry) -> bytes:
    """Return the record of an appended entry."""
    return cbor2.dumps(["entry", *entry.to_wire()])


def vote_record(term: int, voted_for: str) -> bytes:
    """Return the record of a term and the vote in it (empty: none)."""
    return cbor2.dumps(["vote", term, voted_for])


def promise_record(noted: bool) -> bytes:
    """Return the record that a lease of this voter may be in force, or that none is.

    `promise` is its older name on disk.
    """
    return cbor2.dumps(["promise", noted])


class RecoveredState:
    """What a journal gave back, replayed: a later entry at an index replaces the tail."""

    __slots__ = ("entries", "lease_may_be_active", "snapshot", "term", "voted_for")

    def __init__(self, snapshot: bytes | None, records: list[bytes]) -> None:
        """Replay the records behind a snapshot; raises ValueError on what is no record."""
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
        """Take in the next record."""
        match record:
            case ["entry", *entry]:
                self.append(entry_from_wire(entry))
            case ["vote", int(term), str(voted_for)]:
                self.term = term
                self.voted_for = voted_for
            case ["promise", bool(noted)]:
                self.lease_may_be_active = noted
            case _:
                raise MalformedMessageError("unknown record")

    def append(self, entry: Entry) -> None:
        """Put an entry at its index, where what was there before and behind it goes."""
        position = entry.index - self.snapshot.index - 1
        if position < 0:
            return
        if position > len(self.entries):
            raise MalformedMessageError("a gap in the log")
        del self.entries[position:]
        self.entries.append(entry)
