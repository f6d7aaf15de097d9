"""Links between processes as the rest of the code sees them, whatever carries them.

A link is a stream of bytes with an inbox. Reading is held back while the reader is behind,
and a writer can wait until what it wrote has left. An empty piece in the inbox is the end.
"""

from collections.abc import Callable
from typing import Protocol

from ryelock.runtime.tasks import Queue, Scheduler

MAX_UNREAD_BYTES = 262_144


class NetworkError(Exception):
    """A listening address could not be had."""


class Connection:
    """A connection as a stream of bytes; subclasses carry the bytes.

    What is written to a `bulk` connection gives way to what is written to others. `when_ended` is
    called once, at the moment when the connection ends, whichever side ended it.
    """

    __slots__ = (
        "bulk",
        "closed",
        "connected",
        "on_closed",
        "peer",
        "received",
        "scheduler",
        "unread_bytes",
        "unsent_bytes",
        "writable",
    )

    def __init__(self, scheduler: Scheduler, peer: str) -> None:
        """Create a connection that is not yet open to a peer's host:port."""
        self.scheduler = scheduler
        self.peer = peer
        self.bulk = False
        self.received: Queue[bytes] = Queue(scheduler)
        self.writable: Queue[bool] = Queue(scheduler)
        self.connected = False
        self.closed = False
        self.unread_bytes = 0
        self.unsent_bytes = 0
        self.on_closed: Callable[[], None] | None = None

    def write(self, data: bytes) -> None:
        """Queue bytes for sending; nothing is sent once the connection has ended."""
        raise NotImplementedError

    def close(self) -> None:
        """Send what was written, then end."""
        raise NotImplementedError

    def abort(self) -> None:
        """End at once with a reset: what has not arrived is lost."""
        raise NotImplementedError

    def pause_reading(self) -> None:
        """Stop reading for now."""

    def resume_reading(self) -> None:
        """Read on."""

    def data_received(self, data: bytes) -> None:
        """Called by the carrier with received bytes; holds reading back when too many wait."""
        self.unread_bytes += len(data)
        self.received.put(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.pause_reading()

    def connection_lost(self) -> None:
        """Called once by the carrier when no more bytes can come or go."""
        if not self.closed:
            self.closed = True
            self.unsent_bytes = 0
            self.received.put(b"")
            self.writable.put(False)
            told, self.on_closed = self.on_closed, None
            if told is not None:
                told()

    async def receive(self, timeout: float | None) -> bytes | None:
        """The next bytes; empty at the end; None once the seconds are over."""
        data = await self.received.get(timeout)
        if data:
            before = self.unread_bytes
            self.unread_bytes -= len(data)
            if before > MAX_UNREAD_BYTES >= self.unread_bytes:
                self.resume_reading()
        elif data is not None:
            self.received.put(b"")
        return data

    async def wait_connected(self, timeout: float) -> bool:
        """Wait until a link that was asked for stands; False when it cannot."""
        until = self.scheduler.now() + timeout
        while not self.connected and not self.closed:
            left = until - self.scheduler.now()
            if left <= 0:
                return False
            await self.writable.get(left)
        return self.connected and not self.closed

    async def drain(self, max_unsent_bytes: int, timeout: float) -> bool:
        """Wait until at most so many bytes are unsent; False when they stay."""
        until = self.scheduler.now() + timeout
        while self.unsent_bytes > max_unsent_bytes and not self.closed:
            left = until - self.scheduler.now()
            if left <= 0:
                return False
            await self.writable.get(left)
        return not self.closed


ConnectionHandler = Callable[[Connection], None]


class Network(Protocol):
    """What opens and accepts connections: real sockets or the simulator."""

    def listen(self, address: str, handler: ConnectionHandler) -> str:
        """Listen on host:port and give the address got; raises NetworkError."""
        ...

    def connect(self, address: str) -> Connection:
        """A link that is being opened; see Connection.wait_connected."""
        ...

    def stop_listening(self, address: str) -> None:
        """Stop accepting connections at an address that `listen` returned."""
        ...
