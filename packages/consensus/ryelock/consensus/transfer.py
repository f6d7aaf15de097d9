"""An image on its way from a leader to a follower, in pieces.

The leader sends one piece an ask and waits for how much has arrived; a piece whose answer was lost
is sent again from there. Both sides hold one image at most: the leader slices the one it sends,
the follower fills one buffer. What arrived is kept in memory only: a follower that restarts, or
another leader, begins anew.
"""

from ryelock.consensus.entries import Snapshot, Voters

SNAPSHOT_PIECE_BYTES = 262_144
"""The most bytes of an image in one message."""
SNAPSHOT_BYTES_MOST = 134_217_728
"""A follower takes no image that is larger."""


class SnapshotChunk:
    """A part of an image's machine state, with the image's other fields."""

    __slots__ = ("command_index", "data", "index", "offset", "size", "term", "voters")

    def __init__(self, snapshot: Snapshot, offset: int, data: bytes) -> None:
        self.index = snapshot.index
        self.term = snapshot.term
        self.voters = snapshot.voters
        self.command_index = snapshot.command_index
        self.size = len(snapshot.state)
        self.offset = offset
        self.data = data

    def plain(self) -> list[object]:
        """The piece as a message carries it."""
        return [
            self.index,
            self.term,
            self.voters,
            self.command_index,
            self.size,
            self.offset,
            self.data,
        ]


def piece_of(plain: object) -> SnapshotChunk:
    """Read a piece from a message; raises ValueError."""
    match plain:
        case [int(index), int(epoch), dict(voters), int(word), int(size), int(offset), bytes(data)]:
            if not 0 <= offset <= offset + len(data) <= size <= SNAPSHOT_BYTES_MOST:
                raise ValueError("not within the image")
            piece = SnapshotChunk(Snapshot(index, epoch, voters, b"", word), offset, data)
            piece.size = size
            return piece
        case _:
            raise ValueError("not a piece of an image")


class OutgoingImage:
    """What a leader sends to one peer; it stays the same image until it has crossed."""

    __slots__ = ("received", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.received = 0

    def next_piece(self, most: int) -> SnapshotChunk:
        """The piece behind what the peer has, of so many bytes at most."""
        data = self.snapshot.state[self.received : self.received + most]
        return SnapshotChunk(self.snapshot, self.received, data)


class IncomingImage:
    """What a follower has of one leader's image."""

    __slots__ = ("buffer", "command_index", "index", "leader", "size", "term", "voters")

    def __init__(self, leader: str, piece: SnapshotChunk) -> None:
        self.leader = leader
        self.index = piece.index
        self.term = piece.term
        self.size = piece.size
        self.voters: Voters = piece.voters
        self.command_index = piece.command_index
        self.buffer = bytearray()

    def belongs(self, leader: str, piece: SnapshotChunk) -> bool:
        """Whether a piece is of this very image of this leader."""
        mine = (self.leader, self.index, self.term, self.size)
        return mine == (leader, piece.index, piece.term, piece.size)

    def take(self, piece: SnapshotChunk) -> None:
        """Add a piece that goes on where the buffer ends; any other changes nothing."""
        if piece.offset == len(self.buffer):
            self.buffer += piece.data

    @property
    def whole(self) -> bool:
        return len(self.buffer) == self.size

    def snapshot(self) -> Snapshot:
        """The image, once it is whole."""
        return Snapshot(self.index, self.term, self.voters, bytes(self.buffer), self.command_index)
