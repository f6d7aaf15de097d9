"""Each zone's share of visitors, from the requests that its edges report to have served.

Edges count requests of callers, probes left out, since their own start. The weights are the
growth of those counts over a sliding window, so they follow the audience; a count that falls is a
new start of that edge. Where nobody came yet all zones weigh the same, which is reported as an
assumption.
"""

from collections import deque
from dataclasses import dataclass, field

from ryelock.membership import Session
from ryelock.settings import NodeRole


@dataclass(frozen=True, slots=True)
class CounterSample:
    """The requests that an edge had served at a moment.

    Attributes:
        taken_at: monotonic time in seconds.
        served: requests since the edge's start.
    """

    taken_at: float
    served: int


@dataclass(slots=True, eq=False)
class EdgeCounter:
    """Requests served by one run of one edge, sampled over the window.

    Attributes:
        zone: zone of the edge.
        total: requests since the edge's start.
        samples: one at or before the start of the window, and those in it; oldest first.
    """

    zone: str
    total: int = 0
    samples: deque[CounterSample] = field(default_factory=deque)

    def add(self, served: int, now: float) -> None:
        """Take a count; an unchanged one needs no sample."""
        if not self.samples or served != self.total:
            self.samples.append(CounterSample(now, served))
        self.total = served

    def drop_before(self, start: float) -> None:
        """Drop the samples that the window, which starts at `start`, no longer needs."""
        while len(self.samples) > 1 and self.samples[1].taken_at <= start:
            self.samples.popleft()

    def is_unchanged_since(self, start: float) -> bool:
        """Tell whether the edge served nothing in the window."""
        return self.samples[-1].taken_at < start

    def growth(self) -> int:
        """Return the requests served in the window."""
        return self.total - self.samples[0].served


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Each zone's share of visitors.

    Attributes:
        weights: fractions that add up to one, by zone; empty where there is no zone.
        assumed: whether they are only assumed, since no visitors were counted yet.
    """

    weights: dict[str, float]
    assumed: bool


class ZoneWeights:
    """Counts of served requests by edge, from which each zone's fraction follows."""

    __slots__ = ("counters", "window_seconds")

    def __init__(self, window_seconds: float) -> None:
        """Create counters over a sliding window of so many seconds."""
        self.window_seconds = window_seconds
        self.counters: dict[str, EdgeCounter] = {}

    def sample(self, sessions: list[Session], now: float) -> None:
        """Take the counts that edges' sessions report, and drop edges that left.

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
        """Return the share of each of the zones."""
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
