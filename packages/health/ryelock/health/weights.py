"""Each zone's share of the traffic, from the request counts that its edges report.

Edges count client requests, without probes, since their start. The weight of a zone is the growth
of its edges' counts over a sliding window. Counts belong to one run of an edge, so a restarted edge
starts a new counter. Without any traffic, all zones get the same weight, which is reported as
assumed.
"""

from collections import deque
from dataclasses import dataclass, field

from ryelock.membership import Session
from ryelock.settings import NodeRole


@dataclass(frozen=True, slots=True)
class CounterSample:
    """An edge's request count at one time.

    Attributes:
        taken_at: monotonic time in seconds.
        served: requests served since the edge's start.
    """

    taken_at: float
    served: int


@dataclass(slots=True, eq=False)
class EdgeCounter:
    """Request counts of one run of one edge, sampled over the window.

    Attributes:
        zone: zone of the edge.
        total: requests served since the edge's start.
        samples: the last sample at or before the start of the window, and those within it, oldest
            first.
    """

    zone: str
    total: int = 0
    samples: deque[CounterSample] = field(default_factory=deque)

    def add(self, served: int, now: float) -> None:
        """Add a count; an unchanged count adds no sample."""
        if not self.samples or served != self.total:
            self.samples.append(CounterSample(now, served))
        self.total = served

    def drop_before(self, start: float) -> None:
        """Drop samples that a window starting at `start` does not need."""
        while len(self.samples) > 1 and self.samples[1].taken_at <= start:
            self.samples.popleft()

    def is_unchanged_since(self, start: float) -> bool:
        """Return True if the edge has served no requests since `start`."""
        return self.samples[-1].taken_at < start

    def growth(self) -> int:
        """Return the requests served in the window."""
        return self.total - self.samples[0].served


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Each zone's share of the traffic.

    Attributes:
        weights: fractions that add up to one, by zone; empty if there are no zones.
        assumed: True if all zones were weighted equally for lack of traffic data.
    """

    weights: dict[str, float]
    assumed: bool


class ZoneWeights:
    """Computes each zone's share of the traffic from the edges' request counts."""

    __slots__ = ("counters", "window_seconds")

    def __init__(self, window_seconds: float) -> None:
        """Create counters over a sliding window of `window_seconds`."""
        self.window_seconds = window_seconds
        self.counters: dict[str, EdgeCounter] = {}

    def sample(self, sessions: list[Session], now: float) -> None:
        """Add the counts that edges' sessions report, and drop edges that left.

        Args:
            sessions: sessions of all members.
            now: monotonic time in seconds.
        """
        for session in sessions:
            if session.role != NodeRole.EDGE:
                continue
            counter = self.counters.setdefault(session.identity, EdgeCounter(session.zone))
            counter.add(session.served, now)
        present = {session.identity for session in sessions}
        start = now - self.window_seconds
        for identity, counter in list(self.counters.items()):
            counter.drop_before(start)
            if counter.is_unchanged_since(start):
                counter.samples = deque([CounterSample(start, counter.total)])
                if identity not in present:
                    del self.counters[identity]

    def shares(self, zones: list[str]) -> ZoneShares:
        """Return the traffic share of each of the zones."""
        if not zones:
            return ZoneShares({}, True)
        served = dict.fromkeys(zones, 0.0)
        for counter in self.counters.values():
            if counter.zone in served:
                served[counter.zone] += counter.growth()
        total = sum(served.values())
        if total <= 0:
            return ZoneShares({zone: 1.0 / len(zones) for zone in zones}, True)
        return ZoneShares({zone: count / total for zone, count in served.items()}, False)
