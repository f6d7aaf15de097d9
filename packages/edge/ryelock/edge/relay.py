"""Sends responses to callers: a server's as it comes, a stored one, or one relayed by a peer."""

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
    """Sends responses to callers: each is complete, or ends by ending the connection."""

    __slots__ = ("context", "served_objects")

    def __init__(self, context: EdgeContext, served_objects: ServedObjects) -> None:
        """Create the relay of an edge."""
        self.context = context
        self.served_objects = served_objects

    async def stream(
        self, exchange: HttpExchange, request: Request, upstream: UpstreamResponse
    ) -> None:
        """Send a server's response, chunk by chunk; it is cut where the server's is cut."""
        request.status = upstream.head.status
        completed = False
        try:
            fields = self.streamed_fields(request, upstream)
            length = length_to_send(exchange.head.method, upstream)
            exchange.send_head(upstream.head.status, upstream.head.reason, fields, length, False)
            if await self.stream_body(exchange, upstream):
                exchange.finish()
                completed = True
                request.outcome = Outcome.ANSWERED
                exchange.detach_from_client()
                self.release_connection(upstream)
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            self.on_relay_error(exchange, request, upstream, error)
        finally:
            if not completed:
                exchange.detach_from_client()
                exchange.abort()
                upstream.connection.abort()

    def streamed_fields(self, request: Request, upstream: UpstreamResponse) -> Fields:
        """Return a server's fields that go on to the caller, and this edge's own."""
        fields = end_to_end(upstream.head.fields)
        fields += self.native_fields(request) + peer_fields(request)
        if request.peer is not None:
            fields.append((RELAYED_FIELD, b"1"))
        return fields

    async def stream_body(self, exchange: HttpExchange, upstream: UpstreamResponse) -> bool:
        """Send the body; False where the caller takes no more."""
        now, idle_seconds = self.context.scheduler.now, self.context.settings.idle_seconds
        body = upstream.response.body
        accepted = await exchange.send(upstream.prefix, idle_seconds)
        deadline = now() + idle_seconds
        while accepted and not body.complete:
            chunk = await body.read_chunk(deadline)
            if not chunk:
                continue
            deadline = now() + idle_seconds
            accepted = await exchange.send(chunk, idle_seconds)
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
        """A server's response ended early; that is the server's fault unless the caller left."""
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
        """Keep a server's connection for other requests where its response was read to the end."""
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
        """Send a stored response: whole, in part, or as not modified (RFC 9111, 4.3.2)."""
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
        """Send a whole body and end the exchange."""
        if await exchange.send(body, self.context.settings.idle_seconds):
            exchange.finish()
        else:
            exchange.abort()

    def native_fields(self, request: Request) -> Fields:
        """Return the fields that this edge adds on the project's own interface."""
        if not self.context.profile.own:
            return []
        fields: Fields = [(b"Via", b"1.1 ryelock"), (b"X-Ryelock-Order", request.identity.encode())]
        if request.cache_status:
            fields.append((b"X-Ryelock-Cache", request.cache_status.encode()))
        return fields


def length_to_send(method: bytes, upstream: UpstreamResponse) -> int | None:
    """Return the Content-Length of a streamed response; None for a chunked one.

    To HEAD, and with 304, it is the length that a GET's 200 would have (RFC 9110, 8.6).
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
    """Return the seconds that a server keeps an idle connection; None where it says nothing."""
    for parameter in tokens(head.fields, b"keep-alive"):
        name, _, value = parameter.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


def describe_relay_error(error: RelayError) -> str:
    """Return how explain names what cut a response; the names do not follow those of classes."""
    match error:
        case FramingError():
            return f"FramingError({error.reason!r})"
        case IncompleteMessageError():
            return "IncompleteMessageError()"
        case ReadTimeoutError():
            return "ReadTimeoutError()"
