"""The circuits component that drives a process: its sockets, its timers and its signals.

One component owns every socket and uses circuits' epoll poller directly. circuits' own client is
one component a connection: each registration empties the handler cache of the whole tree, and its
timers read the wall clock. Here a socket is an entry in a table, the poller's events reach one
handler, and the scheduler's next timer bounds the poll.
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
from ryelock.runtime.network import Connection, ConnectionHandler, NetworkError
from ryelock.runtime.tasks import Queue, Scheduler

RECEIVE_BYTES = 65_536
"""The most that one read of a socket returns."""
BACKLOG = 1024
"""Connections that the system queues until they are accepted."""
MAX_ACCEPTS = 64
"""Connections accepted in one turn, so that a burst does not hold up the others."""
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""
TEMPORARY_ERRORS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)


class SystemClock:
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


class SocketConnection(Connection):
    """A connection over a TCP socket."""

    __slots__ = ("closing", "reactor", "reading", "socket", "unsent_chunks", "writing")

    def __init__(self, reactor: "Reactor", sock: socket.socket, peer: str) -> None:
        """Wrap a non-blocking socket; `peer` is the other side's host:port."""
        super().__init__(reactor.scheduler, peer)
        self.reactor = reactor
        self.socket = sock
        self.unsent_chunks: deque[memoryview] = deque()
        self.closing = False
        self.reading = False
        self.writing = False

    def write(self, data: bytes) -> None:
        """Queue bytes and send at once what the socket takes."""
        if self.closed or self.closing or not data:
            return
        self.unsent_chunks.append(memoryview(data))
        self.unsent_bytes += len(data)
        if self.connected and not self.writing:
            self.flush()

    def flush(self) -> None:
        """Send queued bytes, those of a bulk connection when its turn comes."""
        pacer = self.reactor.pacer
        if pacer is None:
            self.send_some(self.unsent_bytes)
        elif self.bulk and self.unsent_chunks:
            self.want_write(False)
            pacer.submit(self)
        else:
            pacer.count_unpaced(self.send_some(self.unsent_bytes))

    @property
    def has_more(self) -> bool:
        """Whether bytes are queued that the socket would take now; see BulkSender."""
        return bool(self.unsent_chunks) and not self.writing and not self.closed

    def send_some(self, max_bytes: int) -> int:
        """Send at most so many queued bytes; returns how many the socket took."""
        if self.closed:
            return 0
        sent = 0
        full = False
        while self.unsent_chunks and sent < max_bytes and not full:
            chunk = self.unsent_chunks[0][: max_bytes - sent]
            try:
                count = self.socket.send(chunk)
            except OSError as error:
                if error.errno not in TEMPORARY_ERRORS:
                    self.close_socket()
                    return sent
                count, full = 0, True
            full = full or count < len(chunk)
            sent += count
            self.unsent_bytes -= count
            self.drop_sent(count)
        self.want_write(full)
        if not self.unsent_chunks:
            self.all_sent()
        return sent

    def drop_sent(self, count: int) -> None:
        """Drop so many bytes from the first queued chunk."""
        chunk = self.unsent_chunks[0]
        if count < len(chunk):
            self.unsent_chunks[0] = chunk[count:]
        else:
            self.unsent_chunks.popleft()

    def all_sent(self) -> None:
        """End a connection that was closed; wake a writer that waits."""
        if self.closing:
            self.close_socket()
        elif len(self.writable) == 0:
            self.writable.put(True)

    def want_write(self, wanted: bool) -> None:
        """Watch or stop watching for room to send."""
        if wanted and not self.writing:
            self.reactor.poller.addWriter(self.reactor, self.socket)
        elif not wanted and self.writing:
            self.reactor.poller.removeWriter(self.socket)
        self.writing = wanted

    def want_read(self, wanted: bool) -> None:
        """Watch or stop watching for received bytes."""
        if self.closed:
            return
        if wanted and not self.reading:
            self.reactor.poller.addReader(self.reactor, self.socket)
        elif not wanted and self.reading:
            self.reactor.poller.removeReader(self.socket)
        self.reading = wanted

    def pause_reading(self) -> None:
        """Stop reading from the socket."""
        self.want_read(False)

    def resume_reading(self) -> None:
        """Read from the socket again."""
        self.want_read(True)

    def close(self) -> None:
        """End after the queued bytes were sent, at once where there are none."""
        if self.unsent_chunks and self.connected and not self.closed:
            self.closing = True
        else:
            self.close_socket()

    def abort(self) -> None:
        """Reset the connection: also what the system has buffered for it is dropped.

        After an orderly close it would arrive later, for instance once a network partition heals.
        """
        if not self.closed:
            with suppress(OSError):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.close_socket()

    def close_socket(self) -> None:
        """Close the socket; what the system has buffered is still sent."""
        if self.closed:
            return
        self.reactor.poller.discard(self.socket)
        self.reactor.connections.pop(self.socket, None)
        self.socket.close()
        self.unsent_chunks.clear()
        self.connection_lost()


class Reactor(BaseComponent):  # type: ignore[misc]
    """The root component; also the Network of a daemon."""

    channel = "reactor"

    def __init__(
        self,
        on_task_error: Callable[[str, BaseException], None],
        link_bytes_per_second: float = 0.0,
    ) -> None:
        """Create a reactor.

        Args:
            on_task_error: called with the name and error of a task that failed.
            link_bytes_per_second: what the machine's link carries; 0 where it is not known, and
                bulk connections are not paced.
        """
        super().__init__()
        self.scheduler = Scheduler(SystemClock(), on_task_error)
        self.signals: Queue[int] = Queue(self.scheduler)
        self.connections: dict[socket.socket, SocketConnection] = {}
        self.listeners: dict[socket.socket, ConnectionHandler] = {}
        self.poller = EPoll().register(self)
        self.pacer = (
            EgressPacer(self.scheduler, link_bytes_per_second) if link_bytes_per_second else None
        )

    def listen(self, address: str, handler: ConnectionHandler) -> str:
        """Listen on host:port; see Network."""
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            listener.listen(BACKLOG)
        except OSError as error:
            listener.close()
            raise NetworkError(f"cannot listen on {address}: {error.strerror}") from error
        listener.setblocking(False)
        self.listeners[listener] = handler
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

    def connect(self, address: str) -> Connection:
        """Start to connect; a connection that cannot be started is returned ended."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = SocketConnection(self, sock, address)
        try:
            outcome = sock.connect_ex(split_address(address))
        except (OSError, ValueError, OverflowError):
            outcome = errno.EINVAL
        if outcome not in (0, errno.EINPROGRESS):
            sock.close()
            connection.connection_lost()
            return connection
        self.connections[sock] = connection
        connection.want_write(True)
        return connection

    def accept(self, listener: socket.socket) -> None:
        """Accept waiting connections, at most MAX_ACCEPTS a turn."""
        for _ in range(MAX_ACCEPTS):
            try:
                sock, peer = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = SocketConnection(self, sock, f"{peer[0]}:{peer[1]}")
            connection.connected = True
            self.connections[sock] = connection
            connection.want_read(True)
            self.listeners[listener](connection)

    @handler("_read")  # type: ignore[untyped-decorator]
    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections or receive bytes, as the poller reports."""
        if sock in self.listeners:
            self.accept(sock)
            return
        connection = self.connections.get(sock)
        if connection is None or not connection.reading:
            return
        try:
            data = sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                connection.close_socket()
            return
        if data:
            connection.data_received(data)
        else:
            connection.close_socket()

    @handler("_write")  # type: ignore[untyped-decorator]
    def on_writable(self, sock: socket.socket) -> None:
        """Finish opening a connection or go on sending, as the poller reports."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if not connection.connected:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
                connection.close_socket()
                return
            connection.connected = True
            connection.want_read(True)
            connection.writable.put(True)
        connection.flush()

    @handler("_disconnect", "_error")  # type: ignore[untyped-decorator]
    def on_disconnected(self, sock: socket.socket, *_: object) -> None:
        """End a connection whose socket failed."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.close_socket()

    @handler("signal", channel="*")  # type: ignore[untyped-decorator]
    def on_signal(self, number: int, _: object) -> None:
        """Queue a signal's number for the task that waits for signals."""
        self.signals.put(number)

    @handler("generate_events", priority=10)  # type: ignore[untyped-decorator]
    def on_turn(self, event: object) -> None:
        """Run the tasks that are ready, and let the poll last until the next timer at most."""
        more = self.scheduler.run_ready()
        if more or not self.running:
            event.reduce_time_left(0)  # type: ignore[attr-defined]
            return
        due = self.scheduler.next_timer()
        if due is not None:
            left = max(0.0, due - self.scheduler.now())
            event.reduce_time_left(left)  # type: ignore[attr-defined]
