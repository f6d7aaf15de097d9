"""Reading of message bodies with a Content-Length or the chunked coding (RFC 9112, 6 and 7).

Bodies delimited by the close of the connection are not supported: a truncated one could not be
detected.
"""

import re

from ryelock.http.errors import BodyTooLargeError, HeadTooLongError, MalformedMessageError
from ryelock.http.reader import Reader

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
"""A chunk size with chunk extensions, which are ignored (RFC 9112, section 7.1)."""
MAX_READ_BYTES = 65_536
"""Limit of what one `read_chunk` returns."""
MAX_TRAILER_BYTES = 8192


class Body:
    """The body of one message, read incrementally.

    Attributes:
        chunked: True if the body has the chunked transfer coding.
        bytes_left: unread bytes of the body; if chunked, of the current chunk.
        complete: True once the end of the body was read.
    """

    __slots__ = ("bytes_left", "chunked", "complete", "reader")

    def __init__(self, reader: Reader, chunked: bool, length: int) -> None:
        """Create a body that starts at the reader's next byte.

        Args:
            reader: reads from the connection.
            chunked: True if the body has the chunked transfer coding.
            length: the length in bytes; ignored if chunked.
        """
        self.reader = reader
        self.chunked = chunked
        self.bytes_left = 0 if chunked else length
        self.complete = not chunked and length == 0

    async def read_chunk(self, deadline: float) -> bytes:
        """Return the next bytes of the body, at most MAX_READ_BYTES; empty at the end.

        A chunk of the transfer coding may be returned in several parts.

        Args:
            deadline: in monotonic seconds.

        Raises:
            FramingError: the chunked coding is malformed.
            IncompleteMessageError: the connection was closed before the end of the body.
            ReadTimeoutError: no bytes were received before the deadline.
        """
        if self.complete:
            return b""
        if self.chunked and self.bytes_left == 0:
            self.bytes_left = await self.read_chunk_size(deadline)
            if self.bytes_left == 0:
                await self.skip_trailers(deadline)
                self.complete = True
                return b""
        data = await self.reader.read_some(min(self.bytes_left, MAX_READ_BYTES), deadline)
        self.bytes_left -= len(data)
        if self.bytes_left == 0:
            await self.end_chunk(deadline)
        return data

    async def read_chunk_size(self, deadline: float) -> int:
        """Read a chunk-size line and return the size in bytes."""
        match = CHUNK_SIZE_LINE.fullmatch(await self.reader.read_line(deadline))
        if match is None:
            raise MalformedMessageError("malformed chunk size")
        return int(match[1], 16)

    async def end_chunk(self, deadline: float) -> None:
        """Read the CRLF after a chunk; without the chunked coding, mark the body as complete."""
        if not self.chunked:
            self.complete = True
        elif await self.reader.read_line(deadline):
            raise MalformedMessageError("chunk longer than its size")

    async def skip_trailers(self, deadline: float) -> None:
        """Read and discard the trailer section, as RFC 9110, section 6.5.1, allows."""
        total = 0
        while True:
            line = await self.reader.read_line(deadline)
            if not line:
                return
            total += len(line)
            if total > MAX_TRAILER_BYTES:
                raise HeadTooLongError("trailers too long")

    async def read_all(self, max_bytes: int, deadline: float) -> bytes:
        """Return the rest of the body; raises like `read_chunk`.

        Raises:
            BodyTooLargeError: the rest is longer than `max_bytes`.
        """
        chunks: list[bytes] = []
        total = 0
        if not self.chunked and self.bytes_left > max_bytes:
            raise BodyTooLargeError
        while True:
            chunk = await self.read_chunk(deadline)
            if not chunk and self.complete:
                return b"".join(chunks)
            total += len(chunk)
            if total > max_bytes:
                raise BodyTooLargeError
            chunks.append(chunk)
