"""The circuits component that drives a process: its sockets, timers and signals.

One component owns all sockets and uses circuits' epoll poller directly. circuits' own client needs
a component per connection, each registration of which invalidates the handler cache of the whole
component tree, and its timers read the wall clock. Here a socket is an entry in a dictionary, one
handler receives the poller's events, and the scheduler's next timer limits the poll timeout.
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
"""Buffer size of one read from a socket."""
BACKLOG = 1024
"""Length of the kernel's queue of connections that are not yet accepted."""
MAX_ACCEPTS = 64
"""Connections accepted per poll event, so that a burst does not delay established ones."""
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0: closing the socket resets the connection."""
TEMPORARY_ERRORS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)


class SystemClock:
    """Clock of the machine; see Clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return wall-clock time in seconds since 1970."""
        return time.time()


def split_address(address: str) -> tuple[str, int]:
    """Split host:port; raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class SocketConnection(Connection):
    """A connection over a TCP socket."""

    __slots__ = ("closing", "reactor", "reading", "socket", "unsent_chunks", "writing")

    def __init__(self, reactor: "Reactor", sock: socket.socket, peer: str) -> None:
        """Wrap a non-blocking socket; `peer` is the remote host:port."""
        super().__init__(reactor.scheduler, peer)
        self.reactor = reactor
        self.socket = sock
        self.unsent_chunks: deque[memoryview] = deque()
        self.closing = False
        self.reading = False
        self.writing = False

    def write(self, data: bytes) -> None:
        """Queue bytes and send as many as the socket accepts now."""
        if self.closed or self.closing or not data:
            return
        self.unsent_chunks.append(memoryview(data))
        self.unsent_bytes += len(data)
        if self.connected and not self.writing:
            self.flush()

    def flush(self) -> None:
        """Send queued bytes; a bulk connection is paced if there is a pacer."""
        pacer = self.reactor.pacer
        if pacer is None:
            self.send_some(self.unsent_bytes)
        elif self.bulk and self.unsent_chunks:
            self.poll_writable(False)
            pacer.submit(self)
        else:
            pacer.count_unpaced(self.send_some(self.unsent_bytes))

    @property
    def has_more(self) -> bool:
        """True if bytes are queued and the socket is writable; see BulkSender."""
        return bool(self.unsent_chunks) and not self.writing and not self.closed

    def send_some(self, max_bytes: int) -> int:
        """Send up to `max_bytes` queued bytes; return the number that the socket accepted."""
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
            self.remove_sent(count)
        self.poll_writable(full)
        if not self.unsent_chunks:
            self.on_all_sent()
        return sent

    def remove_sent(self, count: int) -> None:
        """Remove `count` sent bytes from the first queued chunk."""
        chunk = self.unsent_chunks[0]
        if count < len(chunk):
            self.unsent_chunks[0] = chunk[count:]
        else:
            self.unsent_chunks.popleft()

    def on_all_sent(self) -> None:
        """Close the socket if `close` was called, else resume a waiting writer."""
        if self.closing:
            self.close_socket()
        elif len(self.writable) == 0:
            self.writable.put(True)

    def poll_writable(self, enabled: bool) -> None:
        """Start or stop polling the socket for writability."""
        if enabled and not self.writing:
            self.reactor.poller.addWriter(self.reactor, self.socket)
        elif not enabled and self.writing:
            self.reactor.poller.removeWriter(self.socket)
        self.writing = enabled

    def poll_readable(self, enabled: bool) -> None:
        """Start or stop polling the socket for received bytes."""
        if self.closed:
            return
        if enabled and not self.reading:
            self.reactor.poller.addReader(self.reactor, self.socket)
        elif not enabled and self.reading:
            self.reactor.poller.removeReader(self.socket)
        self.reading = enabled

    def pause_reading(self) -> None:
        """Stop reading from the socket."""
        self.poll_readable(False)

    def resume_reading(self) -> None:
        """Resume reading from the socket."""
        self.poll_readable(True)

    def close(self) -> None:
        """Close the socket once the queued bytes are sent, at once if there are none."""
        if self.unsent_chunks and self.connected and not self.closed:
            self.closing = True
        else:
            self.close_socket()

    def abort(self) -> None:
        """Reset the connection, also dropping bytes in the kernel's send buffer.

        After an orderly close the kernel could still deliver them much later, for instance when a
        network partition heals.
        """
        if not self.closed:
            with suppress(OSError):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.close_socket()

    def close_socket(self) -> None:
        """Close the socket; the kernel still sends what is in its send buffer."""
        if self.closed:
            return
        self.reactor.poller.discard(self.socket)
        self.reactor.connections.pop(self.socket, None)
        self.socket.close()
        self.unsent_chunks.clear()
        self.connection_lost()


class Reactor(BaseComponent):  # type: ignore[misc]
    """Root component of a process; also implements Network for daemons."""

    channel = "reactor"

    def __init__(
        self,
        on_task_error: Callable[[str, BaseException], None],
        link_bytes_per_second: float = 0.0,
    ) -> None:
        """Create a reactor.

        Args:
            on_task_error: called with the name and the exception of a task that raised one.
            link_bytes_per_second: capacity of the machine's uplink; 0 if unknown, which disables
                the pacing of bulk connections.
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
        bound = listener.getsockname()
        return f"{bound[0]}:{bound[1]}"

    def stop_listening(self, address: str) -> None:
        """Close the listener at an address; see Network."""
        for listener in list(self.listeners):
            bound = listener.getsockname()
            if f"{bound[0]}:{bound[1]}" == address:
                self.poller.discard(listener)
                del self.listeners[listener]
                listener.close()

    def connect(self, address: str) -> Connection:
        """Start to connect; if that fails, the returned connection has ended already."""
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
        connection.poll_writable(True)
        return connection

    def accept(self, listener: socket.socket) -> None:
        """Accept pending connections, at most MAX_ACCEPTS."""
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
            connection.poll_readable(True)
            self.listeners[listener](connection)

    @handler("_read")  # type: ignore[untyped-decorator]
    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections or receive bytes on a socket that the poller reports readable."""
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
        """Complete a connect or continue sending on a socket that is reported writable."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if not connection.connected:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
                connection.close_socket()
                return
            connection.connected = True
            connection.poll_readable(True)
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
        """Queue the number of a signal that the process received."""
        self.signals.put(number)

    @handler("generate_events", priority=10)  # type: ignore[untyped-decorator]
    def on_generate_events(self, event: object) -> None:
        """Run ready tasks and limit the poll timeout to the next timer."""
        more = self.scheduler.run_ready()
        if more or not self.running:
            event.reduce_time_left(0)  # type: ignore[attr-defined]
            return
        next_timer = self.scheduler.next_timer()
        if next_timer is not None:
            left = max(0.0, next_timer - self.scheduler.now())
            event.reduce_time_left(left)  # type: ignore[attr-defined]
