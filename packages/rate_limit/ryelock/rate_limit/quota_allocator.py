"""The leader's side of rate limiting: quota shares by demand, within the service's rate in total.

For each service, an edge may still use the largest share that it was issued, until it returns that
share or the share expires. A new share is limited to what the outstanding shares of the other edges
leave. Shares may add up to less than the rate, since full buckets may send bursts; see `rates`.

Each edge's bucket holds at least one token. If that leaves too little of the rate for shares, the
service is a low-rate service: the leader keeps one shared bucket for it and grants single requests
to edges that have requests queued. Such grants expire quickly.
"""

from dataclasses import dataclass

from ryelock.rate_limit.rates import refill_rate, usable_rate
from ryelock.rate_limit.shared_bucket import Grant, SharedTokenBucket

MIN_DEMAND = 0.5
"""Lower bound of an edge's demand, in requests per second, so that every edge gets a share."""
SPARE_FRACTION = 0.3
"""Fraction of the rate that a new leader may issue, over all edges; see `QuotaAllocator.share`."""


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A request of an edge for quota of one service.

    Attributes:
        service: name of the service.
        rate: the service's rate, in requests per second.
        burst_seconds: capacity of the edge's bucket, in seconds of its share.
        edge: name of the edge.
        current_share: the share that the edge reports to use now, in requests per second.
        queued: number of requests that the edge has queued.
    """

    service: str
    rate: float
    burst_seconds: float
    edge: str
    current_share: float
    queued: int = 0


@dataclass(frozen=True, slots=True)
class IssuedShare:
    """A share of a service's rate that the leader issued to an edge.

    Attributes:
        rate: requests per second.
        expires_at: monotonic time in seconds.
    """

    rate: float
    expires_at: float


class OutstandingShares:
    """All shares of one service that one edge may still use."""

    __slots__ = ("shares",)

    def __init__(self) -> None:
        """Create an empty record."""
        self.shares: list[IssuedShare] = []

    def add(self, rate: float, expires_at: float) -> None:
        """Record a share issued to the edge."""
        self.shares.append(IssuedShare(rate, expires_at))

    def replace(self, rate: float, expires_at: float) -> None:
        """Replace all shares by the one that the edge reports to use."""
        self.shares = [IssuedShare(rate, expires_at)]

    def last_expiry(self, default: float) -> float:
        """Return the time at which the last share expires, or the default without shares."""
        return max((share.expires_at for share in self.shares), default=default)

    def largest(self, now: float) -> float:
        """Drop expired shares; return the largest of the others in requests per second, or 0."""
        self.shares = [share for share in self.shares if share.expires_at > now]
        return max((share.rate for share in self.shares), default=0.0)


class QuotaAllocator:
    """Issues shares of every service's rate to edges, and grants of low-rate services.

    All times are monotonic, in seconds; all rates are in requests per second.

    Attributes:
        outstanding: shares that edges may still use, by service and edge.
        demands: demand that edges report, by service and edge.
        shared_buckets: the buckets of low-rate services, by service.
    """

    __slots__ = ("demands", "outstanding", "shared_buckets")

    def __init__(self) -> None:
        """Create an allocator without edges and services."""
        self.outstanding: dict[str, dict[str, OutstandingShares]] = {}
        self.demands: dict[str, dict[str, float]] = {}
        self.shared_buckets: dict[str, SharedTokenBucket] = {}

    def report_demand(self, edge: str, demand: dict[str, float]) -> None:
        """Record an edge's demand in requests per second by service."""
        for service, rate in demand.items():
            self.demands.setdefault(service, {})[edge] = rate

    def report_queued(self, service: str, edge: str, queued: int, now: float) -> None:
        """Record how many requests an edge has queued for a low-rate service."""
        self.shared_bucket(service, now).report_queued(edge, queued, now)

    def remove_edge(self, edge: str) -> None:
        """Drop the demand of an edge that left or failed; its shares stay until they expire."""
        for demands in self.demands.values():
            demands.pop(edge, None)
        for bucket in self.shared_buckets.values():
            bucket.queued_at.pop(edge, None)

    def release_edge(self, edge: str) -> None:
        """Drop an edge and its shares; it shut down gracefully and sends no more requests."""
        self.remove_edge(edge)
        for shares in self.outstanding.values():
            shares.pop(edge, None)

    def grant(self, request: QuotaRequest, now: float, takeover_is_complete: bool) -> Grant:
        """Grant queued requests of a low-rate service to an edge, and predict its next grants.

        Args:
            request: the edge's request.
            now: monotonic time.
            takeover_is_complete: True once this leader has led for a full lease, so that every
                share and grant of earlier leaders was reported or has expired. Nothing is granted
                before.
        """
        shares = self.outstanding.setdefault(request.service, {})
        own = shares.setdefault(request.edge, OutstandingShares())
        if request.current_share:
            own.replace(request.current_share, own.last_expiry(now))
        else:
            own.shares = []
        bucket = self.shared_bucket(request.service, now)
        if not takeover_is_complete:
            bucket.reset(now)
        bucket.fill(request.rate, sum(other.largest(now) for other in shares.values()), now)
        granted = bucket.take(request.queued)
        edges = 1 + bucket.other_waiting_edges(request.edge, now)
        return Grant(granted, refill_rate(request.rate) / edges, int(bucket.tokens) / edges)

    def seconds_until_grant(self, service: str, rate: float, now: float) -> float:
        """Return the seconds until a low-rate service has a token to grant."""
        bucket = self.shared_buckets.get(service)
        return 0.0 if bucket is None else bucket.seconds_until_token(rate, now)

    def shared_bucket(self, service: str, now: float) -> SharedTokenBucket:
        """Return the shared bucket of a service; create an empty one at its first use."""
        return self.shared_buckets.setdefault(service, SharedTokenBucket(now))

    def share(
        self,
        request: QuotaRequest,
        edges: list[str],
        now: float,
        expires_at: float,
        takeover_is_complete: bool,
        with_spare: bool = False,
    ) -> float:
        """Issue a share that an edge may use until `expires_at`.

        While total demand is below the rate, each edge gets its demand and an equal part of the
        rest, so that bursts of arrivals are admitted. Otherwise shares are in proportion to demand.

        The caller must pass the requests of an edge in the order in which they were sent, and drop
        late ones: a share that is larger than the reported one counts as returned.

        Args:
            request: the edge's request.
            edges: names of all edges.
            now: monotonic time.
            expires_at: monotonic time at which the share expires.
            takeover_is_complete: True once this leader has led for a full lease, so that every
                share of earlier leaders was reported or has expired. Before, an edge keeps the
                share that it reports and gets no more.
            with_spare: until the takeover is complete, issue at least an equal part of
                SPARE_FRACTION to each edge, which for that time fits beside the shares that other
                edges may still use.
        """
        shares = self.outstanding.setdefault(request.service, {})
        own = shares.setdefault(request.edge, OutstandingShares())
        if not takeover_is_complete:
            spare = SPARE_FRACTION * request.rate / max(1, len(edges)) if with_spare else 0.0
            provisional = max(request.current_share, spare)
            own.add(provisional, expires_at)
            return provisional
        own.replace(request.current_share, max(own.last_expiry(expires_at), now))
        others = sum(other.largest(now) for name, other in shares.items() if name != request.edge)
        usable = usable_rate(request.rate, request.burst_seconds, len(edges))
        fair = self.fair_share(request.service, request.edge, edges, usable)
        issued = max(0.0, min(fair, usable - others))
        own.add(issued, expires_at)
        drop_expired(shares, {request.edge, *edges}, now)
        return issued

    def fair_share(self, service: str, edge: str, edges: list[str], usable: float) -> float:
        """Return an edge's part of the usable rate in view of the demand of all edges."""
        demands = self.demands.get(service, {})
        weights = {name: max(MIN_DEMAND, demands.get(name, 0.0)) for name in edges}
        total = sum(weights.values()) or 1.0
        own = weights.get(edge, MIN_DEMAND)
        if total < usable:
            return own + (usable - total) / max(1, len(edges))
        return usable * own / total


def drop_expired(shares: dict[str, OutstandingShares], members: set[str], now: float) -> None:
    """Drop the records of edges that are not members and whose shares have all expired."""
    expired = [
        name for name, issued in shares.items() if name not in members and not issued.largest(now)
    ]
    for name in expired:
        del shares[name]
