"""From probe results to verdicts: quorum, two machines, ages, weights. See docs/design.md.

The published rule reads the last results of a region that has one edge. Here a zone has several
edges and several watches, so the rule's window and quorum stand for each target (edge, watch),
and a zone is down when every edge of it has failed. That is the whole exception. A result does
not count against a zone where it proves nothing about it: it is of a watch that nobody has
ever fetched, or of a prober that reaches nothing anywhere while others do.
"""

from dataclasses import dataclass

from ryelock.health.health_status import (
    Evaluation,
    EvaluationRules,
    HealthStatus,
    TargetHealth,
    ZoneHealth,
)
from ryelock.health.history import History, TargetKey
from ryelock.health.results import ProbeResult, watch_fingerprint
from ryelock.health.weights import ZoneShares
from ryelock.replicated_state import Watch

BLINDNESS_WINDOWS = 3
"""A prober is blind that reached nothing in so many windows of its own results."""
READ_WINDOWS = 4
"""Windows of each target that are read to find blind probers."""


@dataclass(frozen=True, slots=True)
class EvaluationInput:
    """What all zones are judged by.

    Attributes:
        watches: the watches by name.
        history: results of all probers.
        rules: the numbers of the design.
        now: monotonic time in seconds.
        blind_probers: probers whose results prove no failure.
    """

    watches: dict[str, Watch]
    history: History
    rules: EvaluationRules
    now: float
    blind_probers: set[str]


def evaluate(
    zones: dict[str, list[str]],
    watches: dict[str, Watch],
    shares: ZoneShares,
    history: History,
    rules: EvaluationRules,
    now: float,
) -> Evaluation:
    """Return the verdict of every zone and of the network, weighted by audience.

    Args:
        zones: names of the edges of each zone.
        watches: the watches by name.
        shares: each zone's share of visitors.
        history: results of all probers.
        rules: the numbers of the design.
        now: monotonic time in seconds.
    """
    blind = blind_probers(history, now, rules.window_size)
    given = EvaluationInput(watches, history, rules, now, blind)
    found = {
        zone: evaluate_zone(zone, sorted(edges), shares.weights.get(zone, 0.0), given)
        for zone, edges in zones.items()
    }
    down = weight_of(found, HealthStatus.DOWN)
    stale = weight_of(found, HealthStatus.STALE)
    verdict, reason = network_verdict(found, down, stale, rules)
    return Evaluation(verdict, reason, down, stale, shares.assumed, found)


def blind_probers(history: History, now: float, count: int) -> set[str]:
    """Return the probers that lately reached nothing, in any zone, while others did.

    Args:
        history: results of all probers.
        now: monotonic time in seconds.
        count: size of a window of results.
    """
    by_prober: dict[str, list[ProbeResult]] = {}
    for target in history.results_by_target:
        for result in history.window(target, now, count * READ_WINDOWS):
            by_prober.setdefault(result.prober, []).append(result)
    recent = {
        prober: sorted(results, key=lambda result: result.started_at)[-BLINDNESS_WINDOWS * count :]
        for prober, results in by_prober.items()
    }
    seeing = {
        prober for prober, results in recent.items() if any(result.reachable for result in results)
    }
    return set(recent) - seeing if seeing else set()


def find_gone_watches(
    watches: dict[str, Watch], history: History, rules: EvaluationRules, now: float
) -> dict[str, str]:
    """Return the fingerprints of the derived watches whose object is gone, by name.

    A quorum of results says so and, wherever an edge was reached, the last one does: the origin
    has it no more, and that is no edge's failure. Where one edge still fetches it, the others fail.
    """
    found: dict[str, str] = {}
    for name, watch in watches.items():
        fingerprint = watch_fingerprint(watch)
        reached = [
            [
                result
                for result in history.window(target, now, rules.window_size)
                if result.reachable
            ]
            for target in history.results_by_target
            if (target.watch, target.fingerprint) == (name, fingerprint)
        ]
        last = [results[-1] for results in reached if results]
        count = sum(result.gone for results in reached for result in results)
        if count >= rules.quorum and all(result.gone for result in last):
            found[name] = fingerprint
    return found


def evaluate_zone(zone: str, edges: list[str], weight: float, given: EvaluationInput) -> ZoneHealth:
    """Judge one zone by the results of its edges."""
    targets = evaluate_targets(zone, edges, given)
    failed = failed_edges(edges, targets)
    verdict, reason = zone_verdict(edges, targets, failed)
    return ZoneHealth(zone, verdict, reason, weight, edges, targets, failed)


def evaluate_targets(zone: str, edges: list[str], given: EvaluationInput) -> list[TargetHealth]:
    """Judge each edge for each watch; a target without results is left out."""
    targets = [
        evaluate_target(zone, edge, name, watch, given)
        for edge in edges
        for name, watch in sorted(given.watches.items())
    ]
    return [target for target in targets if target is not None]


def evaluate_target(
    zone: str, edge: str, name: str, watch: Watch, given: EvaluationInput
) -> TargetHealth | None:
    """Judge one edge for one watch; None where there are no results."""
    rules = given.rules
    fingerprint = watch_fingerprint(watch)
    target = TargetKey(zone, edge, name, fingerprint)
    results = given.history.window(target, given.now, rules.window_size, own_zone_only=True)
    if not results:
        return None
    proven = (name, fingerprint) in given.history.fetched_watches
    failures = [
        result
        for result in results
        if result.prober not in given.blind_probers and counts_as_failure(result, proven)
    ]
    stale_seconds = watch.stale_seconds or rules.stale_seconds
    return TargetHealth(edge, name, results, failures, rules.quorum, stale_seconds, given.now)


def counts_as_failure(result: ProbeResult, proven: bool) -> bool:
    """Tell whether a result is a failure of its edge.

    A watch that was never fetched (not `proven`) proves nothing, unless the edge could not be
    reached at all.
    """
    return result.failed and (proven or not result.reachable)


def failed_edges(edges: list[str], targets: list[TargetHealth]) -> list[str]:
    """Return the edges of which every judged target has failed."""
    found: list[str] = []
    for edge in edges:
        own = [target for target in targets if target.edge == edge]
        if own and all(target.failed for target in own):
            found.append(edge)
    return found


def zone_verdict(
    edges: list[str], targets: list[TargetHealth], failed: list[str]
) -> tuple[HealthStatus, str]:
    """Return a zone's verdict and its reason."""
    if not targets:
        return HealthStatus.UNKNOWN, "no rows"
    if edges and len(failed) == len(edges):
        return HealthStatus.DOWN, f"all {len(edges)} edges failed"
    if any(target.stale for target in targets):
        worst = max(targets, key=lambda target: target.max_age_seconds or 0.0)
        return HealthStatus.STALE, f"{worst.watch} at {worst.edge} is {worst.max_age_seconds} s old"
    if all(result.failed for target in targets for result in target.results):
        return HealthStatus.UNKNOWN, "no sound row, and no quorum of failed ones"
    return HealthStatus.HEALTHY, f"failed: {', '.join(failed)}" if failed else "fetched"


def weight_of(zones: dict[str, ZoneHealth], verdict: HealthStatus) -> float:
    """Return the fraction of visitors in the zones of one verdict."""
    return sum(zone.weight for zone in zones.values() if zone.status is verdict)


def network_verdict(
    zones: dict[str, ZoneHealth], down: float, stale: float, rules: EvaluationRules
) -> tuple[HealthStatus, str]:
    """Return the network's verdict and its reason, by the weights of down and stale zones."""
    verdicts = [zone.status for zone in zones.values()]
    if HealthStatus.DOWN in verdicts and down >= rules.down_weight:
        return HealthStatus.DOWN, f"zones of {down:.0%} of visitors are down"
    if HealthStatus.DOWN in verdicts:
        return HealthStatus.STALE, f"a zone of {down:.0%} of visitors is down"
    if stale > rules.stale_weight:
        return HealthStatus.STALE, f"zones of {stale:.0%} of visitors are stale"
    if verdicts and all(verdict is HealthStatus.UNKNOWN for verdict in verdicts):
        return HealthStatus.UNKNOWN, "no zone is known"
    return HealthStatus.HEALTHY, ""
