"""Links between processes as the rest of the code sees them, whatever carries them.

A link is a stream of bytes with an inbox. Reading is held back while the reader is behind,
and a writer can wait until what it wrote has left. An empty piece in the inbox is the end.
"""

from collections.abc import Callable
from typing import Protocol

from ryelock.runtime.tasks import Queue, Scheduler

HELD_BYTES = 262_144


class NetworkError(Exception):
    """A listening address could not be had."""


class Link:
    """A connection as a stream of bytes; subclasses carry the bytes.

    What is written to a `bulk` connection gives way to what is written to others. `when_ended` is
    called once, at the moment when the connection ends, whichever side ended it.
    """

    __slots__ = (
        "bulk",
        "ended",
        "held",
        "inbox",
        "opened",
        "peer",
        "room",
        "scheduler",
        "unsent",
        "when_ended",
    )

    def __init__(self, scheduler: Scheduler, peer: str) -> None:
        """Create a connection that is not yet open to a peer's host:port."""
        self.scheduler = scheduler
        self.peer = peer
        self.bulk = False
        self.inbox: Queue[bytes] = Queue(scheduler)
        self.room: Queue[bool] = Queue(scheduler)
        self.opened = False
        self.ended = False
        self.held = 0
        self.unsent = 0
        self.when_ended: Callable[[], None] | None = None

    def write(self, data: bytes) -> None:
        """Queue bytes for sending; nothing is sent once the connection has ended."""
        raise NotImplementedError

    def close(self) -> None:
        """Send what was written, then end."""
        raise NotImplementedError

    def abort(self) -> None:
        """End at once with a reset: what has not arrived is lost."""
        raise NotImplementedError

    def hold(self) -> None:
        """Stop reading for now."""

    def release(self) -> None:
        """Read on."""

    def arrived(self, data: bytes) -> None:
        """Called by the carrier with received bytes; holds reading back when too many wait."""
        self.held += len(data)
        self.inbox.put(data)
        if self.held > HELD_BYTES:
            self.hold()

    def finished(self) -> None:
        """Called once by the carrier when no more bytes can come or go."""
        if not self.ended:
            self.ended = True
            self.unsent = 0
            self.inbox.put(b"")
            self.room.put(False)
            told, self.when_ended = self.when_ended, None
            if told is not None:
                told()

    async def receive(self, seconds: float | None) -> bytes | None:
        """The next bytes; empty at the end; None once the seconds are over."""
        data = await self.inbox.get(seconds)
        if data:
            before = self.held
            self.held -= len(data)
            if before > HELD_BYTES >= self.held:
                self.release()
        elif data is not None:
            self.inbox.put(b"")
        return data

    async def open(self, seconds: float) -> bool:
        """Wait until a link that was asked for stands; False when it cannot."""
        until = self.scheduler.now() + seconds
        while not self.opened and not self.ended:
            left = until - self.scheduler.now()
            if left <= 0:
                return False
            await self.room.get(left)
        return self.opened and not self.ended

    async def drain(self, most: int, seconds: float) -> bool:
        """Wait until at most so many bytes are unsent; False when they stay."""
        until = self.scheduler.now() + seconds
        while self.unsent > most and not self.ended:
            left = until - self.scheduler.now()
            if left <= 0:
                return False
            await self.room.get(left)
        return not self.ended


Greeting = Callable[[Link], None]


class Network(Protocol):
    """What opens and accepts connections: real sockets or the simulator."""

    def listen(self, address: str, greeting: Greeting) -> str:
        """Listen on host:port and give the address got; raises NetworkError."""
        ...

    def connect(self, address: str) -> Link:
        """A link that is being opened; see Link.open."""
        ...

    def stop_listening(self, address: str) -> None:
        """Stop accepting connections at an address that `listen` returned."""
        ...
