"""Server side of one connection: requests are read and handled strictly in sequence.

Pipelined requests wait in the reader's buffer (RFC 9112, section 9.3.2).
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
from ryelock.http.heads import RequestHead, parse_request_head, reason_phrase
from ryelock.http.reader import Reader
from ryelock.runtime import Connection, TaskCoroutine

RequestHandler = Callable[[HttpExchange], TaskCoroutine[None]]
"""Handles one request; a response that it does not finish is aborted."""


class ConnectionServer(ExchangeServer, Protocol):
    """The server as seen by a connection."""

    log: Log
    closing: bool
    handler: RequestHandler


class ServerConnection:
    """Serves one accepted connection.

    Attributes:
        exchange: the current request; None while waiting for the next one.
        is_idle: True while no byte of the next request has been received.
        is_handling: True while the handler runs.
    """

    __slots__ = ("connection", "exchange", "is_handling", "is_idle", "reader", "server")

    def __init__(self, server: ConnectionServer, connection: Connection) -> None:
        """Create the server side of an accepted connection."""
        self.server = server
        self.connection = connection
        self.reader = Reader(server.scheduler, connection)
        self.exchange: HttpExchange | None = None
        self.is_idle = False
        self.is_handling = False

    @property
    def has_incomplete_response(self) -> bool:
        """Return True if a response was started and not finished."""
        exchange = self.exchange
        return exchange is not None and exchange.response_started and not exchange.finished

    async def serve(self) -> None:
        """Serve requests until the connection ends or the server stops; the caller closes it."""
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
            FramingError: the head is malformed or its framing is ambiguous.
            IncompleteMessageError: the connection was closed.
            ReadTimeoutError: the connection was idle for too long, or the head was not received
                in time.
        """
        buffer = self.reader.buffer
        limits = self.server.limits
        if not buffer:
            await self.wait_for_request()
        deadline = self.server.scheduler.now() + limits.request_seconds
        # Empty lines before a request line are ignored (RFC 9112, section 2.2).
        while buffer[:2] == b"\r\n":
            del buffer[:2]
        head = parse_request_head(await self.reader.read_head(limits.head_bytes, deadline))
        body = self.request_body(head)
        return HttpExchange(self.server, self.connection, self.reader, head, body)

    async def wait_for_request(self) -> None:
        """Wait for the first bytes of a request; raises ReadTimeoutError after the idle timeout."""
        self.is_idle = True
        try:
            await self.reader.receive(self.server.scheduler.now() + self.server.limits.idle_seconds)
        finally:
            self.is_idle = False

    def request_body(self, head: RequestHead) -> Body:
        """Return the unread body of a request (RFC 9112, section 6.3).

        Raises:
            FramingError: the length or the transfer coding is malformed, or the request has an
                unknown expectation.
        """
        chunked = is_chunked(head.fields, head.minor)
        length = content_length(head.fields) or 0
        expectation = field(head.fields, b"expect")
        if expectation is not None and expectation.lower() != b"100-continue":
            raise UnknownExpectationError
        return Body(self.reader, chunked, length)

    async def handle(self, exchange: HttpExchange) -> None:
        """Run the handler; abort the response if the handler did not finish it."""
        self.is_handling = True
        try:
            await self.server.handler(exchange)
        finally:
            self.is_handling = False
        if not exchange.finished:
            exchange.abort()

    def on_framing_error(self, error: FramingError) -> None:
        """Log a malformed request; send an error response unless one was already started."""
        self.server.log.write(REQUEST_MALFORMED, peer=self.connection.peer, fault=error.reason)
        if self.exchange is None or not self.exchange.response_started:
            self.send_error(error.status, error.reason)

    def on_timeout(self) -> None:
        """Send 408 for a partially received request; an idle connection gets no response."""
        exchange = self.exchange
        if self.reader.buffer or (exchange is not None and not exchange.response_started):
            self.send_error(408, "the order did not come in time")

    def send_error(self, status: int, reason: str) -> None:
        """Send a plain-text error response with `Connection: close`."""
        body = reason.encode() + b"\n"
        self.connection.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n" % (status, reason_phrase(status), len(body)) + body
        )
