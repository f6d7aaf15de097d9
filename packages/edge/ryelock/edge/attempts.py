"""Attempts at upstream servers, until one responds or no further attempt is allowed.

An attempt at a server that is silent is not ended to make room for another one: the server may be
slow and at work, and another one would have less time. The attempt is overdue after a part of its
time. From then on another server is tried beside it (a hedged request), if retry budget, rate
limit, route and lease allow that; the first response is used and the other attempt is aborted.
Otherwise the first server is waited for until the deadline.
"""

from dataclasses import dataclass

from expression import Error, Ok, Result

from ryelock.edge.admission import OVER_RETRY_BUDGET
from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import (
    AttemptCancelledError,
    ConnectFailedError,
    Failure,
    FailureKind,
)
from ryelock.edge.metrics import HedgeOutcome
from ryelock.edge.race import Race
from ryelock.edge.rejections import backoff_seconds
from ryelock.edge.request import Attempt, RequestClass
from ryelock.edge.routing import Router
from ryelock.edge.servers import ServerState
from ryelock.edge.upstream_client import PendingResponse, UpstreamClient
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


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """One attempt of a sequence.

    Attributes:
        server: the server.
        record: the attempt as explain shows it.
        started: monotonic time at which it began.
        is_last: whether no other server may be tried after it.
    """

    server: ServerState
    record: Attempt
    started: float
    is_last: bool


class AttemptSequence:
    """The attempts of one request.

    Attributes:
        tried_servers: identities of the servers that were tried.
        attempts_made: number of attempts that were begun.
        max_attempts: maximum number of attempts.
        hedges: number of overdue attempts that are still waited for.
        failure: failure of the last attempt.
        error_response: last 5xx response, sent to the client if no other server can be tried.
    """

    __slots__ = (
        "attempts_made",
        "call",
        "client",
        "context",
        "error_response",
        "failure",
        "hedges",
        "max_attempts",
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
        self.attempts_made = 0
        self.max_attempts = call.request.attempts_left
        self.hedges = 0
        self.failure = Failure(
            FailureKind.NO_SERVER, 503, f"no live server of service {call.request.service}"
        )
        self.error_response: UpstreamResponse | None = None

    async def run(self) -> AttemptResult:
        """Make attempts until one is final."""
        try:
            result = await self.make_attempts()
            if result is not None:
                return result
            response, self.error_response = self.error_response, None
            return Ok(response) if response is not None else Error(self.failure)
        finally:
            self.drop_error_response()

    async def make_attempts(self) -> AttemptResult | None:
        """Make attempts until one is final; return None if no further one is allowed."""
        request = self.call.request
        while self.attempts_made < self.max_attempts:
            failure = self.check_before_attempt()
            if failure is not None:
                return Error(failure)
            if request.was_sent and not await self.admit_retry():
                return None
            server = self.pick_server(is_first=self.attempts_made == 0)
            if server is None:
                return None
            self.drop_error_response()
            self.attempts_made += 1
            result = await self.try_server(server)
            if result is not None:
                return result
        return None

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
        """Discard the last 5xx response, since another server is tried or has responded."""
        if self.error_response is not None:
            self.error_response.connection.abort()
            self.error_response = None

    async def try_server(self, server: ServerState) -> AttemptResult | None:
        """Make one attempt, and others beside it once it is overdue.

        Returns:
            The final result; None if another server is to be tried.
        """
        request = self.call.request
        self.tried_servers.add(server.server.identity)
        record = Attempt(server.server.address, server.server.zone)
        request.attempts.append(record)
        is_last = self.attempts_made >= self.max_attempts or request.peer is not None
        attempt = ServerAttempt(server, record, self.context.scheduler.now(), is_last)
        server.sent_at.append(attempt.started)
        try:
            fetched = await self.client.fetch(self.call, server, record, is_last)
            if fetched.is_error():
                return self.conclude(attempt, Error(fetched.error))
            if isinstance(fetched.ok, PendingResponse):
                return await self.hedge(attempt, fetched.ok)
            return self.conclude(attempt, Ok(fetched.ok))
        finally:
            server.sent_at.remove(attempt.started)

    async def hedge(self, overdue: ServerAttempt, pending: PendingResponse) -> AttemptResult | None:
        """Wait for an overdue attempt and make further ones; the first response ends both.

        Returns:
            The first response, else the last final failure; None if another server may be tried.
        """
        self.record_overdue(overdue)
        race: Race[AttemptResult] = Race(self.context.scheduler, discard_result)
        self.hedges += 1
        failure: AttemptResult | None = None
        try:
            race.start(self.finish_attempt(overdue, pending), "overdue attempt")
            race.start(self.make_attempts(), "hedged attempt")
            for _ in range(2):
                result = await race.next_result()
                if result is not None and result.is_ok():
                    self.record_hedge(result.ok, pending)
                    return result
                failure = result or failure
            return failure
        finally:
            self.hedges -= 1
            race.cancel()
            self.client.abandon(pending)

    def record_overdue(self, attempt: ServerAttempt) -> None:
        """Record an overdue attempt in explain, and as a failure of its server."""
        elapsed = self.context.scheduler.now() - attempt.started
        attempt.record.overdue_seconds = round(elapsed, 4)
        timeout = ResponseTimeoutError("no answer in time")
        if self.counts_against_server(timeout, attempt.server, elapsed):
            self.context.servers.record_result(attempt.server, False, elapsed)
        else:
            attempt.server.trial_in_flight = False

    def record_hedge(self, response: UpstreamResponse, pending: PendingResponse) -> None:
        """Count which server responded first."""
        is_first_server = response.connection is pending.upstream.connection
        outcome = HedgeOutcome.FIRST_SERVER if is_first_server else HedgeOutcome.OTHER_SERVER
        self.context.metrics.hedges.add(self.call.request.service, outcome)

    async def finish_attempt(
        self, attempt: ServerAttempt, pending: PendingResponse
    ) -> AttemptResult | None:
        """Wait for an overdue response until the deadline."""
        return self.conclude(attempt, await self.client.finish(pending))

    def conclude(
        self, attempt: ServerAttempt, fetched: Result[UpstreamResponse, ClientError]
    ) -> AttemptResult | None:
        """Record the end of an attempt; return None if another server is to be tried."""
        elapsed = self.context.scheduler.now() - attempt.started
        attempt.record.seconds = round(elapsed, 4)
        if fetched.is_ok():
            return self.on_response(fetched.ok, attempt, elapsed)
        return self.on_error(fetched.error, attempt, elapsed)

    def on_response(
        self, response: UpstreamResponse, attempt: ServerAttempt, elapsed: float
    ) -> AttemptResult | None:
        """Return the response, unless it is a 5xx and another server may respond."""
        failed = response.head.status >= 500
        self.context.servers.record_result(response.server, not failed, elapsed)
        attempt.record.status = response.head.status
        idempotent = self.call.request.request_class is RequestClass.IDEMPOTENT
        may_follow = not attempt.is_last or self.hedges > 0
        if failed and idempotent and may_follow and not self.context.profile.own:
            self.drop_error_response()
            self.error_response = response
            return None
        return Ok(response)

    def on_error(
        self, error: ClientError, attempt: ServerAttempt, elapsed: float
    ) -> AttemptResult | None:
        """Return the final failure; None if another server may be tried.

        Final are: an error after an at-most-once request was sent, a passed deadline, and an
        exhausted retry budget.
        """
        call, server = self.call, attempt.server
        if call.exchange.client_disconnected and call.cancelled_with_client:
            self.context.metrics.cancelled.add(call.request.service)
            error = AttemptCancelledError(
                FailureKind.CLIENT_DISCONNECTED, "the caller left", error.sent
            )
        attempt.record.fault = error.reason
        if error.rejected:
            return self.on_rejected(error, attempt)
        if isinstance(error, AttemptCancelledError) and error.kind is FailureKind.RETRY_BUDGET:
            server.trial_in_flight = False
            return Error(OVER_RETRY_BUDGET)
        if attempt.record.is_overdue or not self.counts_against_server(error, server, elapsed):
            server.trial_in_flight = False
        else:
            self.context.servers.record_result(server, False, elapsed)
        if error.sent and call.request.request_class is RequestClass.AT_MOST_ONCE:
            return Error(unknown_outcome(error))
        deadline_passed = self.context.scheduler.now() >= call.deadline
        status = 504 if deadline_passed else 502
        self.failure = Failure(failure_kind(error, deadline_passed), status, error.reason)
        return Error(self.failure) if deadline_passed else None

    def on_rejected(self, error: ClientError, attempt: ServerAttempt) -> AttemptResult | None:
        """Handle a rejection without a run: try another server, except after 429."""
        attempt.record.rejected_status = error.rejected
        self.context.servers.record_rejection(
            attempt.server, error.rejected, REJECTION_PAUSE_SECONDS
        )
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


def discard_result(result: AttemptResult) -> None:
    """Abort the connection of a response that is not used."""
    if result.is_ok():
        result.ok.connection.abort()


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
