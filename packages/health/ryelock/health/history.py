"""Probe history of the aggregator: in memory, by target, under the verdict span.

A target is an edge and a watch as it was when it was fetched for: a watch that changes under its
name is another one, and what was fetched for the old one proves nothing. It is soft: probers
tell their rows again to a new aggregator. What is older than the span is rolled into one summary
a day and zone, of which fourteen are kept, as the source keeps two weeks.
"""

from collections import deque

from ryelock.health.probe import ProbeResult

MAX_RESULTS_PER_TARGET = 400
RETAINED_DAYS = 14
Target = tuple[str, str, str, str]


class DailySummary:
    """One day's probes of one zone."""

    __slots__ = ("failed", "max_age_seconds", "results")

    def __init__(self) -> None:
        """Create a summary without rows."""
        self.results = 0
        self.failed = 0
        self.max_age_seconds: float | None = None

    def add(self, row: ProbeResult) -> None:
        """Count a row."""
        self.results += 1
        self.failed += row.failed
        if row.age_seconds is not None:
            self.max_age_seconds = max(self.max_age_seconds or 0.0, row.age_seconds)

    def to_dict(self) -> dict[str, object]:
        """Return the summary as plain data."""
        return {"rows": self.results, "failed": self.failed, "oldest_seconds": self.max_age_seconds}


class History:
    """Rows of all probers by target, and the daily summaries."""

    __slots__ = ("days", "fetched_watches", "probers", "results_by_target", "retention_seconds")

    def __init__(self, retention_seconds: float) -> None:
        """Create an empty history of so many seconds."""
        self.retention_seconds = retention_seconds
        self.results_by_target: dict[Target, deque[ProbeResult]] = {}
        self.probers: dict[str, int] = {}
        self.fetched_watches: set[tuple[str, str]] = set()
        self.days: dict[int, dict[str, DailySummary]] = {}

    def add(self, row: ProbeResult) -> bool:
        """Take a row; one that is here already is passed over."""
        rows = self.results_by_target.setdefault(
            (row.zone, row.edge, row.watch, row.watch_fingerprint),
            deque(maxlen=MAX_RESULTS_PER_TARGET),
        )
        if any(
            other.prober == row.prober
            and other.sequence == row.sequence
            and other.wall_time == row.wall_time
            for other in rows
        ):
            return False
        rows.append(row)
        if not row.failed:
            self.fetched_watches.add((row.watch, row.watch_fingerprint))
        day = self.days.setdefault(int(row.wall_time // 86_400), {})
        day.setdefault(row.zone, DailySummary()).add(row)
        for old in sorted(self.days)[:-RETAINED_DAYS]:
            del self.days[old]
        return True

    def expire(self, now: float) -> None:
        """Drop rows that are older than the span."""
        for key, rows in list(self.results_by_target.items()):
            kept = deque(
                (row for row in rows if now - row.started_at <= self.retention_seconds),
                maxlen=MAX_RESULTS_PER_TARGET,
            )
            if kept:
                self.results_by_target[key] = kept
            else:
                del self.results_by_target[key]

    def window(
        self, target: Target, now: float, count: int, own_zone_only: bool = False
    ) -> list[ProbeResult]:
        """The last rows of a target within the span, by when they were taken.

        `inside`: only of those that count for its zone; others would take their room.
        """
        rows = [
            row
            for row in self.results_by_target.get(target, ())
            if now - row.started_at <= self.retention_seconds
            and not (own_zone_only and row.cross_zone)
        ]
        rows.sort(key=lambda row: (row.started_at, row.prober, row.sequence))
        return rows[-count:]

    def summary(self) -> dict[str, object]:
        """Return the daily summaries as plain data, by day since 1970 and zone."""
        return {
            str(day): {zone: found.to_dict() for zone, found in sorted(zones.items())}
            for day, zones in sorted(self.days.items())
        }
