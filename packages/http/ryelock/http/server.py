"""The side that takes orders: one task a link, one Exchange an order, strictly in turn.

Pipelined orders wait in the reader. A link above the limit is told 503 at once. An answer
that was begun and cannot be finished ends by ending the link, so that no client can take it
for whole.
"""

import dataclasses
from collections.abc import Callable

from ryelock.events import REQUEST_MALFORMED, Log
from ryelock.http.heads import (
    Fields,
    FramingError,
    RequestHead,
    content_length,
    field,
    http_date,
    is_chunked,
    keeps_open,
    parse_request_head,
    reason_of,
    tokens,
)
from ryelock.http.reader import Body, IncompleteMessageError, Reader, ReadTimeoutError
from ryelock.runtime import Connection, Network, Scheduler, Task, TaskCoroutine

UNSENT_MOST = 262_144
REFUSAL_SECONDS = 0.5
"""So long before a stop's end, requests that still wait are refused instead of cut."""
IDLE_GRACE_SECONDS = 0.5
"""After a stop began, a connection without a request stays open for so long."""


@dataclasses.dataclass(slots=True)
class Limits:
    """What a server takes from its clients; sizes in bytes, durations in seconds.

    Not frozen: an edge changes the limits of a running server when its settings are read again.
    """

    head_bytes: int = 32_768
    body_bytes: int = 8_388_608
    max_connections: int = 4096
    idle_seconds: float = 30.0
    request_seconds: float = 10.0


class HttpExchange:
    """One order and the answer to it."""

    __slots__ = (
        "body",
        "chunked",
        "connection",
        "deadline",
        "finished",
        "head",
        "keep",
        "left_to_send",
        "listener",
        "may_refuse",
        "reader",
        "received_at",
        "response_started",
        "waits_to_send",
    )

    def __init__(
        self,
        listener: "HttpServer",
        connection: Connection,
        reader: Reader,
        head: RequestHead,
        body: Body,
        keep: bool,
    ) -> None:
        self.listener = listener
        self.connection = connection
        self.reader = reader
        self.head = head
        self.body = body
        self.keep = keep
        self.received_at = listener.scheduler.now()
        self.deadline = self.received_at + listener.limits.request_seconds
        self.response_started = False
        self.finished = False
        self.may_refuse = False
        self.chunked = False
        self.left_to_send = 0
        self.waits_to_send = b"100-continue" in tokens(head.fields, b"expect")

    @property
    def client_disconnected(self) -> bool:
        """Whether the caller is gone."""
        return self.connection.closed

    def end_with_caller(self, upstream: Connection) -> None:
        """Reset a connection to a server as soon as the caller leaves, at once where it has.

        One connection at a time; `keep_from_caller` takes it back.
        """
        if self.client_disconnected:
            upstream.abort()
        else:
            self.connection.on_closed = upstream.abort

    def keep_from_caller(self) -> None:
        """The connection to the server lives on when the caller leaves."""
        self.connection.on_closed = None

    async def read_body(self) -> bytes:
        if self.waits_to_send and not self.body.complete and not self.reader.buffer:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.waits_to_send = False
        return await self.body.read_all(self.listener.limits.body_bytes, self.deadline)

    def send_processing(self) -> None:
        """Send the interim answer that the request arrived and is worked on."""
        self.connection.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    def send_head(
        self, status: int, reason: bytes, fields: Fields, length: int | None, dated: bool = True
    ) -> None:
        """Send the head; a length of None sends chunks, to HTTP/1.0 until the end.

        Undated passes a server's answer on: no Date is made up for it here.
        """
        self.response_started = True
        bare = status < 200 or status in (204, 304)
        lines = [b"HTTP/1.1 %d %s" % (status, reason or reason_of(status))]
        lines += [name + b": " + value for name, value in fields]
        if dated and field(fields, b"date") is None:
            lines.append(b"Date: " + http_date(self.listener.scheduler.clock.wall()))
        if length is not None:
            self.left_to_send = length
            if not bare or (status == 304 and length):
                lines.append(b"Content-Length: %d" % length)
        elif not bare and self.head.method != b"HEAD":
            if self.head.minor == 1:
                self.chunked = True
                lines.append(b"Transfer-Encoding: chunked")
            else:
                self.keep = False
        if not self.body.complete:
            self.keep = False
        if self.listener.closing or self.listener.draining:
            self.keep = False
        if not self.keep:
            lines.append(b"Connection: close")
        elif self.head.minor == 0:
            lines.append(b"Connection: keep-alive")
        self.connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def send(self, piece: bytes, seconds: float) -> bool:
        """Send a piece of the body; False when the caller takes no more."""
        if piece and self.head.method != b"HEAD":
            if self.chunked:
                self.connection.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
            else:
                self.left_to_send -= len(piece)
                self.connection.write(piece)
            if self.connection.unsent_bytes > UNSENT_MOST:
                return await self.connection.drain(UNSENT_MOST // 2, seconds)
        return not self.connection.closed

    def finish(self) -> None:
        if self.chunked:
            self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """End the link in the middle of an answer."""
        self.keep = False
        self.finished = True
        self.connection.abort()

    async def respond(self, status: int, fields: Fields, body: bytes) -> None:
        """A whole answer at once."""
        self.send_head(status, b"", fields, len(body))
        await self.send(body, self.listener.limits.request_seconds)
        self.finish()


Serve = Callable[[HttpExchange], TaskCoroutine[None]]


class HttpServer:
    __slots__ = (
        "address",
        "bulk",
        "busy",
        "closing",
        "closing_connections",
        "connections",
        "draining",
        "exchanges",
        "idle",
        "limits",
        "log",
        "network",
        "scheduler",
        "serve",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        address: str,
        limits: Limits,
        serve: Serve,
        bulk: bool = False,
    ) -> None:
        self.bulk = bulk
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.limits = limits
        self.serve = serve
        self.connections: dict[Connection, Task] = {}
        self.closing_connections: list[Connection] = []
        self.idle: set[Connection] = set()
        self.exchanges: dict[Connection, HttpExchange] = {}
        self.busy = 0
        self.closing = False
        self.draining = False
        self.address = network.listen(address, self.accept)

    def accept(self, connection: Connection) -> None:
        if len(self.connections) >= self.limits.max_connections:
            connection.write(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
            connection.close()
            return
        connection.bulk = self.bulk
        self.connections[connection] = self.scheduler.create_task(
            self.serve_connection(connection), name=f"orders from {connection.peer}"
        )

    async def serve_connection(self, connection: Connection) -> None:
        """Every order of one link, from its first byte to the end of its answer."""
        reader = Reader(self.scheduler, connection)
        exchange: HttpExchange | None = None
        try:
            while not self.closing:
                exchange = None
                if not reader.buffer:
                    await self.wait_for_request(connection, reader)
                until = self.scheduler.now() + self.limits.request_seconds
                while reader.buffer[:2] == b"\r\n":
                    del reader.buffer[:2]
                head = parse_request_head(await reader.read_head(self.limits.head_bytes, until))
                exchange = self.exchanges[connection] = self.frame(connection, reader, head)
                self.busy += 1
                try:
                    await self.serve(exchange)
                finally:
                    self.busy -= 1
                if not exchange.finished:
                    exchange.abort()
                if not exchange.keep or connection.closed:
                    break
        except FramingError as error:
            self.log.write(REQUEST_MALFORMED, peer=connection.peer, fault=error.reason)
            if exchange is None or not exchange.response_started:
                self.say_bad(connection, error.status, error.reason)
        except ReadTimeoutError:
            if reader.buffer or (exchange is not None and not exchange.response_started):
                self.say_bad(connection, 408, "the order did not come in time")
        except IncompleteMessageError:
            pass
        finally:
            self.connections.pop(connection, None)
            self.exchanges.pop(connection, None)
            if exchange is not None and exchange.response_started and not exchange.finished:
                connection.abort()
            else:
                self.close(connection)

    async def wait_for_request(self, connection: Connection, reader: Reader) -> None:
        """Wait for the first bytes of the next request; raises Late after the idle time."""
        self.idle.add(connection)
        try:
            await reader.receive(self.scheduler.now() + self.limits.idle_seconds)
        finally:
            self.idle.discard(connection)

    def close_idle(self) -> None:
        """End the connections on which no byte of a request has come."""
        for connection in [connection for connection in self.idle if not len(connection.received)]:
            self.connections[connection].cancel()

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait and may be sent again; their connections end."""
        for connection, exchange in list(self.exchanges.items()):
            if exchange.may_refuse and not exchange.response_started:
                exchange.send_head(503, b"", [(b"Retry-After", b"0")], 0)
                exchange.finish()
                self.connections[connection].cancel()

    def close(self, connection: Connection) -> None:
        """End a connection; one with unsent bytes is remembered until they are sent."""
        self.closing_connections = [
            other for other in self.closing_connections if other.unsent_bytes
        ]
        if connection.unsent_bytes:
            self.closing_connections.append(connection)
        connection.close()

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of an answer wait to be sent."""
        return any(
            connection.unsent_bytes for connection in (*self.connections, *self.closing_connections)
        )

    def say_bad(self, connection: Connection, status: int, reason: str) -> None:
        body = reason.encode() + b"\n"
        connection.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n" % (status, reason_of(status), len(body)) + body
        )

    def frame(self, connection: Connection, reader: Reader, head: RequestHead) -> HttpExchange:
        chunked = is_chunked(head.fields, head.minor)
        length = content_length(head.fields) or 0
        expected = field(head.fields, b"expect")
        if expected is not None and expected.lower() != b"100-continue":
            raise FramingError(417, "unknown expectation")
        body = Body(reader, chunked, length)
        return HttpExchange(
            self, connection, reader, head, body, keeps_open(head.fields, head.minor)
        )

    def stop_accepting(self) -> None:
        """Take no new links; open links end after the order they are in."""
        if not self.closing:
            self.closing = True
            self.network.stop_listening(self.address)

    async def finish(self, seconds: float) -> bool:
        """Wait for open answers, at most so long.

        An idle connection is kept a little: a request may be on its way on it, and gets an answer
        that says the connection closes. Then it ends, however long other answers take: what came
        on it later could not be answered in time.
        """
        started = self.scheduler.now()
        idle_until = started + IDLE_GRACE_SECONDS
        while self.scheduler.now() < started + seconds and (
            self.busy or self.has_unsent or (self.connections and self.scheduler.now() < idle_until)
        ):
            if self.scheduler.now() >= idle_until:
                self.close_idle()
            if self.scheduler.now() >= started + seconds - REFUSAL_SECONDS:
                self.refuse_waiting()
            await self.scheduler.sleep(0.02)
        done = self.busy == 0 and not self.has_unsent
        for connection, running in list(self.connections.items()):
            running.cancel()
            connection.close()
        return done
