"""An order is opened: who sent it, by what route it goes, and how much time it has."""

from ryelock.edge.context import EdgeContext
from ryelock.edge.orders import Request
from ryelock.edge.owner import (
    SERVERS_FIELD,
    number_of,
)
from ryelock.edge.plan import has_dots, host_of, path_of
from ryelock.http import (
    HttpExchange,
    field,
)
from ryelock.replicated_state import Route

SAFE = (b"GET", b"HEAD", b"OPTIONS", b"TRACE")
ANSWER_MARGIN = 0.02


class Routing(EdgeContext):
    """Opening an order and finding its route."""

    __slots__ = ()

    def open_request(self, exchange: HttpExchange) -> Request:
        self.sequence += 1
        head = exchange.head
        said = field(head.fields, self.dialect.identity.lower()) if self.dialect.identity else None
        request = Request(
            said.decode("latin-1")
            if said
            else f"{self.name}-{self.member.session.incarnation}-{self.sequence}",
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            host_of(field(head.fields, b"host")),
            exchange.response_started,
            self.scheduler.clock.wall(),
        )
        request.path = path_of(request.target)
        request.named = bool(said)
        request.probe = self.is_probe(field(head.fields, b"x-ryelock-probe"))
        request.peer_zone, request.purged, request.known = self.peer_of(
            field(head.fields, b"x-ryelock-peer")
        )
        request.peer = request.peer_zone != ""
        if request.peer:
            request.servers_given = number_of(field(head.fields, SERVERS_FIELD.lower()))
        request.verdict = self.member.verdicts()
        return request

    def peer_of(self, said: bytes | None) -> tuple[str, int, int]:
        """The zone of the edge an order comes from, if it is a member; its purges and version.

        What is fetched for another edge goes under the caller's name: servers repeat no other.
        """
        parts = (said or b"").decode("latin-1").split(" ")
        if len(parts) != 4 or not all(
            part.isascii() and part.isdigit() and len(part) < 19 for part in parts[2:]
        ):
            return "", 0, 0
        session = self.member.members.get(parts[0])
        if session is None or session.probe_secret == "" or session.probe_secret != parts[1]:
            return "", 0, 0
        return session.zone, int(parts[2]), int(parts[3])

    def is_probe(self, said: bytes | None) -> bool:
        """Whether an order comes from a prober that is a member; others may say so in vain."""
        name, _, mark = (said or b"").decode("latin-1").partition(" ")
        session = self.member.members.get(name)
        return (
            session is not None and session.probes and mark != "" and session.probe_secret == mark
        )

    def find_route(self, request: Request) -> Route | None:
        """Route, service and class by the version that is now in force."""
        plan = self.plan
        request.version = plan.version
        if has_dots(request.path):
            return None
        request.route = plan.resolve(request.host, request.path)
        if request.route < 0:
            return None
        route = request.rule = plan.routes[request.route]
        request.route_name = plan.route_names[request.route]
        request.service = self.service_of(route)
        unsafe = request.method.encode("latin-1") not in SAFE
        request.klass = "once" if route.once or unsafe else "repeatable"
        request.servers_left = route.attempts
        if request.peer and request.servers_given is not None:
            request.servers_left = min(route.attempts, request.servers_given)
        return route

    def service_of(self, route: Route) -> str:
        """The route's service, or one of several drawn by their weights."""
        if not route.split:
            return route.service
        names = list(route.split)
        return self.random.choices(names, [route.split[name] for name in names])[0]

    def deadline(self, exchange: HttpExchange, route: Route) -> float:
        until = exchange.deadline
        if route.deadline_seconds:
            until = min(until, exchange.response_started + route.deadline_seconds)
        if self.dialect.deadline:
            said = field(exchange.head.fields, self.dialect.deadline.lower()) or b""
            if said.isdigit() and len(said) < 10:
                until = min(until, exchange.response_started + int(said) / 1000 - ANSWER_MARGIN)
        return until

    def may_still_go(self, request: Request) -> bool:
        """Whether the term holds and the version in force still names this service."""
        if not self.member.serving:
            return False
        if request.version == self.plan.version:
            return True
        index = self.plan.resolve(request.host, request.path)
        return (
            index >= 0
            and self.plan.routes[index].allows(request.service)
            and (request.klass == "once" or not self.plan.routes[index].once)
        )
