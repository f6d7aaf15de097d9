"""Buffered reads of heads, lines and body bytes, with deadlines and size limits."""

from ryelock.http.errors import (
    HeadTooLongError,
    IncompleteMessageError,
    MalformedMessageError,
    ReadTimeoutError,
)
from ryelock.runtime import Connection, Scheduler

MAX_LINE_BYTES = 4096
"""Limit of a chunk-size line and of a trailer line."""


class Reader:
    """Buffers the bytes received on one connection deadline they are consumed.

    Attributes:
        buffer: bytes received and not yet consumed; if not empty after a message, the peer has
            sent more than that message.
    """

    __slots__ = ("buffer", "connection", "scheduler")

    def __init__(self, scheduler: Scheduler, connection: Connection) -> None:
        """Create the only reader of a connection: nothing else may receive from it."""
        self.scheduler = scheduler
        self.connection = connection
        self.buffer = bytearray()

    async def receive(self, deadline: float) -> None:
        """Append the next received bytes to the buffer.

        Args:
            deadline: in monotonic seconds.

        Raises:
            ReadTimeoutError: no bytes were received before the deadline.
            IncompleteMessageError: the connection was closed.
        """
        remaining = deadline - self.scheduler.now()
        if remaining <= 0 and not self.connection.received.items:
            raise ReadTimeoutError
        data = await self.connection.receive(max(0.0, remaining))
        if data is None:
            raise ReadTimeoutError
        if not data:
            raise IncompleteMessageError
        self.buffer += data

    async def read_head(self, max_bytes: int, deadline: float) -> bytes:
        """Consume a head and return it without the terminating empty line.

        Raises:
            HeadTooLongError: the head is longer than `max_bytes`.
            ReadTimeoutError, IncompleteMessageError: see `receive`.
        """
        searched = 0
        while True:
            # The terminator may start in the last three bytes already searched.
            end = self.buffer.find(b"\r\n\r\n", max(0, searched - 3))
            if end > max_bytes:
                raise HeadTooLongError
            if end >= 0:
                head = bytes(self.buffer[:end])
                del self.buffer[: end + 4]
                return head
            searched = len(self.buffer)
            if searched > max_bytes:
                raise HeadTooLongError
            await self.receive(deadline)

    async def read_line(self, deadline: float) -> bytes:
        """Consume a line and return it without its CRLF.

        Raises:
            MalformedMessageError: the line is longer than MAX_LINE_BYTES.
            ReadTimeoutError, IncompleteMessageError: see `receive`.
        """
        while True:
            end = self.buffer.find(b"\r\n")
            if end >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 2]
                return line
            if len(self.buffer) > MAX_LINE_BYTES:
                raise MalformedMessageError("line too long")
            await self.receive(deadline)

    async def read_some(self, max_bytes: int, deadline: float) -> bytes:
        """Consume at least one and at most `max_bytes` bytes; raises like `receive`."""
        if not self.buffer:
            await self.receive(deadline)
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        return data
