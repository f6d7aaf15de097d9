"""Admission control: rate limit, queue, retry budget and idempotency key of a request."""

import hashlib

from ryelock.edge.admission_queue import AdmissionQueue, retry_after
from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.idempotency_claims import ClaimStatus
from ryelock.edge.request import AdmissionOutcome, Request
from ryelock.edge.retry_detector import CallerDigest
from ryelock.edge.routing import Router
from ryelock.http import HttpExchange, field
from ryelock.replicated_state import Route

QUEUE_TIMEOUT_TARGET_FRACTION = 0.2
"""Longest wait in the queue, as a fraction of the route's latency target."""
CLAIM_TIMEOUT_SECONDS = 1.0
RETRY_BUDGET_BACKOFF_SECONDS = 2.0
CALLER_FIELDS = (b"user-agent", b"authorization", b"cookie")
RETRY_FIELDS = (b"x-retry-count", b"x-retry-attempt", b"retry-attempt")
"""Fields by which clients mark retries; a value of 0 marks a first attempt."""

SERVICE_UNKNOWN = Failure(FailureKind.SERVICE_UNKNOWN, 503, "the service is not known here yet")
OVER_RETRY_BUDGET = Failure(
    FailureKind.RETRY_BUDGET,
    429,
    "too many repeats of orders to this service",
    retry_after=RETRY_BUDGET_BACKOFF_SECONDS,
)
KEY_ALREADY_USED = Failure(
    FailureKind.KEY_IN_USE,
    409,
    "an order with this Idempotency-Key was sent before; it is not sent again",
    True,
)
KEY_NOT_CLAIMED = Failure(
    FailureKind.KEY_NOT_CLAIMED,
    503,
    "the Idempotency-Key could not be noted; the order was not sent",
)
CLIENT_DISCONNECTED = Failure(
    FailureKind.CLIENT_DISCONNECTED, 499, "the caller left before the order was sent"
)
NO_LEASE = Failure(FailureKind.NO_LEASE, 503, "no term: cut off")


class AdmissionController:
    """Admits requests to services within their rate limits, queues and retry budgets."""

    __slots__ = ("context", "router")

    def __init__(self, context: EdgeContext, router: Router) -> None:
        """Create the controller."""
        self.context = context
        self.router = router

    async def admit(
        self, exchange: HttpExchange, request: Request, route: Route, key: bytes | None = None
    ) -> Failure | None:
        """Acquire a slot at the service, after a wait in its queue if necessary.

        The request handler releases the slot through `request.admitted_to`.

        Args:
            exchange: the client's exchange.
            request: the request.
            route: its route.
            key: its Idempotency-Key, if any.

        Returns:
            The failure of a request that is not admitted; None for one that is.
        """
        queue = self.context.admission_queues.get(request.service)
        if queue is None:
            return SERVICE_UNKNOWN
        if self.context.profile.own:
            request.is_retry = self.is_retry(exchange, request, key)
            if request.is_retry and queue.budget.tokens < 1.0:
                request.admission = AdmissionOutcome.OVER_RETRY_BUDGET
                return OVER_RETRY_BUDGET
        wait = await queue.acquire(
            request.route_name,
            route.share,
            self.queue_timeout(exchange, route, queue),
            request.is_probe,
        )
        if wait is not None:
            return self.reject_over_rate(request, queue, wait)
        request.admission = AdmissionOutcome.ADMITTED
        failure = self.check_after_wait(exchange)
        if failure is not None:
            queue.release(request.route_name)
            return failure
        request.admitted_to = queue
        return None

    def is_retry(self, exchange: HttpExchange, request: Request, key: bytes | None) -> bool:
        """Return True for a client's retry: by its key, a retry field or an earlier failure."""
        if key is not None and self.context.idempotency_keys.was_seen(request.service, key):
            return True
        fields = exchange.head.fields
        if any((field(fields, name) or b"0").strip() not in (b"0", b"") for name in RETRY_FIELDS):
            return True
        now = self.context.scheduler.now()
        return self.context.retry_detector.is_retry(caller_digest(exchange, request), now)

    def queue_timeout(self, exchange: HttpExchange, route: Route, queue: AdmissionQueue) -> float:
        """Return the seconds that a request may still wait in the queue.

        The timeout counts from the request's arrival, so that time spent waiting for another
        request's fetch is deducted.
        """
        deadline = min(
            self.router.deadline(exchange, route),
            exchange.received_at + queue.queue_timeout(),
        )
        timeout = deadline - self.context.scheduler.now()
        if not self.context.profile.own and route.target_seconds:
            timeout = min(timeout, route.target_seconds * QUEUE_TIMEOUT_TARGET_FRACTION)
        return timeout

    def reject_over_rate(self, request: Request, queue: AdmissionQueue, wait: float) -> Failure:
        """Return the failure of a request without a slot; one is expected in `wait` seconds."""
        bucket = queue.bucket
        holds_no_share = (
            bucket.current_share(self.context.scheduler.now()) <= 0 and not bucket.uses_grants
        )
        request.admission = (
            AdmissionOutcome.NO_SHARE if holds_no_share else AdmissionOutcome.OVER_RATE
        )
        return Failure(
            FailureKind.NO_SHARE if holds_no_share else FailureKind.OVER_RATE,
            503,
            "the service is at its rate; the order was not sent",
            retry_after=retry_after(wait),
            capacity_in=wait,
        )

    def check_after_wait(self, exchange: HttpExchange) -> Failure | None:
        """Return a failure if the client disconnected or the lease expired during the wait."""
        if exchange.client_disconnected:
            return CLIENT_DISCONNECTED
        if not self.context.member.serving:
            return NO_LEASE
        return None

    async def claim_key(
        self, exchange: HttpExchange, request: Request, route: Route, key: bytes
    ) -> Failure | None:
        """Have a majority of control nodes record the key before the request is sent.

        Without that record another edge could send a request with the same key.
        """
        remaining = self.router.deadline(exchange, route) - self.context.scheduler.now()
        status = await self.context.member.claim(
            key_digest(exchange, request, key),
            request.identity,
            max(0.0, min(CLAIM_TIMEOUT_SECONDS, remaining)),
        )
        if status is ClaimStatus.CLAIMED:
            return None
        if status is ClaimStatus.ALREADY_CLAIMED:
            return KEY_ALREADY_USED
        self.release_key(exchange, request, key)
        return KEY_NOT_CLAIMED

    def release_key(self, exchange: HttpExchange, request: Request, key: bytes) -> None:
        """Release, in the background, the key of a request that certainly did not run."""
        self.context.scheduler.create_task(
            self.context.member.release(key_digest(exchange, request, key), request.identity),
            name="release",
        )

    def charge_retry_budget(self, exchange: HttpExchange, request: Request) -> bool:
        """Charge the retry budget before an attempt; return False if it may not be made.

        Only a request's first attempt counts here: it adds to the budget, or takes from it if the
        client marked the request as a retry or it is detected as one. Requests that are never sent
        do not add to the budget, so a service that is unreachable gets no retries.
        """
        queue = self.context.admission_queues.get(request.service)
        if queue is None or request.was_sent:
            return queue is not None
        if not request.is_retry:
            if self.context.profile.own or not (request.is_probe or request.peer is not None):
                queue.budget.record_request()
            return True
        if not queue.budget.try_retry():
            request.admission = AdmissionOutcome.OVER_RETRY_BUDGET
            return False
        self.context.retry_detector.count_retry(caller_digest(exchange, request))
        return True


def caller_digest(exchange: HttpExchange, request: Request) -> CallerDigest:
    """Return a digest of client and request, without the client's port, which varies."""
    fields = exchange.head.fields
    return digest(
        exchange.connection.peer.rpartition(":")[0].encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode("latin-1"),
        *(field(fields, name) or b"" for name in CALLER_FIELDS),
    )


def key_digest(exchange: HttpExchange, request: Request, key: bytes) -> bytes:
    """Return a digest of an idempotency key with its service, target and credentials."""
    return digest(
        request.service.encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode("latin-1"),
        field(exchange.head.fields, b"authorization") or b"",
        key,
    )


def digest(*parts: bytes) -> bytes:
    """Return a 16-byte digest; lengths are included so that ("ab", "c") and ("a", "bc") differ."""
    joined = b"".join(b"%d:%s" % (len(part), part) for part in parts)
    return hashlib.sha256(joined).digest()[:16]
