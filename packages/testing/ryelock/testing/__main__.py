"""Command line of `python -m ryelock.testing`: real fleets, simulated runs, measurements."""

import sys
import time
import warnings
from collections import Counter
from dataclasses import dataclass, field

import defopt

warnings.filterwarnings("ignore", message="pkg_resources is deprecated")

from ryelock.testing.cases import CASES  # noqa: E402
from ryelock.testing.days.command import days, played  # noqa: E402
from ryelock.testing.finals import FINALS, run_final  # noqa: E402
from ryelock.testing.measure import MEASURES, measure  # noqa: E402
from ryelock.testing.model.replay import replay_schedule  # noqa: E402
from ryelock.testing.model.schedule import EXCLUDABLE_KINDS  # noqa: E402
from ryelock.testing.model.search import report, search  # noqa: E402
from ryelock.testing.processes.run import run_fleet  # noqa: E402
from ryelock.testing.scale import Point, Size, run_scale, table  # noqa: E402
from ryelock.testing.scale.catch_up import measure_catch_up  # noqa: E402
from ryelock.testing.scale.pieces import measure_pieces  # noqa: E402
from ryelock.testing.schedules import ScheduleResult, run_schedule  # noqa: E402
from ryelock.testing.soak.plan import DEFAULT_SECONDS, FleetSize  # noqa: E402
from ryelock.testing.soak.run import run_soak  # noqa: E402


def fleet(
    shape: str = "small",
    *,
    seconds: float = 5.0,
    seed: int = 1,
    faults: bool = False,
    keep: str = "",
) -> int:
    """Start a fleet of real processes on loopback, run traffic and print a report.

    :param shape: small, buchfalter or wanjiru
    :param seconds: seconds of traffic before the first change
    :param seed: seed of the traffic
    :param faults: also kill the leader and a zone, and restart everything in turn
    :param keep: folder for settings, data and logs; by default a temporary one that is removed
    """
    return run_fleet(shape, seconds, seed, faults, keep)


def soak(
    *,
    seed: int = 1,
    runs: int = 1,
    size: str = FleetSize.SMALL,
    seconds: float = DEFAULT_SECONDS,
    keep: str = "",
    crowded_every: int = 0,
) -> int:
    """Play overlapping series of signals, restarts and changes on real processes, one run a seed.

    :param seed: first seed
    :param runs: number of seeds
    :param size: small or crowded
    :param seconds: seconds of traffic in each run
    :param keep: folder for settings, data and logs; by default a temporary one that is removed
    :param crowded_every: a seed that this number divides is crowded, whatever the size; 0 for none
    """
    return run_soak(seed, runs, size, seconds, keep, crowded_every)


def simulate(
    *, seed: int = 1, runs: int = 1, faults: int = 8, size: str = "small", verbose: bool = False
) -> int:
    """Run random schedules of faults in the simulator, one per seed.

    :param seed: first seed
    :param runs: number of seeds
    :param faults: number of faults per schedule
    :param size: small, or the size of a deployment: buchfalter, wanjiru
    :param verbose: print the faults of runs without a violation too
    """
    totals = SimulationTotals()
    started = time.monotonic()
    for number in range(seed, seed + runs):
        result = run_schedule(number, faults, size=size)
        totals.add(result)
        if result.findings.violations or verbose:
            sys.stdout.write(f"seed {number}: back after {result.recovery_seconds}\n")
            sys.stdout.writelines(f"  {line}\n" for line in result.events)
            sys.stdout.writelines(f"  BROKEN {line}\n" for line in result.findings.violations[:10])
        if result.findings.violations:
            sys.stdout.write(
                f"  again: python -m ryelock.testing simulate --seed {number} "
                f"--faults {faults} --size {size}\n"
            )
    sys.stdout.write(totals.report())
    sys.stderr.write(f"{time.monotonic() - started:.0f} s\n")
    return 1 if totals.failed else 0


@dataclass(slots=True)
class SimulationTotals:
    """Totals of the runs of `simulate` over all seeds.

    Attributes:
        runs: completed runs.
        failed: runs with a violation.
        recovery_seconds: time from the last fault to service, of each run that recovered.
        fault_counts: injected faults by name.
        downs: down verdicts of zones.
        false_downs: down verdicts of zones that served callers well.
    """

    runs: int = 0
    failed: int = 0
    recovery_seconds: list[float] = field(default_factory=list)
    fault_counts: Counter[str] = field(default_factory=Counter)
    downs: int = 0
    false_downs: int = 0

    def add(self, result: ScheduleResult) -> None:
        """Add the result of one run."""
        self.runs += 1
        self.failed += bool(result.findings.violations)
        self.downs += len(result.scenario.downs)
        self.false_downs += result.false_downs
        self.fault_counts.update(result.fault_counts)
        if result.recovery_seconds is not None:
            self.recovery_seconds.append(result.recovery_seconds)

    def report(self) -> str:
        """Return the summary that the command prints last."""
        counts = sorted(self.fault_counts.items())
        lines = [
            "faults: " + ", ".join(f"{name} {count}" for name, count in counts),
            f"down verdicts {self.downs}, of zones that served {self.false_downs}",
        ]
        seconds = sorted(self.recovery_seconds)
        if seconds:
            lines.append(
                f"return after the last fault: median {seconds[len(seconds) // 2]:.2f} s,"
                f" longest {seconds[-1]:.2f} s"
            )
        lines.append(f"{self.runs - self.failed} passed, {self.failed} failed")
        return "".join(f"{line}\n" for line in lines)


def case(name: str = "", *, seed: int = 1, runs: int = 1) -> int:
    """Run one fault-injection case over seeds; without a name, every case.

    :param name: one of the cases in ryelock.testing.cases
    :param seed: first seed
    :param runs: number of seeds
    """
    failed = 0
    names = [name] if name else list(CASES)
    if any(chosen not in CASES for chosen in names):
        sys.stderr.write(f"no case {name!r}; there are {', '.join(CASES)}\n")
        return 2
    for chosen in names:
        for number in range(seed, seed + runs):
            found = CASES[chosen](number)
            failed += bool(found.violations)
            sys.stdout.writelines(
                f"{chosen} seed {number}: BROKEN {line}\n" for line in found.violations[:10]
            )
    sys.stdout.write(f"{len(names) * runs - failed} passed, {failed} failed\n")
    return 1 if failed else 0


def finals(
    name: str = "",
    *,
    seed: int = 1,
    runs: int = 1,
    size: str = "small",
    before: int = 0,
    verbose: bool = False,
) -> int:
    """Lose something for good and check that service recovers; without a name, each loss.

    :param name: one of the losses in ryelock.testing.finals
    :param seed: first seed
    :param runs: number of seeds
    :param size: small, buchfalter or wanjiru
    :param before: number of earlier faults that are repaired before the loss
    :param verbose: print each run
    """
    names = [name] if name else list(FINALS)
    if any(chosen not in FINALS for chosen in names):
        sys.stderr.write(f"no final loss {name!r}; there are {', '.join(FINALS)}\n")
        return 2
    failed = passed = 0
    for chosen in names:
        slowest: list[float] = []
        for number in range(seed, seed + runs):
            result = run_final(number, chosen, size, before)
            slowest.append(result.slowest)
            failed += bool(result.findings.violations)
            passed += not result.findings.violations
            if result.findings.violations or verbose:
                sys.stdout.write(
                    f"{chosen} seed {number}: {result.events} {result.recovery_seconds}\n"
                )
                sys.stdout.writelines(
                    f"  BROKEN {line}\n" for line in result.findings.violations[:6]
                )
        slowest.sort()
        sys.stdout.write(
            f"{chosen} {size}: back after median {slowest[len(slowest) // 2]:.1f} s, "
            f"longest {slowest[-1]:.1f} s\n"
        )
        sys.stdout.flush()
    sys.stdout.write(f"{passed} passed, {failed} failed\n")
    return 1 if failed else 0


def measures(like: str = "", *, seed: int = 1, runs: int = 10) -> int:
    """Measure properties of the protocols in the simulator, over seeds.

    :param like: only measures whose names contain this text
    :param seed: first seed
    :param runs: number of seeds
    """
    sys.stdout.write(
        "| what | unit | lowest | median | highest | runs |\n|---|---|---|---|---|---|\n"
    )
    for name in [name for name in MEASURES if like in name]:
        sys.stdout.write(measure(name, range(seed, seed + runs)) + "\n")
        sys.stdout.flush()
    return 0


def parse_numbers(text: str) -> list[int]:
    """Parse integers separated by commas."""
    return [int(part) for part in text.split(",")]


def scale(  # noqa: PLR0913 - one parameter a flag
    *,
    nodes: str = "20,60,180",
    zones: str = "4",
    servers: str = "12",
    routes: str = "4",
    runs: int = 3,
    processes: int = 1,
    seconds: float = 4.0,
    changes: int = 5,
    restarts: int = 3,
    flood: float = 42.0,
    probe_seconds: float = 30.0,
    joins: float = 20.0,
    losses: bool = True,
    write: str = "",
    plots: str = "",
) -> int:
    """Run real control nodes and an edge with hollow nodes, at each size, and print the costs.

    One of the four sizes may be a list separated by commas; results are shown by that size.

    :param nodes: number of hollow nodes
    :param zones: number of their zones
    :param servers: number of servers that the platform lists
    :param routes: number of routes in the configuration
    :param runs: number of runs of each size
    :param processes: number of processes that run the hollow nodes
    :param seconds: length of the idle window
    :param changes: changes, and purges, one after another
    :param restarts: nodes restarted, and listings changed, one after another
    :param flood: purges per second in the purge load; 0: none
    :param probe_seconds: seconds between probe results of a hollow node; 0: none
    :param joins: nodes that join per second
    :param losses: also kill the leader, and finally all control nodes
    :param write: JSON file for the results of all runs
    :param plots: folder for a plot of each result
    """
    sizes = {
        "nodes": parse_numbers(nodes),
        "zones": parse_numbers(zones),
        "servers": parse_numbers(servers),
        "routes": parse_numbers(routes),
    }
    fixed = Size(
        1,
        1,
        1,
        1,
        processes=processes,
        seconds=seconds,
        changes=changes,
        restarts=restarts,
        flood=flood,
        probe_seconds=probe_seconds,
        joins=joins,
        losses=losses,
    )
    by = next((name for name, counts in sizes.items() if len(counts) > 1), "nodes")
    points = run_scale(sizes, fixed, runs, write, plots)
    sys.stdout.write(table(points, by))
    for point in points:
        sys.stdout.writelines(f"{point.label}: {fault}\n" for fault in point.faults)
    return 0


def pieces(
    *,
    nodes: str = "60,180,540,2400",
    zones: int = 54,
    servers: int = 460,
    routes: int = 4,
    copies: int = 100_000,
    runs: int = 3,
    judged: bool = False,
) -> int:
    """Measure the single operations of a control node in this process, at any size.

    :param nodes: numbers of edges with a session, separated by commas
    :param zones: number of their zones
    :param servers: number of servers that the platform lists
    :param routes: number of routes in the configuration
    :param copies: number of cached copies at an edge
    :param runs: number of measurements of each size
    :param judged: also fill a complete history of probe results and evaluate it
    """
    points = [
        Point(f"{count} nodes", Size(count, zones, servers, routes))
        for count in parse_numbers(nodes)
    ]
    for point in points:
        point.runs = [
            measure_pieces(point.size.nodes, zones, servers, routes, copies, judged)
            for _ in range(runs)
        ]
    sys.stdout.write(table(points, "nodes"))
    return 0


def catch_up(*, changes: str = "100,400,1600", routes: str = "5,650", runs: int = 3) -> int:
    """Measure the cost for a control node and an edge of catching up after an absence.

    :param changes: numbers of missed changes, separated by commas
    :param routes: numbers of routes that each change replaces, separated by commas
    :param runs: number of measurements of each pair
    """
    for route_count in parse_numbers(routes):
        points = [
            Point(f"{count} changes", Size(1, 1, 0, route_count))
            for count in parse_numbers(changes)
        ]
        for point, count in zip(points, parse_numbers(changes), strict=True):
            point.runs = [measure_catch_up(count, route_count) for _ in range(runs)]
        sys.stdout.write(f"{route_count} routes\n\n{table(points, 'changes')}\n")
    return 0


def model(
    *,
    schedules: int = 1000,
    seed: int = 1,
    jobs: int = 4,
    without: str = "",
    replay: str = "",
) -> int:
    """Run random schedules of the consensus model, one per seed; exit status 1 after a finding.

    :param schedules: number of schedules
    :param seed: first seed
    :param jobs: processes that run them
    :param without: kinds of steps to leave out, separated by commas
    :param replay: file with one schedule, as printed with a finding, to run instead
    """
    if replay:
        return replay_schedule(replay)
    left_out = frozenset(filter(None, without.split(",")))
    unknown = left_out - EXCLUDABLE_KINDS
    if unknown:
        sys.stderr.write(f"unknown: {', '.join(sorted(unknown))}\n")
        return 2
    searched = search(schedules, seed, jobs, left_out)
    sys.stdout.write(report(searched))
    return 1 if searched.findings else 0


def main() -> None:
    """Run the command that the arguments name, and exit with its status."""
    # A simulated crash drops tasks that never ran.
    warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)
    commands = [
        fleet,
        soak,
        simulate,
        case,
        finals,
        measures,
        model,
        scale,
        pieces,
        catch_up,
        days,
        played,
    ]
    sys.exit(defopt.run(commands, short={}))


main()
