"""The request path of an edge, from a request's head to the end of its response.

Invariants:

- Nothing is served without a lease.
- A request goes only to a server that is live, at that moment, in the list of the request's
  service.
- An at-most-once request is not sent again once a byte of it may have left.
- A request that cannot be served is rejected at once.
- A server that works on a request is waited for until the deadline, unless another one responds.
- A response is complete, or its connection is closed so that the client sees it is not.

The steps share one EdgeContext. In order: routing.py, cache_lookup.py, object_fetch.py (which uses
owner_client.py), admission.py, attempts.py (which uses upstream_client.py), cache_fill.py,
relay.py, rejections.py.
"""

from ryelock.cache import StoredResponse
from ryelock.edge.admission import NO_LEASE, AdmissionController, caller_digest
from ryelock.edge.attempts import UpstreamAttempts
from ryelock.edge.cache_fill import CacheFiller, FillInProgress
from ryelock.edge.cache_lookup import CacheLookup
from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.object_fetch import ObjectFetcher
from ryelock.edge.owner_client import OwnerClient, RelayedResponse
from ryelock.edge.peer_protocol import LOOKUP
from ryelock.edge.preview import RequestPreview
from ryelock.edge.rejections import RejectionResponder
from ryelock.edge.relay import ResponseRelay
from ryelock.edge.request import CacheStatus, Outcome, Request, RequestClass
from ryelock.edge.response_validator import ResponseValidator
from ryelock.edge.routing import Router
from ryelock.edge.served_objects import ServedObjects
from ryelock.edge.upstream_client import UpstreamClient
from ryelock.edge.upstream_request import UpstreamCall
from ryelock.edge.upstream_response import UpstreamResponse
from ryelock.http import HttpExchange, field
from ryelock.replicated_state import Route

CACHEABLE_METHODS = (b"GET", b"HEAD")
NO_ROUTE = Failure(FailureKind.NO_ROUTE, 404, "no route")
NOT_CACHEABLE = Failure(FailureKind.NO_ROUTE, 404, "not an object to probe")
KEY_IN_PROGRESS = Failure(
    FailureKind.KEY_IN_USE, 409, "an order with this Idempotency-Key is under way"
)
OUTDATED_VERSION = Failure(FailureKind.OUTDATED_VERSION, 503, "the version is not here yet")
NOT_CACHED = Failure(FailureKind.NOT_CACHED, 504, "not in the cache")


class RequestHandler:
    """Serves the requests of one edge."""

    __slots__ = (
        "admission",
        "attempts",
        "cache_filler",
        "cache_lookup",
        "context",
        "object_fetcher",
        "preview",
        "rejections",
        "relay",
        "router",
        "served_objects",
    )

    def __init__(self, context: EdgeContext) -> None:
        """Create the handler and its steps."""
        validator = ResponseValidator(context)
        self.context = context
        self.router = Router(context)
        self.admission = AdmissionController(context, self.router)
        self.cache_lookup = CacheLookup(context, self.router)
        self.cache_filler = CacheFiller(context, self.cache_lookup, validator)
        self.attempts = UpstreamAttempts(
            context,
            self.router,
            UpstreamClient(context, self.router, self.admission, validator),
        )
        self.object_fetcher = ObjectFetcher(
            context,
            self.router,
            self.admission,
            OwnerClient(context, self.router, validator),
            self.attempts,
        )
        self.served_objects = ServedObjects(context)
        self.relay = ResponseRelay(context, self.served_objects)
        self.rejections = RejectionResponder(context)
        self.preview = RequestPreview(context, self.router)

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request, from its head to the end of its response."""
        request = self.router.open_request(exchange)
        try:
            failure = await self.respond(exchange, request)
            if failure is not None:
                await self.rejections.reject(exchange, request, failure)
        finally:
            self.release(request)
            self.record(exchange, request)

    async def respond(self, exchange: HttpExchange, request: Request) -> Failure | None:
        """Respond from the cache or a server; return the failure if there is no response."""
        context = self.context
        if not context.member.serving:
            return NO_LEASE
        route = self.router.find_route(request)
        if route is None:
            return NO_ROUTE
        if request.is_probe and not route.cached and not context.profile.own:
            return NOT_CACHEABLE
        context.requests_served += not (request.is_probe or request.peer is not None)
        exchange.deadline = self.router.deadline(exchange, route)
        request.body = await exchange.read_body()
        exchange.may_refuse = request.request_class is RequestClass.IDEMPOTENT
        if self.may_use_cache(exchange, request, route):
            return await self.serve_cached(exchange, request, route)
        return await self.forward(exchange, request, route)

    def may_use_cache(self, exchange: HttpExchange, request: Request, route: Route) -> bool:
        """Return True for a GET or HEAD without a body on a cached route."""
        return (
            request.request_class is RequestClass.IDEMPOTENT
            and route.cached
            and exchange.head.method in CACHEABLE_METHODS
            and not request.body
        )

    async def forward(
        self, exchange: HttpExchange, request: Request, route: Route
    ) -> Failure | None:
        """Serve from a server, bypassing the cache.

        A request with an Idempotency-Key is sent only after a majority of control nodes has
        recorded the key. The key is released if the request certainly did not run.
        """
        key = self.idempotency_key(exchange, request)
        if key is not None and self.context.idempotency_keys.in_progress(request.service, key):
            return KEY_IN_PROGRESS
        failure = await self.admission.admit(exchange, request, route, key)
        if failure is not None:
            return failure
        if key is not None:
            self.context.idempotency_keys.begin(request.service, key)
            request.held_key = key
            failure = await self.admission.claim_key(exchange, request, route, key)
            if failure is not None:
                return failure
        result = await self.attempts.run(self.upstream_call(exchange, request, route))
        if result.is_ok():
            ends_by = self.router.hold_deadline(exchange, route)
            await self.relay.stream(exchange, request, result.ok, ends_by)
            return None
        if key is not None and not result.error.outcome_unknown:
            self.admission.release_key(exchange, request, key)
        return result.error

    def idempotency_key(self, exchange: HttpExchange, request: Request) -> bytes | None:
        """Return the Idempotency-Key of an at-most-once request, if the client gave one."""
        if request.request_class is not RequestClass.AT_MOST_ONCE:
            return None
        return field(exchange.head.fields, b"idempotency-key")

    async def serve_cached(
        self, exchange: HttpExchange, request: Request, route: Route
    ) -> Failure | None:
        """Serve a stored response, else the result of a fetch in progress, else fetch."""
        if request.peer is not None and request.peer.version > self.context.plan.version:
            return OUTDATED_VERSION
        stored = self.cache_lookup.find(exchange, request)
        if stored is not None and self.cache_lookup.may_reuse(stored, route, exchange):
            request.cache_status = CacheStatus.HIT
            await self.relay.send_stored(exchange, request, stored)
            return None
        if self.cache_lookup.is_only_if_cached(exchange):
            return NOT_CACHED
        if request.peer is not None:
            if request.attempts_left == LOOKUP:
                return NOT_CACHED
            exchange.send_processing()
        shareable = self.cache_lookup.is_shareable(exchange, request)
        fill = self.cache_lookup.fill_in_progress(request) if shareable else None
        if fill is not None:
            request.cache_status = CacheStatus.JOINED_FILL
            joined = await self.cache_lookup.join(fill, exchange, route)
            if joined is not None:
                await self.relay.send_stored(exchange, request, joined)
                return None
        return await self.fetch(exchange, request, route, stored, shareable)

    async def fetch(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        stored: StoredResponse | None,
        shareable: bool,
    ) -> Failure | None:
        """Serve from the object's owner, else from a server, and fill the cache.

        Args:
            exchange: the client's exchange.
            request: the request.
            route: its route.
            stored: a stored response that is stale and may be revalidated.
            shareable: whether the response may serve other requests that wait for it.
        """
        progress = self.cache_filler.begin(request, stored, shareable)
        fetched = await self.object_fetcher.fetch(exchange, request, route, progress, shareable)
        if fetched.is_error():
            return fetched.error
        if isinstance(fetched.ok, UpstreamResponse):
            await self.serve_fetched(exchange, request, route, progress, fetched.ok)
        else:
            await self.serve_from_owner(exchange, request, progress, fetched.ok)
        return None

    def upstream_call(self, exchange: HttpExchange, request: Request, route: Route) -> UpstreamCall:
        """Return the call to upstream servers for an admitted request that bypasses the cache."""
        assert request.admitted_to is not None
        deadline = self.router.deadline(exchange, route)
        return UpstreamCall(exchange, request, route, request.admitted_to, False, None, deadline)

    async def serve_from_owner(
        self,
        exchange: HttpExchange,
        request: Request,
        progress: FillInProgress,
        reply: StoredResponse | RelayedResponse,
    ) -> None:
        """Send the owner's reply: a stored response, which fills the cache, or a relayed one."""
        if isinstance(reply, RelayedResponse):
            request.cache_status = CacheStatus.RELAYED_BY_OWNER
            await self.relay.send_relayed(exchange, request, reply)
            return
        request.cache_status = CacheStatus.FROM_OWNER
        self.cache_filler.store_from_owner(progress, reply)
        await self.relay.send_stored(exchange, request, reply)

    async def serve_fetched(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        progress: FillInProgress,
        upstream: UpstreamResponse,
    ) -> None:
        """Send a server's response, and store it if it is cacheable."""
        stored = self.cache_filler.store_from_server(exchange, request, route, progress, upstream)
        if stored is None:
            ends_by = self.router.hold_deadline(exchange, route)
            await self.relay.stream(exchange, request, upstream, ends_by)
            return
        self.relay.release_connection(upstream)
        await self.relay.send_stored(exchange, request, stored)

    def release(self, request: Request) -> None:
        """Release a request's admission slot, idempotency key and cache fill."""
        if request.admitted_to is not None:
            request.admitted_to.release(request.route_name)
        if request.held_key is not None:
            self.context.idempotency_keys.end(request.service, request.held_key)
        if request.fill is not None:
            self.context.store.end_fill(request.fill, None)

    def record(self, exchange: HttpExchange, request: Request) -> None:
        """Record the outcome of a request for metrics, explain and retry detection."""
        context = self.context
        now = context.scheduler.now()
        request.duration = now - request.started
        if (
            context.profile.own
            and not request.is_probe
            and (request.status >= 500 or request.outcome is Outcome.TRUNCATED)
            and request.was_sent
        ):
            context.retry_detector.report(caller_digest(exchange, request), now)
        if request.cache_status:
            context.metrics.cache.add(request.service, request.sender_kind, request.cache_status)
        if request.outcome is Outcome.IN_PROGRESS:
            request.outcome = (
                Outcome.CLIENT_DISCONNECTED if exchange.client_disconnected else Outcome.ENDED
            )
        context.recent_requests.add(request)
