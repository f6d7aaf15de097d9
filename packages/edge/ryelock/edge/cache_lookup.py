"""Cache lookup of a request: a stored response, or a fetch in progress that it may join."""

from ryelock.cache import Fill, StoredResponse, may_reuse
from ryelock.edge.context import EdgeContext
from ryelock.edge.request import Request
from ryelock.edge.routing import Router
from ryelock.http import HttpExchange, field
from ryelock.replicated_state import Route
from ryelock.runtime import Queue


class CacheLookup:
    """Looks up requests in the cache of one edge."""

    __slots__ = ("context", "router")

    def __init__(self, context: EdgeContext, router: Router) -> None:
        """Create the lookup."""
        self.context = context
        self.router = router

    def is_behind_peer(self, request: Request) -> bool:
        """Return True if the requesting peer has applied purges that this edge has not."""
        return request.peer is not None and request.peer.purges > self.context.store.last_purge

    def find(self, exchange: HttpExchange, request: Request) -> StoredResponse | None:
        """Return the stored response for a request, fresh or stale.

        None if the requesting peer has applied more purges: they may match the stored response.
        """
        if self.is_behind_peer(request):
            return None
        return self.context.store.find(request.cache_key, exchange.head.fields)

    def may_reuse(self, stored: StoredResponse, route: Route, exchange: HttpExchange) -> bool:
        """Return True if a stored response may be used without revalidation (RFC 9111, 4)."""
        return may_reuse(stored, route, exchange.head.fields, self.context.scheduler.now())

    def is_only_if_cached(self, exchange: HttpExchange) -> bool:
        """Return True if the client accepts only a stored response (RFC 9111, 5.2.1.7)."""
        directives = field(exchange.head.fields, b"cache-control") or b""
        return "only-if-cached" in directives.decode("latin-1")

    def is_shareable(self, exchange: HttpExchange, request: Request) -> bool:
        """Return True if the response may serve other requests for the same object."""
        head = exchange.head
        return (
            head.method == b"GET"
            and field(head.fields, b"authorization") is None
            and field(head.fields, b"cache-control") is None
            and not self.is_behind_peer(request)
        )

    def fill_in_progress(self, request: Request) -> Fill | None:
        """Return the fetch of the same object in progress on this edge, if any.

        A probe joins none: the fetching request may be waiting for admission, in which a probe has
        priority.
        """
        return None if request.is_probe else self.context.store.fills.get(request.cache_key)

    async def join(self, fill: Fill, exchange: HttpExchange, route: Route) -> StoredResponse | None:
        """Wait for another request's fetch; return None if its response may not be used."""
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
