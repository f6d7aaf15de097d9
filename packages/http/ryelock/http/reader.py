"""Reading of heads and bodies from a link, with deadlines and limits.

A body that ends too early raises Cut; one whose chunks are malformed raises FramingError.
Nothing here guesses: an answer without a length or chunks has no provable end.
"""

import re

from ryelock.http.heads import FramingError
from ryelock.runtime import Connection, Scheduler

CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
PIECE = 65_536


class IncompleteMessageError(Exception):
    """The other side ended in the middle."""


class ReadTimeoutError(Exception):
    """The deadline passed in the middle."""


class Reader:
    """Bytes of one link that were read but not yet used."""

    __slots__ = ("buffer", "connection", "scheduler", "took")

    def __init__(self, scheduler: Scheduler, connection: Connection) -> None:
        self.scheduler = scheduler
        self.connection = connection
        self.buffer = bytearray()
        self.took = 0

    async def receive(self, until: float) -> None:
        left = until - self.scheduler.now()
        if left <= 0 and not self.connection.received.items:
            raise ReadTimeoutError
        data = await self.connection.receive(max(0.0, left))
        if data is None:
            raise ReadTimeoutError
        if not data:
            raise IncompleteMessageError
        self.took += len(data)
        self.buffer += data

    async def read_head(self, most: int, until: float) -> bytes:
        """A head up to its empty line."""
        seen = 0
        while True:
            place = self.buffer.find(b"\r\n\r\n", max(0, seen - 3))
            if place >= 0:
                if place > most:
                    raise FramingError(431, "head too long")
                head = bytes(self.buffer[:place])
                del self.buffer[: place + 4]
                return head
            seen = len(self.buffer)
            if seen > most:
                raise FramingError(431, "head too long")
            await self.receive(until)

    async def read_line(self, until: float) -> bytes:
        while True:
            place = self.buffer.find(b"\r\n")
            if place >= 0:
                line = bytes(self.buffer[:place])
                del self.buffer[: place + 2]
                return line
            if len(self.buffer) > 4096:
                raise FramingError(400, "line too long")
            await self.receive(until)

    async def read_some(self, most: int, until: float) -> bytes:
        if not self.buffer:
            await self.receive(until)
        piece = bytes(self.buffer[:most])
        del self.buffer[:most]
        return piece


class Body:
    """The body of one message, taken piece by piece; an empty piece is its whole end."""

    __slots__ = ("bytes_left", "chunked", "complete", "reader")

    def __init__(self, reader: Reader, chunked: bool, length: int) -> None:
        self.reader = reader
        self.chunked = chunked
        self.bytes_left = 0 if chunked else length
        self.complete = not chunked and length == 0

    async def read_chunk(self, until: float) -> bytes:
        if self.complete:
            return b""
        if self.chunked and self.bytes_left == 0:
            line = await self.reader.read_line(until)
            found = CHUNK_LINE.fullmatch(line)
            if found is None:
                raise FramingError(400, "malformed chunk size")
            self.bytes_left = int(found[1], 16)
            if self.bytes_left == 0:
                await self.trailers(until)
                self.complete = True
                return b""
        data = await self.reader.read_some(min(self.bytes_left, PIECE), until)
        self.bytes_left -= len(data)
        if self.bytes_left == 0:
            if not self.chunked:
                self.complete = True
            else:
                end = await self.reader.read_line(until)
                if end:
                    raise FramingError(400, "chunk longer than its size")
        return data

    async def trailers(self, until: float) -> None:
        total = 0
        while True:
            line = await self.reader.read_line(until)
            if not line:
                return
            total += len(line)
            if total > 8192:
                raise FramingError(431, "trailers too long")

    async def read_all(self, most: int, until: float) -> bytes:
        """The rest of the body at once; raises FramingError 413 above the limit."""
        pieces: list[bytes] = []
        total = 0
        if not self.chunked and self.bytes_left > most:
            raise FramingError(413, "body too large")
        while True:
            piece = await self.read_chunk(until)
            if not piece and self.complete:
                return b"".join(pieces)
            total += len(piece)
            if total > most:
                raise FramingError(413, "body too large")
            pieces.append(piece)
