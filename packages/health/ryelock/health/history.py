"""In-memory history of probe results, by target, and daily summaries by zone.

A target is an edge and one version of a watch, since results for a changed watch say nothing about
the new version. The history is soft state: probers send their stored results again to a new
aggregator. Results are kept for as long as verdicts look back; of older ones, a summary of the day
and the zone remains.
"""

from collections import deque
from dataclasses import dataclass

from ryelock.health.results import ProbeResult

MAX_RESULTS_PER_TARGET = 400
RETAINED_DAYS = 14
"""Days of which the summaries are kept."""
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class TargetKey:
    """An edge and one version of a watch.

    Attributes:
        zone: zone of the edge.
        edge: name of the edge.
        watch: name of the watch.
        fingerprint: fingerprint of the watch, which identifies its version.
    """

    zone: str
    edge: str
    watch: str
    fingerprint: str


class DailySummary:
    """Summary of one day's probe results for one zone."""

    __slots__ = ("failed", "max_age_seconds", "results")

    def __init__(self) -> None:
        """Create an empty summary."""
        self.results = 0
        self.failed = 0
        self.max_age_seconds: float | None = None

    def add(self, result: ProbeResult) -> None:
        """Add a result to the counts."""
        self.results += 1
        self.failed += result.failed
        if result.age_seconds is not None:
            self.max_age_seconds = max(self.max_age_seconds or 0.0, result.age_seconds)

    def to_dict(self) -> dict[str, object]:
        """Return the summary in the stored form."""
        return {"rows": self.results, "failed": self.failed, "oldest_seconds": self.max_age_seconds}


class History:
    """Results of all probers by target, and daily summaries.

    Attributes:
        retention_seconds: how long results are kept.
        results_by_target: the newest results of each target, in order of arrival.
        probers: newest sequence number of each prober.
        fetched_watches: name and fingerprint of each watch that a probe fetched successfully.
        days: daily summaries by days since 1970 and by zone.
    """

    __slots__ = ("days", "fetched_watches", "probers", "results_by_target", "retention_seconds")

    def __init__(self, retention_seconds: float) -> None:
        """Create an empty history that keeps results for `retention_seconds`."""
        self.retention_seconds = retention_seconds
        self.results_by_target: dict[TargetKey, deque[ProbeResult]] = {}
        self.probers: dict[str, int] = {}
        self.fetched_watches: set[tuple[str, str]] = set()
        self.days: dict[int, dict[str, DailySummary]] = {}

    def add(self, result: ProbeResult) -> bool:
        """Add a result; return False if it is a duplicate."""
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
        for expired_day in sorted(self.days)[:-RETAINED_DAYS]:
            del self.days[expired_day]
        return True

    def expire(self, now: float) -> None:
        """Drop results older than the retention time; `now` is monotonic time in seconds."""
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
        """Return the newest unexpired results of a target, ordered by start time.

        Args:
            target: the target.
            now: monotonic time in seconds.
            count: maximum number of results.
            own_zone_only: omit cross-zone results, which would displace those of the probers
                assigned to the target.
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
        """Return the daily summaries in the stored form, by days since 1970 and by zone."""
        return {
            str(day): {zone: daily.to_dict() for zone, daily in sorted(zones.items())}
            for day, zones in sorted(self.days.items())
        }
