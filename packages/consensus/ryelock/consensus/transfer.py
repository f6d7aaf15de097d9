"""A snapshot on its way from a leader to a follower, in chunks (Raft, section 7).

The leader sends one chunk a request and waits for how much has arrived; a chunk whose reply was
lost is sent again from there. Both sides hold one snapshot at most: the leader slices the one it
sends, the follower fills one buffer. What arrived is kept in memory only: a follower that
restarts, or another leader, begins anew.
"""

from dataclasses import dataclass

from ryelock.consensus.entries import Snapshot, Voters
from ryelock.rpc.errors import MalformedMessageError

SNAPSHOT_CHUNK_BYTES = 262_144
"""The most bytes of a snapshot in one message."""
MAX_SNAPSHOT_BYTES = 134_217_728
"""A follower takes no snapshot that is larger."""


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot's state, with the snapshot's other fields.

    Attributes:
        size: Bytes of the whole state.
        offset: Where in it `data` begins.
    """

    index: int
    term: int
    voters: Voters
    command_index: int
    size: int
    offset: int
    data: bytes

    def to_wire(self) -> list[object]:
        """Return the chunk as a message carries it."""
        return [
            self.index,
            self.term,
            self.voters,
            self.command_index,
            self.size,
            self.offset,
            self.data,
        ]


def chunk_from_wire(data: object) -> SnapshotChunk:
    """Read a chunk from a message; raises MalformedMessageError."""
    match data:
        case [
            int(index),
            int(term),
            dict(voters),
            int(command_index),
            int(size),
            int(offset),
            bytes(part),
        ]:
            if not 0 <= offset <= offset + len(part) <= size <= MAX_SNAPSHOT_BYTES:
                raise MalformedMessageError("piece: not within the snapshot")
            return SnapshotChunk(index, term, voters, command_index, size, offset, part)
        case _:
            raise MalformedMessageError("piece: not a chunk of a snapshot")


class OutgoingSnapshot:
    """What a leader sends to one follower; it stays the same snapshot until it has arrived.

    Attributes:
        received: Bytes that the follower is known to have.
    """

    __slots__ = ("received", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        """Create a transfer of which nothing has arrived."""
        self.snapshot = snapshot
        self.received = 0

    def next_chunk(self, max_bytes: int) -> SnapshotChunk:
        """Return the chunk behind what the follower has, of so many bytes at most."""
        snapshot = self.snapshot
        return SnapshotChunk(
            snapshot.index,
            snapshot.term,
            snapshot.voters,
            snapshot.command_index,
            len(snapshot.state),
            self.received,
            snapshot.state[self.received : self.received + max_bytes],
        )

    def acknowledge(self, received: int) -> bool:
        """Take the number of bytes that the follower has; True where it has more than before."""
        advanced = received > self.received
        self.received = max(0, min(received, len(self.snapshot.state)))
        return advanced


class IncomingSnapshot:
    """What a follower has of one leader's snapshot."""

    __slots__ = ("buffer", "command_index", "index", "leader", "size", "term", "voters")

    def __init__(self, leader: str, chunk: SnapshotChunk) -> None:
        """Create an empty buffer for the snapshot that a chunk is of."""
        self.leader = leader
        self.index = chunk.index
        self.term = chunk.term
        self.size = chunk.size
        self.voters = chunk.voters
        self.command_index = chunk.command_index
        self.buffer = bytearray()

    def matches(self, leader: str, chunk: SnapshotChunk) -> bool:
        """Whether a chunk is of this very snapshot of this leader."""
        mine = (self.leader, self.index, self.term, self.size)
        return mine == (leader, chunk.index, chunk.term, chunk.size)

    def add_chunk(self, chunk: SnapshotChunk) -> None:
        """Add a chunk that goes on where the buffer ends; any other changes nothing."""
        if chunk.offset == len(self.buffer):
            self.buffer += chunk.data

    @property
    def complete(self) -> bool:
        """Whether all of it has arrived."""
        return len(self.buffer) == self.size

    def snapshot(self) -> Snapshot:
        """Return the snapshot, once it is complete."""
        return Snapshot(self.index, self.term, self.voters, bytes(self.buffer), self.command_index)
