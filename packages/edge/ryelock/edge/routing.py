"""Opens a request: who sent it, which route it takes, and how much time it has."""

from ryelock.edge.context import EdgeContext
from ryelock.edge.peer_protocol import PEER_FIELD, SERVERS_FIELD, parse_count
from ryelock.edge.plan import has_dot_segments, host_of, path_of
from ryelock.edge.request import PeerOrigin, Request, RequestClass
from ryelock.http import Fields, HttpExchange, field
from ryelock.replicated_state import Route

SAFE_METHODS = (b"GET", b"HEAD", b"OPTIONS", b"TRACE")
"""Methods that may be retried (RFC 9110, 9.2.1)."""
RESPONSE_MARGIN_SECONDS = 0.02
"""Part of a caller's deadline that is left for the response to reach it."""
NUMBER_DIGITS_MOST = 18


class Router:
    """Opens requests and finds their routes."""

    __slots__ = ("context",)

    def __init__(self, context: EdgeContext) -> None:
        """Create the router of an edge."""
        self.context = context

    def open_request(self, exchange: HttpExchange) -> Request:
        """Return the record of a request that just arrived."""
        context = self.context
        context.requests_opened += 1
        head = exchange.head
        identity = (
            field(head.fields, context.profile.identity.lower())
            if context.profile.identity
            else None
        )
        request = Request(
            identity.decode("latin-1")
            if identity
            else f"{context.name}-{context.member.session.incarnation}-{context.requests_opened}",
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            host_of(field(head.fields, b"host")),
            exchange.received_at,
            context.scheduler.clock.wall(),
        )
        request.path = path_of(request.target)
        request.named_by_caller = bool(identity)
        request.is_probe = self.is_probe(field(head.fields, b"x-ryelock-probe"))
        request.peer = self.peer_origin(head.fields)
        request.zone_verdicts = context.member.zone_statuses()
        return request

    def peer_origin(self, fields: Fields) -> PeerOrigin | None:
        """Return the edge that a request comes from, if it is a member; None for any other caller.

        What is fetched for another edge goes under the caller's name: servers repeat no other.
        """
        value = field(fields, PEER_FIELD.lower())
        if value is None:
            return None
        parts = value.decode("latin-1").split(" ")
        if len(parts) != 4 or not all(is_number(part) for part in parts[2:]):
            return None
        session = self.context.member.members.get(parts[0])
        if (
            session is None
            or session.probe_secret == ""
            or session.probe_secret != parts[1]
            or not session.zone
        ):
            return None
        max_attempts = parse_count(field(fields, SERVERS_FIELD.lower()))
        return PeerOrigin(session.zone, int(parts[2]), int(parts[3]), max_attempts)

    def is_probe(self, value: bytes | None) -> bool:
        """Whether a request comes from a prober that is a member; others may claim it in vain."""
        name, _, mark = (value or b"").decode("latin-1").partition(" ")
        session = self.context.member.members.get(name)
        return (
            session is not None and session.probes and mark != "" and session.probe_secret == mark
        )

    def find_route(self, request: Request) -> Route | None:
        """Decide route, service and class by the configuration version that is now in force."""
        plan = self.context.plan
        request.version = plan.version
        if has_dot_segments(request.path):
            return None
        index = plan.resolve(request.host, request.path)
        if index < 0:
            return None
        route = request.route = plan.routes[index]
        request.route_name = plan.route_names[index]
        request.service = self.choose_service(route)
        unsafe = request.method.encode("latin-1") not in SAFE_METHODS
        request.request_class = (
            RequestClass.AT_MOST_ONCE if route.once or unsafe else RequestClass.IDEMPOTENT
        )
        request.attempts_left = route.attempts
        if request.peer is not None and request.peer.max_attempts is not None:
            request.attempts_left = min(route.attempts, request.peer.max_attempts)
        return route

    def choose_service(self, route: Route) -> str:
        """Return the route's service, or one of several drawn by their weights."""
        if not route.split:
            return route.service
        names = list(route.split)
        return self.context.random.choices(names, [route.split[name] for name in names])[0]

    def deadline(self, exchange: HttpExchange, route: Route) -> float:
        """Return the monotonic time up to which a request may be worked on.

        The earliest of the listener's, the route's and the caller's own deadline.
        """
        until = exchange.deadline
        if route.deadline_seconds:
            until = min(until, exchange.received_at + route.deadline_seconds)
        deadline_field = self.context.profile.deadline
        if deadline_field:
            value = field(exchange.head.fields, deadline_field.lower()) or b""
            if value.isdigit() and len(value) < 10:
                callers = exchange.received_at + int(value) / 1000
                until = min(until, callers - RESPONSE_MARGIN_SECONDS)
        return until

    def may_still_send(self, request: Request) -> bool:
        """Whether the lease holds and the version in force still names this service.

        Asked right before each attempt: either may have changed while the request waited.
        """
        if not self.context.member.serving:
            return False
        plan = self.context.plan
        if request.version == plan.version:
            return True
        index = plan.resolve(request.host, request.path)
        return (
            index >= 0
            and plan.routes[index].allows(request.service)
            and (request.request_class is RequestClass.AT_MOST_ONCE or not plan.routes[index].once)
        )


def is_number(text: str) -> bool:
    """Whether a text is a whole number of a size that the wire allows."""
    return text.isascii() and text.isdigit() and len(text) <= NUMBER_DIGITS_MOST
