"""Whether an order may go to its service: room at the gate, its key, the budget of repeats."""

import hashlib

from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.gate import AdmissionQueue, come_back
from ryelock.edge.orders import Caller, Request
from ryelock.edge.replies import NO_SHARE, Replies
from ryelock.http import (
    HttpExchange,
    field,
)
from ryelock.replicated_state import Route

QUEUE_TIMEOUT_PART = 0.2
CLAIM_SECONDS = 1.0
CALLER_FIELDS = (b"user-agent", b"authorization", b"cookie")
REPEAT_FIELDS = (b"x-retry-count", b"x-retry-attempt", b"retry-attempt")


class Admission(Replies):
    """Letting orders through to a service."""

    __slots__ = ()

    async def enter(
        self, exchange: HttpExchange, request: Request, route: Route, key: bytes | None
    ) -> Failure | None:
        """Room at the service: at once, after a short wait, or not at all."""
        gate = self.gates.get(request.service)
        if gate is None:
            return Failure(FailureKind.SERVICE_UNKNOWN, 503, "the service is not known here yet")
        fields = exchange.head.fields
        if not self.dialect.own:
            return await self.pass_gate(exchange, request, route, gate)
        request.repeat = (key is not None and self.keys.seen(request.service, key)) or any(
            (field(fields, name) or b"0").strip() not in (b"0", b"") for name in REPEAT_FIELDS
        )
        caller = caller_of(exchange, request)
        request.repeat = request.repeat or self.failed.repeats(caller, self.scheduler.now())
        if request.repeat and gate.budget.tokens < 1.0:
            request.allowance = "over the budget of repeats"
            return Failure(
                FailureKind.RETRY_BUDGET,
                429,
                "too many repeats of orders to this service",
                back=2.0,
            )
        return await self.pass_gate(exchange, request, route, gate)

    async def pass_gate(
        self, exchange: HttpExchange, request: Request, route: Route, gate: AdmissionQueue
    ) -> Failure | None:
        """Wait for room for at most the service's patience, counted from the request's arrival.

        A request that has already waited for another's fetch of the same object does not wait
        as long again here.
        """
        until = min(
            self.deadline(exchange, route), exchange.response_started + gate.queue_timeout()
        )
        queue_timeout = until - self.scheduler.now()
        if not self.dialect.own and route.target_seconds:
            queue_timeout = min(queue_timeout, route.target_seconds * QUEUE_TIMEOUT_PART)
        wait = await gate.acquire(request.route_name, route.share, queue_timeout, request.probe)
        if wait is not None:
            bare = (
                gate.bucket.current_share(self.scheduler.now()) <= 0 and not gate.bucket.uses_grants
            )
            request.allowance = NO_SHARE if bare else "declined: over the service's rate or queue"
            return Failure(
                FailureKind.NO_SHARE if bare else FailureKind.OVER_RATE,
                503,
                "the service is at its rate; the order was not sent",
                back=come_back(wait),
                room_in=wait,
            )
        request.allowance = "allowed"
        if exchange.seconds_left:
            gate.release(request.route_name)
            return Failure(
                FailureKind.CALLER_LEFT, 499, "the caller left before the order was sent"
            )
        if not self.member.serving:
            gate.release(request.route_name)
            return Failure(FailureKind.NO_LEASE, 503, "no term: cut off")
        return None

    async def claim(
        self, exchange: HttpExchange, request: Request, route: Route, key: bytes | None
    ) -> Failure | None:
        """Before an order with a key is sent: a majority of disks holds that it may have run."""
        if key is None:
            return None
        left = self.deadline(exchange, route) - self.scheduler.now()
        found = await self.member.claim(
            key_of(exchange, request, key), request.identity, max(0.0, min(CLAIM_SECONDS, left))
        )
        if found == "claimed":
            return None
        if found == "known":
            return Failure(
                FailureKind.KEY_IN_USE,
                409,
                "an order with this Idempotency-Key was sent before; it is not sent again",
                True,
            )
        self.give_back(exchange, request, key)
        return Failure(
            FailureKind.KEY_NOT_CLAIMED,
            503,
            "the Idempotency-Key could not be noted; the order was not sent",
        )

    def give_back(self, exchange: HttpExchange, request: Request, key: bytes) -> None:
        self.scheduler.create_task(
            self.member.release(key_of(exchange, request, key), request.identity), name="release"
        )

    def account(self, exchange: HttpExchange, request: Request) -> bool:
        """At an order's first sending: a first earns room for repeats, a repeat takes some.

        Only what is sent counts: a service that nothing reaches earns no repeats.
        """
        gate = self.gates.get(request.service)
        if gate is None or any(record["sent"] for record in request.dispatches):
            return gate is not None
        if not request.repeat:
            if self.dialect.own or not (request.probe or request.peer):
                gate.budget.record_request()
            return True
        if not gate.budget.try_retry():
            request.allowance = "over the budget of repeats"
            return False
        self.failed.sent(caller_of(exchange, request))
        return True


def caller_of(exchange: HttpExchange, request: Request) -> Caller:
    fields = exchange.head.fields
    return digest_of(
        exchange.connection.peer.rpartition(":")[0].encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode("latin-1"),
        *(field(fields, name) or b"" for name in CALLER_FIELDS),
    )


def key_of(exchange: HttpExchange, request: Request, key: bytes) -> bytes:
    """A caller's key, told apart by service, place and the caller's credentials."""
    return digest_of(
        request.service.encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode("latin-1"),
        field(exchange.head.fields, b"authorization") or b"",
        key,
    )


def digest_of(*parts: bytes) -> bytes:
    whole = b"".join(b"%d:%s" % (len(part), part) for part in parts)
    return hashlib.sha256(whole).digest()[:16]
