"""Finds what the cache has for a request: a stored response, or a fetch of one under way."""

from ryelock.cache import Fill, StoredResponse, may_reuse
from ryelock.edge.context import EdgeContext
from ryelock.edge.request import Request
from ryelock.edge.routing import Router
from ryelock.http import HttpExchange, field
from ryelock.replicated_state import Route
from ryelock.runtime import Queue


class CacheLookup:
    """Looks requests up in the cache of one edge."""

    __slots__ = ("context", "router")

    def __init__(self, context: EdgeContext, router: Router) -> None:
        """Create the lookup of an edge's cache."""
        self.context = context
        self.router = router

    def is_behind_peer(self, request: Request) -> bool:
        """Whether the edge that asks knows of purges that this one has not applied yet."""
        return request.peer is not None and request.peer.purges > self.context.store.last_purge

    def find(self, exchange: HttpExchange, request: Request) -> StoredResponse | None:
        """Return the stored response for a request, fresh or stale.

        None for a peer that knows of more purges: one of them may name what is stored here.
        """
        if self.is_behind_peer(request):
            return None
        return self.context.store.find(request.cache_key, exchange.head.fields)

    def may_reuse(self, stored: StoredResponse, route: Route, exchange: HttpExchange) -> bool:
        """Whether a stored response may answer without asking the server (RFC 9111, 4)."""
        return may_reuse(stored, route, exchange.head.fields, self.context.scheduler.now())

    def is_only_if_cached(self, exchange: HttpExchange) -> bool:
        """Whether the caller wants a stored response or none (RFC 9111, 5.2.1.7)."""
        directives = field(exchange.head.fields, b"cache-control") or b""
        return "only-if-cached" in directives.decode("latin-1")

    def is_shareable(self, exchange: HttpExchange, request: Request) -> bool:
        """Whether the response may answer other requests that wait for the same object."""
        head = exchange.head
        return (
            head.method == b"GET"
            and field(head.fields, b"authorization") is None
            and field(head.fields, b"cache-control") is None
            and not self.is_behind_peer(request)
        )

    def fill_in_progress(self, request: Request) -> Fill | None:
        """Return a fetch of the same object that is under way here.

        A probe joins none: the request that fetches may itself wait for admission, and a probe
        goes before a crowd.
        """
        return None if request.is_probe else self.context.store.fills.get(request.cache_key)

    async def join(self, fill: Fill, exchange: HttpExchange, route: Route) -> StoredResponse | None:
        """Wait for another request's fetch; None where what it brings may not answer this one."""
        result: Queue[StoredResponse | None] = Queue(self.context.scheduler)
        fill.waiting.append(result)
        remaining = self.router.deadline(exchange, route) - self.context.scheduler.now()
        stored = await result.get(max(0.0, remaining))
        if (
            stored is None
            or stored.vary != ()
            or not self.may_reuse(stored, route, exchange)
            or not self.context.member.serving
        ):
            return None
        return stored
