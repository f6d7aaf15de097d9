"""The circuits component that drives a process: its sockets, its beats and its signals.

One component owns every socket and stands on circuits' epoll poller directly. circuits' own
client component is one component a link: each registration empties the handler cache of the
whole tree, and its beats read the wall clock. Here a socket is an entry in a table, the
poller's events reach one handler, and the scheduler's next beat bounds the poll.
"""

import errno
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from circuits.core.pollers import EPoll

from ryelock.runtime.egress import EgressPacer
from ryelock.runtime.network import Greeting, Link, NetworkError
from ryelock.runtime.tasks import Queue, Scheduler

PIECE = 65_536
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""
AGAIN = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)


class MachineClock:
    """The clock of this machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()


def split_address(address: str) -> tuple[str, int]:
    """Split host:port; raises ValueError where the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class SocketLink(Link):
    """A connection over a TCP socket."""

    __slots__ = ("closing", "pieces", "reactor", "reading", "socket", "writing")

    def __init__(self, reactor: "Reactor", plain: socket.socket, peer: str) -> None:
        """Wrap a non-blocking socket; `peer` is the other side's host:port."""
        super().__init__(reactor.scheduler, peer)
        self.reactor = reactor
        self.socket = plain
        self.pieces: deque[memoryview] = deque()
        self.closing = False
        self.reading = False
        self.writing = False

    def write(self, data: bytes) -> None:
        """Queue bytes and send at once what the socket takes."""
        if self.ended or self.closing or not data:
            return
        self.pieces.append(memoryview(data))
        self.unsent += len(data)
        if self.opened and not self.writing:
            self.flush()

    def flush(self) -> None:
        """Send queued bytes, those of a bulk connection when its turn comes."""
        pacer = self.reactor.pacer
        if pacer is None:
            self.send_some(self.unsent)
        elif self.bulk and self.pieces:
            self.want_write(False)
            pacer.submit(self)
        else:
            pacer.count(self.send_some(self.unsent))

    @property
    def has_more(self) -> bool:
        """Whether bytes are queued that the socket would take now; see BulkSender."""
        return bool(self.pieces) and not self.writing and not self.ended

    def send_some(self, most: int) -> int:
        """Send at most so many queued bytes; returns how many the socket took."""
        if self.ended:
            return 0
        sent = 0
        full = False
        while self.pieces and sent < most and not full:
            piece = self.pieces[0][: most - sent]
            try:
                count = self.socket.send(piece)
            except OSError as error:
                if error.errno not in AGAIN:
                    self.end()
                    return sent
                count, full = 0, True
            full = full or count < len(piece)
            sent += count
            self.unsent -= count
            self.drop_sent(count)
        self.want_write(full)
        if not self.pieces:
            self.all_sent()
        return sent

    def drop_sent(self, count: int) -> None:
        """Drop so many bytes from the first queued piece."""
        piece = self.pieces[0]
        if count < len(piece):
            self.pieces[0] = piece[count:]
        else:
            self.pieces.popleft()

    def all_sent(self) -> None:
        """End a connection that was closed; tell a writer that waits for room."""
        if self.closing:
            self.end()
        elif len(self.room) == 0:
            self.room.put(True)

    def want_write(self, wanted: bool) -> None:
        """Watch or stop watching for room to send."""
        if wanted and not self.writing:
            self.reactor.poller.addWriter(self.reactor, self.socket)
        elif not wanted and self.writing:
            self.reactor.poller.removeWriter(self.socket)
        self.writing = wanted

    def want_read(self, wanted: bool) -> None:
        """Watch or stop watching for received bytes."""
        if self.ended:
            return
        if wanted and not self.reading:
            self.reactor.poller.addReader(self.reactor, self.socket)
        elif not wanted and self.reading:
            self.reactor.poller.removeReader(self.socket)
        self.reading = wanted

    def hold(self) -> None:
        """Stop reading from the socket."""
        self.want_read(False)

    def release(self) -> None:
        """Read from the socket again."""
        self.want_read(True)

    def close(self) -> None:
        """End after the queued bytes were sent, at once where there are none."""
        if self.pieces and self.opened and not self.ended:
            self.closing = True
        else:
            self.end()

    def abort(self) -> None:
        """Reset the connection: also what the system still holds for it is dropped.

        Closed in order it would arrive later, for instance once a cut network heals.
        """
        if not self.ended:
            with suppress(OSError):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.end()

    def end(self) -> None:
        """Close the socket; what the system still holds is sent in order."""
        if self.ended:
            return
        self.reactor.poller.discard(self.socket)
        self.reactor.links.pop(self.socket, None)
        self.socket.close()
        self.pieces.clear()
        self.finished()


class Reactor(BaseComponent):  # type: ignore[misc]
    """The root component; also the Network of a daemon."""

    channel = "reactor"

    def __init__(
        self, fault: Callable[[str, BaseException], None], link_bytes_per_second: float = 0.0
    ) -> None:
        """Create a reactor.

        Args:
            fault: called with the name and error of a task that failed.
            link_bytes_per_second: what the machine's link carries; 0 where it is not known, and
                bulk connections are not paced.
        """
        super().__init__()
        self.scheduler = Scheduler(MachineClock(), fault)
        self.signals: Queue[int] = Queue(self.scheduler)
        self.links: dict[socket.socket, SocketLink] = {}
        self.listeners: dict[socket.socket, Greeting] = {}
        self.poller = EPoll().register(self)
        self.pacer = (
            EgressPacer(self.scheduler, link_bytes_per_second) if link_bytes_per_second else None
        )

    def listen(self, address: str, greeting: Greeting) -> str:
        """Listen on host:port; see Network."""
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            listener.listen(1024)
        except OSError as error:
            listener.close()
            raise NetworkError(f"cannot listen on {address}: {error.strerror}") from error
        listener.setblocking(False)
        self.listeners[listener] = greeting
        self.poller.addReader(self, listener)
        found = listener.getsockname()
        return f"{found[0]}:{found[1]}"

    def stop_listening(self, address: str) -> None:
        """Close the listener at an address; see Network."""
        for listener in list(self.listeners):
            found = listener.getsockname()
            if f"{found[0]}:{found[1]}" == address:
                self.poller.discard(listener)
                del self.listeners[listener]
                listener.close()

    def connect(self, address: str) -> Link:
        """Start to connect; a connection that cannot be started is returned ended."""
        plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        plain.setblocking(False)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = SocketLink(self, plain, address)
        try:
            outcome = plain.connect_ex(split_address(address))
        except (OSError, ValueError, OverflowError):
            outcome = errno.EINVAL
        if outcome not in (0, errno.EINPROGRESS):
            plain.close()
            link.finished()
            return link
        self.links[plain] = link
        link.want_write(True)
        return link

    def accept(self, listener: socket.socket) -> None:
        """Accept waiting connections, at most 64 a turn."""
        for _ in range(64):
            try:
                plain, peer = listener.accept()
            except OSError:
                return
            plain.setblocking(False)
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = SocketLink(self, plain, f"{peer[0]}:{peer[1]}")
            link.opened = True
            self.links[plain] = link
            link.want_read(True)
            self.listeners[listener](link)

    @handler("_read")  # type: ignore[untyped-decorator]
    def on_readable(self, plain: socket.socket) -> None:
        """Accept connections or receive bytes, as the poller tells."""
        if plain in self.listeners:
            self.accept(plain)
            return
        link = self.links.get(plain)
        if link is None or not link.reading:
            return
        try:
            data = plain.recv(PIECE)
        except OSError as error:
            if error.errno not in AGAIN:
                link.end()
            return
        if data:
            link.arrived(data)
        else:
            link.end()

    @handler("_write")  # type: ignore[untyped-decorator]
    def on_writable(self, plain: socket.socket) -> None:
        """Finish opening a connection or send on, as the poller tells."""
        link = self.links.get(plain)
        if link is None:
            return
        if not link.opened:
            if plain.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
                link.end()
                return
            link.opened = True
            link.want_read(True)
            link.room.put(True)
        link.flush()

    @handler("_disconnect", "_error")  # type: ignore[untyped-decorator]
    def on_gone(self, plain: socket.socket, *_: object) -> None:
        """End a connection whose socket failed."""
        link = self.links.get(plain)
        if link is not None:
            link.end()

    @handler("signal", channel="*")  # type: ignore[untyped-decorator]
    def on_signal(self, number: int, _: object) -> None:
        """Hand a signal's number to the task that waits for signals."""
        self.signals.put(number)

    @handler("generate_events", priority=10)  # type: ignore[untyped-decorator]
    def on_turn(self, event: object) -> None:
        """Run the tasks that are ready, and limit the poll to the next timer."""
        more = self.scheduler.run_ready()
        if more or not self.running:
            event.reduce_time_left(0)  # type: ignore[attr-defined]
            return
        beat = self.scheduler.next_timer()
        if beat is not None:
            left = max(0.0, beat - self.scheduler.now())
            event.reduce_time_left(left)  # type: ignore[attr-defined]
