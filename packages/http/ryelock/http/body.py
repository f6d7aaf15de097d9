"""The body of one message, whose end its own framing proves (RFC 9112, sections 6 and 7).

Nothing here guesses: a body without a length or chunks has no provable end and is not read.
"""

import re

from ryelock.http.errors import BodyTooLargeError, HeadTooLongError, MalformedMessageError
from ryelock.http.reader import Reader

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
"""A chunk's size and extensions, which are ignored (RFC 9112, section 7.1)."""
MAX_PIECE_BYTES = 65_536
"""The most that one `read_chunk` returns."""
MAX_TRAILER_BYTES = 8192


class Body:
    """The body of one message, read piece by piece.

    Attributes:
        chunked: whether it comes in chunks.
        bytes_left: bytes still to come of the body, or of the chunk that is being read.
        complete: whether its end was reached.
    """

    __slots__ = ("bytes_left", "chunked", "complete", "reader")

    def __init__(self, reader: Reader, chunked: bool, length: int) -> None:
        """Create a body whose first byte is the reader's next one.

        Args:
            reader: bytes of the connection.
            chunked: whether the body comes in chunks.
            length: its length in bytes where it does not.
        """
        self.reader = reader
        self.chunked = chunked
        self.bytes_left = 0 if chunked else length
        self.complete = not chunked and length == 0

    async def read_chunk(self, until: float) -> bytes:
        """Return the next piece, whatever the sender's chunks are; empty at the end.

        Args:
            until: deadline in monotonic seconds.

        Raises:
            FramingError: the chunks are malformed.
            IncompleteMessageError: the connection ended before the body did.
            ReadTimeoutError: nothing came before the deadline.
        """
        if self.complete:
            return b""
        if self.chunked and self.bytes_left == 0:
            self.bytes_left = await self.read_chunk_size(until)
            if self.bytes_left == 0:
                await self.skip_trailers(until)
                self.complete = True
                return b""
        data = await self.reader.read_some(min(self.bytes_left, MAX_PIECE_BYTES), until)
        self.bytes_left -= len(data)
        if self.bytes_left == 0:
            await self.end_chunk(until)
        return data

    async def read_chunk_size(self, until: float) -> int:
        """Read the line before a chunk and return the chunk's size in bytes."""
        found = CHUNK_SIZE_LINE.fullmatch(await self.reader.read_line(until))
        if found is None:
            raise MalformedMessageError("malformed chunk size")
        return int(found[1], 16)

    async def end_chunk(self, until: float) -> None:
        """Read the line end behind a chunk; a body with a length is complete instead."""
        if not self.chunked:
            self.complete = True
        elif await self.reader.read_line(until):
            raise MalformedMessageError("chunk longer than its size")

    async def skip_trailers(self, until: float) -> None:
        """Read the trailer section, which is dropped as RFC 9110, section 6.5.1, allows."""
        total = 0
        while True:
            line = await self.reader.read_line(until)
            if not line:
                return
            total += len(line)
            if total > MAX_TRAILER_BYTES:
                raise HeadTooLongError("trailers too long")

    async def read_all(self, max_bytes: int, until: float) -> bytes:
        """Return the rest of the body at once; see `read_chunk`.

        Raises:
            BodyTooLargeError: it is longer than `max_bytes`.
        """
        pieces: list[bytes] = []
        total = 0
        if not self.chunked and self.bytes_left > max_bytes:
            raise BodyTooLargeError
        while True:
            piece = await self.read_chunk(until)
            if not piece and self.complete:
                return b"".join(pieces)
            total += len(piece)
            if total > max_bytes:
                raise BodyTooLargeError
            pieces.append(piece)
