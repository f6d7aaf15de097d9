"""What the caller is told: a server's answer piece by piece, a copy, or why there is none."""

import json
import math

from ryelock.cache import Copy, answer_from
from ryelock.edge.context import UpstreamAnswer
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.orders import Order
from ryelock.edge.owner import (
    AGE_FIELD,
    RELAYED_FIELD,
    ROOM_FIELD,
    SERVERS_FIELD,
    Relayed,
)
from ryelock.edge.routing import Routing
from ryelock.events import ANSWER_BROKEN
from ryelock.http import (
    AnswerHead,
    Exchange,
    Fields,
    end_to_end,
    field,
    tokens,
)
from ryelock.http.heads import FramingError
from ryelock.http.reader import Cut, Late
from ryelock.replicated_state import DERIVED_MOST, Route

OBJECT_MOST = 300
UNROUTED_BACK_SECONDS = 0.2
"""Retry-After of a refusal that belongs to no route."""
ROOM_BACK_SECONDS_MOST = 0.9
"""A caller is not kept away longer than this for want of room: the rate's shares move sooner."""
NO_SHARE = "declined: no share of the service's rate is held here yet"


class Replies(Routing):
    """Answers to callers."""

    __slots__ = ()

    async def relay(self, exchange: Exchange, order: Order, carried: UpstreamAnswer) -> None:
        """A server's answer to the caller, piece by piece; cut where it is cut."""
        head, answer = carried.head, carried.answer
        fields = end_to_end(head.fields)
        fields += self.own_fields(order) + self.peer_fields(order)
        if order.peer:
            fields.append((RELAYED_FIELD, b"1"))
        order.status = head.status
        length = len(carried.first) if carried.whole else answer.length
        if exchange.head.method == b"HEAD" or head.status == 304:
            length = (
                answer.length
                if answer.length is not None
                else (
                    len(carried.first)
                    if carried.whole
                    and exchange.head.method == b"HEAD"
                    and head.status not in (204, 304)
                    and carried.first
                    else answer.length
                )
            )
        done = False
        try:
            exchange.begin(head.status, head.reason, fields, length, False)
            fine = await exchange.send(carried.first, self.env.idle_seconds)
            until = self.scheduler.now() + self.env.idle_seconds
            while fine and not answer.body.over:
                piece = await answer.body.piece(until)
                if not piece:
                    continue
                until = self.scheduler.now() + self.env.idle_seconds
                fine = await exchange.send(piece, self.env.idle_seconds)
            if fine and carried.reader.buffer and self.dialect.own:
                raise FramingError(502, "bytes behind the answer's end")
            if fine:
                exchange.finish()
                done = True
                order.outcome = "answered"
                exchange.keep_from_caller()
                self.free_link(carried)
        except (Cut, Late, FramingError) as error:
            order.reason = f"the server's answer was cut: {error!r}"
            order.outcome = "cut"
            if not exchange.left:
                self.servers.fared(carried.server, False, 0.0)
                self.log.write(
                    ANSWER_BROKEN,
                    server=carried.server.server.address,
                    order=order.identity,
                    fault="cut in the body",
                )
        finally:
            if not done:
                exchange.keep_from_caller()
                exchange.cut()
                carried.link.abort()

    def free_link(self, carried: UpstreamAnswer) -> None:
        """Keep a server's connection for other requests where its answer was read to the end."""
        if carried.answer.keep and carried.answer.body.over:
            self.servers.keep_link(
                carried.server, carried.link, carried.reader, idle_of(carried.head)
            )
        else:
            carried.link.close()

    async def pass_on(self, exchange: Exchange, order: Order, relayed: Relayed) -> None:
        """A server's answer that the owner of the object relayed."""
        order.status = relayed.head.status
        order.outcome = "answered"
        fields = [*relayed.head.fields, *self.own_fields(order)]
        bare = relayed.head.status in (204, 304)
        length = None if bare else len(relayed.body)
        exchange.begin(relayed.head.status, relayed.head.reason, fields, length, False)
        if await exchange.send(relayed.body, self.env.idle_seconds):
            exchange.finish()
        else:
            exchange.cut()

    async def answer_copy(self, exchange: Exchange, order: Order, copy: Copy) -> None:
        now = self.scheduler.now()
        status, reason, fields, body = answer_from(copy, exchange.head, now)
        if self.dialect.identity:
            fields = [pair for pair in fields if pair[0].lower() != self.dialect.identity.lower()]
            fields.append((self.dialect.identity, order.identity.encode("latin-1")))
        if order.peer:
            fields = [*fields, (AGE_FIELD, b"%.3f" % copy.age(now))]
        order.status = status
        order.outcome = "answered"
        if status == 200 and order.route_name in self.member.register.derivable:
            self.note_object(exchange, order, body or copy.etag)
        exchange.begin(
            status,
            reason,
            [*fields, *self.own_fields(order)],
            None if status == 304 else len(body),
            False,
        )
        if await exchange.send(body, self.env.idle_seconds):
            exchange.finish()
        else:
            exchange.cut()

    def note_object(self, exchange: Exchange, order: Order, content: bytes | None) -> None:
        """An object anybody may fetch, of which a watch could be made up."""
        fields = exchange.head.fields
        if (
            not self.env.derive_watches
            or order.probe
            or not content
            or exchange.head.method != b"GET"
            or len(order.target) > OBJECT_MOST
            or field(fields, b"authorization") is not None
            or field(fields, b"cookie") is not None
        ):
            return
        own = self.member.session.order.rpartition(":")[0]
        self.lately[order.route_name] = ("" if order.host == own else order.host, order.target)

    def lately_served(self) -> list[list[str]]:
        """Per cached route that needs a watch, the object it served last; what others need not."""
        derivable = self.member.register.derivable
        self.lately = {route: place for route, place in self.lately.items() if route in derivable}
        return [[route, *place] for route, place in sorted(self.lately.items())[:DERIVED_MOST]]

    def peer_fields(self, order: Order) -> Fields:
        """What another edge is told: how many servers its order reached from here."""
        return [(SERVERS_FIELD, b"%d" % order.servers_reached)] if order.peer else []

    def own_fields(self, order: Order) -> Fields:
        if not self.dialect.own:
            return []
        fields: Fields = [(b"Via", b"1.1 ryelock"), (b"X-Ryelock-Order", order.identity.encode())]
        if order.cache:
            fields.append((b"X-Ryelock-Cache", order.cache.encode()))
        return fields

    async def decline(self, exchange: Exchange, order: Order, failure: Failure) -> None:
        """The final answer of an order that is given up on, at once.

        Nobody is promised that an order which may run once has not run where a server may have
        run it. Whoever sends a repeatable order again does no harm, and is told when.
        """
        comes_back = failure.status in (429, 503)
        if comes_back and order.may_have_run and order.klass == "once":
            failure = Failure(failure.kind, 502, failure.reason, failure.unknown, failure.back)
        self.metrics.refusals.add(order.service, order.asked_by, failure.kind)
        order.status = failure.status
        order.reason = failure.reason
        order.outcome = "unknown" if failure.unknown else "not run"
        if order.klass == "repeatable" and any(record["sent"] for record in order.dispatches):
            order.outcome = "no answer"
        if failure.status == 499 or exchange.left:
            exchange.cut()
            return
        fields: Fields = [
            (b"Content-Type", b"application/json"),
            (b"Cache-Control", b"no-store"),
            (b"X-Ryelock-Outcome", order.outcome.replace(" ", "-").encode()),
            (b"X-Ryelock-Order", order.identity.encode()),
        ]
        keyed = field(exchange.head.fields, b"idempotency-key") is not None
        if not self.dialect.own:
            back = self.retry_after(order, failure)
            fields = [(b"Content-Type", b"application/json")]
            if comes_back:
                fields.append(
                    (
                        b"Retry-After",
                        b"%.3f" % back if self.dialect.fractions else b"%d" % math.ceil(back),
                    )
                )
            fields.append((self.dialect.identity, order.identity.encode("latin-1")))
            if order.probe and self.crowded(order):
                fields.append((b"X-Ryelock-Outcome", b"crowded"))
        elif order.probe and order.allowance == NO_SHARE:
            fields[2] = (b"X-Ryelock-Outcome", b"crowded")
        elif failure.status in (429, 502, 503, 504) and (not failure.unknown or keyed):
            back = math.ceil(failure.back + self.random.random() * 2)
            fields.append((b"Retry-After", b"%d" % back))
        fields += self.peer_fields(order)
        if order.peer and failure.kind in (FailureKind.OVER_RATE, FailureKind.OWNER_OVER_RATE):
            fields.append((ROOM_FIELD, b"%.3f" % min(failure.room_in, ROOM_BACK_SECONDS_MOST)))
        body = (
            json.dumps(
                {"error": failure.reason, "outcome": order.outcome, "order": order.identity}
            ).encode()
            + b"\n"
        )
        if exchange.head.method == b"HEAD":
            body = b""
        await exchange.answer(failure.status, fields, body)

    def retry_after(self, order: Order, failure: Failure) -> float:
        """Seconds after which a caller should come back.

        Not before the service's rate is expected to have room: a caller that comes back sooner
        is refused again and uses up its tries.
        """
        if order.rule is None:
            return UNROUTED_BACK_SECONDS
        soon = self.soon(order.rule)
        if not math.isfinite(failure.room_in):
            return soon
        return max(soon, min(soon + failure.room_in, ROOM_BACK_SECONDS_MOST))

    def soon(self, route: Route) -> float:
        """Seconds after which to come back: within the time that is of full worth."""
        if self.dialect.own or not route.target_seconds:
            return 1.0
        return route.target_seconds * (0.05 + 0.15 * self.random.random())

    def crowded(self, order: Order) -> bool:
        """Whether an order failed since the service is at its rate or its servers are full."""
        now = self.scheduler.now()
        return order.allowance.startswith("declined") or any(
            now < state.full_until for state in self.servers.by_service.get(order.service, ())
        )


def idle_of(head: AnswerHead) -> float | None:
    """Seconds that a server says it keeps an idle link; None where it says nothing."""
    for part in tokens(head.fields, b"keep-alive"):
        name, _, value = part.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
