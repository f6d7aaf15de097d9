"""Attempts at upstream servers, in turn, until one responds or no further attempt is allowed."""

from expression import Error, Ok, Result

from ryelock.edge.admission import OVER_RETRY_BUDGET
from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import (
    AttemptCancelledError,
    ConnectFailedError,
    Failure,
    FailureKind,
)
from ryelock.edge.rejections import backoff_seconds
from ryelock.edge.request import Attempt, RequestClass
from ryelock.edge.routing import Router
from ryelock.edge.servers import ServerState
from ryelock.edge.upstream_client import UpstreamClient
from ryelock.edge.upstream_request import UpstreamCall
from ryelock.edge.upstream_response import UpstreamResponse
from ryelock.http import ClientError, ResponseTimeoutError

REJECTION_PAUSE_SECONDS = 0.15
"""How long a server gets no requests after it rejected one."""
SHORT_ATTEMPT_SECONDS = 0.25
SHORT_ATTEMPT_LATENCY_FACTOR = 3.0
"""A timeout does not count against a server if the attempt was shorter than SHORT_ATTEMPT_SECONDS
or this multiple of the server's latency."""
TOO_MANY_REQUESTS = 429
ROUTE_CHANGED = Failure(FailureKind.ROUTE_CHANGED, 503, "the term or the route changed; not sent")
CLIENT_DISCONNECTED = Failure(FailureKind.CLIENT_DISCONNECTED, 499, "the caller left")

AttemptResult = Result[UpstreamResponse, Failure]


class AttemptSequence:
    """The attempts of one request.

    Attributes:
        tried_servers: identities of the servers that were tried.
        failure: failure of the last attempt.
        error_response: last 5xx response, sent to the client if no other server can be tried.
    """

    __slots__ = (
        "call",
        "client",
        "context",
        "error_response",
        "failure",
        "router",
        "tried_servers",
    )

    def __init__(
        self, context: EdgeContext, router: Router, client: UpstreamClient, call: UpstreamCall
    ) -> None:
        """Create the sequence before the first attempt."""
        self.context = context
        self.router = router
        self.client = client
        self.call = call
        self.tried_servers: set[tuple[str, str, str]] = set()
        self.failure = Failure(
            FailureKind.NO_SERVER, 503, f"no live server of service {call.request.service}"
        )
        self.error_response: UpstreamResponse | None = None

    async def run(self) -> AttemptResult:
        """Make attempts until one is final."""
        request = self.call.request
        limit = request.attempts_left
        for number in range(limit):
            failure = self.check_before_attempt()
            if failure is not None:
                return Error(failure)
            if request.was_sent and not await self.admit_retry():
                break
            server = self.pick_server(is_first=number == 0)
            if server is None:
                break
            self.drop_error_response()
            is_last = number + 1 >= limit or request.peer is not None
            result = await self.try_server(server, is_last)
            if result is not None:
                return result
        return Ok(self.error_response) if self.error_response is not None else Error(self.failure)

    def check_before_attempt(self) -> Failure | None:
        """Return a failure if lease or route changed or the client disconnected meanwhile."""
        if not self.router.may_still_send(self.call.request):
            return ROUTE_CHANGED
        if self.call.exchange.client_disconnected:
            return CLIENT_DISCONNECTED
        return None

    async def admit_retry(self) -> bool:
        """Wait for the retry budget and the rate limit; return True if they allow an attempt."""
        remaining = self.call.deadline - self.context.scheduler.now()
        admitted = await self.call.queue.admit_retry(remaining)
        if not admitted:
            self.call.request.retry_refused = True
        return admitted

    def pick_server(self, is_first: bool) -> ServerState | None:
        """Return the server for the next attempt, preferably an untried one."""
        request = self.call.request
        candidates: list[dict[str, object]] = []
        server = self.context.servers.pick(
            request.service,
            self.tried_servers,
            request.zone_verdicts,
            candidates,
            self.context.member.edges,
            self.call.queue.service.links,
        )
        if is_first:
            request.candidates = candidates
        return server

    def drop_error_response(self) -> None:
        """Discard the last 5xx response, since another server is tried."""
        if self.error_response is not None:
            self.error_response.connection.abort()
            self.error_response = None

    async def try_server(self, server: ServerState, is_last: bool) -> AttemptResult | None:
        """Make one attempt; return None if another server is to be tried."""
        self.tried_servers.add(server.server.identity)
        attempt = Attempt(server.server.address, server.server.zone)
        self.call.request.attempts.append(attempt)
        started = self.context.scheduler.now()
        server.sent_at.append(started)
        try:
            fetched = await self.client.fetch(self.call, server, attempt, is_last)
        finally:
            server.sent_at.remove(started)
        elapsed = self.context.scheduler.now() - started
        attempt.seconds = round(elapsed, 4)
        if fetched.is_ok():
            return self.on_response(fetched.ok, attempt, elapsed, is_last)
        return self.on_error(fetched.error, server, attempt, elapsed)

    def on_response(
        self, response: UpstreamResponse, attempt: Attempt, elapsed: float, is_last: bool
    ) -> AttemptResult | None:
        """Return the response, unless it is a 5xx and another server may be tried."""
        failed = response.head.status >= 500
        self.context.servers.record_result(response.server, not failed, elapsed)
        attempt.status = response.head.status
        idempotent = self.call.request.request_class is RequestClass.IDEMPOTENT
        if failed and idempotent and not is_last and not self.context.profile.own:
            self.error_response = response
            return None
        return Ok(response)

    def on_error(
        self, error: ClientError, server: ServerState, attempt: Attempt, elapsed: float
    ) -> AttemptResult | None:
        """Return the final failure; None if another server may be tried.

        Final are: an error after an at-most-once request was sent, a passed deadline, and an
        exhausted retry budget.
        """
        call = self.call
        if call.exchange.client_disconnected and call.cancelled_with_client:
            self.context.metrics.cancelled.add(call.request.service)
            error = AttemptCancelledError(
                FailureKind.CLIENT_DISCONNECTED, "the caller left", error.sent
            )
        attempt.fault = error.reason
        if error.rejected:
            return self.on_rejected(error, server, attempt)
        if isinstance(error, AttemptCancelledError) and error.kind is FailureKind.RETRY_BUDGET:
            server.trial_in_flight = False
            return Error(OVER_RETRY_BUDGET)
        if self.counts_against_server(error, server, elapsed):
            self.context.servers.record_result(server, False, elapsed)
        else:
            server.trial_in_flight = False
        if error.sent and call.request.request_class is RequestClass.AT_MOST_ONCE:
            return Error(unknown_outcome(error))
        deadline_passed = self.context.scheduler.now() >= call.deadline
        status = 504 if deadline_passed else 502
        self.failure = Failure(failure_kind(error, deadline_passed), status, error.reason)
        return Error(self.failure) if deadline_passed else None

    def on_rejected(
        self, error: ClientError, server: ServerState, attempt: Attempt
    ) -> AttemptResult | None:
        """Handle a rejection without a run: try another server, except after 429."""
        attempt.rejected_status = error.rejected
        self.context.servers.record_rejection(server, error.rejected, REJECTION_PAUSE_SECONDS)
        self.failure = Failure(
            FailureKind.SERVER_REJECTED,
            503,
            error.reason,
            retry_after=backoff_seconds(self.context, self.call.route),
        )
        return Error(self.failure) if error.rejected == TOO_MANY_REQUESTS else None

    def counts_against_server(
        self, error: ClientError, server: ServerState, elapsed: float
    ) -> bool:
        """Return True if an error counts as a failure of the server.

        A timeout of an attempt with little time left does not, nor does an attempt that was
        cancelled because of the client, the route or the server list.
        """
        if isinstance(error, AttemptCancelledError):
            return False
        too_short = elapsed < max(
            SHORT_ATTEMPT_SECONDS, SHORT_ATTEMPT_LATENCY_FACTOR * server.latency
        )
        return not (
            too_short
            and isinstance(error, ResponseTimeoutError | ConnectFailedError)
            and not server.server.leaving
            and elapsed < self.context.settings.connect_seconds
        )


class UpstreamAttempts:
    """Makes the attempts of admitted requests."""

    __slots__ = ("client", "context", "router")

    def __init__(self, context: EdgeContext, router: Router, client: UpstreamClient) -> None:
        """Create the component."""
        self.context = context
        self.router = router
        self.client = client

    async def run(self, call: UpstreamCall) -> AttemptResult:
        """Send a request to servers in turn; return a response or the final failure."""
        return await AttemptSequence(self.context, self.router, self.client, call).run()


def unknown_outcome(error: ClientError) -> Failure:
    """Return the failure of an at-most-once request that may have run."""
    timed_out = isinstance(error, ResponseTimeoutError)
    return Failure(
        failure_kind(error, timed_out),
        504 if timed_out else 502,
        f"outcome unknown: {error.reason}",
        True,
    )


def failure_kind(error: ClientError, deadline_passed: bool) -> FailureKind:
    """Return the failure kind for the error of the last attempt."""
    if isinstance(error, AttemptCancelledError):
        return error.kind
    return FailureKind.SERVER_SILENT if deadline_passed else FailureKind.SERVER_FAILED
