"""Client for one attempt at an upstream server: connection, request and start of the response."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from ryelock.edge.admission import AdmissionController
from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import (
    AttemptCancelledError,
    ConnectFailedError,
    FailureKind,
    StrayBytesError,
)
from ryelock.edge.request import Attempt, Request, RequestClass
from ryelock.edge.response_validator import ResponseValidator
from ryelock.edge.routing import Router
from ryelock.edge.servers import ServerState
from ryelock.edge.upstream_request import UpstreamCall, UpstreamRequestWriter
from ryelock.edge.upstream_response import UpstreamResponse, read_prefix
from ryelock.events import RESPONSE_BROKEN
from ryelock.http import (
    ClientError,
    FramingError,
    IncompleteMessageError,
    Reader,
    ReadTimeoutError,
    Response,
    ResponseTimeoutError,
    read_response,
)
from ryelock.http.errors import ResponseCutError, UnusableResponseError
from ryelock.runtime import Connection

MAX_SKIPPED_RESPONSES = 2
"""Limit of responses to other requests that are skipped on one connection."""
HEDGE_DELAY_FRACTION = 0.6
"""Fraction of the remaining time after which an attempt without a response is overdue, so that
another server may be tried beside it."""


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A connection to a server with its reader.

    Attributes:
        connection: the connection.
        reader: reader of the connection.
        reused: whether it carried another request before.
    """

    connection: Connection
    reader: Reader
    reused: bool

    @property
    def has_stray_bytes(self) -> bool:
        """True if bytes arrived before a request was sent."""
        return bool(self.reader.buffer or self.connection.received.items)


@dataclass(slots=True, eq=False)
class PendingResponse:
    """A request that was sent to a server and has no response yet.

    Attributes:
        call: the call.
        server: the server.
        upstream: the connection, which is owned until the response has arrived.
        sent_at: monotonic time at which the request was sent.
        answered: whether a response has taken over the connection.
    """

    call: UpstreamCall
    server: ServerState
    upstream: UpstreamConnection
    sent_at: float
    answered: bool = False


class UpstreamClient:
    """Sends requests to servers and reads the start of their responses."""

    __slots__ = ("admission", "context", "router", "validator", "writer")

    def __init__(
        self,
        context: EdgeContext,
        router: Router,
        admission: AdmissionController,
        validator: ResponseValidator,
    ) -> None:
        """Create the client."""
        self.context = context
        self.router = router
        self.admission = admission
        self.validator = validator
        self.writer = UpstreamRequestWriter(context, router)

    async def fetch(
        self, call: UpstreamCall, server: ServerState, attempt: Attempt, is_last: bool
    ) -> Result[UpstreamResponse | PendingResponse, ClientError]:
        """Send a request to a server and wait for its response until the attempt is overdue.

        What is returned owns the connection; after an error the connection is aborted.

        Args:
            call: the call.
            server: the server to send it to.
            attempt: record of the attempt.
            is_last: whether no other server may be tried, so that the attempt is never overdue.

        Returns:
            The response, or the pending response of an attempt that is overdue.
        """
        upstream = self.open_connection(call.request, server)
        pending = PendingResponse(call, server, upstream, 0.0)
        is_owned = False
        try:
            error = await self.prepare(call, server, upstream)
            if error is not None:
                return Error(error)
            attempt.sent = True
            self.context.metrics.attempts.add(call.request.service)
            pending.sent_at = self.context.scheduler.now()
            self.writer.write(call, server, upstream.connection)
            deadline = self.response_deadline(pending)
            overdue_at = deadline if is_last else self.overdue_time(pending, deadline)
            result = await self.receive(pending, overdue_at)
            is_overdue = is_response_timeout(result) and self.context.scheduler.now() < deadline
            is_owned = is_overdue or result.is_ok()
            return Ok(pending) if is_overdue else result
        finally:
            if not is_owned:
                self.abandon(pending)

    async def finish(self, pending: PendingResponse) -> Result[UpstreamResponse, ClientError]:
        """Wait for an overdue response until the deadline; after an error abort the connection."""
        try:
            result = await self.receive(pending, self.response_deadline(pending))
            pending.answered = result.is_ok()
            return result
        finally:
            self.abandon(pending)

    def abandon(self, pending: PendingResponse) -> None:
        """Abort the connection of a request that is not waited for any longer."""
        if not pending.answered:
            pending.call.exchange.detach_from_client(pending.upstream.connection)
            pending.upstream.connection.abort()

    def open_connection(self, request: Request, server: ServerState) -> UpstreamConnection:
        """Return an idle connection to a server, or a new one."""
        if self.validator.may_reuse_connection(request):
            idle = self.context.servers.take_idle_connection(server)
            if idle is not None:
                return UpstreamConnection(idle.connection, idle.reader, True)
        connection = self.context.network.connect(server.server.address)
        return UpstreamConnection(connection, Reader(self.context.scheduler, connection), False)

    async def prepare(
        self, call: UpstreamCall, server: ServerState, upstream: UpstreamConnection
    ) -> ClientError | None:
        """Wait for the connection; then check that the request may still be sent.

        Nothing is awaited between these checks and the first byte, so they still hold when the
        request is sent.
        """
        context, connection = self.context, upstream.connection
        remaining = min(context.settings.connect_seconds, call.deadline - context.scheduler.now())
        if not connection.connected and not await connection.wait_connected(max(0.0, remaining)):
            return ConnectFailedError()
        if not context.servers.is_live(server, call.request.service, context.scheduler.now()):
            return AttemptCancelledError(
                FailureKind.SERVER_LEAVING, "the server is leaving or gone"
            )
        if call.exchange.client_disconnected:
            return AttemptCancelledError(FailureKind.CLIENT_DISCONNECTED, "the caller left")
        if not self.router.may_still_send(call.request):
            return AttemptCancelledError(FailureKind.ROUTE_CHANGED, "the term or the route changed")
        if upstream.has_stray_bytes:
            return StrayBytesError()
        if call.cancelled_with_client:
            call.exchange.abort_with_client(connection)
        if not self.admission.charge_retry_budget(call.exchange, call.request):
            return AttemptCancelledError(FailureKind.RETRY_BUDGET, "over the budget of repeats")
        return None

    async def receive(
        self, pending: PendingResponse, deadline: float
    ) -> Result[UpstreamResponse, ClientError]:
        """Read the start of the response; after a timeout it may be called again.

        Args:
            pending: the request that was sent.
            deadline: monotonic time by which the response's head must arrive.
        """
        request, server = pending.call.request, pending.server
        try:
            return await self.read_usable_response(pending, deadline)
        except FramingError as error:
            self.log_broken_response(request, server, error.reason)
            return Error(UnusableResponseError(error.reason))
        except IncompleteMessageError:
            self.log_broken_response(request, server, "cut")
            return Error(ResponseCutError("the answer was cut"))
        except ReadTimeoutError:
            return Error(ResponseTimeoutError("no answer in time"))

    async def read_usable_response(
        self, pending: PendingResponse, deadline: float
    ) -> Result[UpstreamResponse, ClientError]:
        """Read the start of the response and check that the response may be used."""
        call, upstream, server = pending.call, pending.upstream, pending.server
        request, own = call.request, self.context.profile.own
        result = await self.read_matching_response(call, upstream, deadline)
        if result.is_error():
            return Error(result.error)
        response, prefix, complete = result.ok
        if request.is_probe and not own:
            response.keep_alive = False
        error = self.validator.find_error(request, response.head)
        if error is not None:
            return Error(error)
        if complete and upstream.reader.buffer and own:
            self.log_broken_response(request, server, "bytes behind the answer")
            return Error(UnusableResponseError("bytes behind the answer's end"))
        return Ok(
            UpstreamResponse(
                response.head,
                prefix,
                complete,
                response,
                upstream.connection,
                upstream.reader,
                server,
                pending.sent_at,
            )
        )

    def response_deadline(self, pending: PendingResponse) -> float:
        """Return the monotonic time by which the response's head must arrive."""
        call = pending.call
        return min(call.deadline, pending.sent_at + call.queue.service.answer_seconds)

    def overdue_time(self, pending: PendingResponse, deadline: float) -> float:
        """Return the monotonic time from which another server may be tried as well.

        An at-most-once request is never overdue: no other server may be tried.
        """
        call = pending.call
        if call.request.request_class is not RequestClass.IDEMPOTENT or self.context.profile.own:
            return deadline
        remaining = call.deadline - pending.sent_at
        return min(deadline, pending.sent_at + HEDGE_DELAY_FRACTION * remaining)

    async def read_matching_response(
        self, call: UpstreamCall, upstream: UpstreamConnection, deadline: float
    ) -> Result[tuple[Response, bytes, bool], ClientError]:
        """Read responses, skipping those to other requests.

        Returns:
            The response, the part of its body that was read, and whether that is all of it.
        """
        settings = self.context.settings
        storable_bytes = settings.answer_bytes if call.for_cache else None
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            result = await read_response(
                upstream.reader, call.method, settings.head_bytes, deadline
            )
            if result.is_error():
                return Error(result.error)
            response = result.ok
            prefix, complete = await read_prefix(response, call.deadline, storable_bytes)
            if not complete or not self.validator.should_skip(
                call.request, response.head, upstream.reused
            ):
                break
        return Ok((response, prefix, complete))

    def log_broken_response(self, request: Request, server: ServerState, fault: str) -> None:
        """Log that a server's response is cut or malformed."""
        self.context.log.write(
            RESPONSE_BROKEN,
            server=server.server.address,
            order=request.identity,
            fault=fault,
        )


def is_response_timeout(result: Result[UpstreamResponse, ClientError]) -> bool:
    """Return True if no response has arrived by the deadline."""
    return result.is_error() and isinstance(result.error, ResponseTimeoutError)
