"""Health status of targets, zones and the network, with the evidence for it."""

from dataclasses import asdict, dataclass, field
from enum import StrEnum

from ryelock.health.results import ProbeResult

MIN_FAILING_MACHINES = 2
"""Distinct probing machines that must see failures before a target has failed."""
MAX_SHOWN_RESULTS = 10


class HealthStatus(StrEnum):
    """Health status of a zone or the network; the values are stored in decisions."""

    HEALTHY = "healthy"
    STALE = "stale"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EvaluationRules:
    """Thresholds of the evaluation, all configurable.

    Attributes:
        window_size: number of a target's newest results that are evaluated.
        quorum: minimum number of failed results for a target to have failed.
        stale_seconds: age above which an object is stale.
        down_weight: traffic fraction of down zones from which the network is down.
        stale_weight: traffic fraction of stale zones above which the network is stale.
    """

    window_size: int = 5
    quorum: int = 3
    stale_seconds: float = 30.0
    down_weight: float = 0.15
    stale_weight: float = 0.10


@dataclass(frozen=True, slots=True)
class Evidence:
    """A failed result that led to a status; identifies the result in the prober's store."""

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
    """Evaluated health of one target (edge and watch), with the results used."""

    __slots__ = (
        "edge",
        "evidence",
        "failed",
        "failing_machines",
        "failure_count",
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
        """Evaluate a target.

        Args:
            edge: name of the edge.
            watch: name of the watch.
            results: the results evaluated.
            failures: those of the results that count as failures of the edge.
            quorum: minimum number of failures for the target to have failed.
            stale_seconds: age above which the object is stale.
            now: monotonic time in seconds.
        """
        self.evidence = [evidence_of(result, now) for result in failures]
        self.edge = edge
        self.watch = watch
        self.results = results
        self.failure_count = len(failures)
        self.failing_machines = sorted({result.machine for result in failures})
        self.failed = (
            self.failure_count >= quorum and len(self.failing_machines) >= MIN_FAILING_MACHINES
        )
        ages = [result.age_seconds for result in results if result.age_seconds is not None]
        self.max_age_seconds = max(ages) if ages else None
        self.stale = self.max_age_seconds is not None and self.max_age_seconds > stale_seconds

    def to_dict(self) -> dict[str, object]:
        """Return the health and its evidence in the stored form."""
        return {
            "edge": self.edge,
            "watch": self.watch,
            "rows": len(self.results),
            "failures": self.failure_count,
            "failed": self.failed,
            "failing_machines": self.failing_machines,
            "age_seconds": self.max_age_seconds,
            "failed_rows": [asdict(result) for result in self.evidence],
        }


@dataclass(frozen=True, slots=True)
class ZoneHealth:
    """Evaluated health of one zone.

    Attributes:
        zone: name of the zone.
        status: health status of the zone.
        reason: human-readable reason.
        weight: the zone's fraction of the traffic.
        edges: names of its edges.
        targets: health of its targets.
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
        """Return the health and its evidence in the stored form."""
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
                )[:MAX_SHOWN_RESULTS]
            ],
        }


@dataclass(slots=True, eq=False)
class Evaluation:
    """Evaluated health of the network and its zones.

    Attributes:
        network: health status of the network.
        reason: human-readable reason; empty if healthy.
        down_weight: traffic fraction of the zones that are down.
        stale_weight: traffic fraction of the zones that are stale.
        weights_assumed: True if all zones were weighted equally for lack of traffic data.
        zones: health of each zone by name.
        gone_watches: fingerprints of derived watches whose object no longer exists, by name; set
            by the aggregator.
    """

    network: HealthStatus
    reason: str
    down_weight: float
    stale_weight: float
    weights_assumed: bool
    zones: dict[str, ZoneHealth]
    gone_watches: dict[str, str] = field(default_factory=dict)

    def to_dict(self) -> dict[str, object]:
        """Return the evaluation in the form that is committed and returned by the control API."""
        return {
            "network": self.network.value,
            "reason": self.reason,
            "down_weight": round(self.down_weight, 4),
            "stale_weight": round(self.stale_weight, 4),
            "weights_assumed": self.weights_assumed,
            "gone": self.gone_watches,
            "zones": {name: zone.to_dict() for name, zone in sorted(self.zones.items())},
        }
