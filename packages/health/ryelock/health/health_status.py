"""Verdicts for targets, zones and the network, with the evidence they rest on."""

from dataclasses import asdict, dataclass, field
from enum import StrEnum

from ryelock.health.results import ProbeResult

MIN_FAILING_MACHINES = 2
"""A target has failed only where probers on so many machines say it."""
MAX_SHOWN_EVIDENCE = 10


class HealthStatus(StrEnum):
    """What a zone or the network is found to be; the values stand in the record."""

    HEALTHY = "healthy"
    STALE = "stale"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EvaluationRules:
    """The numbers of the design; all are settings.

    Attributes:
        window_size: results of a target that are judged, the newest ones.
        quorum: failed results that make a target failed.
        stale_seconds: age above which an object is stale.
        down_weight: fraction of visitors in down zones from which the network is down.
        stale_weight: fraction in stale zones above which the network is stale.
    """

    window_size: int = 5
    quorum: int = 3
    stale_seconds: float = 30.0
    down_weight: float = 0.15
    stale_weight: float = 0.10


@dataclass(frozen=True, slots=True)
class Evidence:
    """One failed result that a verdict rests on, as the prober's own store has it."""

    prober: str
    machine: str
    sequence: int
    seconds_ago: float
    error: str


def evidence_of(result: ProbeResult, now: float) -> Evidence:
    """Return a failed result as evidence at monotonic time `now`."""
    seconds_ago = round(now - result.started_at, 3)
    return Evidence(result.prober, result.machine, result.sequence, seconds_ago, result.error)


class TargetHealth:
    """The outcome for one edge and watch, with the results it rests on."""

    __slots__ = (
        "edge",
        "evidence",
        "failed",
        "failures",
        "machines",
        "max_age_seconds",
        "results",
        "stale",
        "watch",
    )

    def __init__(
        self,
        edge: str,
        watch: str,
        results: list[ProbeResult],
        failures: list[ProbeResult],
        quorum: int,
        stale_seconds: float,
        now: float,
    ) -> None:
        """Judge a target by its results; `failures` are those that count against it."""
        self.evidence = [evidence_of(result, now) for result in failures]
        self.edge = edge
        self.watch = watch
        self.results = results
        self.failures = len(failures)
        self.machines = sorted({result.machine for result in failures})
        self.failed = self.failures >= quorum and len(self.machines) >= MIN_FAILING_MACHINES
        ages = [result.age_seconds for result in results if result.age_seconds is not None]
        self.max_age_seconds = max(ages) if ages else None
        self.stale = self.max_age_seconds is not None and self.max_age_seconds > stale_seconds

    def to_dict(self) -> dict[str, object]:
        """Return the outcome with its evidence as maps and lists."""
        return {
            "edge": self.edge,
            "watch": self.watch,
            "rows": len(self.results),
            "failures": self.failures,
            "failed": self.failed,
            "failing_machines": self.machines,
            "age_seconds": self.max_age_seconds,
            "failed_rows": [asdict(result) for result in self.evidence],
        }


@dataclass(frozen=True, slots=True)
class ZoneHealth:
    """The outcome for one zone.

    Attributes:
        zone: name of the zone.
        status: what it is found to be.
        reason: why, for people.
        weight: its fraction of all visitors.
        edges: names of its edges.
        targets: outcomes of its edges by watch.
        failed: names of the edges that failed.
    """

    zone: str
    status: HealthStatus
    reason: str
    weight: float
    edges: list[str]
    targets: list[TargetHealth]
    failed: list[str]

    def to_dict(self) -> dict[str, object]:
        """Return the verdict with its evidence as maps and lists."""
        results = [result for target in self.targets for result in target.results]
        ages = [
            target.max_age_seconds for target in self.targets if target.max_age_seconds is not None
        ]
        return {
            "verdict": self.status.value,
            "reason": self.reason,
            "weight": round(self.weight, 4),
            "edges": self.edges,
            "failed_edges": self.failed,
            "probers": sorted({result.prober for result in results}),
            "machines": sorted({result.machine for result in results}),
            "rows": len(results),
            "failed_rows": sum(result.failed for result in results),
            "worst_age_seconds": max(ages) if ages else None,
            "targets": [target.to_dict() for target in self.targets],
            "evidence": [
                result.to_dict()
                for result in sorted(
                    results, key=lambda result: (not result.failed, -result.started_at)
                )[:MAX_SHOWN_EVIDENCE]
            ],
        }


@dataclass(slots=True, eq=False)
class Evaluation:
    """The outcome for the whole network and each of its zones.

    Attributes:
        network: what the network is found to be.
        reason: why, for people; empty where it is healthy.
        down_weight: fraction of visitors in zones that are down.
        stale_weight: fraction of visitors in zones that are stale.
        weights_assumed: whether the weights are only assumed, since no visitors were counted yet.
        zones: outcome of each zone by name.
        gone_watches: fingerprints of derived watches whose object is gone, by name; set by the
            aggregator.
    """

    network: HealthStatus
    reason: str
    down_weight: float
    stale_weight: float
    weights_assumed: bool
    zones: dict[str, ZoneHealth]
    gone_watches: dict[str, str] = field(default_factory=dict)

    def to_dict(self) -> dict[str, object]:
        """Return the outcome as maps and lists, as it is agreed on and shown."""
        return {
            "network": self.network.value,
            "reason": self.reason,
            "down_weight": round(self.down_weight, 4),
            "stale_weight": round(self.stale_weight, 4),
            "weights_assumed": self.weights_assumed,
            "gone": self.gone_watches,
            "zones": {name: zone.to_dict() for name, zone in sorted(self.zones.items())},
        }
