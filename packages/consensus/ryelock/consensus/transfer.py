"""An image on its way from a leader to a follower, in pieces.

The leader sends one piece an ask and waits for how much has arrived; a piece whose answer was lost
is sent again from there. Both sides hold one image at most: the leader slices the one it sends,
the follower fills one buffer. What arrived is kept in memory only: a follower that restarts, or
another leader, begins anew.
"""

from ryelock.consensus.entries import Image, Voters

IMAGE_PIECE_BYTES = 262_144
"""The most bytes of an image in one message."""
IMAGE_BYTES_MOST = 134_217_728
"""A follower takes no image that is larger."""


class Piece:
    """A part of an image's machine state, with the image's other fields."""

    __slots__ = ("data", "epoch", "index", "offset", "size", "voters", "word")

    def __init__(self, image: Image, offset: int, data: bytes) -> None:
        self.index = image.index
        self.epoch = image.epoch
        self.voters = image.voters
        self.word = image.word
        self.size = len(image.machine)
        self.offset = offset
        self.data = data

    def plain(self) -> list[object]:
        """The piece as a message carries it."""
        return [
            self.index,
            self.epoch,
            self.voters,
            self.word,
            self.size,
            self.offset,
            self.data,
        ]


def piece_of(plain: object) -> Piece:
    """Read a piece from a message; raises ValueError."""
    match plain:
        case [int(index), int(epoch), dict(voters), int(word), int(size), int(offset), bytes(data)]:
            if not 0 <= offset <= offset + len(data) <= size <= IMAGE_BYTES_MOST:
                raise ValueError("not within the image")
            piece = Piece(Image(index, epoch, voters, b"", word), offset, data)
            piece.size = size
            return piece
        case _:
            raise ValueError("not a piece of an image")


class OutgoingImage:
    """What a leader sends to one peer; it stays the same image until it has crossed."""

    __slots__ = ("image", "received")

    def __init__(self, image: Image) -> None:
        self.image = image
        self.received = 0

    def next_piece(self, most: int) -> Piece:
        """The piece behind what the peer has, of so many bytes at most."""
        data = self.image.machine[self.received : self.received + most]
        return Piece(self.image, self.received, data)


class IncomingImage:
    """What a follower has of one leader's image."""

    __slots__ = ("buffer", "epoch", "index", "leader", "size", "voters", "word")

    def __init__(self, leader: str, piece: Piece) -> None:
        self.leader = leader
        self.index = piece.index
        self.epoch = piece.epoch
        self.size = piece.size
        self.voters: Voters = piece.voters
        self.word = piece.word
        self.buffer = bytearray()

    def belongs(self, leader: str, piece: Piece) -> bool:
        """Whether a piece is of this very image of this leader."""
        mine = (self.leader, self.index, self.epoch, self.size)
        return mine == (leader, piece.index, piece.epoch, piece.size)

    def take(self, piece: Piece) -> None:
        """Add a piece that goes on where the buffer ends; any other changes nothing."""
        if piece.offset == len(self.buffer):
            self.buffer += piece.data

    @property
    def whole(self) -> bool:
        return len(self.buffer) == self.size

    def image(self) -> Image:
        """The image, once it is whole."""
        return Image(self.index, self.epoch, self.voters, bytes(self.buffer), self.word)
