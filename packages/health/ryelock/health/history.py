"""Probe history of the aggregator: in memory, by target, for the time that verdicts look back.

A target is an edge and a watch as it was when it was fetched for: a watch that changes under its
name is another one, and what was fetched for the old one proves nothing. It is soft state: probers
send their results again to a new aggregator. What is older is rolled into one summary a day and
zone, of which two weeks are kept.
"""

from collections import deque
from dataclasses import dataclass

from ryelock.health.results import ProbeResult

MAX_RESULTS_PER_TARGET = 400
RETAINED_DAYS = 14
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class TargetKey:
    """An edge and a watch as it was when it was fetched for.

    Attributes:
        zone: zone of the edge.
        edge: name of the edge.
        watch: name of the watch.
        fingerprint: tells the watch from another of its name.
    """

    zone: str
    edge: str
    watch: str
    fingerprint: str


class DailySummary:
    """One day's probes of one zone."""

    __slots__ = ("failed", "max_age_seconds", "results")

    def __init__(self) -> None:
        """Create a summary without results."""
        self.results = 0
        self.failed = 0
        self.max_age_seconds: float | None = None

    def add(self, result: ProbeResult) -> None:
        """Count a result."""
        self.results += 1
        self.failed += result.failed
        if result.age_seconds is not None:
            self.max_age_seconds = max(self.max_age_seconds or 0.0, result.age_seconds)

    def to_dict(self) -> dict[str, object]:
        """Return the summary as maps and lists."""
        return {"rows": self.results, "failed": self.failed, "oldest_seconds": self.max_age_seconds}


class History:
    """Results of all probers by target, and the daily summaries.

    Attributes:
        retention_seconds: how long results are kept.
        results_by_target: the newest results of each target, in the order of their arrival.
        probers: newest sequence number that is here of each prober.
        fetched_watches: name and fingerprint of the watches that some probe fetched.
        days: daily summaries by day since 1970 and zone.
    """

    __slots__ = ("days", "fetched_watches", "probers", "results_by_target", "retention_seconds")

    def __init__(self, retention_seconds: float) -> None:
        """Create an empty history that keeps results for so many seconds."""
        self.retention_seconds = retention_seconds
        self.results_by_target: dict[TargetKey, deque[ProbeResult]] = {}
        self.probers: dict[str, int] = {}
        self.fetched_watches: set[tuple[str, str]] = set()
        self.days: dict[int, dict[str, DailySummary]] = {}

    def add(self, result: ProbeResult) -> bool:
        """Take a result; False where it is here already."""
        results = self.results_by_target.setdefault(
            TargetKey(result.zone, result.edge, result.watch, result.watch_fingerprint),
            deque(maxlen=MAX_RESULTS_PER_TARGET),
        )
        if any(
            other.prober == result.prober
            and other.sequence == result.sequence
            and other.wall_time == result.wall_time
            for other in results
        ):
            return False
        results.append(result)
        if not result.failed:
            self.fetched_watches.add((result.watch, result.watch_fingerprint))
        day = self.days.setdefault(int(result.wall_time // SECONDS_PER_DAY), {})
        day.setdefault(result.zone, DailySummary()).add(result)
        for old in sorted(self.days)[:-RETAINED_DAYS]:
            del self.days[old]
        return True

    def expire(self, now: float) -> None:
        """Drop results that are too old; `now` is monotonic time in seconds."""
        for key, results in list(self.results_by_target.items()):
            kept = deque(
                (result for result in results if now - result.started_at <= self.retention_seconds),
                maxlen=MAX_RESULTS_PER_TARGET,
            )
            if kept:
                self.results_by_target[key] = kept
            else:
                del self.results_by_target[key]

    def window(
        self, target: TargetKey, now: float, count: int, own_zone_only: bool = False
    ) -> list[ProbeResult]:
        """Return the last results of a target that are not too old, by when they began.

        Args:
            target: the target.
            now: monotonic time in seconds.
            count: most results.
            own_zone_only: only of probers in the target's zone; others would take their room.
        """
        results = [
            result
            for result in self.results_by_target.get(target, ())
            if now - result.started_at <= self.retention_seconds
            and not (own_zone_only and result.cross_zone)
        ]
        results.sort(key=lambda result: (result.started_at, result.prober, result.sequence))
        return results[-count:]

    def summary(self) -> dict[str, object]:
        """Return the daily summaries as maps and lists, by day since 1970 and zone."""
        return {
            str(day): {zone: found.to_dict() for zone, found in sorted(zones.items())}
            for day, zones in sorted(self.days.items())
        }
