"""A request's path through an edge: `RequestHandler.serve` from top to bottom, and its steps.

The rules it keeps: nothing is served without a term; nothing is sent to a server that is not
live in a listing of the order's own service at that moment; an order that may run once is
never sent again after a byte of it may have left; what is given up on is answered at once; an
answer is either whole or ends by ending the link.

The steps stand in layers, each of which uses only those before it: context.py (the edge's parts),
routing.py, replies.py, admission.py, answers.py, dispatch.py, foresee.py.
"""

from ryelock.cache import Fill, StoredResponse, copy_of, may_use
from ryelock.edge.admission import caller_of
from ryelock.edge.context import UpstreamResponse
from ryelock.edge.copies import Filling, refreshed
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.foresee import Foresee
from ryelock.edge.orders import Request
from ryelock.edge.owner import (
    LOOKUP,
    OwnerRequest,
    Refusal,
    Relayed,
)
from ryelock.edge.peers import Peers
from ryelock.http import (
    HttpExchange,
    end_to_end,
    field,
)
from ryelock.replicated_state import Route
from ryelock.runtime import Queue


class RequestHandler(Foresee):
    """Serves requests; one instance a process."""

    __slots__ = ()

    async def serve(self, exchange: HttpExchange) -> None:
        """One order, from its head to the end of its answer."""
        request = self.open_request(exchange)
        try:
            if not self.member.serving:
                await self.reject(
                    exchange, request, Failure(FailureKind.NO_LEASE, 503, "no term: cut off")
                )
                return
            route = self.find_route(request)
            if route is None:
                await self.reject(exchange, request, Failure(FailureKind.NO_ROUTE, 404, "no route"))
                return
            if request.probe and not route.cached and not self.dialect.own:
                await self.reject(
                    exchange, request, Failure(FailureKind.NO_ROUTE, 404, "not an object to probe")
                )
                return
            self.served += not (request.probe or request.peer)
            request.body = await exchange.read_body()
            exchange.may_refuse = request.klass == "repeatable"
            if request.klass == "once":
                await self.serve_once(exchange, request, route)
            elif route.cached and exchange.head.method in (b"GET", b"HEAD") and not request.body:
                await self.serve_cached(exchange, request, route)
            else:
                await self.serve_plain(exchange, request, route)
        finally:
            request.seconds = self.scheduler.now() - request.started
            if (
                self.dialect.own
                and not request.probe
                and (request.status >= 500 or request.outcome == "cut")
                and any(record["sent"] for record in request.dispatches)
            ):
                self.failed.tell(caller_of(exchange, request), self.scheduler.now())
            if request.cache:
                self.metrics.cache.add(request.service, request.asked_by, request.cache)
            if not request.outcome:
                request.outcome = "caller left" if exchange.client_disconnected else "ended"
            self.recent_requests.keep(request)

    async def serve_once(self, exchange: HttpExchange, request: Request, route: Route) -> None:
        """At most one dispatch that a byte of may have left."""
        key = field(exchange.head.fields, b"idempotency-key")
        if key is not None and self.keys.under_way(request.service, key):
            await self.reject(
                exchange,
                request,
                Failure(
                    FailureKind.KEY_IN_USE, 409, "an order with this Idempotency-Key is under way"
                ),
            )
            return
        await self.serve_plain(exchange, request, route, key)

    async def serve_plain(
        self, exchange: HttpExchange, request: Request, route: Route, key: bytes | None = None
    ) -> None:
        failure = await self.enter(exchange, request, route, key)
        if failure is not None:
            await self.reject(exchange, request, failure)
            return
        gate, name = self.gates[request.service], request.route_name
        if key is not None:
            self.keys.begin(request.service, key)
        try:
            failure = await self.claim(exchange, request, route, key)
            if failure is not None:
                await self.reject(exchange, request, failure)
                return
            found = await self.attempt(exchange, request, route, gate, False)
            if found.is_error():
                if key is not None and not found.error.unknown:
                    self.give_back(exchange, request, key)
                await self.reject(exchange, request, found.error)
            else:
                await self.relay(exchange, request, found.ok)
        finally:
            gate.release(name)
            if key is not None:
                self.keys.end(request.service, key)

    async def serve_cached(self, exchange: HttpExchange, request: Request, route: Route) -> None:
        """From a copy; else by a fill under way; else by a fill of its own.

        A probe that asks past the copy leaves the copy as it is: it must not mend what it
        then looks at as a reader would. Nor does it wait for a fill: the order that fills may
        itself wait at the gate, and a probe goes before the crowd.
        """
        key = (request.route_name, request.host, request.target)
        head = exchange.head
        if request.peer and request.known > self.plan.version:
            await self.reject(
                exchange,
                request,
                Failure(FailureKind.OLD_VERSION, 503, "the version is not here yet"),
            )
            return
        behind = request.peer and request.purged > self.store.purged
        copy = None if behind else self.store.find(key, head.fields)
        if copy is not None and may_use(copy, route, head.fields, self.scheduler.now()):
            request.cache = "hit"
            await self.answer_copy(exchange, request, copy)
            return
        if "only-if-cached" in (field(head.fields, b"cache-control") or b"").decode("latin-1"):
            await self.reject(
                exchange, request, Failure(FailureKind.NOT_CACHED, 504, "not in the cache")
            )
            return
        shared = (
            head.method == b"GET"
            and field(head.fields, b"authorization") is None
            and field(head.fields, b"cache-control") is None
            and not behind
        )
        fill = self.store.fills.get(key) if shared and not request.probe else None
        if request.peer and request.servers_left == LOOKUP:
            await self.reject(
                exchange, request, Failure(FailureKind.NOT_CACHED, 504, "not in the cache")
            )
            return
        if request.peer:
            exchange.send_processing()
        if fill is not None:
            request.cache = "waited for a fill"
            waited = await self.wait_for(fill, exchange, route)
            if self.may_give(waited, exchange, route):
                assert waited is not None
                await self.answer_copy(exchange, request, waited)
                return
        known = copy if copy is not None and copy.etag is not None else None
        await self.serve_by_fill(exchange, request, route, known, shared)

    async def serve_by_fill(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        known: StoredResponse | None,
        shared: bool,
    ) -> None:
        """From the object's owner, else from a server; whoever waits for the fill is told.

        `known` is a copy that is too old to be given but may still be what the server has.
        """
        key = (request.route_name, request.host, request.target)
        fill = self.store.begin(key) if shared and key not in self.store.fills else Fill(key)
        filling = Filling(fill, known, self.store.purged)
        try:
            if shared and self.may_ask_owner(request) and self.peers is not None:
                given = await self.ask_owner(self.peers, exchange, request, route, key, known)
                if isinstance(given, Refusal):
                    await self.reject(exchange, request, no_room_at_owner(given))
                    return
                if given is not None:
                    await self.answer_given(exchange, request, filling, given)
                    return
            await self.serve_from_server(exchange, request, route, filling)
        finally:
            self.store.end(fill, None)

    async def answer_given(
        self,
        exchange: HttpExchange,
        request: Request,
        filling: Filling,
        given: StoredResponse | Relayed,
    ) -> None:
        """What the owner of the object gave: a copy, which is kept, or a server's answer."""
        if isinstance(given, Relayed):
            request.cache = "relayed by the owner"
            await self.pass_on(exchange, request, given)
            return
        request.cache = "from the owner"
        self.store.end(filling.fill, given if self.may_keep(filling, given) else None)
        await self.answer_copy(exchange, request, given)

    async def serve_from_server(
        self, exchange: HttpExchange, request: Request, route: Route, filling: Filling
    ) -> None:
        gate, name = self.gates.get(request.service), request.route_name
        failure = await self.enter(exchange, request, route, None)
        if failure is not None or gate is None:
            await self.reject(
                exchange,
                request,
                failure
                or Failure(FailureKind.SERVICE_UNKNOWN, 503, "the service is not known here yet"),
            )
            return
        try:
            request.cache = request.cache or "miss"
            found = await self.attempt(exchange, request, route, gate, True, filling.known)
            if found.is_error():
                await self.reject(exchange, request, found.error)
            else:
                await self.answer_filled(exchange, request, route, filling, found.ok)
        finally:
            gate.release(name)

    async def answer_filled(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        filling: Filling,
        carried: UpstreamResponse,
    ) -> None:
        """A server's answer: kept where it may be, else passed on as it comes."""
        now = self.scheduler.now()
        kept = self.copy_from(exchange, request, route, filling, carried)
        if kept is None:
            if carried.whole and request.cache == "miss":
                request.cache = "not kept"
            if not request.probe:
                self.store.drop(filling.fill.key)
            self.store.end(filling.fill, None)
            await self.relay(exchange, request, carried)
            return
        past_the_copy = request.probe and not may_use(kept, route, exchange.head.fields, now)
        fine = not past_the_copy and self.may_keep(filling, kept)
        self.store.end(filling.fill, kept if fine else None)
        self.free_connection(carried)
        await self.answer_copy(exchange, request, kept)

    def copy_from(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        filling: Filling,
        carried: UpstreamResponse,
    ) -> StoredResponse | None:
        """The copy that a server's answer makes: of a new object, or of one that is unchanged."""
        head = carried.head
        now = self.scheduler.now()
        if head.status == 304 and filling.known is not None:
            request.cache = "revalidated"
            return refreshed(filling.known, head, carried.sent, now)
        if not carried.whole or not self.sealed(head):
            return None
        fields = end_to_end(head.fields)
        return copy_of(exchange.head, route, head, fields, carried.first, carried.sent, now)

    def may_keep(self, filling: Filling, copy: StoredResponse) -> bool:
        """Whether no purge since the fill began names the copy."""
        purged = self.store.purged_since(filling.purged, filling.fill.key, copy)
        return not filling.fill.spoiled and not purged

    async def wait_for(
        self, fill: Fill, exchange: HttpExchange, route: Route
    ) -> StoredResponse | None:
        box: Queue[StoredResponse | None] = Queue(self.scheduler)
        fill.waiting.append(box)
        left = self.deadline(exchange, route) - self.scheduler.now()
        return await box.get(max(0.0, left))

    def may_give(self, waited: StoredResponse | None, exchange: HttpExchange, route: Route) -> bool:
        """Whether the copy of a fill that was waited for may answer this order too."""
        return (
            waited is not None
            and waited.vary == ()
            and may_use(waited, route, exchange.head.fields, self.scheduler.now())
            and self.member.serving
        )

    def may_ask_owner(self, request: Request) -> bool:
        """Whether an order may be handed to another edge: no probe, and none without a name."""
        return not request.probe and (request.named or self.dialect.own)

    async def ask_owner(
        self,
        peers: Peers,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        key: tuple[str, str, str],
        known: StoredResponse | None,
    ) -> StoredResponse | Relayed | Refusal | None:
        """What the edge that keeps this object for the zone or the region gives, None for nothing.

        It is told how many purges are known here: one that knows of fewer uses no copy of its
        own. Where it gives nothing the object is fetched from a server.
        """
        peers.follow(self.member.members)
        owner = peers.owner(key[1:], request.peer_zone)
        if owner is None:
            return None
        return await OwnerRequest(self, peers, owner, exchange, request, route, known).run()


def no_room_at_owner(refusal: Refusal) -> Failure:
    """The failure of a request whose object's owner has no room in the service's rate."""
    return Failure(
        FailureKind.OWNER_OVER_RATE,
        503,
        "the service is at its rate; the order was not sent",
        room_in=refusal.room_in or 0.0,
    )
