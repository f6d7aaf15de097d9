"""The interface of connections, whatever transports their bytes: sockets or the simulator.

A connection is a stream of bytes with a queue of received chunks. Reading pauses while the reader
is behind, and a writer can wait until what it wrote was sent. An empty chunk is the end.
"""

from collections.abc import Callable
from typing import Protocol

from ryelock.runtime.tasks import Queue, Scheduler

MAX_UNREAD_BYTES = 262_144
"""Above so many received but unread bytes a connection stops reading."""


class NetworkError(Exception):
    """An address cannot be listened on; the text names it and the reason."""


class Connection:
    """A connection as a stream of bytes; a subclass transports them.

    Attributes:
        peer: host:port of the other side.
        bulk: whether what is written gives way to what is written to other connections.
        connected: whether the connection is, or was, established.
        closed: whether no more bytes can come or go.
        received: chunks that were received; an empty one is the end.
        writable: wakes a writer that waits; also when the connection is established or ends.
        unread_bytes: bytes in `received`.
        unsent_bytes: bytes that were written and not sent.
        on_closed: called once, when the connection ends, whichever side ended it.
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
        """Queue bytes for sending; they are dropped once the connection has ended."""
        raise NotImplementedError

    def close(self) -> None:
        """End the connection after what was written is sent."""
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection: what has not arrived is lost."""
        raise NotImplementedError

    def pause_reading(self) -> None:
        """Stop reading from the transport."""

    def resume_reading(self) -> None:
        """Read from the transport again."""

    def data_received(self, data: bytes) -> None:
        """Take received bytes from the transport; pauses reading when too many are unread."""
        self.unread_bytes += len(data)
        self.received.put(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.pause_reading()

    def connection_lost(self) -> None:
        """Take from the transport that no more bytes can come or go."""
        if not self.closed:
            self.closed = True
            self.unsent_bytes = 0
            self.received.put(b"")
            self.writable.put(False)
            on_closed, self.on_closed = self.on_closed, None
            if on_closed is not None:
                on_closed()

    async def receive(self, timeout: float | None) -> bytes | None:
        """Return the next bytes; empty at the end, None after `timeout` seconds."""
        data = await self.received.get(timeout)
        if data:
            before = self.unread_bytes
            self.unread_bytes -= len(data)
            if before > MAX_UNREAD_BYTES >= self.unread_bytes:
                self.resume_reading()
        elif data is not None:
            # The end stays readable, however often it is read.
            self.received.put(b"")
        return data

    async def wait_connected(self, timeout: float) -> bool:
        """Wait until established; False when the connection is not after `timeout` seconds."""
        until = self.scheduler.now() + timeout
        while not self.connected and not self.closed:
            left = until - self.scheduler.now()
            if left <= 0:
                return False
            await self.writable.get(left)
        return self.connected and not self.closed

    async def drain(self, max_unsent_bytes: int, timeout: float) -> bool:
        """Wait until at most so many bytes are unsent; False if not within `timeout` seconds."""
        until = self.scheduler.now() + timeout
        while self.unsent_bytes > max_unsent_bytes and not self.closed:
            left = until - self.scheduler.now()
            if left <= 0:
                return False
            await self.writable.get(left)
        return not self.closed


ConnectionHandler = Callable[[Connection], None]
"""Takes an accepted connection."""


class Network(Protocol):
    """What opens and accepts connections: real sockets or the simulator."""

    def listen(self, address: str, handler: ConnectionHandler) -> str:
        """Listen on host:port and return the address, whose port the system chose where it was 0.

        Raises:
            NetworkError: the address cannot be listened on.
        """
        ...

    def connect(self, address: str) -> Connection:
        """Return a connection that is being established; see Connection.wait_connected."""
        ...

    def stop_listening(self, address: str) -> None:
        """Stop accepting connections at an address that `listen` returned."""
        ...
