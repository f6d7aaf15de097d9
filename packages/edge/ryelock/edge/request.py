"""The record of one request: what was decided on its way, and what explain tells of it later."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from ryelock.cache import CacheKey, Fill
from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.replicated_state import Route


class RequestClass(StrEnum):
    """Whether a request may be sent to a second server; the values stand in explain's answer."""

    IDEMPOTENT = "repeatable"
    AT_MOST_ONCE = "once"


class CacheStatus(StrEnum):
    """How the cache took part in a response; the values stand in explain, metrics and a field."""

    UNUSED = ""
    HIT = "hit"
    MISS = "miss"
    JOINED_FILL = "waited for a fill"
    REVALIDATED = "revalidated"
    NOT_STORED = "not kept"
    FROM_OWNER = "from the owner"
    RELAYED_BY_OWNER = "relayed by the owner"


class AdmissionOutcome(StrEnum):
    """What admission control decided; the values stand in explain's answer."""

    UNDECIDED = ""
    ADMITTED = "allowed"
    OVER_RETRY_BUDGET = "over the budget of repeats"
    OVER_RATE = "declined: over the service's rate or queue"
    NO_SHARE = "declined: no share of the service's rate is held here yet"


class Outcome(StrEnum):
    """How a request ended; the values stand in explain and in the body of a rejection."""

    IN_PROGRESS = ""
    ANSWERED = "answered"
    TRUNCATED = "cut"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"
    CLIENT_DISCONNECTED = "caller left"
    ENDED = "ended"


RETRY_REFUSED = "; no room to repeat"


@dataclass(slots=True)
class Attempt:
    """One try at one upstream server.

    Attributes:
        server: address of the server.
        zone: zone of the server.
        sent: whether a byte of the request may have left for the server.
        seconds: how long the attempt took; None while it is under way.
        status: status of the response; None where there was none that could be used.
        fault: why there was none.
        rejected_status: status by which the server said that it did not run the request, else 0.
    """

    server: str
    zone: str
    sent: bool = False
    seconds: float | None = None
    status: int | None = None
    fault: str | None = None
    rejected_status: int = 0

    @property
    def servers_reached(self) -> int:
        """How many servers may have received the request."""
        return 1 if self.sent else 0

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request: it was sent and not certainly rejected."""
        return self.sent and not self.rejected_status

    def to_wire(self) -> dict[str, object]:
        """Return the attempt as explain tells it; what did not happen is left out."""
        wire: dict[str, object] = {"server": self.server, "zone": self.zone, "sent": self.sent}
        if self.seconds is not None:
            wire["seconds"] = self.seconds
        if self.status is not None:
            wire["status"] = self.status
        if self.fault is not None:
            wire["fault"] = self.fault
        if self.rejected_status:
            wire["declined"] = self.rejected_status
        return wire


@dataclass(frozen=True, slots=True)
class OwnerAttempt:
    """Servers that the owner of an object may have sent the request to, on this edge's account."""

    servers_reached: int
    sent: bool = True
    may_have_run: bool = True

    def to_wire(self) -> dict[str, object]:
        """Return the attempt as explain tells it."""
        return {"server": "the owner", "sent": self.sent, "servers": self.servers_reached}


@dataclass(frozen=True, slots=True)
class RequestingPeer:
    """What a peer edge tells of itself with a request that it asks this edge for.

    Attributes:
        zone: zone of the peer.
        purges: number of the newest purge that the peer has applied.
        version: configuration version of the peer.
        max_attempts: how many servers may be sent the request; None for the route's own limit.
    """

    zone: str
    purges: int
    version: int
    max_attempts: int | None


@dataclass(slots=True, eq=False)
class Request:
    """One request from its first byte to the end of its response.

    Attributes:
        identity: name of the request, by the caller or made here.
        started: monotonic time of arrival in seconds.
        started_wall: wall-clock time of arrival in seconds since the epoch.
        named_by_caller: whether the identity came from the caller.
        is_probe: whether a prober that is a member sent it.
        peer: the peer edge that sent it, if one did.
        is_retry: whether it repeats a request that failed lately.
        attempts_left: most servers that it may still be sent to.
        version: configuration version that it was routed by.
        zone_verdicts: verdict on each zone at its arrival.
        candidates: servers that were weighed for the first attempt, as explain tells them.
        admitted_to: admission queue that it holds a slot of.
        held_key: Idempotency-Key that is in progress on its behalf.
        fill: cache fill that it carries out.
        duration: seconds from arrival to the end.
    """

    identity: str
    method: str
    target: str
    host: str
    started: float
    started_wall: float
    path: str = ""
    body: bytes = b""
    named_by_caller: bool = False
    is_probe: bool = False
    peer: RequestingPeer | None = None
    is_retry: bool = False
    attempts_left: int = 0
    route: Route | None = None
    route_name: str = ""
    service: str = ""
    request_class: RequestClass | None = None
    version: int = 0
    zone_verdicts: dict[str, str] = field(default_factory=dict)
    cache_status: CacheStatus = CacheStatus.UNUSED
    admission: AdmissionOutcome = AdmissionOutcome.UNDECIDED
    retry_refused: bool = False
    candidates: list[dict[str, object]] = field(default_factory=list)
    attempts: list[Attempt | OwnerAttempt] = field(default_factory=list)
    admitted_to: AdmissionQueue | None = None
    held_key: bytes | None = None
    fill: Fill | None = None
    status: int = 0
    outcome: Outcome = Outcome.IN_PROGRESS
    reason: str = ""
    duration: float = 0.0

    def charge_owner(self, servers: int) -> None:
        """Count servers that the owner of the object may have sent this request to.

        What is then sent from here is a retry, to as many servers fewer.
        """
        if servers:
            self.attempts_left = max(0, self.attempts_left - servers)
            self.attempts.append(OwnerAttempt(servers))

    @property
    def cache_key(self) -> CacheKey:
        """Key of the object in the cache: route, host and target."""
        return self.route_name, self.host, self.target

    @property
    def was_sent(self) -> bool:
        """Whether any server may have received it."""
        return any(attempt.sent for attempt in self.attempts)

    @property
    def servers_reached(self) -> int:
        """How many servers it may have reached, from here or through an owner."""
        return sum(attempt.servers_reached for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether it reached a server that did not say for certain that it did not run it."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def sender_kind(self) -> str:
        """Who sent it: a client, another edge or a prober; the value of a metric's label."""
        return "prober" if self.is_probe else "edge" if self.peer is not None else "client"

    def to_wire(self) -> dict[str, object]:
        """Return what explain tells of this request."""
        return {
            "order": self.identity,
            "wall": round(self.started_wall, 3),
            "method": self.method,
            "host": self.host,
            "target": self.target,
            "route": self.route_name,
            "service": self.service,
            "class": "" if self.request_class is None else self.request_class.value,
            "version": self.version,
            "verdicts": self.zone_verdicts,
            "cache": self.cache_status.value,
            "allowance": self.admission.value + (RETRY_REFUSED if self.retry_refused else ""),
            "repeat": self.is_retry,
            "probe": self.is_probe,
            "servers_weighed": self.candidates,
            "dispatches": [attempt.to_wire() for attempt in self.attempts],
            "status": self.status,
            "outcome": self.outcome.value,
            "reason": self.reason,
            "seconds": round(self.duration, 4),
        }


class RecentRequests:
    """The last requests of this edge by identity, for explain; bounded."""

    __slots__ = ("by_identity", "max_requests")

    def __init__(self, max_requests: int) -> None:
        """Create an empty record of at most so many requests."""
        self.max_requests = max_requests
        self.by_identity: OrderedDict[str, Request] = OrderedDict()

    def add(self, request: Request) -> None:
        """Remember an ended request, without its body."""
        request.body = b""
        self.by_identity[request.identity] = request
        while len(self.by_identity) > self.max_requests:
            self.by_identity.popitem(last=False)
