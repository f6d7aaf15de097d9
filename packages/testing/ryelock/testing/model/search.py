"""Searches for violations: many random seeds in parallel, and exhaustive short schedules."""

import itertools
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from ryelock.testing.model.schedule import Schedule, Step, draw, run_schedule, shrink

SEEDS_PER_CHUNK = 50


@dataclass(slots=True)
class Finding:
    """A schedule that broke an invariant."""

    seed: int
    invariant: str
    detail: str
    schedule: Schedule


@dataclass(slots=True)
class SearchResult:
    """The result of a search."""

    schedules: int = 0
    seconds: float = 0.0
    findings: list[Finding] = field(default_factory=list)

    @property
    def schedules_per_minute(self) -> float:
        """Return the number of schedules run per minute."""
        return 60 * self.schedules / self.seconds if self.seconds else 0.0


def run_seeds(first: int, count: int, without: frozenset[str]) -> list[Finding]:
    """Run the schedules of consecutive seeds; the findings are not shrunk."""
    found = []
    for seed in range(first, first + count):
        schedule = draw(seed, without)
        violation = run_schedule(schedule)
        if violation is not None:
            found.append(Finding(seed, violation.invariant, violation.detail, schedule))
    return found


def search(
    schedules: int,
    seed: int,
    jobs: int,
    without: frozenset[str] = frozenset(),
    max_shrunk: int = 10,
) -> SearchResult:
    """Run consecutive seeds in `jobs` processes; shrink the first findings of each invariant."""
    started = time.monotonic()
    result = SearchResult(schedules)
    chunks = [
        (first, min(SEEDS_PER_CHUNK, seed + schedules - first))
        for first in range(seed, seed + schedules, SEEDS_PER_CHUNK)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(
            run_seeds,
            [first for first, _ in chunks],
            [count for _, count in chunks],
            itertools.repeat(without),
        )
        for found in results:
            result.findings += found
    result.seconds = time.monotonic() - started
    shrunk_counts: dict[str, int] = {}
    for finding in result.findings:
        shrunk_counts[finding.invariant] = shrunk_counts.get(finding.invariant, 0) + 1
        if shrunk_counts[finding.invariant] <= max_shrunk:
            finding.schedule = shrink(finding.schedule, finding.invariant)
    return result


def exhaustive_schedules(
    alphabet: tuple[Step, ...], length: int, machines: int, snapshot_records: int = 1000
) -> list[Schedule]:
    """Return every sequence of `length` steps from an alphabet."""
    return [
        Schedule(0, machines, snapshot_records, steps)
        for steps in itertools.product(alphabet, repeat=length)
    ]


def report(result: SearchResult, shown: int = 3) -> str:
    """Return a text with totals and the first findings of each invariant."""
    lines = [
        f"{result.schedules} schedules, {len(result.findings)} with a broken invariant, "
        f"{result.seconds:.1f} s, {result.schedules_per_minute:.0f} a minute"
    ]
    counts: dict[str, int] = {}
    for finding in result.findings:
        counts[finding.invariant] = counts.get(finding.invariant, 0) + 1
        if counts[finding.invariant] <= shown:
            lines.append(f"seed {finding.seed}: {finding.invariant}: {finding.detail}")
            lines.append(f"  {finding.schedule.encode()}")
    lines += [f"{count} x {invariant}" for invariant, count in counts.items()]
    return "\n".join(lines) + "\n"
