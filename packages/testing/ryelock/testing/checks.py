"""Checkers of invariants over the histories of callers and server stand-ins.

Each checker counts its checks in `checked` and adds violations to `violations`. Tests inject a
violation for each of them.
"""

import math
from dataclasses import dataclass

from ryelock.testing.stand_ins.callers import RequestRecord
from ryelock.testing.stand_ins.servers import Objects, ServedRequest, body_for

RATE_WINDOW_SECONDS = 5.0
RATE_OVERSHOOT = 1.10
RETRY_WINDOW_SECONDS = 10.0
MAX_RETRY_FRACTION = 0.2
RETRY_BURST = 12


class Findings:
    """Results of checkers.

    Attributes:
        checked: number of checks by rule.
        violations: texts of the violations, each with its rule in front.
    """

    __slots__ = ("checked", "violations")

    def __init__(self) -> None:
        """Create empty findings."""
        self.checked: dict[str, int] = {}
        self.violations: list[str] = []

    def count_check(self, rule: str, count: int = 1) -> None:
        """Count checks of a rule."""
        self.checked[rule] = self.checked.get(rule, 0) + count

    def add_violation(self, rule: str, text: str) -> None:
        """Add a violation of a rule."""
        self.violations.append(f"{rule}: {text}")


def check_at_most_once(
    found: Findings, records: list[RequestRecord], history: list[ServedRequest]
) -> None:
    """Check that an at-most-once request ran at most once, however often it was retried.

    Each execution must have an earlier attempt that was not answered "not-run".
    """
    runs: dict[str, list[ServedRequest]] = {}
    for request in history:
        if request.identity and request.method == "POST":
            runs.setdefault(request.identity, []).append(request)
    sent: dict[str, list[RequestRecord]] = {}
    for record in records:
        if record.method == "POST":
            sent.setdefault(record.identity, []).append(record)
    for identity, attempts in sent.items():
        found.count_check("once")
        if len(attempts) > 1:
            found.count_check("once, sent again", len(attempts) - 1)
        ran_for = runs.get(identity, [])
        if len(ran_for) > 1:
            found.add_violation("once", f"{identity} ran {len(ran_for)} times")
        for request in ran_for:
            if all(
                record.complete and record.outcome == "not-run"
                for record in attempts
                if record.sent_at <= request.at
            ):
                found.add_violation("once", f"{identity} ran after 'not run' was told")


def check_bytes(
    found: Findings,
    records: list[RequestRecord],
    objects: dict[str, Objects],
    routes: dict[str, str],
) -> None:
    """Check that a complete 200 has a body that its service could have sent."""
    for record in records:
        if not record.complete or record.status != 200:
            continue
        service = next(
            (service for path, service in routes.items() if record.target.startswith(path)), ""
        )
        if not service:
            continue
        found.count_check("bytes")
        service_objects = objects[service]
        is_expected = any(
            record.body == body_for(service, record.target, revision, service_objects.size)
            for revision in range(service_objects.revision(record.target) + 1)
        )
        if not is_expected:
            found.add_violation("bytes", f"{record.identity} {record.target}: {record.body[:60]!r}")


def check_rates(found: Findings, history: list[ServedRequest], rates: dict[str, float]) -> None:
    """Check that no service received over `RATE_OVERSHOOT` of its rate in any window."""
    for service, rate in rates.items():
        times = sorted(request.at for request in history if request.service == service)
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - RATE_WINDOW_SECONDS:
                start += 1
            found.count_check("rate")
            count = end - start + 1
            if count > rate * RATE_WINDOW_SECONDS * RATE_OVERSHOOT:
                found.add_violation("rate", f"{service}: {count} orders in 5 s at rate {rate:g}")
                break


def check_retry_budget(found: Findings, history: list[ServedRequest]) -> None:
    """Check that retries stay within their fraction of requests, plus a burst, in any window."""
    by_service: dict[str, list[tuple[float, bool]]] = {}
    seen: set[tuple[str, str]] = set()
    for request in sorted(history, key=lambda request: request.at):
        if not request.identity:
            continue
        is_retry = request.retry or (request.service, request.identity) in seen
        seen.add((request.service, request.identity))
        by_service.setdefault(request.service, []).append((request.at, is_retry))
    for service, sends in by_service.items():
        start = retries = 0
        for end, (at, is_retry) in enumerate(sends):
            retries += is_retry
            while sends[start][0] <= at - RETRY_WINDOW_SECONDS:
                retries -= sends[start][1]
                start += 1
            found.count_check("repeats")
            count = end - start + 1
            if retries > MAX_RETRY_FRACTION * count + RETRY_BURST:
                found.add_violation(
                    "repeats", f"{service}: {retries} repeats among {count} in 10 s"
                )
                break


@dataclass(slots=True, eq=False)
class ChangeRecord:
    """A change of the configuration as seen by its operator.

    Attributes:
        identity: id of the change.
        marker_path: path of a route that only this change adds; empty if it adds none.
        requested_at: seconds at which it was sent.
        answered_at: seconds at which its answer came; None before.
        status: status of the answer, -1 before it.
        version: version of the configuration that it created; 0 if none.
    """

    identity: str
    marker_path: str
    requested_at: float
    answered_at: float | None = None
    status: int = -1
    version: int = 0

    def answered_before(self, moment: float) -> bool:
        """Return True if the answer had arrived by a time."""
        return self.answered_at is not None and self.answered_at <= moment


@dataclass(slots=True, eq=False)
class PurgeRecord:
    """A purge as seen by its operator.

    Attributes:
        target: path that was purged.
        revision: newest revision of the object when the purge was requested.
        acknowledged_at: seconds at which the purge was acknowledged; None before.
    """

    target: str
    revision: int
    acknowledged_at: float | None = None


def check_misrouted(
    found: Findings, history: list[ServedRequest], service_of: dict[str, str]
) -> None:
    """Check that requests ran only at the service that their path routes to."""
    for request in history:
        service = next(
            (service for path, service in service_of.items() if request.target.startswith(path)), ""
        )
        if not service and request.target.startswith("/gen-"):
            service = "pages"
        found.count_check("service")
        if request.service != service:
            found.add_violation(
                "service", f"{request.target} ran at {request.service} {request.address}"
            )


def check_leaving(
    found: Findings, history: list[ServedRequest], shown: list[tuple[float, str, str, bool]]
) -> None:
    """Check that a server gets no requests later than 2 s after it is leaving or unlisted."""
    for position, (at, _, address, leaving) in enumerate(shown):
        if not leaving:
            continue
        until = min(
            (other[0] for other in shown[position + 1 :] if other[2] == address and not other[3]),
            default=math.inf,
        )
        found.count_check("leaving")
        for request in history:
            if request.address == address and at + 2.0 < request.at < until:
                found.add_violation(
                    "leaving",
                    f"{address} got {request.target} {request.at - at:.2f} s "
                    "after it showed as leaving",
                )
                break


def check_changes(
    found: Findings,
    records: list[RequestRecord],
    changes: list[ChangeRecord],
    reads: list[tuple[float, float, int]],
) -> None:
    """Check that acknowledged changes take effect, rejected ones don't, and reads are not stale."""
    accepted = [change for change in changes if change.status == 200]
    by_path = {change.marker_path: change for change in changes if change.marker_path}
    versions = [change.version for change in accepted]
    if len(set(versions)) != len(versions):
        found.add_violation("changes", "two changes got one version")
    check_change_effects(found, records, by_path)
    check_no_rollback(found, [record for record in records if record.target in by_path])
    for started, _, version in reads:
        newest = max(
            (change.version for change in accepted if change.answered_before(started)), default=0
        )
        found.count_check("reads")
        if version < newest:
            found.add_violation("reads", f"read {version} after {newest} was acknowledged")


def check_change_effects(
    found: Findings, records: list[RequestRecord], by_path: dict[str, ChangeRecord]
) -> None:
    """Check that an acknowledged change is in force 2 s later and a rejected one never is."""
    for record in records:
        change = by_path.get(record.target)
        if change is None or not record.complete:
            continue
        found.count_check("changes")
        if change.status == 200 and record.status == 404 and change.answered_at is not None:
            seconds = record.sent_at - change.answered_at
            if record.sent_at > change.answered_at + 2.0:
                found.add_violation(
                    "changes",
                    f"{change.identity} ignored {seconds:.2f} s "
                    f"after its acknowledgement by {record.edge}",
                )
        if change.status in (409, 422) and record.status == 200:
            found.add_violation(
                "changes", f"{change.identity} took effect though told {change.status}"
            )


def check_no_rollback(found: Findings, records: list[RequestRecord]) -> None:
    """Check that an edge that has served a route keeps serving it."""
    seen: dict[tuple[str, str], float] = {}
    for record in sorted(records, key=lambda record: record.sent_at + record.seconds):
        if not record.complete:
            continue
        key = (record.edge, record.target)
        if record.status == 200:
            seen.setdefault(key, record.sent_at + record.seconds)
        elif record.status == 404 and key in seen and record.sent_at > seen[key]:
            found.add_violation("changes", f"{record.edge} slipped back on {record.target}")


def check_purges(found: Findings, records: list[RequestRecord], purges: list[PurgeRecord]) -> None:
    """Check that no copy older than a purge is served later than 2 s after its acknowledgement."""
    for purge in purges:
        if purge.acknowledged_at is None:
            continue
        for record in records:
            if record.target != purge.target or not record.complete or record.status != 200:
                continue
            if record.sent_at <= purge.acknowledged_at + 2.0:
                continue
            found.count_check("purges")
            revision = revision_of(record.body)
            if revision is not None and revision < purge.revision:
                found.add_violation(
                    "purges",
                    f"{record.target} revision {revision} served by "
                    f"{record.edge} {record.sent_at - purge.acknowledged_at:.2f} s after the "
                    f"purge of {purge.revision}",
                )


def check_lifetimes(
    found: Findings, records: list[RequestRecord], objects: Objects, lifetime: float
) -> None:
    """Check that no copy is served later than 2 s after its lifetime."""
    for record in records:
        changed_at = objects.changed_at.get(record.target)
        if (
            changed_at is None
            or not record.complete
            or record.status != 200
            or record.seconds > 1.0
        ):
            continue
        found.count_check("lifetimes")
        revision = revision_of(record.body)
        if (
            revision is not None
            and revision < objects.revision(record.target)
            and record.sent_at > changed_at + lifetime + 2.0
        ):
            found.add_violation(
                "lifetimes",
                f"{record.target} revision {revision} served "
                f"{record.sent_at - changed_at:.2f} s after it changed",
            )


def revision_of(body: bytes) -> int | None:
    """Return the revision of the object in a body; None if it holds no object."""
    parts = body.split(b" ", 4)
    if len(parts) < 5 or parts[0] != b"OBJECT" or not parts[3].isdigit():
        return None
    return int(parts[3])


@dataclass(frozen=True, slots=True)
class ZoneDown:
    """A down verdict of a zone, with its evidence: each target's failed probes."""

    at: float
    zone: str
    edges: list[str]
    targets: list[dict[str, object]]


@dataclass(slots=True, eq=False)
class ProbeRecord:
    """One probe as its prober recorded it; `at` is in simulated seconds."""

    at: float
    edge: str
    watch: str
    machine: str
    prober: str
    sequence: int
    failed: bool


MIN_PROBES = 3
MIN_MACHINES = 2
MAX_EVALUATION_SECONDS = 5.0
MAX_DELIVERY_SECONDS = 2.0
ROUNDING_SECONDS = 0.05


def check_down_verdicts(
    found: Findings,
    downs: list[ZoneDown],
    probed: list[ProbeRecord],
    span: float = 600.0,
    late: float = MAX_EVALUATION_SECONDS,
) -> None:
    """Check that each down verdict rests on probes that really failed.

    Each edge of the zone must have a target in the evidence. Each target must name at least
    `MIN_PROBES` probes from `MIN_MACHINES` machines. Each named probe must be in its prober's own
    store, as failed, for the same edge and watch, and taken at the stated time or earlier by at
    most the delivery time to the aggregator.

    Args:
        found: receives the results.
        downs: verdicts to check.
        probed: all probes from the probers' stores.
        span: largest age of a named probe, in seconds.
        late: longest time from the evaluation to the commit of a verdict, in seconds: 2 s, plus
            an election if the leader changed meanwhile.
    """
    by_row: dict[tuple[str, int, str, str], list[ProbeRecord]] = {}
    for row in probed:
        by_row.setdefault((row.prober, row.sequence, row.edge, row.watch), []).append(row)
    for down in downs:
        found.count_check("downs")
        text = f"{down.zone} down at {down.at:.2f}"
        if not down.edges:
            found.add_violation("downs", f"{text} without edges")
        for edge in down.edges:
            if not any(target.get("edge") == edge for target in down.targets):
                found.add_violation("downs", f"{text}, but {edge} was never fetched from")
        for target in down.targets:
            fault = evidence_fault(target, by_row, down.at, span, late)
            if fault:
                found.add_violation("downs", f"{text}: {target.get('edge')} {fault}")


def evidence_fault(
    target: dict[str, object],
    by_row: dict[tuple[str, int, str, str], list[ProbeRecord]],
    at: float,
    span: float,
    late: float,
) -> str:
    """Return the violation in the evidence of one failed target; empty if there is none."""
    failed_rows = target.get("failed_rows")
    rows = failed_rows if isinstance(failed_rows, list) else []
    matched: list[ProbeRecord] = []
    for row in rows:
        seconds_ago = float(row["seconds_ago"])
        matching = [
            probe
            for probe in by_row.get(
                (row["prober"], row["sequence"], str(target["edge"]), str(target["watch"])), []
            )
            if probe.failed
            and probe.machine == row["machine"]
            and at - late - MAX_DELIVERY_SECONDS - ROUNDING_SECONDS
            <= probe.at + seconds_ago
            <= at + ROUNDING_SECONDS
        ]
        if not matching:
            return f"names a failed fetch that there was not, or long ago: {row}"
        if seconds_ago > span:
            return f"names a fetch of {seconds_ago} s before"
        matched.append(matching[0])
    machines = {probe.machine for probe in matched}
    if len(matched) < MIN_PROBES or len(machines) < MIN_MACHINES:
        return f"has {len(matched)} failed fetches of {len(machines)} machines"
    if len({(probe.prober, probe.sequence) for probe in matched}) < len(matched):
        return "counts a fetch twice"
    return ""


def count_false_downs(
    downs: list[ZoneDown], records: list[RequestRecord], addresses: dict[str, str]
) -> int:
    """Count down verdicts of zones whose edges served callers well in the 3 s before."""
    count = 0
    for down in downs:
        served_at = {addresses[edge] for edge in down.edges if edge in addresses}
        recent = [
            record
            for record in records
            if record.edge in served_at
            and record.ending
            and down.at - 3.0 <= record.sent_at <= down.at
        ]
        count += len(recent) >= 5 and sum(
            record.complete and record.status < 500 for record in recent
        ) >= 0.9 * len(recent)
    return count
