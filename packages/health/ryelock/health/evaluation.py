"""Evaluation of probe results into the health status of zones and of the network.

The published rule evaluates the last results of a region with one edge. Here a zone has several
edges and watches, so the rule's window and quorum apply to each target (edge and watch), and a zone
is down when all of its edges have failed. This is the only deviation from the rule; see
docs/design.md.

A failed result does not count against an edge if the edge was reached but no probe has ever fetched
the watch, or if the prober currently reaches no edge at all while other probers do.
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

DISCONNECTED_WINDOWS = 3
"""Windows of a prober's own results without contact after which it counts as disconnected."""
LOOKBACK_WINDOWS = 4
"""Windows of each target that are searched for disconnected probers."""


@dataclass(frozen=True, slots=True)
class EvaluationInput:
    """Input shared by the evaluation of all zones.

    Attributes:
        watches: the watches by name.
        history: results of all probers.
        rules: thresholds of the evaluation.
        now: monotonic time in seconds.
        disconnected_probers: probers whose failed results are ignored.
    """

    watches: dict[str, Watch]
    history: History
    rules: EvaluationRules
    now: float
    disconnected_probers: set[str]


def evaluate(
    zones: dict[str, list[str]],
    watches: dict[str, Watch],
    shares: ZoneShares,
    history: History,
    rules: EvaluationRules,
    now: float,
) -> Evaluation:
    """Return the health of every zone and of the network, weighted by traffic.

    Args:
        zones: names of the edges of each zone.
        watches: the watches by name.
        shares: each zone's share of the traffic.
        history: results of all probers.
        rules: thresholds of the evaluation.
        now: monotonic time in seconds.
    """
    disconnected = disconnected_probers(history, now, rules.window_size)
    inputs = EvaluationInput(watches, history, rules, now, disconnected)
    zone_health = {
        zone: evaluate_zone(zone, sorted(edges), shares.weights.get(zone, 0.0), inputs)
        for zone, edges in zones.items()
    }
    down = weight_of(zone_health, HealthStatus.DOWN)
    stale = weight_of(zone_health, HealthStatus.STALE)
    status, reason = network_status(zone_health, down, stale, rules)
    return Evaluation(status, reason, down, stale, shares.assumed, zone_health)


def disconnected_probers(history: History, now: float, window_size: int) -> set[str]:
    """Return the probers that recently reached no edge of any zone while other probers did.

    Args:
        history: results of all probers.
        now: monotonic time in seconds.
        window_size: number of results in a window.
    """
    by_prober: dict[str, list[ProbeResult]] = {}
    for target in history.results_by_target:
        for result in history.window(target, now, window_size * LOOKBACK_WINDOWS):
            by_prober.setdefault(result.prober, []).append(result)
    recent = {
        prober: sorted(results, key=lambda result: result.started_at)[
            -DISCONNECTED_WINDOWS * window_size :
        ]
        for prober, results in by_prober.items()
    }
    connected = {
        prober for prober, results in recent.items() if any(result.reachable for result in results)
    }
    return set(recent) - connected if connected else set()


def find_gone_watches(
    watches: dict[str, Watch], history: History, rules: EvaluationRules, now: float
) -> dict[str, str]:
    """Return the fingerprints of the derived watches whose object no longer exists, by name.

    That requires a quorum of results with such an error, among them the last one from each edge
    that was reached: the origin removed the object, which is not a failure of the edges. If any
    edge still serves the object, the others have failed.
    """
    gone_watches: dict[str, str] = {}
    for name, watch in watches.items():
        fingerprint = watch_fingerprint(watch)
        reached_by_target = [
            [
                result
                for result in history.window(target, now, rules.window_size)
                if result.reachable
            ]
            for target in history.results_by_target
            if (target.watch, target.fingerprint) == (name, fingerprint)
        ]
        last_results = [results[-1] for results in reached_by_target if results]
        gone_count = sum(result.gone for results in reached_by_target for result in results)
        if gone_count >= rules.quorum and all(result.gone for result in last_results):
            gone_watches[name] = fingerprint
    return gone_watches


def evaluate_zone(
    zone: str, edges: list[str], weight: float, inputs: EvaluationInput
) -> ZoneHealth:
    """Evaluate one zone from the results of its edges."""
    targets = evaluate_targets(zone, edges, inputs)
    failed = failed_edges(edges, targets)
    status, reason = zone_status(edges, targets, failed)
    return ZoneHealth(zone, status, reason, weight, edges, targets, failed)


def evaluate_targets(zone: str, edges: list[str], inputs: EvaluationInput) -> list[TargetHealth]:
    """Evaluate each edge for each watch; targets without results are omitted."""
    targets = [
        evaluate_target(zone, edge, name, watch, inputs)
        for edge in edges
        for name, watch in sorted(inputs.watches.items())
    ]
    return [target for target in targets if target is not None]


def evaluate_target(
    zone: str, edge: str, name: str, watch: Watch, inputs: EvaluationInput
) -> TargetHealth | None:
    """Evaluate one edge for one watch; None where there are no results."""
    rules = inputs.rules
    fingerprint = watch_fingerprint(watch)
    target = TargetKey(zone, edge, name, fingerprint)
    results = inputs.history.window(target, inputs.now, rules.window_size, own_zone_only=True)
    if not results:
        return None
    fetched_before = (name, fingerprint) in inputs.history.fetched_watches
    failures = [
        result
        for result in results
        if result.prober not in inputs.disconnected_probers
        and counts_as_failure(result, fetched_before)
    ]
    stale_seconds = watch.stale_seconds or rules.stale_seconds
    return TargetHealth(edge, name, results, failures, rules.quorum, stale_seconds, inputs.now)


def counts_as_failure(result: ProbeResult, fetched_before: bool) -> bool:
    """Return True if a result counts as a failure of its edge.

    A watch that no probe has ever fetched may be misconfigured, so its failed results count only
    if the edge could not be reached.
    """
    return result.failed and (fetched_before or not result.reachable)


def failed_edges(edges: list[str], targets: list[TargetHealth]) -> list[str]:
    """Return the edges whose evaluated targets have all failed."""
    failed: list[str] = []
    for edge in edges:
        edge_targets = [target for target in targets if target.edge == edge]
        if edge_targets and all(target.failed for target in edge_targets):
            failed.append(edge)
    return failed


def zone_status(
    edges: list[str], targets: list[TargetHealth], failed: list[str]
) -> tuple[HealthStatus, str]:
    """Return a zone's health status and the reason."""
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


def weight_of(zones: dict[str, ZoneHealth], status: HealthStatus) -> float:
    """Return the traffic fraction of the zones with a status."""
    return sum(zone.weight for zone in zones.values() if zone.status is status)


def network_status(
    zones: dict[str, ZoneHealth], down: float, stale: float, rules: EvaluationRules
) -> tuple[HealthStatus, str]:
    """Return the network's health status and the reason, by the weights of down and stale zones."""
    statuses = [zone.status for zone in zones.values()]
    if HealthStatus.DOWN in statuses and down >= rules.down_weight:
        return HealthStatus.DOWN, f"zones of {down:.0%} of visitors are down"
    if HealthStatus.DOWN in statuses:
        return HealthStatus.STALE, f"a zone of {down:.0%} of visitors is down"
    if stale > rules.stale_weight:
        return HealthStatus.STALE, f"zones of {stale:.0%} of visitors are stale"
    if statuses and all(status is HealthStatus.UNKNOWN for status in statuses):
        return HealthStatus.UNKNOWN, "no zone is known"
    return HealthStatus.HEALTHY, ""
