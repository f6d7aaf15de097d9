"""Reading from a connection with deadlines and limits: heads, lines and pieces of bodies."""

from ryelock.http.errors import (
    HeadTooLongError,
    IncompleteMessageError,
    MalformedMessageError,
    ReadTimeoutError,
)
from ryelock.runtime import Connection, Scheduler

MAX_LINE_BYTES = 4096
"""The longest line of a chunk's size or of a trailer."""


class Reader:
    """Bytes of one connection that were received but not yet used.

    Attributes:
        buffer: these bytes; not empty after a message means that more was sent behind it.
        took: how many bytes were received in all.
    """

    __slots__ = ("buffer", "connection", "scheduler")

    def __init__(self, scheduler: Scheduler, connection: Connection) -> None:
        """Create a reader of a connection; nothing else may receive from it."""
        self.scheduler = scheduler
        self.connection = connection
        self.buffer = bytearray()

    async def receive(self, until: float) -> None:
        """Add the next received bytes to the buffer.

        Args:
            until: deadline in monotonic seconds.

        Raises:
            ReadTimeoutError: nothing came before the deadline.
            IncompleteMessageError: the connection ended.
        """
        left = until - self.scheduler.now()
        if left <= 0 and not self.connection.received.items:
            raise ReadTimeoutError
        data = await self.connection.receive(max(0.0, left))
        if data is None:
            raise ReadTimeoutError
        if not data:
            raise IncompleteMessageError
        self.buffer += data

    async def read_head(self, max_bytes: int, until: float) -> bytes:
        """Return a head without its empty line; see `receive` for the deadline and its errors.

        Raises:
            HeadTooLongError: the head is longer than `max_bytes`.
        """
        searched = 0
        while True:
            # The end may begin in the last three bytes that were searched already.
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
            await self.receive(until)

    async def read_line(self, until: float) -> bytes:
        """Return a line without its end; see `receive` for the deadline and its errors.

        Raises:
            MalformedMessageError: no line ends within MAX_LINE_BYTES.
        """
        while True:
            end = self.buffer.find(b"\r\n")
            if end >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 2]
                return line
            if len(self.buffer) > MAX_LINE_BYTES:
                raise MalformedMessageError("line too long")
            await self.receive(until)

    async def read_some(self, max_bytes: int, until: float) -> bytes:
        """Return at least one byte and at most so many; see `receive` for deadline and errors."""
        if not self.buffer:
            await self.receive(until)
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        return data
