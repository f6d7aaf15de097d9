"""Routing of a request: its sender, route, service, class and deadline."""

import math

from ryelock.edge.context import EdgeContext
from ryelock.edge.peer_protocol import PEER_FIELD, SERVERS_FIELD, parse_count
from ryelock.edge.plan import has_dot_segments, parse_host, parse_path
from ryelock.edge.request import Request, RequestClass, RequestingPeer
from ryelock.http import Fields, HttpExchange, field
from ryelock.replicated_state import Route

SAFE_METHODS = (b"GET", b"HEAD", b"OPTIONS", b"TRACE")
"""Methods that may be retried (RFC 9110, 9.2.1)."""
RESPONSE_MARGIN_SECONDS = 0.02
"""Subtracted from a client's deadline for the transfer of the response."""
MAX_NUMBER_DIGITS = 18


class Router:
    """Creates requests and finds their routes."""

    __slots__ = ("context",)

    def __init__(self, context: EdgeContext) -> None:
        """Create the router."""
        self.context = context

    def open_request(self, exchange: HttpExchange) -> Request:
        """Return the record of a request that has arrived."""
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
            parse_host(field(head.fields, b"host")),
            exchange.received_at,
            context.scheduler.clock.wall(),
        )
        request.path = parse_path(request.target)
        request.has_client_identity = bool(identity)
        request.is_probe = self.is_probe(field(head.fields, b"x-ryelock-probe"))
        request.peer = self.requesting_peer(head.fields)
        request.zone_verdicts = context.member.zone_statuses()
        return request

    def requesting_peer(self, fields: Fields) -> RequestingPeer | None:
        """Return the peer edge that sent a request; None for any other sender.

        A sender is a peer if it gives a member's name and probe secret. The request keeps the
        identity that the client gave: servers echo no other.
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
        return RequestingPeer(session.zone, int(parts[2]), int(parts[3]), max_attempts)

    def is_probe(self, value: bytes | None) -> bool:
        """Return True if a probe field has the name and secret of a member that probes."""
        name, _, secret = (value or b"").decode("latin-1").partition(" ")
        session = self.context.member.members.get(name)
        return (
            session is not None
            and session.probes
            and secret != ""
            and session.probe_secret == secret
        )

    def find_route(self, request: Request) -> Route | None:
        """Set route, service and class by the configuration version in force."""
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
        """Return the route's service, or a random one of a split by weight."""
        if not route.split:
            return route.service
        names = list(route.split)
        return self.context.random.choices(names, [route.split[name] for name in names])[0]

    def deadline(self, exchange: HttpExchange, route: Route) -> float:
        """Return the monotonic time by which a request must have a response.

        It is the earlier of the deadlines of the client and the route; a route without one has that
        of the listener.
        """
        deadline = self.hold_deadline(exchange, route)
        return deadline if route.deadline_seconds else min(deadline, exchange.deadline)

    def hold_deadline(self, exchange: HttpExchange, route: Route) -> float:
        """Return the monotonic time by which the response must have ended, also one in progress.

        Infinite if neither the route nor the client has a deadline.
        """
        deadline = math.inf
        if route.deadline_seconds:
            deadline = exchange.received_at + route.deadline_seconds
        deadline_field = self.context.profile.deadline
        if deadline_field:
            value = field(exchange.head.fields, deadline_field.lower()) or b""
            if value.isdigit() and len(value) < 10:
                client_deadline = exchange.received_at + int(value) / 1000
                deadline = min(deadline, client_deadline - RESPONSE_MARGIN_SECONDS)
        return deadline

    def may_still_send(self, request: Request) -> bool:
        """Return True if the lease is valid and the route still allows service and class.

        Checked right before each attempt: either may have changed while the request waited.
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
    """Return True for a decimal number within the length limit."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
