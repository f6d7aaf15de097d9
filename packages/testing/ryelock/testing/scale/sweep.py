"""Every size so many times, each from empty disks, and the JSON file of all outcomes."""

import json
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path

from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor
from ryelock.testing.processes.reactors import run_to_end
from ryelock.testing.scale.judging import measure_judging
from ryelock.testing.scale.losses import lose_all, lose_leader, lose_zone
from ryelock.testing.scale.report import Point, plot
from ryelock.testing.scale.run import ScaleRun
from ryelock.testing.scale.sizes import Figures, Plain, Size
from ryelock.testing.scale.startup import bring_up
from ryelock.testing.scale.steady import (
    at_rest,
    change_listing,
    changes,
    flood,
    over_and_above,
    purges,
    restart_one,
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one bring-up came to: its figures, its faults, and its notes."""

    figures: Figures
    faults: list[str]
    notes: Plain


def phases(run: ScaleRun) -> list[TaskCoroutine[None]]:
    """Return the phases after the start in their order, none of them started."""
    found = [
        at_rest(run),
        changes(run),
        purges(run),
        flood(run),
        over_and_above(run, "listing changed", change_listing),
        over_and_above(run, "node restarted", restart_one),
    ]
    if run.size.losses:
        found += [lose_zone(run), lose_leader(run), lose_all(run)]
    return found


async def work(run: ScaleRun) -> None:
    """Go through all phases; end early where the fleet does not come up or has no leader."""
    if not await bring_up(run):
        return
    for phase in phases(run):
        if await run.find_leader() is None:
            run.faults.append("no leader")
            return
        await phase
    run.figures["orders asked again"] = run.retries
    run.figures["lead passed unasked"] = run.leader_changes - run.size.losses


def run_size(size: Size, keep: str = "") -> Outcome:
    """Bring up one size from empty disks; `keep` names a folder that stays."""
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        runs: list[ScaleRun] = []

        def begin(reactor: Reactor) -> TaskCoroutine[None]:
            runs.append(ScaleRun(size, Path(keep or folder), reactor))
            return work(runs[0])

        try:
            ended = run_to_end(begin)
        finally:
            for run in runs:
                run.stop()
    return Outcome(run.figures, run.faults + ended.faults, run.notes)


def run_scale(
    sizes: dict[str, list[int]], fixed: Size, runs: int, write: str = "", plots: str = ""
) -> list[Point]:
    """Run every size so many times; the list with more than one entry gives the axis.

    Args:
        sizes: counts by name of a field of Size: nodes, zones, servers, routes.
        fixed: what all sizes share.
        runs: bring-ups of each size.
        write: file for the outcomes as JSON, written anew after each run; empty for none.
        plots: folder for the plots; empty for none.
    """
    by = next((name for name, counts in sizes.items() if len(counts) > 1), "nodes")
    first = {name: counts[0] for name, counts in sizes.items()}
    points = [
        Point(f"{count} {by}", replace(fixed, **{**first, by: count}))  # type: ignore[arg-type]
        for count in sizes[by]
    ]
    for point in points:
        for number in range(runs):
            add_run(point, by, number)
            if write:
                write_points(write, by, sizes, points)
    if plots:
        plot(points, by, Path(plots))
    return points


def add_run(point: Point, by: str, number: int) -> None:
    """Bring up a point's size once more and say on stderr how long it took."""
    started = time.monotonic()
    outcome = run_size(point.size)
    if by == "nodes":
        outcome.figures.update(measure_judging(point.size.nodes, point.size.zones))
    point.runs.append(outcome.figures)
    point.faults += outcome.faults
    point.notes.append(outcome.notes)
    faults = "".join(f"; {fault}" for fault in outcome.faults)
    seconds = time.monotonic() - started
    sys.stderr.write(f"{point.label}, run {number + 1}: {seconds:.0f} s{faults}\n")


def write_points(file: str, by: str, sizes: dict[str, list[int]], points: list[Point]) -> None:
    """Write all outcomes so far as JSON."""
    plain = {"by": by, "sizes": sizes, "points": [point.plain() for point in points]}
    Path(file).write_text(json.dumps(plain, indent=1))
