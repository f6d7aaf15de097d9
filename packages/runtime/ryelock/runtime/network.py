"""Transport-independent connections, implemented by sockets and by the simulator.

A connection is a byte stream with a queue of received chunks; an empty chunk marks the end of the
stream. Backpressure: reading pauses while too many bytes are unread, and a writer can wait until
the send buffer drains.
"""

from collections.abc import Callable
from typing import Protocol

from ryelock.runtime.tasks import Queue, Scheduler

MAX_UNREAD_BYTES = 262_144
"""A connection pauses reading while more received bytes than this are unread."""


class NetworkError(Exception):
    """Listening on an address failed; the message names the address and the reason."""


class Connection:
    """Base class of connections; a subclass provides the transport.

    Attributes:
        peer: host:port of the remote side.
        bulk: True for low-priority data, which is paced; see EgressPacer.
        connected: True once the connection has been established, also after it has ended.
        closed: True once nothing more can be sent or received.
        received: chunks received and not yet read; an empty one marks the end of the stream.
        writable: resumes a waiting writer, also when the connection is established or ends.
        unread_bytes: number of bytes in `received`.
        unsent_bytes: number of bytes written and not yet sent.
        on_closed: called once when the connection ends, whichever side ended it.
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
        """Create a connection to a peer's host:port; it is not established yet."""
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
        """Queue bytes for sending; does nothing once the connection has ended."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection, dropping bytes that are not yet delivered."""
        raise NotImplementedError

    def pause_reading(self) -> None:
        """Stop reading from the transport."""

    def resume_reading(self) -> None:
        """Resume reading from the transport."""

    def data_received(self, data: bytes) -> None:
        """Queue bytes that the transport received; pause reading if too many are unread."""
        self.unread_bytes += len(data)
        self.received.put(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.pause_reading()

    def connection_lost(self) -> None:
        """Mark the connection as ended; called by the transport."""
        if not self.closed:
            self.closed = True
            self.unsent_bytes = 0
            self.received.put(b"")
            self.writable.put(False)
            on_closed, self.on_closed = self.on_closed, None
            if on_closed is not None:
                on_closed()

    async def receive(self, timeout: float | None) -> bytes | None:
        """Return the next chunk: empty at the end of the stream, None after `timeout` seconds."""
        data = await self.received.get(timeout)
        if data:
            before = self.unread_bytes
            self.unread_bytes -= len(data)
            if before > MAX_UNREAD_BYTES >= self.unread_bytes:
                self.resume_reading()
        elif data is not None:
            # Later reads return the end of the stream as well.
            self.received.put(b"")
        return data

    async def wait_connected(self, timeout: float) -> bool:
        """Return True once established, False if it ends or `timeout` seconds pass before."""
        deadline = self.scheduler.now() + timeout
        while not self.connected and not self.closed:
            remaining = deadline - self.scheduler.now()
            if remaining <= 0:
                return False
            await self.writable.get(remaining)
        return self.connected and not self.closed

    async def drain(self, max_unsent_bytes: int, timeout: float) -> bool:
        """Wait until at most `max_unsent_bytes` are unsent.

        Returns False if the connection ends or `timeout` seconds pass before.
        """
        deadline = self.scheduler.now() + timeout
        while self.unsent_bytes > max_unsent_bytes and not self.closed:
            remaining = deadline - self.scheduler.now()
            if remaining <= 0:
                return False
            await self.writable.get(remaining)
        return not self.closed


ConnectionHandler = Callable[[Connection], None]
"""Called with each accepted connection."""


class Network(Protocol):
    """Opens and accepts connections, over real sockets or in the simulator."""

    def listen(self, address: str, handler: ConnectionHandler) -> str:
        """Listen on host:port and return the bound address; port 0 selects a free port.

        Raises:
            NetworkError: listening on the address failed.
        """
        ...

    def connect(self, address: str) -> Connection:
        """Start a connection and return it at once; see Connection.wait_connected."""
        ...

    def stop_listening(self, address: str) -> None:
        """Stop accepting connections on an address that `listen` returned."""
        ...
