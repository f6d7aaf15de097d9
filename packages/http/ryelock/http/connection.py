"""One connection of a server: its requests are read and answered strictly in turn.

Pipelined requests wait in the reader (RFC 9112, section 9.3.2).
"""

from collections.abc import Callable
from typing import Protocol

from ryelock.events import REQUEST_MALFORMED, Log
from ryelock.http.body import Body
from ryelock.http.errors import (
    FramingError,
    IncompleteMessageError,
    ReadTimeoutError,
    UnknownExpectationError,
)
from ryelock.http.exchange import ExchangeServer, HttpExchange
from ryelock.http.fields import field
from ryelock.http.framing import content_length, is_chunked
from ryelock.http.heads import RequestHead, parse_request_head, reason_of
from ryelock.http.reader import Reader
from ryelock.runtime import Connection, TaskCoroutine

RequestHandler = Callable[[HttpExchange], TaskCoroutine[None]]
"""Answers one request; a response that it does not finish is aborted."""


class ConnectionServer(ExchangeServer, Protocol):
    """What a connection needs of its server."""

    log: Log
    closing: bool
    handler: RequestHandler


class ServerConnection:
    """Serves one accepted connection.

    Attributes:
        exchange: the request that is answered now; None while the next one is awaited.
        is_idle: whether no byte of the next request has come.
        is_handling: whether the handler runs.
    """

    __slots__ = ("connection", "exchange", "is_handling", "is_idle", "reader", "server")

    def __init__(self, server: ConnectionServer, connection: Connection) -> None:
        """Create the server's side of an accepted connection."""
        self.server = server
        self.connection = connection
        self.reader = Reader(server.scheduler, connection)
        self.exchange: HttpExchange | None = None
        self.is_idle = False
        self.is_handling = False

    @property
    def has_cut_response(self) -> bool:
        """Whether a response was started and not finished."""
        exchange = self.exchange
        return exchange is not None and exchange.response_started and not exchange.finished

    async def serve(self) -> None:
        """Serve requests until the connection or the server ends; does not close it."""
        try:
            while not self.server.closing:
                self.exchange = None
                exchange = self.exchange = await self.read_request()
                await self.handle(exchange)
                if not exchange.keep_alive or self.connection.closed:
                    break
        except FramingError as error:
            self.on_framing_error(error)
        except ReadTimeoutError:
            self.on_timeout()
        except IncompleteMessageError:
            pass

    async def read_request(self) -> HttpExchange:
        """Read the head of the next request.

        Raises:
            FramingError: the head is malformed or its framing is not beyond doubt.
            IncompleteMessageError: the connection ended.
            ReadTimeoutError: the connection was idle for too long, or the head came too slowly.
        """
        buffer = self.reader.buffer
        limits = self.server.limits
        if not buffer:
            await self.wait_for_request()
        until = self.server.scheduler.now() + limits.request_seconds
        # Empty lines before a request line are ignored (RFC 9112, section 2.2).
        while buffer[:2] == b"\r\n":
            del buffer[:2]
        head = parse_request_head(await self.reader.read_head(limits.head_bytes, until))
        return HttpExchange(self.server, self.connection, self.reader, head, self.body_of(head))

    async def wait_for_request(self) -> None:
        """Wait for the first bytes of a request; raises ReadTimeoutError after the idle time."""
        self.is_idle = True
        try:
            await self.reader.receive(self.server.scheduler.now() + self.server.limits.idle_seconds)
        finally:
            self.is_idle = False

    def body_of(self, head: RequestHead) -> Body:
        """Return the body of a request, still to be read (RFC 9112, section 6.3).

        Raises:
            FramingError: length or transfer coding are malformed, or an expectation is unknown.
        """
        chunked = is_chunked(head.fields, head.minor)
        length = content_length(head.fields) or 0
        expected = field(head.fields, b"expect")
        if expected is not None and expected.lower() != b"100-continue":
            raise UnknownExpectationError
        return Body(self.reader, chunked, length)

    async def handle(self, exchange: HttpExchange) -> None:
        """Have a request answered."""
        self.is_handling = True
        try:
            await self.server.handler(exchange)
        finally:
            self.is_handling = False
        if not exchange.finished:
            exchange.abort()

    def on_framing_error(self, error: FramingError) -> None:
        """Log a malformed request and answer it, unless its response has begun."""
        self.server.log.write(REQUEST_MALFORMED, peer=self.connection.peer, fault=error.reason)
        if self.exchange is None or not self.exchange.response_started:
            self.send_error(error.status, error.reason)

    def on_timeout(self) -> None:
        """Answer a request that came in part; an idle connection ends without a word."""
        exchange = self.exchange
        if self.reader.buffer or (exchange is not None and not exchange.response_started):
            self.send_error(408, "the order did not come in time")

    def send_error(self, status: int, reason: str) -> None:
        """Send a response after which the connection ends."""
        body = reason.encode() + b"\n"
        self.connection.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n" % (status, reason_of(status), len(body)) + body
        )
