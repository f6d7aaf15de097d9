"""Writes a request to an upstream server: which fields go on, which are dropped or added."""

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
    """What one request asks of a service's servers, whichever of them it goes to.

    Attributes:
        exchange: the caller's exchange.
        request: the request.
        route: its route.
        queue: the admission queue that let it through.
        for_cache: whether the response is fetched for the cache, so that it serves others too.
        stored: a stored response to be validated (RFC 9111, 4.3.1).
        deadline: monotonic time up to which it may be worked on.
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
        """The method that servers get: the cache stores what GET gives, also for HEAD."""
        return b"GET" if self.for_cache else self.exchange.head.method

    @property
    def cancelled_with_client(self) -> bool:
        """Whether a server's work is for this caller alone and may be broken off when it leaves.

        What is fetched for the cache serves others too, and what may run once is left to end.
        """
        return self.request.request_class is RequestClass.IDEMPOTENT and not self.for_cache


class UpstreamRequestWriter:
    """Writes requests to servers."""

    __slots__ = ("context", "router")

    def __init__(self, context: EdgeContext, router: Router) -> None:
        """Create the writer of an edge."""
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
        """Return the caller's fields that go on to a server (RFC 9110, 7.6.1).

        A fetch for the cache carries none of the caller's conditions: its response serves others.
        A request without a name gets one where the profile has names, but for a probe's.
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
        """Tell the server how much time is left and which incarnation of it is meant."""
        profile = self.context.profile
        remaining = call.deadline - self.context.scheduler.now()
        fields.append((profile.deadline, b"%d" % max(1, int(remaining * 1000))))
        fields.append((profile.expected, server.server.incarnation.encode()))


def origin_form(target: bytes) -> bytes:
    """Return the target as an origin server gets it (RFC 9112, 3.2.1)."""
    if target.startswith((b"/", b"*")):
        return target
    _, slash, path = target.partition(b"://")[2].partition(b"/")
    return slash + path or b"/"
