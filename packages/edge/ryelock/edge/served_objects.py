"""Recently served objects, from which the leader derives watches for probers."""

from ryelock.edge.context import EdgeContext
from ryelock.edge.request import Request
from ryelock.http import HttpExchange, field
from ryelock.replicated_state import MAX_DERIVED_WATCHES

MAX_TARGET_LENGTH = 300


class ServedObjects:
    """The last served object of each cached route that has no watch."""

    __slots__ = ("context", "latest")

    def __init__(self, context: EdgeContext) -> None:
        """Create an empty record."""
        self.context = context
        self.latest: dict[str, tuple[str, str]] = {}

    def record(self, exchange: HttpExchange, request: Request, content: bytes | None) -> None:
        """Record a served object if its route has no watch and it needs no credentials."""
        if request.route_name not in self.context.member.replicated_state.derivable:
            return
        fields = exchange.head.fields
        if (
            not self.context.settings.derive_watches
            or request.is_probe
            or not content
            or exchange.head.method != b"GET"
            or len(request.target) > MAX_TARGET_LENGTH
            or field(fields, b"authorization") is not None
            or field(fields, b"cookie") is not None
        ):
            return
        own_host = self.context.member.session.request_address.rpartition(":")[0]
        host = "" if request.host == own_host else request.host
        self.latest[request.route_name] = (host, request.target)

    def report(self) -> list[list[str]]:
        """Return route, host and target of each object, and drop routes that need no watch."""
        derivable = self.context.member.replicated_state.derivable
        self.latest = {
            route: served_object
            for route, served_object in self.latest.items()
            if route in derivable
        }
        return [
            [route, *served_object]
            for route, served_object in sorted(self.latest.items())[:MAX_DERIVED_WATCHES]
        ]
