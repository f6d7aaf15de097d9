"""A request's path through an edge: `RequestHandler.serve` from top to bottom, and its steps.

The rules it keeps: nothing is served without a term; nothing is sent to a server that is not
live in a listing of the order's own service at that moment; an order that may run once is
never sent again after a byte of it may have left; what is given up on is answered at once; an
answer is either whole or ends by ending the link.

The steps stand in layers, each of which uses only those before it: context.py (the edge's parts),
routing.py, replies.py, admission.py, answers.py, dispatch.py, foresee.py.
"""

from ryelock.cache import Copy, Fill, copy_of, may_use
from ryelock.edge.admission import caller_of
from ryelock.edge.context import UpstreamAnswer
from ryelock.edge.copies import Filling, refreshed
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.foresee import Foresee
from ryelock.edge.orders import Order
from ryelock.edge.owner import (
    LOOKUP,
    OwnerAsk,
    Refusal,
    Relayed,
)
from ryelock.edge.peers import Peers
from ryelock.http import (
    Exchange,
    end_to_end,
    field,
)
from ryelock.replicated_state import Route
from ryelock.runtime import Queue


class RequestHandler(Foresee):
    """Serves requests; one instance a process."""

    __slots__ = ()

    async def serve(self, exchange: Exchange) -> None:
        """One order, from its head to the end of its answer."""
        order = self.open_order(exchange)
        try:
            if not self.member.serving:
                await self.decline(
                    exchange, order, Failure(FailureKind.NO_LEASE, 503, "no term: cut off")
                )
                return
            route = self.find_route(order)
            if route is None:
                await self.decline(exchange, order, Failure(FailureKind.NO_ROUTE, 404, "no route"))
                return
            if order.probe and not route.cached and not self.dialect.own:
                await self.decline(
                    exchange, order, Failure(FailureKind.NO_ROUTE, 404, "not an object to probe")
                )
                return
            self.served += not (order.probe or order.peer)
            order.body = await exchange.whole_body()
            exchange.may_refuse = order.klass == "repeatable"
            if order.klass == "once":
                await self.serve_once(exchange, order, route)
            elif route.cached and exchange.head.method in (b"GET", b"HEAD") and not order.body:
                await self.serve_cached(exchange, order, route)
            else:
                await self.serve_plain(exchange, order, route)
        finally:
            order.seconds = self.scheduler.now() - order.started
            if (
                self.dialect.own
                and not order.probe
                and (order.status >= 500 or order.outcome == "cut")
                and any(record["sent"] for record in order.dispatches)
            ):
                self.failed.tell(caller_of(exchange, order), self.scheduler.now())
            if order.cache:
                self.metrics.cache.add(order.service, order.asked_by, order.cache)
            if not order.outcome:
                order.outcome = "caller left" if exchange.left else "ended"
            self.orders.keep(order)

    async def serve_once(self, exchange: Exchange, order: Order, route: Route) -> None:
        """At most one dispatch that a byte of may have left."""
        key = field(exchange.head.fields, b"idempotency-key")
        if key is not None and self.keys.under_way(order.service, key):
            await self.decline(
                exchange,
                order,
                Failure(
                    FailureKind.KEY_IN_USE, 409, "an order with this Idempotency-Key is under way"
                ),
            )
            return
        await self.serve_plain(exchange, order, route, key)

    async def serve_plain(
        self, exchange: Exchange, order: Order, route: Route, key: bytes | None = None
    ) -> None:
        failure = await self.enter(exchange, order, route, key)
        if failure is not None:
            await self.decline(exchange, order, failure)
            return
        gate, name = self.gates[order.service], order.route_name
        if key is not None:
            self.keys.begin(order.service, key)
        try:
            failure = await self.claim(exchange, order, route, key)
            if failure is not None:
                await self.decline(exchange, order, failure)
                return
            found = await self.dispatch(exchange, order, route, gate, False)
            if found.is_error():
                if key is not None and not found.error.unknown:
                    self.give_back(exchange, order, key)
                await self.decline(exchange, order, found.error)
            else:
                await self.relay(exchange, order, found.ok)
        finally:
            gate.leave(name)
            if key is not None:
                self.keys.end(order.service, key)

    async def serve_cached(self, exchange: Exchange, order: Order, route: Route) -> None:
        """From a copy; else by a fill under way; else by a fill of its own.

        A probe that asks past the copy leaves the copy as it is: it must not mend what it
        then looks at as a reader would. Nor does it wait for a fill: the order that fills may
        itself wait at the gate, and a probe goes before the crowd.
        """
        key = (order.route_name, order.host, order.target)
        head = exchange.head
        if order.peer and order.known > self.plan.version:
            await self.decline(
                exchange,
                order,
                Failure(FailureKind.OLD_VERSION, 503, "the version is not here yet"),
            )
            return
        behind = order.peer and order.purged > self.store.purged
        copy = None if behind else self.store.find(key, head.fields)
        if copy is not None and may_use(copy, route, head.fields, self.scheduler.now()):
            order.cache = "hit"
            await self.answer_copy(exchange, order, copy)
            return
        if "only-if-cached" in (field(head.fields, b"cache-control") or b"").decode("latin-1"):
            await self.decline(
                exchange, order, Failure(FailureKind.NOT_CACHED, 504, "not in the cache")
            )
            return
        shared = (
            head.method == b"GET"
            and field(head.fields, b"authorization") is None
            and field(head.fields, b"cache-control") is None
            and not behind
        )
        fill = self.store.fills.get(key) if shared and not order.probe else None
        if order.peer and order.servers_left == LOOKUP:
            await self.decline(
                exchange, order, Failure(FailureKind.NOT_CACHED, 504, "not in the cache")
            )
            return
        if order.peer:
            exchange.tell_working()
        if fill is not None:
            order.cache = "waited for a fill"
            waited = await self.wait_for(fill, exchange, route)
            if self.may_give(waited, exchange, route):
                assert waited is not None
                await self.answer_copy(exchange, order, waited)
                return
        known = copy if copy is not None and copy.etag is not None else None
        await self.serve_by_fill(exchange, order, route, known, shared)

    async def serve_by_fill(
        self, exchange: Exchange, order: Order, route: Route, known: Copy | None, shared: bool
    ) -> None:
        """From the object's owner, else from a server; whoever waits for the fill is told.

        `known` is a copy that is too old to be given but may still be what the server has.
        """
        key = (order.route_name, order.host, order.target)
        fill = self.store.begin(key) if shared and key not in self.store.fills else Fill(key)
        filling = Filling(fill, known, self.store.purged)
        try:
            if shared and self.may_ask_owner(order) and self.peers is not None:
                given = await self.ask_owner(self.peers, exchange, order, route, key, known)
                if isinstance(given, Refusal):
                    await self.decline(exchange, order, no_room_at_owner(given))
                    return
                if given is not None:
                    await self.answer_given(exchange, order, filling, given)
                    return
            await self.serve_from_server(exchange, order, route, filling)
        finally:
            self.store.end(fill, None)

    async def answer_given(
        self, exchange: Exchange, order: Order, filling: Filling, given: Copy | Relayed
    ) -> None:
        """What the owner of the object gave: a copy, which is kept, or a server's answer."""
        if isinstance(given, Relayed):
            order.cache = "relayed by the owner"
            await self.pass_on(exchange, order, given)
            return
        order.cache = "from the owner"
        self.store.end(filling.fill, given if self.may_keep(filling, given) else None)
        await self.answer_copy(exchange, order, given)

    async def serve_from_server(
        self, exchange: Exchange, order: Order, route: Route, filling: Filling
    ) -> None:
        gate, name = self.gates.get(order.service), order.route_name
        failure = await self.enter(exchange, order, route, None)
        if failure is not None or gate is None:
            await self.decline(
                exchange,
                order,
                failure
                or Failure(FailureKind.SERVICE_UNKNOWN, 503, "the service is not known here yet"),
            )
            return
        try:
            order.cache = order.cache or "miss"
            found = await self.dispatch(exchange, order, route, gate, True, filling.known)
            if found.is_error():
                await self.decline(exchange, order, found.error)
            else:
                await self.answer_filled(exchange, order, route, filling, found.ok)
        finally:
            gate.leave(name)

    async def answer_filled(
        self,
        exchange: Exchange,
        order: Order,
        route: Route,
        filling: Filling,
        carried: UpstreamAnswer,
    ) -> None:
        """A server's answer: kept where it may be, else passed on as it comes."""
        now = self.scheduler.now()
        kept = self.copy_from(exchange, order, route, filling, carried)
        if kept is None:
            if carried.whole and order.cache == "miss":
                order.cache = "not kept"
            if not order.probe:
                self.store.drop(filling.fill.key)
            self.store.end(filling.fill, None)
            await self.relay(exchange, order, carried)
            return
        past_the_copy = order.probe and not may_use(kept, route, exchange.head.fields, now)
        fine = not past_the_copy and self.may_keep(filling, kept)
        self.store.end(filling.fill, kept if fine else None)
        self.free_link(carried)
        await self.answer_copy(exchange, order, kept)

    def copy_from(
        self,
        exchange: Exchange,
        order: Order,
        route: Route,
        filling: Filling,
        carried: UpstreamAnswer,
    ) -> Copy | None:
        """The copy that a server's answer makes: of a new object, or of one that is unchanged."""
        head = carried.head
        now = self.scheduler.now()
        if head.status == 304 and filling.known is not None:
            order.cache = "revalidated"
            return refreshed(filling.known, head, carried.sent, now)
        if not carried.whole or not self.sealed(head):
            return None
        fields = end_to_end(head.fields)
        return copy_of(exchange.head, route, head, fields, carried.first, carried.sent, now)

    def may_keep(self, filling: Filling, copy: Copy) -> bool:
        """Whether no purge since the fill began names the copy."""
        purged = self.store.purged_since(filling.purged, filling.fill.key, copy)
        return not filling.fill.spoiled and not purged

    async def wait_for(self, fill: Fill, exchange: Exchange, route: Route) -> Copy | None:
        box: Queue[Copy | None] = Queue(self.scheduler)
        fill.waiting.append(box)
        left = self.deadline(exchange, route) - self.scheduler.now()
        return await box.get(max(0.0, left))

    def may_give(self, waited: Copy | None, exchange: Exchange, route: Route) -> bool:
        """Whether the copy of a fill that was waited for may answer this order too."""
        return (
            waited is not None
            and waited.vary == ()
            and may_use(waited, route, exchange.head.fields, self.scheduler.now())
            and self.member.serving
        )

    def may_ask_owner(self, order: Order) -> bool:
        """Whether an order may be handed to another edge: no probe, and none without a name."""
        return not order.probe and (order.named or self.dialect.own)

    async def ask_owner(
        self,
        peers: Peers,
        exchange: Exchange,
        order: Order,
        route: Route,
        key: tuple[str, str, str],
        known: Copy | None,
    ) -> Copy | Relayed | Refusal | None:
        """What the edge that keeps this object for the zone or the region gives, None for nothing.

        It is told how many purges are known here: one that knows of fewer uses no copy of its
        own. Where it gives nothing the object is fetched from a server.
        """
        peers.follow(self.member.members)
        owner = peers.owner(key[1:], order.peer_zone)
        if owner is None:
            return None
        return await OwnerAsk(self, peers, owner, exchange, order, route, known).run()


def no_room_at_owner(refusal: Refusal) -> Failure:
    """The failure of a request whose object's owner has no room in the service's rate."""
    return Failure(
        FailureKind.OWNER_OVER_RATE,
        503,
        "the service is at its rate; the order was not sent",
        room_in=refusal.room_in or 0.0,
    )
