"""Probe history of the aggregator: in memory, by target, under the verdict span.

A target is an edge and a watch as it was when it was fetched for: a watch that changes under its
name is another one, and what was fetched for the old one proves nothing. It is soft: probers
tell their rows again to a new aggregator. What is older than the span is rolled into one summary
a day and zone, of which fourteen are kept, as the source keeps two weeks.
"""

from collections import deque

from ryelock.health.probe import ProbeResult

ROWS_PER_TARGET = 400
DAYS = 14
Target = tuple[str, str, str, str]


class Summary:
    """One day's probes of one zone."""

    __slots__ = ("failed", "oldest", "rows")

    def __init__(self) -> None:
        """Create a summary without rows."""
        self.rows = 0
        self.failed = 0
        self.oldest: float | None = None

    def add(self, row: ProbeResult) -> None:
        """Count a row."""
        self.rows += 1
        self.failed += row.failed
        if row.age is not None:
            self.oldest = max(self.oldest or 0.0, row.age)

    def plain(self) -> dict[str, object]:
        """Return the summary as plain data."""
        return {"rows": self.rows, "failed": self.failed, "oldest_seconds": self.oldest}


class History:
    """Rows of all probers by target, and the daily summaries."""

    __slots__ = ("days", "probers", "proven", "span", "targets")

    def __init__(self, span: float) -> None:
        """Create an empty history of so many seconds."""
        self.span = span
        self.targets: dict[Target, deque[ProbeResult]] = {}
        self.probers: dict[str, int] = {}
        self.proven: set[tuple[str, str]] = set()
        self.days: dict[int, dict[str, Summary]] = {}

    def add(self, row: ProbeResult) -> bool:
        """Take a row; one that is here already is passed over."""
        rows = self.targets.setdefault(
            (row.zone, row.edge, row.watch, row.mark), deque(maxlen=ROWS_PER_TARGET)
        )
        if any(
            other.prober == row.prober and other.sequence == row.sequence and other.wall == row.wall
            for other in rows
        ):
            return False
        rows.append(row)
        if not row.failed:
            self.proven.add((row.watch, row.mark))
        day = self.days.setdefault(int(row.wall // 86_400), {})
        day.setdefault(row.zone, Summary()).add(row)
        for old in sorted(self.days)[:-DAYS]:
            del self.days[old]
        return True

    def forget_old(self, now: float) -> None:
        """Drop rows that are older than the span."""
        for key, rows in list(self.targets.items()):
            kept = deque(
                (row for row in rows if now - row.taken <= self.span), maxlen=ROWS_PER_TARGET
            )
            if kept:
                self.targets[key] = kept
            else:
                del self.targets[key]

    def window(
        self, target: Target, now: float, count: int, inside: bool = False
    ) -> list[ProbeResult]:
        """The last rows of a target within the span, by when they were taken.

        `inside`: only of those that count for its zone; others would take their room.
        """
        rows = [
            row
            for row in self.targets.get(target, ())
            if now - row.taken <= self.span and not (inside and row.outside)
        ]
        rows.sort(key=lambda row: (row.taken, row.prober, row.sequence))
        return rows[-count:]

    def summary(self) -> dict[str, object]:
        """Return the daily summaries as plain data, by day since 1970 and zone."""
        return {
            str(day): {zone: found.plain() for zone, found in sorted(zones.items())}
            for day, zones in sorted(self.days.items())
        }
