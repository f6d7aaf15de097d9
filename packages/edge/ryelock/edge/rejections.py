"""Responses to rejected requests: reason, outcome and Retry-After."""

import json
import math
from dataclasses import replace

from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.peer_protocol import CAPACITY_FIELD, peer_fields
from ryelock.edge.request import AdmissionOutcome, Outcome, Request, RequestClass
from ryelock.http import Fields, HttpExchange, field
from ryelock.replicated_state import Route

UNROUTED_RETRY_AFTER_SECONDS = 0.2
"""Retry-After of a request without a route."""
DEFAULT_BACKOFF_SECONDS = 1.0
BACKOFF_JITTER_SECONDS = 2.0
MIN_BACKOFF_FRACTION = 0.05
BACKOFF_JITTER_FRACTION = 0.15
"""Backoff and its random jitter, as fractions of the route's latency target."""
MAX_CAPACITY_RETRY_AFTER_SECONDS = 0.9
"""Limit of Retry-After for the rate limit: its shares are rebalanced sooner than that."""
RETRY_LATER_STATUSES = (429, 503)
NATIVE_RETRY_LATER_STATUSES = (429, 502, 503, 504)
CLIENT_CLOSED_REQUEST_STATUS = 499
AT_CAPACITY = (b"X-Ryelock-Outcome", b"crowded")
"""Tells a prober that the service is at its limits, so that the probe does not fail the edge."""


class RejectionResponder:
    """Responds to rejected requests."""

    __slots__ = ("context",)

    def __init__(self, context: EdgeContext) -> None:
        """Create the responder."""
        self.context = context

    async def reject(self, exchange: HttpExchange, request: Request, failure: Failure) -> None:
        """Respond to a rejected request.

        An at-most-once request that may have run gets 502 in place of a status that invites a
        retry, since the client would take that for a request that has not run.
        """
        may_retry_later = failure.status in RETRY_LATER_STATUSES
        if (
            may_retry_later
            and request.may_have_run
            and request.request_class is RequestClass.AT_MOST_ONCE
        ):
            failure = replace(failure, status=502, capacity_in=0.0)
        self.record(request, failure)
        if failure.status == CLIENT_CLOSED_REQUEST_STATUS or exchange.client_disconnected:
            exchange.abort()
            return
        if self.context.profile.own:
            fields = self.native_fields(exchange, request, failure)
        else:
            fields = self.profile_fields(request, failure, may_retry_later)
        fields += peer_fields(request)
        if request.peer is not None and failure.kind in (
            FailureKind.OVER_RATE,
            FailureKind.OWNER_OVER_RATE,
        ):
            capacity_in = min(failure.capacity_in, MAX_CAPACITY_RETRY_AFTER_SECONDS)
            fields.append((CAPACITY_FIELD, b"%.3f" % capacity_in))
        body = b"" if exchange.head.method == b"HEAD" else rejection_body(request, failure)
        await exchange.respond(failure.status, fields, body)

    def record(self, request: Request, failure: Failure) -> None:
        """Record the failure for metrics and explain."""
        self.context.metrics.refusals.add(request.service, request.sender_kind, failure.kind)
        request.status = failure.status
        request.reason = failure.reason
        request.outcome = Outcome.UNKNOWN if failure.outcome_unknown else Outcome.NOT_RUN
        if request.request_class is RequestClass.IDEMPOTENT and request.was_sent:
            request.outcome = Outcome.NO_ANSWER

    def native_fields(self, exchange: HttpExchange, request: Request, failure: Failure) -> Fields:
        """Return the fields of a rejection under the native protocol profile.

        Retry-After (RFC 9110, 10.2.3) has random jitter, so that clients do not retry all at once.
        """
        outcome = (b"X-Ryelock-Outcome", request.outcome.replace(" ", "-").encode())
        has_key = field(exchange.head.fields, b"idempotency-key") is not None
        retry_after: Fields = []
        if request.is_probe and request.admission is AdmissionOutcome.NO_SHARE:
            outcome = AT_CAPACITY
        elif failure.status in NATIVE_RETRY_LATER_STATUSES and (
            not failure.outcome_unknown or has_key
        ):
            jitter = self.context.random.random() * BACKOFF_JITTER_SECONDS
            retry_after = [(b"Retry-After", b"%d" % math.ceil(failure.retry_after + jitter))]
        return [
            (b"Content-Type", b"application/json"),
            (b"Cache-Control", b"no-store"),
            outcome,
            (b"X-Ryelock-Order", request.identity.encode()),
            *retry_after,
        ]

    def profile_fields(self, request: Request, failure: Failure, may_retry_later: bool) -> Fields:
        """Return the fields of a rejection under another protocol profile."""
        profile = self.context.profile
        seconds = self.retry_after(request, failure)
        fields: Fields = [(b"Content-Type", b"application/json")]
        if may_retry_later:
            value = b"%.3f" % seconds if profile.fractions else b"%d" % math.ceil(seconds)
            fields.append((b"Retry-After", value))
        fields.append((profile.identity, request.identity.encode("latin-1")))
        if request.is_probe and self.is_at_capacity(request):
            fields.append(AT_CAPACITY)
        return fields

    def retry_after(self, request: Request, failure: Failure) -> float:
        """Return the seconds after which a client should retry.

        Not before the service's rate limit should allow the request: an earlier retry is rejected
        again and uses up the client's attempts.
        """
        if request.route is None:
            return UNROUTED_RETRY_AFTER_SECONDS
        backoff = backoff_seconds(self.context, request.route)
        if not math.isfinite(failure.capacity_in):
            return backoff
        return max(backoff, min(backoff + failure.capacity_in, MAX_CAPACITY_RETRY_AFTER_SECONDS))

    def is_at_capacity(self, request: Request) -> bool:
        """Return True if the service is at its rate limit or a server of it is full."""
        now = self.context.scheduler.now()
        return request.admission in (AdmissionOutcome.OVER_RATE, AdmissionOutcome.NO_SHARE) or any(
            now < state.full_until
            for state in self.context.servers.by_service.get(request.service, ())
        )


def backoff_seconds(context: EdgeContext, route: Route) -> float:
    """Return the backoff in seconds; a retry after it can still meet the latency target."""
    if context.profile.own or not route.target_seconds:
        return DEFAULT_BACKOFF_SECONDS
    jitter = BACKOFF_JITTER_FRACTION * context.random.random()
    return route.target_seconds * (MIN_BACKOFF_FRACTION + jitter)


def rejection_body(request: Request, failure: Failure) -> bytes:
    """Return the body of a rejection: a JSON object on one line."""
    content = {"error": failure.reason, "outcome": request.outcome.value, "order": request.identity}
    return json.dumps(content).encode() + b"\n"
