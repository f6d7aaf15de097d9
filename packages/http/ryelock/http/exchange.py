"""One request that a server received, and the response to it."""

from typing import Protocol

from ryelock.http.body import Body
from ryelock.http.fields import Fields, field, http_date, tokens
from ryelock.http.framing import keeps_open
from ryelock.http.heads import RequestHead, reason_of
from ryelock.http.limits import Limits
from ryelock.http.reader import Reader
from ryelock.http.statuses import NO_CONTENT, NOT_MODIFIED, OK
from ryelock.runtime import Connection, Scheduler

MAX_UNSENT_BYTES = 262_144
"""Above so many unsent bytes `send` waits until half of them have left."""


class ExchangeServer(Protocol):
    """What an exchange needs of its server."""

    scheduler: Scheduler
    limits: Limits

    @property
    def ends_connections(self) -> bool:
        """Whether connections end with the response that is sent on them next."""
        ...


class HttpExchange:
    """One request and the response to it.

    Attributes:
        head: the request's head.
        body: the request's body; a handler may leave it unread.
        received_at: when the head was received, in monotonic seconds.
        deadline: until when the body has to be received, in monotonic seconds.
        keep_alive: whether the connection serves further requests after this response.
        may_refuse: set by the handler: the request has not run and may be sent again, so a server
            that stops answers 503 for the handler.
        response_started: whether the head of the response was sent.
        finished: whether the response was sent or aborted.
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
    )

    def __init__(
        self,
        server: ExchangeServer,
        connection: Connection,
        reader: Reader,
        head: RequestHead,
        body: Body,
    ) -> None:
        """Create the exchange of a request whose head was read."""
        self.server = server
        self.connection = connection
        self.reader = reader
        self.head = head
        self.body = body
        self.keep_alive = keeps_open(head.fields, head.minor)
        self.received_at = server.scheduler.now()
        self.deadline = self.received_at + server.limits.request_seconds
        self.response_started = False
        self.finished = False
        self.may_refuse = False
        self.chunked = False
        self.expects_continue = b"100-continue" in tokens(head.fields, b"expect")

    @property
    def client_disconnected(self) -> bool:
        """Whether the client's connection has ended."""
        return self.connection.closed

    def abort_with_client(self, upstream: Connection) -> None:
        """Abort a connection to a server once the client disconnects, at once where it has.

        One connection at a time; `detach_from_client` undoes it.
        """
        if self.client_disconnected:
            upstream.abort()
        else:
            self.connection.on_closed = upstream.abort

    def detach_from_client(self) -> None:
        """Let the connection to the server outlive the client's."""
        self.connection.on_closed = None

    async def read_body(self) -> bytes:
        """Return the request's complete body, asking for it where the client waits to be asked.

        Raises:
            FramingError: the body is malformed or longer than the limit.
            IncompleteMessageError: the connection ended before the body did.
            ReadTimeoutError: the deadline passed.
        """
        # 100 is left out where bytes of the body came already (RFC 9110, section 10.1.1).
        if self.expects_continue and not self.body.complete and not self.reader.buffer:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.expects_continue = False
        return await self.body.read_all(self.server.limits.body_bytes, self.deadline)

    def send_processing(self) -> None:
        """Send 102: the request arrived and is worked on (RFC 2518, section 10.1)."""
        self.connection.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    def send_head(
        self, status: int, reason: bytes, fields: Fields, length: int | None, dated: bool = True
    ) -> None:
        """Send the response's head.

        Args:
            status: the status.
            reason: the reason phrase; the usual one where it is empty.
            fields: fields without those of the framing.
            length: the body's length in bytes; None sends chunks, to HTTP/1.0 until the
                connection ends (RFC 9112, section 6.3).
            dated: whether Date is added where it is missing; a forwarded response is left
                without one.
        """
        self.response_started = True
        lines = [b"HTTP/1.1 %d %s" % (status, reason or reason_of(status))]
        lines += [name + b": " + value for name, value in fields]
        if dated and field(fields, b"date") is None:
            lines.append(b"Date: " + http_date(self.server.scheduler.clock.wall()))
        lines += self.framing_lines(status, length)
        lines += self.connection_lines()
        self.connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def framing_lines(self, status: int, length: int | None) -> list[bytes]:
        """Return the field that frames the body; decides whether it is sent in chunks."""
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
        """Return the Connection field; decides whether the connection ends with this response."""
        # The unread rest of a request's body would be taken for the next request.
        if not self.body.complete or self.server.ends_connections:
            self.keep_alive = False
        if not self.keep_alive:
            return [b"Connection: close"]
        if self.head.minor == 0:
            return [b"Connection: keep-alive"]
        return []

    async def send(self, data: bytes, timeout: float) -> bool:
        """Send a piece of the body.

        Args:
            data: the piece; dropped where the request's method is HEAD.
            timeout: longest wait, in seconds, while too many bytes are unsent.

        Returns:
            False when the client has disconnected or takes no more.
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
        """End the response after its last piece."""
        if self.chunked:
            self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """End the connection in the middle of a response, so that no client takes it as whole."""
        self.keep_alive = False
        self.finished = True
        self.connection.abort()

    async def respond(self, status: int, fields: Fields, body: bytes) -> None:
        """Send a complete response."""
        self.send_head(status, b"", fields, len(body))
        await self.send(body, self.server.limits.request_seconds)
        self.finish()
