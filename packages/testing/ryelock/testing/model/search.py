"""Long searches: many seeds over several processes, and all short lists of few steps."""

import itertools
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from ryelock.testing.model.schedule import Schedule, Step, draw, run_schedule, shrink

CHUNK = 50


@dataclass(slots=True)
class Finding:
    """A schedule that broke an invariant, shrunk."""

    seed: int
    invariant: str
    detail: str
    schedule: Schedule


@dataclass(slots=True)
class Searched:
    """What a search came to."""

    schedules: int = 0
    seconds: float = 0.0
    findings: list[Finding] = field(default_factory=list)

    @property
    def per_minute(self) -> float:
        """Schedules a minute."""
        return 60 * self.schedules / self.seconds if self.seconds else 0.0


def run_seeds(first: int, count: int, without: frozenset[str]) -> list[Finding]:
    """Run the schedules of consecutive seeds; findings are not shrunk."""
    found = []
    for seed in range(first, first + count):
        schedule = draw(seed, without)
        violation = run_schedule(schedule)
        if violation is not None:
            found.append(Finding(seed, violation.invariant, violation.detail, schedule))
    return found


def search(
    schedules: int, seed: int, jobs: int, without: frozenset[str] = frozenset(), most: int = 10
) -> Searched:
    """Run seeds from `seed` on; at most so many findings an invariant are kept and shrunk."""
    started = time.monotonic()
    searched = Searched(schedules)
    chunks = [
        (first, min(CHUNK, seed + schedules - first))
        for first in range(seed, seed + schedules, CHUNK)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(
            run_seeds,
            [first for first, _ in chunks],
            [count for _, count in chunks],
            itertools.repeat(without),
        )
        for found in results:
            searched.findings += found
    searched.seconds = time.monotonic() - started
    kept: dict[str, int] = {}
    for finding in searched.findings:
        kept[finding.invariant] = kept.get(finding.invariant, 0) + 1
        if kept[finding.invariant] <= most:
            finding.schedule = shrink(finding.schedule, finding.invariant)
    return searched


def exhaustive_schedules(
    alphabet: tuple[Step, ...], length: int, machines: int, snapshot_records: int = 1000
) -> list[Schedule]:
    """Every list of so many steps from an alphabet."""
    return [
        Schedule(0, machines, snapshot_records, steps)
        for steps in itertools.product(alphabet, repeat=length)
    ]


def report(searched: Searched, shown: int = 3) -> str:
    """Figures, and the first findings of each invariant."""
    lines = [
        f"{searched.schedules} schedules, {len(searched.findings)} with a broken invariant, "
        f"{searched.seconds:.1f} s, {searched.per_minute:.0f} a minute"
    ]
    counts: dict[str, int] = {}
    for finding in searched.findings:
        counts[finding.invariant] = counts.get(finding.invariant, 0) + 1
        if counts[finding.invariant] <= shown:
            lines.append(f"seed {finding.seed}: {finding.invariant}: {finding.detail}")
            lines.append(f"  {finding.schedule.encode()}")
    lines += [f"{count} x {invariant}" for invariant, count in counts.items()]
    return "\n".join(lines) + "\n"
