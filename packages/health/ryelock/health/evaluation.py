"""From rows to verdicts: quorum, two provers, ages, weights. See docs/design.md for the source.

The source reads the last rows of a region that has one edge. Here a zone has several edges
and several watches, so the source's window and quorum stand for each target (edge, watch),
and a zone is down when every edge of it has failed. That is the whole exception. A row does
not count against a zone where it proves nothing about it: it is of a watch that nobody has
ever fetched, or of a prober that reaches nothing anywhere while others do.
"""

from dataclasses import asdict, dataclass, field
from enum import StrEnum

from ryelock.health.history import History
from ryelock.health.probe import ProbeResult, watch_fingerprint
from ryelock.replicated_state import Watch

MIN_FAILING_MACHINES = 2


class Verdict(StrEnum):
    """What a zone or the network is found to be; the values stand in the record."""

    HEALTHY = "healthy"
    STALE = "stale"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EvaluationRules:
    """The numbers of the design; all are settings.

    Attributes:
        rows: rows of a target that are judged, the newest ones.
        quorum: failed rows that make a target failed.
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
    """One failed row that a verdict rests on, as the prober's own store has it."""

    prober: str
    machine: str
    sequence: int
    seconds_ago: float
    error: str


def evidence_of(row: ProbeResult, now: float) -> Evidence:
    """Return a failed row as evidence at monotonic time `now`."""
    seconds_ago = round(now - row.started_at, 3)
    return Evidence(row.prober, row.machine, row.sequence, seconds_ago, row.error)


class TargetVerdict:
    """The outcome for one edge and watch, with the rows it rests on."""

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
        rows: list[ProbeResult],
        failures: list[ProbeResult],
        quorum: int,
        stale_seconds: float,
        now: float,
    ) -> None:
        """Judge a target by its rows; `failures` are those that count against it."""
        self.evidence = [evidence_of(row, now) for row in failures]
        self.edge = edge
        self.watch = watch
        self.results = rows
        self.failures = len(failures)
        self.machines = sorted({row.machine for row in failures})
        self.failed = self.failures >= quorum and len(self.machines) >= MIN_FAILING_MACHINES
        ages = [row.age_seconds for row in rows if row.age_seconds is not None]
        self.max_age_seconds = max(ages) if ages else None
        self.stale = self.max_age_seconds is not None and self.max_age_seconds > stale_seconds

    def to_dict(self) -> dict[str, object]:
        """Return the outcome with its evidence as plain data."""
        return {
            "edge": self.edge,
            "watch": self.watch,
            "rows": len(self.results),
            "failures": self.failures,
            "failed": self.failed,
            "failing_machines": self.machines,
            "age_seconds": self.max_age_seconds,
            "failed_rows": [asdict(row) for row in self.evidence],
        }


@dataclass(frozen=True, slots=True)
class ZoneVerdict:
    """The outcome for one zone.

    Attributes:
        zone: name of the zone.
        verdict: what it is found to be.
        reason: why, for people.
        weight: its fraction of all visitors.
        edges: names of its edges.
        targets: outcomes of its edges by watch.
        failed: names of the edges that failed.
    """

    zone: str
    verdict: Verdict
    reason: str
    weight: float
    edges: list[str]
    targets: list[TargetVerdict]
    failed: list[str]

    def to_dict(self) -> dict[str, object]:
        """Return the verdict with its evidence as plain data."""
        rows = [row for target in self.targets for row in target.results]
        ages = [
            target.max_age_seconds for target in self.targets if target.max_age_seconds is not None
        ]
        return {
            "verdict": self.verdict.value,
            "reason": self.reason,
            "weight": round(self.weight, 4),
            "edges": self.edges,
            "failed_edges": self.failed,
            "probers": sorted({row.prober for row in rows}),
            "machines": sorted({row.machine for row in rows}),
            "rows": len(rows),
            "failed_rows": sum(row.failed for row in rows),
            "worst_age_seconds": max(ages) if ages else None,
            "targets": [target.to_dict() for target in self.targets],
            "evidence": [
                row.to_dict()
                for row in sorted(rows, key=lambda row: (not row.failed, -row.started_at))[:10]
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
        assumed: whether the weights are only assumed, since no visitors were counted yet.
        zones: outcome of each zone by name.
        gone: marks of derived watches whose object is gone, by name; set by the aggregator.
    """

    network: Verdict
    reason: str
    down_weight: float
    stale_weight: float
    weights_assumed: bool
    zones: dict[str, ZoneVerdict]
    gone_watches: dict[str, str] = field(default_factory=dict)

    def to_dict(self) -> dict[str, object]:
        """Return the outcome as plain data, as it is agreed on and shown."""
        return {
            "network": self.network.value,
            "reason": self.reason,
            "down_weight": round(self.down_weight, 4),
            "stale_weight": round(self.stale_weight, 4),
            "weights_assumed": self.weights_assumed,
            "gone": self.gone_watches,
            "zones": {name: zone.to_dict() for name, zone in sorted(self.zones.items())},
        }


def blind_probers(history: History, now: float, count: int) -> set[str]:
    """Probers that lately reached nothing at all, inside or outside, while others did."""
    seen: dict[str, list[ProbeResult]] = {}
    for target in history.results_by_target:
        for row in history.window(target, now, count * 4):
            seen.setdefault(row.prober, []).append(row)
    lately = {
        prober: sorted(rows, key=lambda row: row.started_at)[-3 * count :]
        for prober, rows in seen.items()
    }
    able = {prober for prober, rows in lately.items() if any(row.reachable for row in rows)}
    return set(lately) - able if able else set()


def find_gone_watches(
    watches: dict[str, Watch], history: History, rules: EvaluationRules, now: float
) -> dict[str, str]:
    """Of made-up watches those whose object is gone, with their marks.

    A quorum of rows says so and, wherever an edge was reached, the last one does: the origin has
    it no more, and that is no edge's failure. Where one edge still fetches it, the others fail.
    """
    found: dict[str, str] = {}
    for name, watch in watches.items():
        mark = watch_fingerprint(watch)
        reached = [
            [row for row in history.window(target, now, rules.window_size) if row.reachable]
            for target in history.results_by_target
            if target[2:] == (name, mark)
        ]
        last = [rows[-1] for rows in reached if rows]
        count = sum(row.gone for rows in reached for row in rows)
        if count >= rules.quorum and all(row.gone for row in last):
            found[name] = mark
    return found


def evaluate_zone(
    zone: str,
    edges: list[str],
    watches: dict[str, Watch],
    weight: float,
    history: History,
    rules: EvaluationRules,
    now: float,
    blind: set[str],
) -> ZoneVerdict:
    """Judge one zone by the rows of its edges; rows of `blind` probers prove no failure."""
    targets = evaluate_targets(zone, edges, watches, history, rules, now, blind)
    failed = failed_edges(edges, targets)
    verdict, reason = word_of(edges, targets, failed)
    return ZoneVerdict(zone, verdict, reason, weight, edges, targets, failed)


def evaluate_targets(
    zone: str,
    edges: list[str],
    watches: dict[str, Watch],
    history: History,
    rules: EvaluationRules,
    now: float,
    blind: set[str],
) -> list[TargetVerdict]:
    """Judge each edge for each watch; a target without rows is left out."""
    targets: list[TargetVerdict] = []
    for edge in edges:
        for name, watch in sorted(watches.items()):
            mark = watch_fingerprint(watch)
            rows = history.window(
                (zone, edge, name, mark), now, rules.window_size, own_zone_only=True
            )
            if not rows:
                continue
            proven = (name, mark) in history.fetched_watches
            failures = [row for row in rows if row.prober not in blind and counts(row, proven)]
            stale_seconds = watch.stale_seconds or rules.stale_seconds
            targets.append(
                TargetVerdict(edge, name, rows, failures, rules.quorum, stale_seconds, now)
            )
    return targets


def counts(row: ProbeResult, proven: bool) -> bool:
    """Whether a row is a failure of its edge.

    A watch that was never fetched proves nothing, unless the edge could not be reached at all.
    """
    return row.failed and (proven or not row.reachable)


def failed_edges(edges: list[str], targets: list[TargetVerdict]) -> list[str]:
    """Return the edges of which every judged target has failed."""
    found: list[str] = []
    for edge in edges:
        mine = [target for target in targets if target.edge == edge]
        if mine and all(target.failed for target in mine):
            found.append(edge)
    return found


def word_of(
    edges: list[str], targets: list[TargetVerdict], failed: list[str]
) -> tuple[Verdict, str]:
    """Return a zone's verdict and its reason."""
    if not targets:
        return Verdict.UNKNOWN, "no rows"
    if edges and len(failed) == len(edges):
        return Verdict.DOWN, f"all {len(edges)} edges failed"
    if any(target.stale for target in targets):
        worst = max(targets, key=lambda target: target.max_age_seconds or 0.0)
        return Verdict.STALE, f"{worst.watch} at {worst.edge} is {worst.max_age_seconds} s old"
    if all(row.failed for target in targets for row in target.results):
        return Verdict.UNKNOWN, "no sound row, and no quorum of failed ones"
    return Verdict.HEALTHY, f"failed: {', '.join(failed)}" if failed else "fetched"


def evaluate(
    zones: dict[str, list[str]],
    watches: dict[str, Watch],
    weights: dict[str, float],
    assumed: bool,
    history: History,
    rules: EvaluationRules,
    now: float,
) -> Evaluation:
    """The verdict of every zone and of the network, weighted by audience."""
    blind = blind_probers(history, now, rules.window_size)
    found = {
        zone: evaluate_zone(
            zone, sorted(edges), watches, weights.get(zone, 0.0), history, rules, now, blind
        )
        for zone, edges in zones.items()
    }
    down = weight_of(found, Verdict.DOWN)
    stale = weight_of(found, Verdict.STALE)
    verdict, reason = network_word(found, down, stale, rules)
    return Evaluation(verdict, reason, down, stale, assumed, found)


def weight_of(zones: dict[str, ZoneVerdict], verdict: Verdict) -> float:
    """Return the fraction of visitors in the zones of one verdict."""
    return sum(zone.weight for zone in zones.values() if zone.verdict is verdict)


def network_word(
    zones: dict[str, ZoneVerdict], down: float, stale: float, rules: EvaluationRules
) -> tuple[Verdict, str]:
    """Return the network's verdict and its reason, by the weights of down and stale zones."""
    words = [zone.verdict for zone in zones.values()]
    if Verdict.DOWN in words and down >= rules.down_weight:
        return Verdict.DOWN, f"zones of {down:.0%} of visitors are down"
    if Verdict.DOWN in words:
        return Verdict.STALE, f"a zone of {down:.0%} of visitors is down"
    if stale > rules.stale_weight:
        return Verdict.STALE, f"zones of {stale:.0%} of visitors are stale"
    if words and all(word is Verdict.UNKNOWN for word in words):
        return Verdict.UNKNOWN, "no zone is known"
    return Verdict.HEALTHY, ""
