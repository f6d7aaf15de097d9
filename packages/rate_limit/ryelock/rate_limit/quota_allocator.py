"""The leader's side of rate limits: quota shares by demand, never more than the rate in total.

For each service, what an edge may still be spending is the largest share that it was given and has
not given back, until that share expires. A new share fits into what is left beside the other
edges' shares. The rate is lowered a little for the requests that full buckets may send at once; see
`rates`.

Where that leaves too little, since a bucket of each of many edges holds at least one token, the
service is narrow: the leader keeps one shared bucket for it and grants whole requests from it to
edges that have requests queued, each grant good for a moment only.
"""

from dataclasses import dataclass

from ryelock.rate_limit.rates import refill_rate, usable_rate
from ryelock.rate_limit.shared_bucket import Grant, SharedTokenBucket

MIN_DEMAND = 0.5
"""An edge's demand counts for at least so much, in requests per second."""
SPARE_FRACTION = 0.3
"""Part of the rate that a new leader may add for all edges together; see `QuotaAllocator.share`."""


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """What an edge asks of one service's rate.

    Attributes:
        service: name of the service.
        rate: the service's rate, in requests per second.
        burst_seconds: seconds of its share that an edge's bucket may save up.
        edge: name of the edge.
        current_share: the share that the edge reports to spend now, in requests per second.
        queued: requests that the edge has queued.
    """

    service: str
    rate: float
    burst_seconds: float
    edge: str
    current_share: float
    queued: int = 0


@dataclass(frozen=True, slots=True)
class IssuedShare:
    """A share of a service's rate that an edge was given.

    Attributes:
        rate: requests per second.
        expires_at: monotonic time in seconds.
    """

    rate: float
    expires_at: float


class OutstandingShares:
    """All shares of one service that one edge may be spending."""

    __slots__ = ("shares",)

    def __init__(self) -> None:
        """Create a record without shares."""
        self.shares: list[IssuedShare] = []

    def add(self, rate: float, expires_at: float) -> None:
        """Note a share that the edge was given."""
        self.shares.append(IssuedShare(rate, expires_at))

    def replace(self, rate: float, expires_at: float) -> None:
        """Forget all shares for the one that the edge reports to spend."""
        self.shares = [IssuedShare(rate, expires_at)]

    def last_expiry(self, default: float) -> float:
        """Return when the last share expires; the default where there is none."""
        return max((share.expires_at for share in self.shares), default=default)

    def largest(self, now: float) -> float:
        """Return the largest share that has not expired, in requests per second."""
        self.shares = [share for share in self.shares if share.expires_at > now]
        return max((share.rate for share in self.shares), default=0.0)


class QuotaAllocator:
    """Shares of every service's rate, for every edge; grants of the narrow services.

    All times are monotonic, in seconds; all rates are in requests per second.

    Attributes:
        outstanding: shares that edges may be spending, by service and edge.
        demands: demand that edges report, by service and edge.
        shared_buckets: the buckets of narrow services, by service.
    """

    __slots__ = ("demands", "outstanding", "shared_buckets")

    def __init__(self) -> None:
        """Create an allocator that knows no edge and no service."""
        self.outstanding: dict[str, dict[str, OutstandingShares]] = {}
        self.demands: dict[str, dict[str, float]] = {}
        self.shared_buckets: dict[str, SharedTokenBucket] = {}

    def report_demand(self, edge: str, demand: dict[str, float]) -> None:
        """Note an edge's demand by service."""
        for service, amount in demand.items():
            self.demands.setdefault(service, {})[edge] = amount

    def report_queued(self, service: str, edge: str, queued: int, now: float) -> None:
        """Note how many requests an edge has queued for a narrow service."""
        self.shared_bucket(service, now).report_queued(edge, queued, now)

    def remove_edge(self, edge: str) -> None:
        """Drop the demand of an edge that is no member; its shares expire by themselves."""
        for demands in self.demands.values():
            demands.pop(edge, None)
        for bucket in self.shared_buckets.values():
            bucket.queued_at.pop(edge, None)

    def release_edge(self, edge: str) -> None:
        """Drop an edge and its shares: it shut down gracefully after its last request."""
        self.remove_edge(edge)
        for shares in self.outstanding.values():
            shares.pop(edge, None)

    def grant(self, request: QuotaRequest, now: float, is_settled: bool) -> Grant:
        """Return what is granted to an edge now and what it may expect.

        Args:
            request: what the edge asks.
            now: monotonic time.
            is_settled: whether a whole lease has passed under this leader, so that it knows what
                others hold; nothing is granted before.
        """
        shares = self.outstanding.setdefault(request.service, {})
        own = shares.setdefault(request.edge, OutstandingShares())
        if request.current_share:
            own.replace(request.current_share, own.last_expiry(now))
        else:
            own.shares = []
        bucket = self.shared_bucket(request.service, now)
        if not is_settled:
            bucket.reset(now)
        bucket.fill(request.rate, sum(other.largest(now) for other in shares.values()), now)
        granted = bucket.take(request.queued)
        edges = 1 + bucket.other_waiting_edges(request.edge, now)
        return Grant(granted, refill_rate(request.rate) / edges, int(bucket.tokens) / edges)

    def seconds_until_grant(self, service: str, rate: float, now: float) -> float:
        """Return the seconds until a narrow service has a request to grant."""
        bucket = self.shared_buckets.get(service)
        return 0.0 if bucket is None else bucket.seconds_until_token(rate, now)

    def shared_bucket(self, service: str, now: float) -> SharedTokenBucket:
        """Return the shared bucket of a service; a new one is empty."""
        return self.shared_buckets.setdefault(service, SharedTokenBucket(now))

    def share(
        self,
        request: QuotaRequest,
        edges: list[str],
        now: float,
        expires_at: float,
        is_settled: bool,
        with_spare: bool = False,
    ) -> float:
        """Return the share that an edge may spend until `expires_at`.

        While the rate is more than all demand, each edge gets its demand and an equal part of
        the rest, so that random bursts of arrivals are admitted; above it, parts go by demand.

        The caller passes the requests of one edge in the order in which the edge sent them, and
        no old one: shares above what an edge reports to spend are taken as given back.

        Args:
            request: what the edge asks.
            edges: names of all edges.
            now: monotonic time.
            expires_at: monotonic time at which the share expires.
            is_settled: whether a whole lease has passed under this leader, so that it knows what
                others hold. Before that an edge keeps what it holds and gets no more.
            with_spare: before that, add a little that fits beside all that others may hold, for
                that short time.
        """
        shares = self.outstanding.setdefault(request.service, {})
        own = shares.setdefault(request.edge, OutstandingShares())
        if not is_settled:
            spare = SPARE_FRACTION * request.rate / max(1, len(edges)) if with_spare else 0.0
            kept = max(request.current_share, spare)
            own.add(kept, expires_at)
            return kept
        own.replace(request.current_share, max(own.last_expiry(expires_at), now))
        others = sum(other.largest(now) for name, other in shares.items() if name != request.edge)
        usable = usable_rate(request.rate, request.burst_seconds, len(edges))
        wanted = self.wanted_share(request.service, request.edge, edges, usable)
        given = max(0.0, min(wanted, usable - others))
        own.add(given, expires_at)
        drop_expired(shares, {request.edge, *edges}, now)
        return given

    def wanted_share(self, service: str, edge: str, edges: list[str], usable: float) -> float:
        """Return an edge's part of the usable rate, by the demand of all edges."""
        demands = self.demands.get(service, {})
        weights = {name: max(MIN_DEMAND, demands.get(name, 0.0)) for name in edges}
        total = sum(weights.values()) or 1.0
        own = weights.get(edge, MIN_DEMAND)
        if total < usable:
            return own + (usable - total) / max(1, len(edges))
        return usable * own / total


def drop_expired(shares: dict[str, OutstandingShares], present: set[str], now: float) -> None:
    """Drop the records of edges that are gone and whose shares have all expired."""
    expired = [
        name for name, issued in shares.items() if name not in present and not issued.largest(now)
    ]
    for name in expired:
        del shares[name]
