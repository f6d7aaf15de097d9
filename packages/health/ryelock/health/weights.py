"""Each zone's share of visitors, from the orders that its edges say they served.

Edges count orders of callers, probes left out, since their own start. The weights are the
growth of those counts over a sliding span, so they follow the crowd; a count that falls is a
fresh start of that edge. Where nobody came yet all zones weigh alike, and it is said so.
"""

from collections import deque

from ryelock.membership import Session


class EdgeCounter:
    """Requests served by one run of one edge, sampled over the span."""

    __slots__ = ("incarnation", "samples", "total", "zone")

    def __init__(self, zone: str, incarnation: str) -> None:
        """Create a counter without samples."""
        self.zone = zone
        self.incarnation = incarnation
        self.total = 0
        self.samples: deque[tuple[float, int]] = deque()


class ZoneWeights:
    """Counts of served requests by edge, from which each zone's fraction follows."""

    __slots__ = ("counters", "window_seconds")

    def __init__(self, window_seconds: float) -> None:
        """Create counters over a sliding span of so many seconds."""
        self.window_seconds = window_seconds
        self.counters: dict[tuple[str, str], EdgeCounter] = {}

    def sample(self, sessions: list[Session], now: float) -> None:
        """Take the counts that edges' sessions tell now, and drop edges that left."""
        for session in sessions:
            if session.role != "edge":
                continue
            key = (session.name, session.incarnation)
            counter = self.counters.get(key)
            if counter is None:
                counter = self.counters[key] = EdgeCounter(session.zone, session.incarnation)
                counter.samples.append((now, session.served))
            elif session.served != counter.total:
                counter.samples.append((now, session.served))
            counter.total = session.served
        for key, counter in list(self.counters.items()):
            while len(counter.samples) > 1 and counter.samples[1][0] <= now - self.window_seconds:
                counter.samples.popleft()
            if counter.samples[-1][0] < now - self.window_seconds:
                counter.samples = deque([(now - self.window_seconds, counter.total)])
                if not any(
                    session.name == key[0] and session.incarnation == key[1] for session in sessions
                ):
                    del self.counters[key]

    def weights(self, zones: list[str]) -> tuple[dict[str, float], bool]:
        """Shares that add up to one, and whether they are only assumed."""
        if not zones:
            return {}, True
        served = dict.fromkeys(zones, 0.0)
        for counter in self.counters.values():
            if counter.zone in served:
                served[counter.zone] += counter.total - counter.samples[0][1]
        total = sum(served.values())
        if total <= 0:
            return {zone: 1.0 / len(zones) for zone in zones}, True
        return {zone: count / total for zone, count in served.items()}, False
