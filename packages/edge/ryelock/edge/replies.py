"""What the caller is told: a server's answer piece by piece, a copy, or why there is none."""

import json
import math

from ryelock.cache import StoredResponse, answer_from
from ryelock.edge.context import UpstreamResponse
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.orders import Request
from ryelock.edge.owner import (
    AGE_FIELD,
    RELAYED_FIELD,
    ROOM_FIELD,
    SERVERS_FIELD,
    Relayed,
)
from ryelock.edge.routing import Routing
from ryelock.events import RESPONSE_BROKEN
from ryelock.http import (
    Fields,
    HttpExchange,
    ResponseHead,
    end_to_end,
    field,
    tokens,
)
from ryelock.http.heads import FramingError
from ryelock.http.reader import IncompleteMessageError, ReadTimeoutError
from ryelock.replicated_state import MAX_DERIVED_WATCHES, Route

OBJECT_MOST = 300
UNROUTED_BACK_SECONDS = 0.2
"""Retry-After of a refusal that belongs to no route."""
ROOM_BACK_SECONDS_MOST = 0.9
"""A caller is not kept away longer than this for want of room: the rate's shares move sooner."""
NO_SHARE = "declined: no share of the service's rate is held here yet"


class Replies(Routing):
    """Answers to callers."""

    __slots__ = ()

    async def relay(
        self, exchange: HttpExchange, request: Request, carried: UpstreamResponse
    ) -> None:
        """A server's answer to the caller, piece by piece; cut where it is cut."""
        head, answer = carried.head, carried.answer
        fields = end_to_end(head.fields)
        fields += self.own_fields(request) + self.peer_fields(request)
        if request.peer:
            fields.append((RELAYED_FIELD, b"1"))
        request.status = head.status
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
            exchange.send_head(head.status, head.reason, fields, length, False)
            fine = await exchange.send(carried.first, self.settings.idle_seconds)
            until = self.scheduler.now() + self.settings.idle_seconds
            while fine and not answer.body.complete:
                piece = await answer.body.read_chunk(until)
                if not piece:
                    continue
                until = self.scheduler.now() + self.settings.idle_seconds
                fine = await exchange.send(piece, self.settings.idle_seconds)
            if fine and carried.reader.buffer and self.dialect.own:
                raise FramingError(502, "bytes behind the answer's end")
            if fine:
                exchange.finish()
                done = True
                request.outcome = "answered"
                exchange.keep_from_caller()
                self.free_connection(carried)
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            request.reason = f"the server's answer was cut: {error!r}"
            request.outcome = "cut"
            if not exchange.seconds_left:
                self.servers.fared(carried.server, False, 0.0)
                self.log.write(
                    RESPONSE_BROKEN,
                    server=carried.server.server.address,
                    order=request.identity,
                    fault="cut in the body",
                )
        finally:
            if not done:
                exchange.keep_from_caller()
                exchange.abort()
                carried.connection.abort()

    def free_connection(self, carried: UpstreamResponse) -> None:
        """Keep a server's connection for other requests where its answer was read to the end."""
        if carried.answer.keep_alive and carried.answer.body.complete:
            self.servers.keep_connection(
                carried.server, carried.connection, carried.reader, idle_of(carried.head)
            )
        else:
            carried.connection.close()

    async def pass_on(self, exchange: HttpExchange, request: Request, relayed: Relayed) -> None:
        """A server's answer that the owner of the object relayed."""
        request.status = relayed.head.status
        request.outcome = "answered"
        fields = [*relayed.head.fields, *self.own_fields(request)]
        bare = relayed.head.status in (204, 304)
        length = None if bare else len(relayed.body)
        exchange.send_head(relayed.head.status, relayed.head.reason, fields, length, False)
        if await exchange.send(relayed.body, self.settings.idle_seconds):
            exchange.finish()
        else:
            exchange.abort()

    async def answer_copy(
        self, exchange: HttpExchange, request: Request, copy: StoredResponse
    ) -> None:
        now = self.scheduler.now()
        status, reason, fields, body = answer_from(copy, exchange.head, now)
        if self.dialect.identity:
            fields = [pair for pair in fields if pair[0].lower() != self.dialect.identity.lower()]
            fields.append((self.dialect.identity, request.identity.encode("latin-1")))
        if request.peer:
            fields = [*fields, (AGE_FIELD, b"%.3f" % copy.age(now))]
        request.status = status
        request.outcome = "answered"
        if status == 200 and request.route_name in self.member.replicated_state.derivable:
            self.note_object(exchange, request, body or copy.etag)
        exchange.send_head(
            status,
            reason,
            [*fields, *self.own_fields(request)],
            None if status == 304 else len(body),
            False,
        )
        if await exchange.send(body, self.settings.idle_seconds):
            exchange.finish()
        else:
            exchange.abort()

    def note_object(self, exchange: HttpExchange, request: Request, content: bytes | None) -> None:
        """An object anybody may fetch, of which a watch could be made up."""
        fields = exchange.head.fields
        if (
            not self.settings.derive_watches
            or request.probe
            or not content
            or exchange.head.method != b"GET"
            or len(request.target) > OBJECT_MOST
            or field(fields, b"authorization") is not None
            or field(fields, b"cookie") is not None
        ):
            return
        own = self.member.session.request_address.rpartition(":")[0]
        self.lately[request.route_name] = (
            "" if request.host == own else request.host,
            request.target,
        )

    def lately_served(self) -> list[list[str]]:
        """Per cached route that needs a watch, the object it served last; what others need not."""
        derivable = self.member.replicated_state.derivable
        self.lately = {route: place for route, place in self.lately.items() if route in derivable}
        return [
            [route, *place] for route, place in sorted(self.lately.items())[:MAX_DERIVED_WATCHES]
        ]

    def peer_fields(self, request: Request) -> Fields:
        """What another edge is told: how many servers its order reached from here."""
        return [(SERVERS_FIELD, b"%d" % request.servers_reached)] if request.peer else []

    def own_fields(self, request: Request) -> Fields:
        if not self.dialect.own:
            return []
        fields: Fields = [(b"Via", b"1.1 ryelock"), (b"X-Ryelock-Order", request.identity.encode())]
        if request.cache:
            fields.append((b"X-Ryelock-Cache", request.cache.encode()))
        return fields

    async def reject(self, exchange: HttpExchange, request: Request, failure: Failure) -> None:
        """The final answer of an order that is given up on, at once.

        Nobody is promised that an order which may run once has not run where a server may have
        run it. Whoever sends a repeatable order again does no harm, and is told when.
        """
        comes_back = failure.status in (429, 503)
        if comes_back and request.may_have_run and request.klass == "once":
            failure = Failure(failure.kind, 502, failure.reason, failure.unknown, failure.back)
        self.metrics.refusals.add(request.service, request.asked_by, failure.kind)
        request.status = failure.status
        request.reason = failure.reason
        request.outcome = "unknown" if failure.unknown else "not run"
        if request.klass == "repeatable" and any(record["sent"] for record in request.dispatches):
            request.outcome = "no answer"
        if failure.status == 499 or exchange.seconds_left:
            exchange.abort()
            return
        fields: Fields = [
            (b"Content-Type", b"application/json"),
            (b"Cache-Control", b"no-store"),
            (b"X-Ryelock-Outcome", request.outcome.replace(" ", "-").encode()),
            (b"X-Ryelock-Order", request.identity.encode()),
        ]
        keyed = field(exchange.head.fields, b"idempotency-key") is not None
        if not self.dialect.own:
            back = self.retry_after(request, failure)
            fields = [(b"Content-Type", b"application/json")]
            if comes_back:
                fields.append(
                    (
                        b"Retry-After",
                        b"%.3f" % back if self.dialect.fractions else b"%d" % math.ceil(back),
                    )
                )
            fields.append((self.dialect.identity, request.identity.encode("latin-1")))
            if request.probe and self.crowded(request):
                fields.append((b"X-Ryelock-Outcome", b"crowded"))
        elif request.probe and request.allowance == NO_SHARE:
            fields[2] = (b"X-Ryelock-Outcome", b"crowded")
        elif failure.status in (429, 502, 503, 504) and (not failure.unknown or keyed):
            back = math.ceil(failure.back + self.random.random() * 2)
            fields.append((b"Retry-After", b"%d" % back))
        fields += self.peer_fields(request)
        if request.peer and failure.kind in (FailureKind.OVER_RATE, FailureKind.OWNER_OVER_RATE):
            fields.append((ROOM_FIELD, b"%.3f" % min(failure.room_in, ROOM_BACK_SECONDS_MOST)))
        body = (
            json.dumps(
                {"error": failure.reason, "outcome": request.outcome, "order": request.identity}
            ).encode()
            + b"\n"
        )
        if exchange.head.method == b"HEAD":
            body = b""
        await exchange.respond(failure.status, fields, body)

    def retry_after(self, request: Request, failure: Failure) -> float:
        """Seconds after which a caller should come back.

        Not before the service's rate is expected to have room: a caller that comes back sooner
        is refused again and uses up its tries.
        """
        if request.rule is None:
            return UNROUTED_BACK_SECONDS
        soon = self.soon(request.rule)
        if not math.isfinite(failure.room_in):
            return soon
        return max(soon, min(soon + failure.room_in, ROOM_BACK_SECONDS_MOST))

    def soon(self, route: Route) -> float:
        """Seconds after which to come back: within the time that is of full worth."""
        if self.dialect.own or not route.target_seconds:
            return 1.0
        return route.target_seconds * (0.05 + 0.15 * self.random.random())

    def crowded(self, request: Request) -> bool:
        """Whether an order failed since the service is at its rate or its servers are full."""
        now = self.scheduler.now()
        return request.allowance.startswith("declined") or any(
            now < state.full_until for state in self.servers.by_service.get(request.service, ())
        )


def idle_of(head: ResponseHead) -> float | None:
    """Seconds that a server says it keeps an idle link; None where it says nothing."""
    for part in tokens(head.fields, b"keep-alive"):
        name, _, value = part.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
