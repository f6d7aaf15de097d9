"""A request received by a server and the response to it."""

from typing import Protocol

from ryelock.http.body import Body
from ryelock.http.fields import Fields, field, http_date, tokens
from ryelock.http.framing import is_persistent
from ryelock.http.heads import RequestHead, reason_phrase
from ryelock.http.limits import Limits
from ryelock.http.reader import Reader
from ryelock.http.statuses import NO_CONTENT, NOT_MODIFIED, OK
from ryelock.runtime import Connection, Scheduler

MAX_UNSENT_BYTES = 262_144
"""Above this size of the send buffer, `send` waits until it has drained to half of it."""


class ExchangeServer(Protocol):
    """The server as seen by an exchange."""

    scheduler: Scheduler
    limits: Limits

    @property
    def closes_after_response(self) -> bool:
        """Return True if each connection is closed after its next response."""
        ...


class HttpExchange:
    """A request and the response to it.

    Attributes:
        head: the head of the request.
        body: the body of the request; a handler may leave it unread.
        received_at: monotonic time in seconds at which the head was received.
        deadline: monotonic time in seconds by which the body must be received.
        keep_alive: True if the connection stays open after this response.
        may_refuse: set by the handler while the request has not been executed and can be retried;
            a stopping server then responds 503 in place of the handler.
        response_started: True once the head of the response was sent.
        finished: True once the response was sent or aborted.
        upstreams: upstream connections that are aborted when the client disconnects.
    """

    __slots__ = (
        "body",
        "chunked",
        "connection",
        "deadline",
        "expects_continue",
        "finished",
        "head",
        "keep_alive",
        "may_refuse",
        "reader",
        "received_at",
        "response_started",
        "server",
        "upstreams",
    )

    def __init__(
        self,
        server: ExchangeServer,
        connection: Connection,
        reader: Reader,
        head: RequestHead,
        body: Body,
    ) -> None:
        """Create the exchange of a request whose body is still unread."""
        self.server = server
        self.connection = connection
        self.reader = reader
        self.head = head
        self.body = body
        self.keep_alive = is_persistent(head.fields, head.minor)
        self.received_at = server.scheduler.now()
        self.deadline = self.received_at + server.limits.request_seconds
        self.response_started = False
        self.finished = False
        self.may_refuse = False
        self.chunked = False
        self.upstreams: list[Connection] = []
        self.expects_continue = b"100-continue" in tokens(head.fields, b"expect")

    @property
    def client_disconnected(self) -> bool:
        """Return True if the client's connection is closed."""
        return self.connection.closed

    def abort_with_client(self, upstream: Connection) -> None:
        """Abort an upstream connection when the client disconnects, or now if it already has.

        A hedged request has several; `detach_from_client` cancels this for one.
        """
        if self.client_disconnected:
            upstream.abort()
            return
        self.upstreams.append(upstream)
        self.connection.on_closed = self.abort_upstreams

    def abort_upstreams(self) -> None:
        """Abort the upstream connections of a client that disconnected."""
        upstreams, self.upstreams = self.upstreams, []
        for upstream in upstreams:
            upstream.abort()

    def detach_from_client(self, upstream: Connection) -> None:
        """Keep an upstream connection open when the client disconnects."""
        if upstream in self.upstreams:
            self.upstreams.remove(upstream)
        if not self.upstreams:
            self.connection.on_closed = None

    async def read_body(self) -> bytes:
        """Return the complete body; sends 100 Continue first if the client expects it.

        Raises:
            FramingError: the body is malformed or longer than the limit.
            IncompleteMessageError: the connection was closed before the end of the body.
            ReadTimeoutError: the deadline passed.
        """
        # 100 is omitted once part of the body was received (RFC 9110, section 10.1.1).
        if self.expects_continue and not self.body.complete and not self.reader.buffer:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.expects_continue = False
        return await self.body.read_all(self.server.limits.body_bytes, self.deadline)

    def send_processing(self) -> None:
        """Send 102: the request was received and is being processed (RFC 2518, section 10.1)."""
        self.connection.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    def send_head(
        self, status: int, reason: bytes, fields: Fields, length: int | None, add_date: bool = True
    ) -> None:
        """Send the head of the response.

        Args:
            status: the status code.
            reason: the reason phrase; if empty, the registered one.
            fields: the fields, except those of the framing.
            length: the length of the body in bytes. With None the body is chunked, or, for an
                HTTP/1.0 client, delimited by the close of the connection (RFC 9112, section 6.3).
            add_date: add a Date field if there is none. A forwarded response stays without one.
        """
        self.response_started = True
        lines = [b"HTTP/1.1 %d %s" % (status, reason or reason_phrase(status))]
        lines += [name + b": " + value for name, value in fields]
        if add_date and field(fields, b"date") is None:
            lines.append(b"Date: " + http_date(self.server.scheduler.clock.wall()))
        lines += self.framing_lines(status, length)
        lines += self.connection_lines()
        self.connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def framing_lines(self, status: int, length: int | None) -> list[bytes]:
        """Return the field line that frames the body, if any; sets `chunked` and `keep_alive`."""
        has_no_body = status < OK or status in (NO_CONTENT, NOT_MODIFIED)
        if length is not None:
            if not has_no_body or (status == NOT_MODIFIED and length):
                return [b"Content-Length: %d" % length]
            return []
        if has_no_body or self.head.method == b"HEAD":
            return []
        if self.head.minor == 1:
            self.chunked = True
            return [b"Transfer-Encoding: chunked"]
        self.keep_alive = False
        return []

    def connection_lines(self) -> list[bytes]:
        """Return the Connection field line, if any; sets `keep_alive`."""
        # The unread rest of the request's body would be parsed as the next request.
        if not self.body.complete or self.server.closes_after_response:
            self.keep_alive = False
        if not self.keep_alive:
            return [b"Connection: close"]
        if self.head.minor == 0:
            return [b"Connection: keep-alive"]
        return []

    async def send(self, data: bytes, timeout: float) -> bool:
        """Send a part of the body.

        Args:
            data: the bytes to send; discarded if the request's method is HEAD.
            timeout: maximum wait in seconds for the send buffer to drain.

        Returns:
            False if the client has disconnected or the send buffer did not drain in time.
        """
        if data and self.head.method != b"HEAD":
            if self.chunked:
                self.connection.write(b"%x\r\n" % len(data) + data + b"\r\n")
            else:
                self.connection.write(data)
            if self.connection.unsent_bytes > MAX_UNSENT_BYTES:
                return await self.connection.drain(MAX_UNSENT_BYTES // 2, timeout)
        return not self.connection.closed

    def finish(self) -> None:
        """Complete the response after the last part of its body."""
        if self.chunked:
            self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Abort the connection, so that the client detects the response as incomplete."""
        self.keep_alive = False
        self.finished = True
        self.connection.abort()

    async def respond(self, status: int, fields: Fields, body: bytes) -> None:
        """Send a complete response."""
        self.send_head(status, b"", fields, len(body))
        await self.send(body, self.server.limits.request_seconds)
        self.finish()
