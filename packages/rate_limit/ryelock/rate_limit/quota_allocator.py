"""The leader's side of a rate: shares by demand, never more given out than there is.

For each service, what an edge may still be spending is the largest share it was given and
has not given back, until that share's term ended. A new share fits into what is left beside
the other edges' shares. The rate is lowered a little for the orders that full buckets may
send at once, so that any 5 s stay within a tenth above it.

Where that leaves too little, since a bucket of each of many edges holds at least one order, the
service is narrow: the leader keeps one well for it and grants whole orders from it to edges
that have orders waiting, each grant good for a moment only.
"""

import math
from typing import NamedTuple

WINDOW = 5.0
OVER = 0.08
LEAST_DEMAND = 0.5
SPARE = 0.3
NARROW = 0.9
GRANT_SECONDS = 0.3
GRANT_LATE = 0.1
WELL_SECONDS = 0.15
RATE_OVER = 1.1
WANTING_SECONDS = 0.5


class SharedTokenBucket:
    """Whole orders of one narrow service that may be granted."""

    __slots__ = ("at", "room", "wanting")

    def __init__(self, now: float) -> None:
        """Create an empty well; `now` is monotonic time in seconds."""
        self.at = now
        self.room = 0.0
        self.wanting: dict[str, float] = {}

    def fill(self, rate: float, taken: float, now: float) -> None:
        """Add what came up to now, less what shares given earlier still take of the rate."""
        steady = max(0.0, steady_rate(rate) - taken)
        self.room = min(most_room(rate), self.room + steady * max(0.0, now - self.at))
        self.at = now

    def others_wanting(self, edge: str, now: float) -> int:
        """Count the other edges that lately had requests waiting."""
        return sum(name != edge and now - at < WANTING_SECONDS for name, at in self.wanting.items())


def most_room(rate: float) -> float:
    """Return how many requests a well of this rate may save up."""
    return max(1.0, WELL_SECONDS * rate)


def steady_rate(rate: float) -> float:
    """What a well may fill by, so that no 5 s hold more whole orders than a tenth over the rate.

    A full well can be granted at once, and a grant be used up to its end and arrive late.
    """
    most = max(1, math.floor(WINDOW * RATE_OVER * rate))
    within = (most + 1 - 0.02 - most_room(rate)) / (WINDOW + GRANT_SECONDS + GRANT_LATE)
    return min(rate, within)


def is_narrow(rate: float, burst: float, edges: int) -> bool:
    """Tell whether too little of a rate is left to give each of so many edges a share."""
    return usable(rate, burst, edges) < NARROW * rate


def usable(rate: float, burst: float, edges: int) -> float:
    """The rate that may be given out as shares to so many edges, each with a bucket of its own.

    A bucket holds burst seconds of its share, and at least one order.
    """
    holds = burst * rate + edges
    return max(0.0, min(rate, (WINDOW * (1 + OVER) * rate - holds) / WINDOW))


def reserve(rate: float, burst: float, edges: int) -> float:
    """An edge's share of a narrow service while there is no leader to grant orders.

    Less than otherwise, for what the last leader may have granted just before.
    """
    return max(0.0, usable(rate, burst, edges) - 0.2 * rate) / max(1, edges)


class Grant(NamedTuple):
    """Whole requests granted to an edge of a narrow service.

    Attributes:
        granted: requests that may be sent now.
        expected: requests a second that the edge may expect.
        found: requests that it may find granted at once when it asks again.
    """

    granted: int
    expected: float
    found: float


class Given:
    """Shares an edge may be spending: each with the moment it ends."""

    __slots__ = ("shares",)

    def __init__(self) -> None:
        """Create a record without shares."""
        self.shares: list[tuple[float, float]] = []

    def largest(self, now: float) -> float:
        """Return the largest share that has not expired, in requests per second."""
        self.shares = [(share, ends) for share, ends in self.shares if ends > now]
        return max((share for share, _ in self.shares), default=0.0)


class QuotaAllocator:
    """Shares of every service's rate, for every edge; grants of the narrow ones."""

    __slots__ = ("demands", "given", "shared_buckets")

    def __init__(self) -> None:
        """Create a divider that knows no edge and no service."""
        self.given: dict[str, dict[str, Given]] = {}
        self.demands: dict[str, dict[str, float]] = {}
        self.shared_buckets: dict[str, SharedTokenBucket] = {}

    def report(self, edge: str, demand: dict[str, float]) -> None:
        """Note an edge's demand, in requests per second by service."""
        for service, amount in demand.items():
            self.demands.setdefault(service, {})[edge] = amount

    def forget(self, edge: str) -> None:
        """The edge is no member: its demand counts no more; its shares run out by themselves."""
        for demands in self.demands.values():
            demands.pop(edge, None)
        for well in self.shared_buckets.values():
            well.wanting.pop(edge, None)

    def release(self, edge: str) -> None:
        """The edge gave everything back: it said goodbye after its last dispatch."""
        self.forget(edge)
        for shares in self.given.values():
            shares.pop(edge, None)

    def want(self, service: str, edge: str, wanted: int, now: float) -> None:
        """So many orders wait at an edge for a narrow service."""
        well = self.shared_buckets.setdefault(service, SharedTokenBucket(now))
        if wanted:
            well.wanting[edge] = now
        else:
            well.wanting.pop(edge, None)

    def grant(
        self,
        service: str,
        rate: float,
        edge: str,
        wanted: int,
        holding: float,
        now: float,
        fresh: bool,
    ) -> Grant:
        """Return what is granted to an edge now and what it may expect.

        Nothing before a new leader knows what others hold.
        """
        shares = self.given.setdefault(service, {})
        mine = shares.setdefault(edge, Given())
        last = max((until for _, until in mine.shares), default=now)
        mine.shares = [(holding, last)] if holding else []
        well = self.shared_buckets.setdefault(service, SharedTokenBucket(now))
        if not fresh:
            well.at, well.room = now, 0.0
        well.fill(rate, sum(given.largest(now) for given in shares.values()), now)
        granted = min(wanted, int(well.room))
        well.room -= granted
        part = 1 + well.others_wanting(edge, now)
        return Grant(granted, steady_rate(rate) / part, int(well.room) / part)

    def soon(self, service: str, rate: float, now: float) -> float:
        """Seconds until a narrow service's well has an order to grant."""
        well = self.shared_buckets.get(service)
        if well is None:
            return 0.0
        missing = 1.0 - well.room - steady_rate(rate) * (now - well.at)
        return max(0.0, missing / steady_rate(rate))

    def share(
        self,
        service: str,
        rate: float,
        burst: float,
        edge: str,
        edges: list[str],
        holding: float,
        now: float,
        ends: float,
        fresh: bool,
        spare: bool = False,
    ) -> float:
        """The share of an edge until `ends`; `holding` is what it says it spends now.

        While the rate is more than all demand, each edge gets its demand and an equal part of
        the rest, so that chance in the arrivals finds room; above it, parts go by demand.

        The caller passes asks of one edge in the order in which the edge sent them, and no
        old one: what an edge says it holds is taken as given back above that.

        Until a new leader has seen a whole term pass it is not fresh to it what others
        hold: an edge then keeps what it holds and gets no more, or with `spare` a little that
        fits beside all that others may hold, for that short time.
        """
        shares = self.given.setdefault(service, {})
        mine = shares.setdefault(edge, Given())
        if not fresh:
            if spare:
                holding = max(holding, SPARE * rate / max(1, len(edges)))
            mine.shares.append((holding, ends))
            return holding
        last = max((until for _, until in mine.shares), default=ends)
        mine.shares = [(holding, max(last, now))]
        others = sum(given.largest(now) for name, given in shares.items() if name != edge)
        most = usable(rate, burst, len(edges))
        wanted = self.wanted_share(service, edge, edges, most)
        given = max(0.0, min(wanted, most - others))
        mine.shares.append((given, ends))
        forget_ended(shares, {edge, *edges}, now)
        return given

    def wanted_share(self, service: str, edge: str, edges: list[str], most: float) -> float:
        """Return an edge's part of the rate `most`, by the demand of all edges."""
        demands = self.demands.get(service, {})
        weights = {name: max(LEAST_DEMAND, demands.get(name, 0.0)) for name in edges}
        total = sum(weights.values()) or 1.0
        mine = weights.get(edge, LEAST_DEMAND)
        if total < most:
            return mine + (most - total) / max(1, len(edges))
        return most * mine / total


def forget_ended(shares: dict[str, Given], present: set[str], now: float) -> None:
    """Drop the records of edges that are gone and whose shares have all ended."""
    ended = [
        name for name, given in shares.items() if name not in present and not given.largest(now)
    ]
    for name in ended:
        del shares[name]
