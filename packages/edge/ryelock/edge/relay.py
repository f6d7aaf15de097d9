"""Responses to clients: streamed from a server, from the cache, or relayed by a peer."""

from ryelock.cache import StoredResponse, answer_from
from ryelock.edge.context import EdgeContext
from ryelock.edge.owner_client import RelayedResponse
from ryelock.edge.peer_protocol import AGE_FIELD, RELAYED_FIELD, peer_fields
from ryelock.edge.request import Outcome, Request
from ryelock.edge.served_objects import ServedObjects
from ryelock.edge.upstream_response import UpstreamResponse
from ryelock.events import RESPONSE_BROKEN
from ryelock.http import (
    Fields,
    FramingError,
    HttpExchange,
    IncompleteMessageError,
    ReadTimeoutError,
    ResponseHead,
    end_to_end,
    tokens,
)

BODILESS_STATUSES = (204, 304)
"""Statuses whose responses have no body (RFC 9110, 6.4.1)."""

RelayError = IncompleteMessageError | ReadTimeoutError | FramingError


class ResponseRelay:
    """Sends responses to clients; aborts the connection if one cannot be completed."""

    __slots__ = ("context", "served_objects")

    def __init__(self, context: EdgeContext, served_objects: ServedObjects) -> None:
        """Create the relay."""
        self.context = context
        self.served_objects = served_objects

    async def stream(
        self, exchange: HttpExchange, request: Request, upstream: UpstreamResponse, ends_by: float
    ) -> None:
        """Stream a server's response; abort the client's connection if it cannot be completed.

        Args:
            exchange: the client's exchange.
            request: the request.
            upstream: the server's response.
            ends_by: monotonic time by which it must be complete, also if the server still sends it.
        """
        request.status = upstream.head.status
        completed = False
        try:
            fields = self.streamed_fields(request, upstream)
            length = length_to_send(exchange.head.method, upstream)
            exchange.send_head(upstream.head.status, upstream.head.reason, fields, length, False)
            if await self.stream_body(exchange, upstream, ends_by):
                exchange.finish()
                completed = True
                request.outcome = Outcome.ANSWERED
                exchange.detach_from_client(upstream.connection)
                self.release_connection(upstream)
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            self.on_relay_error(exchange, request, upstream, error)
        finally:
            if not completed:
                exchange.detach_from_client(upstream.connection)
                exchange.abort()
                upstream.connection.abort()

    def streamed_fields(self, request: Request, upstream: UpstreamResponse) -> Fields:
        """Return the server's end-to-end fields and those that this edge adds."""
        fields = end_to_end(upstream.head.fields)
        fields += self.native_fields(request) + peer_fields(request)
        if request.peer is not None:
            fields.append((RELAYED_FIELD, b"1"))
        return fields

    async def stream_body(
        self, exchange: HttpExchange, upstream: UpstreamResponse, ends_by: float
    ) -> bool:
        """Send the body; return False if the client stops receiving or `ends_by` has passed."""
        now, idle_seconds = self.context.scheduler.now, self.context.settings.idle_seconds
        body = upstream.response.body
        accepted = await exchange.send(upstream.prefix, min(idle_seconds, ends_by - now()))
        deadline = min(ends_by, now() + idle_seconds)
        while accepted and not body.complete:
            chunk = await body.read_chunk(deadline)
            if now() >= ends_by and not body.complete:
                return False
            deadline = min(ends_by, now() + idle_seconds)
            if chunk:
                accepted = await exchange.send(chunk, min(idle_seconds, ends_by - now()))
        if accepted and upstream.reader.buffer and self.context.profile.own:
            raise FramingError(502, "bytes behind the answer's end")
        return accepted

    def on_relay_error(
        self,
        exchange: HttpExchange,
        request: Request,
        upstream: UpstreamResponse,
        error: RelayError,
    ) -> None:
        """Record an incomplete or malformed response, and the server's failure.

        It is no failure of the server if the client disconnected.
        """
        request.reason = f"the server's answer was cut: {describe_relay_error(error)}"
        request.outcome = Outcome.TRUNCATED
        if exchange.client_disconnected:
            return
        self.context.servers.record_result(upstream.server, False, 0.0)
        self.context.log.write(
            RESPONSE_BROKEN,
            server=upstream.server.server.address,
            order=request.identity,
            fault="cut in the body",
        )

    def release_connection(self, upstream: UpstreamResponse) -> None:
        """Keep a server's connection for reuse if its response is complete; else close it."""
        if upstream.response.keep_alive and upstream.response.body.complete:
            self.context.servers.keep_idle_connection(
                upstream.server,
                upstream.connection,
                upstream.reader,
                keep_alive_seconds(upstream.head),
            )
        else:
            upstream.connection.close()

    async def send_relayed(
        self, exchange: HttpExchange, request: Request, relayed: RelayedResponse
    ) -> None:
        """Send a server's response that the owner of the object relayed."""
        head = relayed.head
        fields = [*head.fields, *self.native_fields(request)]
        length = None if head.status in BODILESS_STATUSES else len(relayed.body)
        request.status = head.status
        request.outcome = Outcome.ANSWERED
        exchange.send_head(head.status, head.reason, fields, length, False)
        await self.send_body(exchange, relayed.body)

    async def send_stored(
        self, exchange: HttpExchange, request: Request, stored: StoredResponse
    ) -> None:
        """Send a stored response: complete, as a range, or as 304 (RFC 9111, 4.3.2)."""
        now = self.context.scheduler.now()
        status, reason, fields, body = answer_from(stored, exchange.head, now)
        identity_field = self.context.profile.identity
        if identity_field:
            fields = [pair for pair in fields if pair[0].lower() != identity_field.lower()]
            fields.append((identity_field, request.identity.encode("latin-1")))
        if request.peer is not None:
            fields = [*fields, (AGE_FIELD, b"%.3f" % stored.age(now))]
        request.status = status
        request.outcome = Outcome.ANSWERED
        if status == 200:
            self.served_objects.record(exchange, request, body or stored.etag)
        length = None if status == 304 else len(body)
        fields = [*fields, *self.native_fields(request)]
        exchange.send_head(status, reason, fields, length, False)
        await self.send_body(exchange, body)

    async def send_body(self, exchange: HttpExchange, body: bytes) -> None:
        """Send a complete body and finish the exchange."""
        if await exchange.send(body, self.context.settings.idle_seconds):
            exchange.finish()
        else:
            exchange.abort()

    def native_fields(self, request: Request) -> Fields:
        """Return the fields that this edge adds under the native protocol profile."""
        if not self.context.profile.own:
            return []
        fields: Fields = [(b"Via", b"1.1 ryelock"), (b"X-Ryelock-Order", request.identity.encode())]
        if request.cache_status:
            fields.append((b"X-Ryelock-Cache", request.cache_status.encode()))
        return fields


def length_to_send(method: bytes, upstream: UpstreamResponse) -> int | None:
    """Return the Content-Length of a streamed response; None if it is chunked or unknown.

    For HEAD and 304 it is the length of a 200 response to GET (RFC 9110, 8.6).
    """
    status = upstream.head.status
    if method != b"HEAD" and status != 304:
        return len(upstream.prefix) if upstream.complete else upstream.response.length
    if upstream.response.length is not None:
        return upstream.response.length
    if method == b"HEAD" and status not in BODILESS_STATUSES and upstream.complete:
        return len(upstream.prefix) or None
    return None


def keep_alive_seconds(head: ResponseHead) -> float | None:
    """Return the timeout of a server's Keep-Alive field in seconds; None if there is none."""
    for parameter in tokens(head.fields, b"keep-alive"):
        name, _, value = parameter.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


def describe_relay_error(error: RelayError) -> str:
    """Return the name of an error in explain, which stays the same if the class is renamed."""
    match error:
        case FramingError():
            return f"FramingError({error.reason!r})"
        case IncompleteMessageError():
            return "IncompleteMessageError()"
        case ReadTimeoutError():
            return "ReadTimeoutError()"
