"""Sending an order: to one server after another until one answers or it is given up."""

from expression import Error, Ok, Result

from ryelock.cache import Copy
from ryelock.edge.answers import Answers
from ryelock.edge.context import UpstreamAnswer
from ryelock.edge.copies import CONDITIONS
from ryelock.edge.failures import Failure, FailureKind, Withdrawn
from ryelock.edge.gate import Gate
from ryelock.edge.orders import Order
from ryelock.edge.owner import (
    OWN_FIELDS,
)
from ryelock.edge.servers import ServerState
from ryelock.events import ANSWER_BROKEN
from ryelock.http import (
    CallError,
    Exchange,
    Fields,
    Reader,
    end_to_end,
    field,
    read_answer,
    send_order,
)
from ryelock.http.heads import FramingError
from ryelock.http.reader import Cut, Late
from ryelock.replicated_state import Route
from ryelock.runtime import Link

ANSWERS_SKIPPED = 2
TRY_PART = 0.6
FULL_SECONDS = 0.15


class Dispatch(Answers):
    """Dispatches of an order."""

    __slots__ = ()

    async def dispatch(
        self,
        exchange: Exchange,
        order: Order,
        route: Route,
        gate: Gate,
        fill: bool,
        known: Copy | None = None,
    ) -> Result[UpstreamAnswer, Failure]:
        """Send an order to servers in turn until one answers or it must be given up."""
        until = self.deadline(exchange, route)
        used: set[tuple[str, str, str]] = set()
        failure = Failure(FailureKind.NO_SERVER, 503, f"no live server of service {order.service}")
        answered: UpstreamAnswer | None = None
        servers_left = order.servers_left
        for number in range(servers_left):
            if not self.may_still_go(order):
                return Error(
                    Failure(
                        FailureKind.ROUTE_CHANGED, 503, "the term or the route changed; not sent"
                    )
                )
            if exchange.left:
                return Error(Failure(FailureKind.CALLER_LEFT, 499, "the caller left"))
            if any(record["sent"] for record in order.dispatches):
                patience = until - self.scheduler.now()
                if not await gate.again(patience):
                    order.allowance += "; no room to repeat"
                    return self.last_of(answered, failure)
            weighed: list[dict[str, object]] = []
            state = self.servers.pick(
                order.service, used, order.verdict, weighed, self.member.edges, gate.service.links
            )
            if number == 0:
                order.weighed = weighed
            if state is None:
                return self.last_of(answered, failure)
            if answered is not None:
                answered.link.abort()
                answered = None
            used.add(state.server.identity)
            record: dict[str, object] = {
                "server": state.server.address,
                "zone": state.server.zone,
                "sent": False,
            }
            order.dispatches.append(record)
            started = self.scheduler.now()
            state.sent_at.append(started)
            try:
                last = number + 1 >= servers_left or order.peer
                found = await self.try_server(
                    exchange, order, route, state, until, record, fill, known, last
                )
            finally:
                state.sent_at.remove(started)
            taken = self.scheduler.now() - started
            record["seconds"] = round(taken, 4)
            if found.is_ok():
                carried = found.ok
                self.servers.fared(state, carried.head.status < 500, taken)
                record["status"] = carried.head.status
                if (
                    not self.dialect.own
                    and carried.head.status >= 500
                    and order.klass == "repeatable"
                    and not last
                ):
                    answered = carried
                    continue
                return Ok(carried)
            error = found.error
            if exchange.left and self.ends_with_caller(order, fill):
                self.metrics.cancelled.add(order.service)
                error = Withdrawn(FailureKind.CALLER_LEFT, "the caller left", error.sent)
            record["fault"] = error.reason
            if error.declined:
                record["declined"] = error.declined
                self.servers.declined(state, error.declined, FULL_SECONDS)
                failure = Failure(
                    FailureKind.SERVER_REJECTED, 503, error.reason, back=self.soon(route)
                )
                if error.declined == 429:
                    return Error(failure)
                continue
            if isinstance(error, Withdrawn) and error.kind is FailureKind.RETRY_BUDGET:
                state.trying = False
                return Error(
                    Failure(
                        FailureKind.RETRY_BUDGET,
                        429,
                        "too many repeats of orders to this service",
                        back=2.0,
                    )
                )
            if self.blames(error, state, taken):
                self.servers.fared(state, False, taken)
            else:
                state.trying = False
            if error.sent and order.klass == "once":
                late = error.reason == "no answer in time"
                return Error(
                    Failure(
                        kind_of(error, late),
                        504 if late else 502,
                        f"outcome unknown: {error.reason}",
                        True,
                    )
                )
            late = self.scheduler.now() >= until
            failure = Failure(kind_of(error, late), 504 if late else 502, error.reason)
            if late:
                return Error(failure)
        return self.last_of(answered, failure)

    def last_of(
        self, answered: UpstreamAnswer | None, failure: Failure
    ) -> Result[UpstreamAnswer, Failure]:
        """A server's own failure goes to the caller where no other server could be tried."""
        return Ok(answered) if answered is not None else Error(failure)

    async def try_server(
        self,
        exchange: Exchange,
        order: Order,
        route: Route,
        state: ServerState,
        until: float,
        record: dict[str, object],
        fill: bool,
        known: Copy | None,
        last: bool,
    ) -> Result[UpstreamAnswer, CallError]:
        """One dispatch: a link, the order's bytes, the answer's head, a short body whole."""
        kept = self.servers.kept_link(state) if self.may_use_kept_link(order) else None
        if kept is not None:
            link, reader = kept
        else:
            link = self.network.connect(state.server.address)
            reader = Reader(self.scheduler, link)
        carried = False
        try:
            left = min(self.env.connect_seconds, until - self.scheduler.now())
            if not link.opened and not await link.open(max(0.0, left)):
                return Error(CallError("no link to the server", False))
            if not self.servers.is_live(state, order.service, self.scheduler.now()):
                return Error(Withdrawn(FailureKind.SERVER_LEAVING, "the server is leaving or gone"))
            if exchange.left:
                return Error(Withdrawn(FailureKind.CALLER_LEFT, "the caller left"))
            if not self.may_still_go(order):
                return Error(Withdrawn(FailureKind.ROUTE_CHANGED, "the term or the route changed"))
            if reader.buffer or link.inbox.items:
                return Error(CallError("bytes came before the request was sent", False))
            if self.ends_with_caller(order, fill):
                exchange.end_with_caller(link)
            if not self.account(exchange, order):
                return Error(Withdrawn(FailureKind.RETRY_BUDGET, "over the budget of repeats"))
            record["sent"] = True
            self.metrics.attempts.add(order.service)
            sent = self.scheduler.now()
            self.send(exchange, order, state, link, fill, known)
            answer_until = min(until, sent + self.service_seconds(order))
            if not self.dialect.own and order.klass == "repeatable" and not last:
                answer_until = min(answer_until, sent + TRY_PART * (until - sent))
            method = b"GET" if fill else exchange.head.method
            for _ in range(ANSWERS_SKIPPED + 1):
                found = await read_answer(reader, method, self.env.head_bytes, answer_until)
                if found.is_error():
                    return Error(found.error)
                answer = found.ok
                first, whole = await self.read_first(answer, until, fill)
                if not whole or not self.is_left_over(order, answer.head, kept is not None):
                    break
            if order.probe and not self.dialect.own:
                answer.keep = False
            error = self.unfit(order, answer.head)
            if error is not None:
                return Error(error)
            if whole and reader.buffer and self.dialect.own:
                self.log.write(
                    ANSWER_BROKEN,
                    server=state.server.address,
                    order=order.identity,
                    fault="bytes behind the answer",
                )
                return Error(CallError("bytes behind the answer's end", True))
            carried = True
            return Ok(UpstreamAnswer(answer.head, first, whole, answer, link, reader, state, sent))
        except FramingError as error:
            self.log.write(
                ANSWER_BROKEN, server=state.server.address, order=order.identity, fault=error.reason
            )
            return Error(CallError(error.reason, True))
        except Cut:
            self.log.write(
                ANSWER_BROKEN, server=state.server.address, order=order.identity, fault="cut"
            )
            return Error(CallError("the answer was cut", True))
        except Late:
            return Error(CallError("no answer in time", True))
        finally:
            if not carried:
                exchange.keep_from_caller()
                link.abort()

    def ends_with_caller(self, order: Order, fill: bool) -> bool:
        """Whether a server's work on a request is for its caller alone and may be broken off.

        What is fetched for the cache serves others too, and what may run once is left to end.
        """
        return order.klass == "repeatable" and not fill

    def send(
        self,
        exchange: Exchange,
        order: Order,
        state: ServerState,
        link: Link,
        fill: bool,
        known: Copy | None,
    ) -> None:
        head = exchange.head
        fields: Fields = end_to_end(head.fields)
        dropped = {b"expect", *OWN_FIELDS}
        if fill:
            dropped |= CONDITIONS
        if not self.dialect.own:
            self.speak(order, fields, dropped)
        fields = [(name, value) for name, value in fields if name.lower() not in dropped]
        if field(fields, b"host") is None:
            fields.insert(0, (b"Host", state.server.address.encode()))
        if fill and known is not None and known.etag is not None:
            fields.append((b"If-None-Match", known.etag))
        if self.dialect.own:
            fields.append((b"Via", b"1.%d ryelock" % head.minor))
            fields.append((b"X-Ryelock-Order", order.identity.encode()))
        else:
            dialect = self.dialect
            until = exchange.deadline if order.rule is None else self.deadline(exchange, order.rule)
            left = until - self.scheduler.now()
            fields.append((dialect.deadline, b"%d" % max(1, int(left * 1000))))
            fields.append((dialect.expected, state.server.incarnation.encode()))
        target = head.target
        if not target.startswith((b"/", b"*")):
            rest = target.partition(b"://")[2]
            _, slash, path = rest.partition(b"/")
            target = slash + path or b"/"
        send_order(link, b"GET" if fill else head.method, target, fields, order.body)

    def speak(self, order: Order, fields: Fields, dropped: set[bytes]) -> None:
        """Fields that are said anew to a server; an order without a name gets one."""
        dialect = self.dialect
        dropped |= {dialect.deadline.lower(), dialect.expected.lower(), b"x-ryelock-probe"}
        if order.probe:
            dropped.add(dialect.identity.lower())
        elif field(fields, dialect.identity.lower()) is None:
            fields.append((dialect.identity, order.identity.encode("latin-1")))

    def service_seconds(self, order: Order) -> float:
        gate = self.gates.get(order.service)
        return gate.service.answer_seconds if gate is not None else self.env.order_seconds


def kind_of(error: CallError, late: bool) -> FailureKind:
    """Tell the kind of a request's failure by the error of its last attempt."""
    if isinstance(error, Withdrawn):
        return error.kind
    return FailureKind.SERVER_SILENT if late else FailureKind.SERVER_FAILED
