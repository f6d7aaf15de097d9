"""Chunked snapshot transfer from a leader to a follower (Raft, section 7).

The leader sends one chunk per request, and the follower replies with the number of bytes received,
from which the leader continues even if a reply was lost. The follower buffers one snapshot in
memory, so the transfer starts over when the follower restarts or the leader changes.
"""

from dataclasses import dataclass

from ryelock.consensus.entries import Snapshot, Voters
from ryelock.rpc.errors import MalformedMessageError

SNAPSHOT_CHUNK_BYTES = 262_144
"""Maximum bytes of a snapshot in one message."""
MAX_SNAPSHOT_BYTES = 134_217_728
"""Maximum size of a snapshot that a follower accepts."""


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A chunk of a snapshot's state, with the metadata of the snapshot.

    Attributes:
        size: Total size of the state, in bytes.
        offset: Offset of `data` in the state, in bytes.
    """

    index: int
    term: int
    voters: Voters
    command_index: int
    size: int
    offset: int
    data: bytes

    def to_wire(self) -> list[object]:
        """Encode the chunk for a message."""
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
    """Decode a chunk from a message; raises MalformedMessageError."""
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
    """The leader's side of a snapshot transfer to one follower.

    Attributes:
        received: Bytes that the follower has acknowledged.
    """

    __slots__ = ("received", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        """Create a transfer that starts at the first byte."""
        self.snapshot = snapshot
        self.received = 0

    def next_chunk(self, max_bytes: int) -> SnapshotChunk:
        """Return the chunk after the acknowledged bytes, with at most `max_bytes` of data."""
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
        """Record the number of bytes received; return True if it has increased."""
        advanced = received > self.received
        self.received = max(0, min(received, len(self.snapshot.state)))
        return advanced


class IncomingSnapshot:
    """The follower's side of a snapshot transfer."""

    __slots__ = ("buffer", "command_index", "index", "leader", "size", "term", "voters")

    def __init__(self, leader: str, chunk: SnapshotChunk) -> None:
        """Create an empty buffer for the snapshot that a chunk belongs to."""
        self.leader = leader
        self.index = chunk.index
        self.term = chunk.term
        self.size = chunk.size
        self.voters = chunk.voters
        self.command_index = chunk.command_index
        self.buffer = bytearray()

    def matches(self, leader: str, chunk: SnapshotChunk) -> bool:
        """Return True if a chunk belongs to this snapshot from the same leader."""
        expected = (self.leader, self.index, self.term, self.size)
        return expected == (leader, chunk.index, chunk.term, chunk.size)

    def add_chunk(self, chunk: SnapshotChunk) -> None:
        """Append a chunk that continues the buffer; ignore any other."""
        if chunk.offset == len(self.buffer):
            self.buffer += chunk.data

    @property
    def complete(self) -> bool:
        """True once all bytes have been received."""
        return len(self.buffer) == self.size

    def snapshot(self) -> Snapshot:
        """Return the received snapshot; call only once complete."""
        return Snapshot(self.index, self.term, self.voters, bytes(self.buffer), self.command_index)
