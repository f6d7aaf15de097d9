"""Requests to upstream servers: which header fields are forwarded, dropped and added."""

from dataclasses import dataclass

from ryelock.cache import CONDITIONAL_FIELDS, StoredResponse
from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.edge.context import EdgeContext
from ryelock.edge.peer_protocol import PEER_FIELDS
from ryelock.edge.request import Request, RequestClass
from ryelock.edge.routing import Router
from ryelock.edge.servers import ServerState
from ryelock.http import Fields, HttpExchange, end_to_end, field, send_request
from ryelock.replicated_state import Route
from ryelock.runtime import Connection


@dataclass(slots=True, eq=False)
class UpstreamCall:
    """An admitted request as it is sent to any server of its service.

    Attributes:
        exchange: the client's exchange.
        request: the request.
        route: its route.
        queue: the admission queue in which it holds a slot.
        for_cache: whether the response fills the cache and may serve other requests.
        stored: a stored response to be validated (RFC 9111, 4.3.1).
        deadline: monotonic time at which the request is given up.
    """

    exchange: HttpExchange
    request: Request
    route: Route
    queue: AdmissionQueue
    for_cache: bool
    stored: StoredResponse | None
    deadline: float

    @property
    def method(self) -> bytes:
        """The method sent to servers: GET to fill the cache, also for a client's HEAD."""
        return b"GET" if self.for_cache else self.exchange.head.method

    @property
    def cancelled_with_client(self) -> bool:
        """True if the attempt is to be aborted when the client disconnects.

        A fetch for the cache may serve other requests, and an at-most-once request must not be
        interrupted.
        """
        return self.request.request_class is RequestClass.IDEMPOTENT and not self.for_cache


class UpstreamRequestWriter:
    """Writes requests to servers."""

    __slots__ = ("context", "router")

    def __init__(self, context: EdgeContext, router: Router) -> None:
        """Create the writer."""
        self.context = context
        self.router = router

    def write(self, call: UpstreamCall, server: ServerState, connection: Connection) -> None:
        """Send a request to a server."""
        fields = self.forwarded_fields(call)
        if field(fields, b"host") is None:
            fields.insert(0, (b"Host", server.server.address.encode()))
        if call.for_cache and call.stored is not None and call.stored.etag is not None:
            fields.append((b"If-None-Match", call.stored.etag))
        if self.context.profile.own:
            fields.append((b"Via", b"1.%d ryelock" % call.exchange.head.minor))
            fields.append((b"X-Ryelock-Order", call.request.identity.encode()))
        else:
            self.add_profile_fields(call, server, fields)
        target = origin_form(call.exchange.head.target)
        send_request(connection, call.method, target, fields, call.request.body)

    def forwarded_fields(self, call: UpstreamCall) -> Fields:
        """Return the client's fields that are forwarded to a server (RFC 9110, 7.6.1).

        A fetch for the cache omits the client's conditional fields, since its response serves
        other requests. A request without an identity gets one if the protocol profile has
        identities, except for a probe.
        """
        request, profile = call.request, self.context.profile
        fields: Fields = end_to_end(call.exchange.head.fields)
        dropped = {b"expect", *PEER_FIELDS}
        if call.for_cache:
            dropped |= CONDITIONAL_FIELDS
        if not profile.own:
            dropped |= {profile.deadline.lower(), profile.expected.lower(), b"x-ryelock-probe"}
            if request.is_probe:
                dropped.add(profile.identity.lower())
            elif field(fields, profile.identity.lower()) is None:
                fields.append((profile.identity, request.identity.encode("latin-1")))
        return [(name, value) for name, value in fields if name.lower() not in dropped]

    def add_profile_fields(self, call: UpstreamCall, server: ServerState, fields: Fields) -> None:
        """Add the remaining milliseconds and the incarnation that the request is meant for."""
        profile = self.context.profile
        remaining = call.deadline - self.context.scheduler.now()
        fields.append((profile.deadline, b"%d" % max(1, int(remaining * 1000))))
        fields.append((profile.expected, server.server.incarnation.encode()))


def origin_form(target: bytes) -> bytes:
    """Return a request target in origin form (RFC 9112, 3.2.1)."""
    if target.startswith((b"/", b"*")):
        return target
    _, slash, path = target.partition(b"://")[2].partition(b"/")
    return slash + path or b"/"
