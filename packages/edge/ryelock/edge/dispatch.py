"""Sending an order: to one server after another until one answers or it is given up."""

from expression import Error, Ok, Result

from ryelock.cache import StoredResponse
from ryelock.edge.answers import Answers
from ryelock.edge.context import UpstreamResponse
from ryelock.edge.copies import CONDITIONS
from ryelock.edge.failures import Failure, FailureKind, Withdrawn
from ryelock.edge.gate import AdmissionQueue
from ryelock.edge.orders import Request
from ryelock.edge.owner import (
    OWN_FIELDS,
)
from ryelock.edge.servers import ServerState
from ryelock.events import RESPONSE_BROKEN
from ryelock.http import (
    ClientError,
    Fields,
    HttpExchange,
    Reader,
    end_to_end,
    field,
    read_response,
    send_request,
)
from ryelock.http.heads import FramingError
from ryelock.http.reader import IncompleteMessageError, ReadTimeoutError
from ryelock.replicated_state import Route
from ryelock.runtime import Connection

ANSWERS_SKIPPED = 2
TRY_PART = 0.6
FULL_SECONDS = 0.15


class Dispatch(Answers):
    """Dispatches of an order."""

    __slots__ = ()

    async def attempt(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        gate: AdmissionQueue,
        fill: bool,
        known: StoredResponse | None = None,
    ) -> Result[UpstreamResponse, Failure]:
        """Send an order to servers in turn until one answers or it must be given up."""
        until = self.deadline(exchange, route)
        used: set[tuple[str, str, str]] = set()
        failure = Failure(
            FailureKind.NO_SERVER, 503, f"no live server of service {request.service}"
        )
        answered: UpstreamResponse | None = None
        servers_left = request.servers_left
        for number in range(servers_left):
            if not self.may_still_go(request):
                return Error(
                    Failure(
                        FailureKind.ROUTE_CHANGED, 503, "the term or the route changed; not sent"
                    )
                )
            if exchange.client_disconnected:
                return Error(Failure(FailureKind.CALLER_LEFT, 499, "the caller left"))
            if any(record["sent"] for record in request.dispatches):
                queue_timeout = until - self.scheduler.now()
                if not await gate.again(queue_timeout):
                    request.allowance += "; no room to repeat"
                    return self.last_of(answered, failure)
            weighed: list[dict[str, object]] = []
            state = self.servers.pick(
                request.service,
                used,
                request.verdict,
                weighed,
                self.member.edges,
                gate.service.links,
            )
            if number == 0:
                request.weighed = weighed
            if state is None:
                return self.last_of(answered, failure)
            if answered is not None:
                answered.connection.abort()
                answered = None
            used.add(state.server.identity)
            record: dict[str, object] = {
                "server": state.server.address,
                "zone": state.server.zone,
                "sent": False,
            }
            request.dispatches.append(record)
            started = self.scheduler.now()
            state.sent_at.append(started)
            try:
                last = number + 1 >= servers_left or request.peer
                found = await self.try_server(
                    exchange, request, route, state, until, record, fill, known, last
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
                    and request.klass == "repeatable"
                    and not last
                ):
                    answered = carried
                    continue
                return Ok(carried)
            error = found.error
            if exchange.client_disconnected and self.ends_with_caller(request, fill):
                self.metrics.cancelled.add(request.service)
                error = Withdrawn(FailureKind.CALLER_LEFT, "the caller left", error.sent)
            record["fault"] = error.reason
            if error.rejected:
                record["declined"] = error.rejected
                self.servers.declined(state, error.rejected, FULL_SECONDS)
                failure = Failure(
                    FailureKind.SERVER_REJECTED, 503, error.reason, back=self.soon(route)
                )
                if error.rejected == 429:
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
            if error.sent and request.klass == "once":
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
        self, answered: UpstreamResponse | None, failure: Failure
    ) -> Result[UpstreamResponse, Failure]:
        """A server's own failure goes to the caller where no other server could be tried."""
        return Ok(answered) if answered is not None else Error(failure)

    async def try_server(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        state: ServerState,
        until: float,
        record: dict[str, object],
        fill: bool,
        known: StoredResponse | None,
        last: bool,
    ) -> Result[UpstreamResponse, ClientError]:
        """One dispatch: a link, the order's bytes, the answer's head, a short body whole."""
        kept = (
            self.servers.kept_connection(state) if self.may_use_kept_connection(request) else None
        )
        if kept is not None:
            connection, reader = kept
        else:
            connection = self.network.connect(state.server.address)
            reader = Reader(self.scheduler, connection)
        carried = False
        try:
            left = min(self.settings.connect_seconds, until - self.scheduler.now())
            if not connection.connected and not await connection.wait_connected(max(0.0, left)):
                return Error(ClientError("no link to the server", False))
            if not self.servers.is_live(state, request.service, self.scheduler.now()):
                return Error(Withdrawn(FailureKind.SERVER_LEAVING, "the server is leaving or gone"))
            if exchange.client_disconnected:
                return Error(Withdrawn(FailureKind.CALLER_LEFT, "the caller left"))
            if not self.may_still_go(request):
                return Error(Withdrawn(FailureKind.ROUTE_CHANGED, "the term or the route changed"))
            if reader.buffer or connection.received.items:
                return Error(ClientError("bytes came before the request was sent", False))
            if self.ends_with_caller(request, fill):
                exchange.end_with_caller(connection)
            if not self.account(exchange, request):
                return Error(Withdrawn(FailureKind.RETRY_BUDGET, "over the budget of repeats"))
            record["sent"] = True
            self.metrics.attempts.add(request.service)
            sent = self.scheduler.now()
            self.send(exchange, request, state, connection, fill, known)
            answer_until = min(until, sent + self.service_seconds(request))
            if not self.dialect.own and request.klass == "repeatable" and not last:
                answer_until = min(answer_until, sent + TRY_PART * (until - sent))
            method = b"GET" if fill else exchange.head.method
            for _ in range(ANSWERS_SKIPPED + 1):
                found = await read_response(reader, method, self.settings.head_bytes, answer_until)
                if found.is_error():
                    return Error(found.error)
                answer = found.ok
                first, whole = await self.read_first(answer, until, fill)
                if not whole or not self.is_left_over(request, answer.head, kept is not None):
                    break
            if request.probe and not self.dialect.own:
                answer.keep_alive = False
            error = self.unfit(request, answer.head)
            if error is not None:
                return Error(error)
            if whole and reader.buffer and self.dialect.own:
                self.log.write(
                    RESPONSE_BROKEN,
                    server=state.server.address,
                    order=request.identity,
                    fault="bytes behind the answer",
                )
                return Error(ClientError("bytes behind the answer's end", True))
            carried = True
            return Ok(
                UpstreamResponse(answer.head, first, whole, answer, connection, reader, state, sent)
            )
        except FramingError as error:
            self.log.write(
                RESPONSE_BROKEN,
                server=state.server.address,
                order=request.identity,
                fault=error.reason,
            )
            return Error(ClientError(error.reason, True))
        except IncompleteMessageError:
            self.log.write(
                RESPONSE_BROKEN, server=state.server.address, order=request.identity, fault="cut"
            )
            return Error(ClientError("the answer was cut", True))
        except ReadTimeoutError:
            return Error(ClientError("no answer in time", True))
        finally:
            if not carried:
                exchange.keep_from_caller()
                connection.abort()

    def ends_with_caller(self, request: Request, fill: bool) -> bool:
        """Whether a server's work on a request is for its caller alone and may be broken off.

        What is fetched for the cache serves others too, and what may run once is left to end.
        """
        return request.klass == "repeatable" and not fill

    def send(
        self,
        exchange: HttpExchange,
        request: Request,
        state: ServerState,
        connection: Connection,
        fill: bool,
        known: StoredResponse | None,
    ) -> None:
        head = exchange.head
        fields: Fields = end_to_end(head.fields)
        dropped = {b"expect", *OWN_FIELDS}
        if fill:
            dropped |= CONDITIONS
        if not self.dialect.own:
            self.speak(request, fields, dropped)
        fields = [(name, value) for name, value in fields if name.lower() not in dropped]
        if field(fields, b"host") is None:
            fields.insert(0, (b"Host", state.server.address.encode()))
        if fill and known is not None and known.etag is not None:
            fields.append((b"If-None-Match", known.etag))
        if self.dialect.own:
            fields.append((b"Via", b"1.%d ryelock" % head.minor))
            fields.append((b"X-Ryelock-Order", request.identity.encode()))
        else:
            dialect = self.dialect
            until = (
                exchange.deadline if request.rule is None else self.deadline(exchange, request.rule)
            )
            left = until - self.scheduler.now()
            fields.append((dialect.deadline, b"%d" % max(1, int(left * 1000))))
            fields.append((dialect.expected, state.server.incarnation.encode()))
        target = head.target
        if not target.startswith((b"/", b"*")):
            rest = target.partition(b"://")[2]
            _, slash, path = rest.partition(b"/")
            target = slash + path or b"/"
        send_request(connection, b"GET" if fill else head.method, target, fields, request.body)

    def speak(self, request: Request, fields: Fields, dropped: set[bytes]) -> None:
        """Fields that are said anew to a server; an order without a name gets one."""
        dialect = self.dialect
        dropped |= {dialect.deadline.lower(), dialect.expected.lower(), b"x-ryelock-probe"}
        if request.probe:
            dropped.add(dialect.identity.lower())
        elif field(fields, dialect.identity.lower()) is None:
            fields.append((dialect.identity, request.identity.encode("latin-1")))

    def service_seconds(self, request: Request) -> float:
        gate = self.gates.get(request.service)
        return gate.service.answer_seconds if gate is not None else self.settings.order_seconds


def kind_of(error: ClientError, late: bool) -> FailureKind:
    """Tell the kind of a request's failure by the error of its last attempt."""
    if isinstance(error, Withdrawn):
        return error.kind
    return FailureKind.SERVER_SILENT if late else FailureKind.SERVER_FAILED
