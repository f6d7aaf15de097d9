"""Plans of soak runs, drawn from a seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from ryelock.testing.processes.shapes import Shape, machines_of, small

DEFAULT_SECONDS = 20.0
CROWDED_EDGES_PER_ZONE = 40
CROWDED_ZONES = ("a", "b", "c")
CRASH_FRACTION = 0.4
"""Fraction of the plans in which processes are also killed and frozen."""
MIN_SERIES, MAX_SERIES = 5, 9
MAX_GAP_SECONDS = 1.5
SERIES_SPAN_FRACTION = 0.7
"""Series begin in this fraction of a run, so that they overlap and end before it."""


class FleetSize(StrEnum):
    """Number of processes of a run."""

    SMALL = "small"
    CROWDED = "crowded"
    """As many as half of a machine with 24 GiB of memory holds."""


class SeriesKind(StrEnum):
    """What a series repeats."""

    TERMINATE_EDGES = "terminate edges"
    TERMINATE_CONTROL_NODES = "terminate control nodes"
    TERMINATE_PROBERS = "terminate probers"
    TERMINATE_TWICE = "terminate twice"
    HANG_UP = "hang up"
    CHANGE = "change"
    PURGE = "purge"
    REPLACE_SERVERS = "replace servers"
    KILL = "kill"
    FREEZE = "freeze"


MAX_REPEATS = {
    SeriesKind.TERMINATE_EDGES: 4,
    SeriesKind.TERMINATE_CONTROL_NODES: 3,
    SeriesKind.TERMINATE_PROBERS: 3,
    SeriesKind.TERMINATE_TWICE: 3,
    SeriesKind.HANG_UP: 40,
    SeriesKind.CHANGE: 12,
    SeriesKind.PURGE: 12,
    SeriesKind.REPLACE_SERVERS: 3,
    SeriesKind.KILL: 3,
    SeriesKind.FREEZE: 2,
}
CRASHES = (SeriesKind.KILL, SeriesKind.FREEZE)
PLANNED = tuple(kind for kind in SeriesKind if kind not in CRASHES)


@dataclass(frozen=True, slots=True)
class Series:
    """One series of a plan.

    Attributes:
        kind: what is repeated.
        starts_at: seconds after the start of traffic.
        repeats: how often.
        gap_seconds: longest pause between two repeats; a repeat does not wait for the one before.
    """

    kind: SeriesKind
    starts_at: float
    repeats: int
    gap_seconds: float


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak run.

    Attributes:
        seed: seed of the plan, the traffic and the servers.
        size: number of processes.
        seconds: length of the traffic.
        series: all series, by the time at which they start.
    """

    seed: int
    size: FleetSize
    seconds: float
    series: tuple[Series, ...]


def draw_plan(seed: int, size: FleetSize, seconds: float = DEFAULT_SECONDS) -> Plan:
    """Return the plan of a seed; edges are terminated and the configuration changed in each."""
    random = Random(f"soak {seed}")
    kinds = [SeriesKind.TERMINATE_EDGES, SeriesKind.CHANGE]
    allowed = list(SeriesKind) if random.random() < CRASH_FRACTION else list(PLANNED)
    kinds += random.choices(allowed, k=random.randint(MIN_SERIES, MAX_SERIES) - len(kinds))
    series = [draw_series(random, kind, seconds) for kind in kinds]
    return Plan(seed, size, seconds, tuple(sorted(series, key=lambda one: one.starts_at)))


def draw_series(random: Random, kind: SeriesKind, seconds: float) -> Series:
    """Return one series of a kind."""
    starts_at = random.random() * seconds * SERIES_SPAN_FRACTION
    repeats = random.randint(1, MAX_REPEATS[kind])
    return Series(kind, starts_at, repeats, random.random() * MAX_GAP_SECONDS)


def shape_of(size: FleetSize) -> Shape:
    """Return the machines, the configuration and the traffic of a size."""
    shape = small()
    if size is FleetSize.SMALL:
        return shape
    machines = machines_of(dict.fromkeys(CROWDED_ZONES, (1, CROWDED_EDGES_PER_ZONE)))
    return Shape(
        "crowded", machines, shape.servers, shape.configuration, shape.kinds, 3 * shape.rate
    )
