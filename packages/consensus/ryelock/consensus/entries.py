"""What the consensus group writes: entries, votes, images, and how they stand on disk."""

import cbor2

Voters = dict[str, str]

COMMAND = "word"
INTERNAL = "note"
VOTERS = "voters"
NOTHING = "nothing"


def majority_of(voters: int) -> int:
    """So many of them that any two such groups share one."""
    return voters // 2 + 1


class Entry:
    """One place of the log; `repeated` once it was applied and found to have been before.

    A repeated word changed nothing here. It is kept from replicas that lack the outcomes of old
    words and would apply it a second time.
    """

    __slots__ = ("data", "index", "kind", "repeated", "term")

    def __init__(self, index: int, term: int, kind: str, data: bytes) -> None:
        self.index = index
        self.term = term
        self.kind = kind
        self.data = data
        self.repeated = False

    def plain(self) -> list[object]:
        return [self.index, self.term, self.kind, self.data]


def entry_of(plain: object) -> Entry:
    match plain:
        case [int(index), int(epoch), str(kind), bytes(data)]:
            return Entry(index, epoch, kind, data)
        case _:
            raise ValueError("not an entry")


def voters_of(data: bytes) -> Voters:
    found = cbor2.loads(data)
    if not isinstance(found, dict):
        raise ValueError("not voters")
    return {str(disk): str(address) for disk, address in found.items()}


class Snapshot:
    """All that the entries up to an index came to; `word` is the last of them that was a word."""

    __slots__ = ("command_index", "index", "state", "term", "voters")

    def __init__(
        self, index: int, term: int, voters: Voters, state: bytes, command_index: int
    ) -> None:
        self.index = index
        self.term = term
        self.voters = voters
        self.state = state
        self.command_index = command_index

    def encode(self) -> bytes:
        return cbor2.dumps([self.index, self.term, self.voters, self.state, self.command_index])


def decode_snapshot(data: bytes) -> Snapshot:
    match cbor2.loads(data):
        case [int(index), int(epoch), dict(voters), bytes(machine), int(word)]:
            return Snapshot(index, epoch, voters, machine, word)
        case [int(index), int(epoch), dict(voters), bytes(machine)]:
            return Snapshot(index, epoch, voters, machine, index)
        case _:
            raise ValueError("not an image")


def entry_record(entry: Entry) -> bytes:
    return cbor2.dumps(["entry", *entry.plain()])


def vote_record(epoch: int, voted: str) -> bytes:
    return cbor2.dumps(["vote", epoch, voted])


def promise_record(noted: bool) -> bytes:
    return cbor2.dumps(["promise", noted])


class Stored:
    """What a journal gave back, replayed: a later entry at an index replaces the tail."""

    __slots__ = ("entries", "epoch", "promised", "snapshot", "voted")

    def __init__(self, snapshot: bytes | None, records: list[bytes]) -> None:
        self.snapshot = (
            decode_snapshot(snapshot) if snapshot is not None else Snapshot(0, 0, {}, b"", 0)
        )
        self.entries: list[Entry] = []
        self.epoch = self.snapshot.term
        self.voted = ""
        self.promised = False
        for record in records:
            match cbor2.loads(record):
                case ["entry", *plain]:
                    self.place(entry_of(plain))
                case ["vote", int(epoch), str(voted)]:
                    self.epoch = epoch
                    self.voted = voted
                case ["promise", bool(noted)]:
                    self.promised = noted
                case _:
                    raise ValueError("unknown record")

    def place(self, entry: Entry) -> None:
        position = entry.index - self.snapshot.index - 1
        if position < 0:
            return
        if position > len(self.entries):
            raise ValueError("a gap in the log")
        del self.entries[position:]
        self.entries.append(entry)
