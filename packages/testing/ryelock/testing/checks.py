"""Checkers of the "must never" rules, from histories of stand-ins and callers alone.

Each adds what it looked at to `checked` and what broke a rule to `violations`. Tests plant a
violation for each of them.
"""

from dataclasses import dataclass

from ryelock.testing.stand_ins.callers import Told
from ryelock.testing.stand_ins.servers import Objects, Ran, body_for

RATE_WINDOW = 5.0
RATE_OVER = 1.10
REPEAT_WINDOW = 10.0
REPEAT_SHARE = 0.2
REPEAT_ALLOWANCE = 12


class Findings:
    """What checkers looked at, by rule, and what they found broken."""

    __slots__ = ("checked", "violations")

    def __init__(self) -> None:
        """Create findings of nothing."""
        self.checked: dict[str, int] = {}
        self.violations: list[str] = []

    def look(self, rule: str, count: int = 1) -> None:
        """Count what was looked at for a rule."""
        self.checked[rule] = self.checked.get(rule, 0) + count

    def broken(self, rule: str, text: str) -> None:
        """Note a violation of a rule."""
        self.violations.append(f"{rule}: {text}")


def check_once(found: Findings, notes: list[Told], history: list[Ran]) -> None:
    """An order that may run once ran at most once, however often it was sent under its key.

    A run belongs to a sending that began before it; where all of those were told "not run",
    the order ran after it was said not to have.
    """
    runs: dict[str, list[Ran]] = {}
    for ran in history:
        if ran.identity and ran.method == "POST":
            runs.setdefault(ran.identity, []).append(ran)
    sent: dict[str, list[Told]] = {}
    for told in notes:
        if told.method == "POST":
            sent.setdefault(told.identity, []).append(told)
    for identity, sendings in sent.items():
        found.look("once")
        if len(sendings) > 1:
            found.look("once, sent again", len(sendings) - 1)
        ran_for = runs.get(identity, [])
        if len(ran_for) > 1:
            found.broken("once", f"{identity} ran {len(ran_for)} times")
        for ran in ran_for:
            if all(
                told.whole and told.outcome == "not-run" for told in sendings if told.at <= ran.at
            ):
                found.broken("once", f"{identity} ran after 'not run' was told")


def check_bytes(
    found: Findings, notes: list[Told], objects: dict[str, Objects], routes: dict[str, str]
) -> None:
    """A whole 200 carries a body that its service could have sent."""
    for told in notes:
        if not told.whole or told.status != 200:
            continue
        service = next(
            (service for path, service in routes.items() if told.target.startswith(path)), ""
        )
        if not service:
            continue
        found.look("bytes")
        known = objects[service]
        right = any(
            told.body == body_for(service, told.target, revision, known.size)
            for revision in range(known.revision(told.target) + 1)
        )
        if not right:
            found.broken("bytes", f"{told.identity} {told.target}: {told.body[:60]!r}")


def check_rates(found: Findings, history: list[Ran], rates: dict[str, float]) -> None:
    """No service was sent more than a tenth over its rate in any 5 s."""
    for service, rate in rates.items():
        times = sorted(ran.at for ran in history if ran.service == service)
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - RATE_WINDOW:
                start += 1
            found.look("rate")
            count = end - start + 1
            if count > rate * RATE_WINDOW * RATE_OVER:
                found.broken("rate", f"{service}: {count} orders in 5 s at rate {rate:g}")
                break


def check_repeats(found: Findings, history: list[Ran]) -> None:
    """Repeats stayed within a fifth and a small allowance in any 10 s."""
    by_service: dict[str, list[tuple[float, bool]]] = {}
    seen: set[tuple[str, str]] = set()
    for ran in sorted(history, key=lambda ran: ran.at):
        if not ran.identity:
            continue
        again = ran.retry or (ran.service, ran.identity) in seen
        seen.add((ran.service, ran.identity))
        by_service.setdefault(ran.service, []).append((ran.at, again))
    for service, sends in by_service.items():
        start = repeats = 0
        for end, (at, again) in enumerate(sends):
            repeats += again
            while sends[start][0] <= at - REPEAT_WINDOW:
                repeats -= sends[start][1]
                start += 1
            found.look("repeats")
            count = end - start + 1
            if repeats > REPEAT_SHARE * count + REPEAT_ALLOWANCE:
                found.broken("repeats", f"{service}: {repeats} repeats among {count} in 10 s")
                break


class Changed:
    """A change as its operator knows it."""

    __slots__ = ("asked", "identity", "mark", "status", "told", "version")

    def __init__(self, identity: str, mark: str, asked: float) -> None:
        """Create the note of a change that is not answered yet."""
        self.identity = identity
        self.mark = mark
        self.asked = asked
        self.told = 1e9
        self.status = -1
        self.version = 0


class Purged:
    """A purge as its operator knows it: the revision that was newest when it was asked for."""

    __slots__ = ("revision", "target", "told")

    def __init__(self, target: str, revision: int) -> None:
        """Create the note of a purge that is not acknowledged yet."""
        self.target = target
        self.revision = revision
        self.told = 1e9


def check_misrouted(found: Findings, history: list[Ran], service_of: dict[str, str]) -> None:
    """No order ran at a service that no configuration sent it to."""
    for ran in history:
        service = next(
            (service for path, service in service_of.items() if ran.target.startswith(path)), ""
        )
        if not service and ran.target.startswith("/gen-"):
            service = "pages"
        found.look("service")
        if ran.service != service:
            found.broken("service", f"{ran.target} ran at {ran.service} {ran.address}")


def check_leaving(
    found: Findings, history: list[Ran], shown: list[tuple[float, str, str, bool]]
) -> None:
    """A server gets no new work more than 2 s after it shows as leaving or is not listed."""
    for position, (at, _, address, leaving) in enumerate(shown):
        if not leaving:
            continue
        until = min(
            (other[0] for other in shown[position + 1 :] if other[2] == address and not other[3]),
            default=1e18,
        )
        found.look("leaving")
        for ran in history:
            if ran.address == address and at + 2.0 < ran.at < until:
                found.broken(
                    "leaving",
                    f"{address} got {ran.target} {ran.at - at:.2f} s after it showed as leaving",
                )
                break


def check_changes(
    found: Findings,
    notes: list[Told],
    changes: list[Changed],
    reads: list[tuple[float, float, int]],
) -> None:
    """Acknowledged changes hold everywhere at once, declined ones nowhere, reads miss none."""
    accepted = [changed for changed in changes if changed.status == 200]
    by_mark = {changed.mark: changed for changed in changes if changed.mark}
    versions = [changed.version for changed in accepted]
    if len(set(versions)) != len(versions):
        found.broken("changes", "two changes got one version")
    for told in notes:
        changed = by_mark.get(told.target)
        if changed is None or not told.whole:
            continue
        found.look("changes")
        at = told.at
        if changed.status == 200 and at > changed.told + 2.0 and told.status == 404:
            found.broken(
                "changes",
                f"{changed.identity} ignored {at - changed.told:.2f} s "
                f"after its acknowledgement by {told.edge}",
            )
        if changed.status in (409, 422) and told.status == 200:
            found.broken("changes", f"{changed.identity} took effect though told {changed.status}")
    seen: dict[tuple[str, str], float] = {}
    for told in sorted(notes, key=lambda told: told.at + told.seconds):
        if told.target not in by_mark or not told.whole:
            continue
        key = (told.edge, told.target)
        if told.status == 200:
            seen.setdefault(key, told.at + told.seconds)
        elif told.status == 404 and key in seen and told.at > seen[key]:
            found.broken("changes", f"{told.edge} slipped back on {told.target}")
    for started, _, version in reads:
        newest = max(
            (changed.version for changed in accepted if changed.told <= started), default=0
        )
        found.look("reads")
        if version < newest:
            found.broken("reads", f"read {version} after {newest} was acknowledged")


def check_purges(found: Findings, notes: list[Told], purges: list[Purged]) -> None:
    """No copy older than a purge is served more than 2 s after the purge's acknowledgement."""
    for purged in purges:
        for told in notes:
            if told.target != purged.target or not told.whole or told.status != 200:
                continue
            if told.at <= purged.told + 2.0:
                continue
            found.look("purges")
            revision = revision_of(told.body)
            if revision is not None and revision < purged.revision:
                found.broken(
                    "purges",
                    f"{told.target} revision {revision} served by "
                    f"{told.edge} {told.at - purged.told:.2f} s after the "
                    f"purge of {purged.revision}",
                )


def check_lifetimes(found: Findings, notes: list[Told], objects: Objects, lifetime: float) -> None:
    """No copy outlives its lifetime by more than 2 s."""
    for told in notes:
        changed = objects.changed_at.get(told.target)
        if changed is None or not told.whole or told.status != 200 or told.seconds > 1.0:
            continue
        found.look("lifetimes")
        revision = revision_of(told.body)
        if (
            revision is not None
            and revision < objects.revision(told.target)
            and told.at > changed + lifetime + 2.0
        ):
            found.broken(
                "lifetimes",
                f"{told.target} revision {revision} served "
                f"{told.at - changed:.2f} s after it changed",
            )


def revision_of(body: bytes) -> int | None:
    """Return the revision that a body is of; None where it is no object's."""
    parts = body.split(b" ", 4)
    if len(parts) < 5 or parts[0] != b"OBJECT" or not parts[3].isdigit():
        return None
    return int(parts[3])


@dataclass(frozen=True, slots=True)
class Down:
    """A down verdict as the record showed it, with the rows it rests on by target."""

    at: float
    zone: str
    edges: list[str]
    targets: list[dict[str, object]]


@dataclass(slots=True, eq=False)
class Probed:
    """One probe as its prober kept it, on the world's time."""

    at: float
    edge: str
    watch: str
    machine: str
    prober: str
    sequence: int
    failed: bool


QUORUM = 3
MACHINES = 2
LATE_MOST = 5.0
TOLD_MOST = 2.0
ROUNDED = 0.05


def check_downs(
    found: Findings,
    downs: list[Down],
    probed: list[Probed],
    span: float = 600.0,
    late: float = LATE_MOST,
) -> None:
    """A zone is down only by fetches that really failed, as its own record names them.

    For every edge, each target the record shows as judged must name at least three rows of two
    machines, and each row must stand in its prober's own store: of that edge and watch, failed,
    and taken when the record says, or earlier by as long as a row may be on its way to the
    aggregator. The judging was not long before the verdict stood in the record: 2 s, and where
    the lead changed meanwhile an election more.
    """
    by_row: dict[tuple[str, int, str, str], list[Probed]] = {}
    for row in probed:
        by_row.setdefault((row.prober, row.sequence, row.edge, row.watch), []).append(row)
    for down in downs:
        found.look("downs")
        text = f"{down.zone} down at {down.at:.2f}"
        if not down.edges:
            found.broken("downs", f"{text} without edges")
        for edge in down.edges:
            if not any(target.get("edge") == edge for target in down.targets):
                found.broken("downs", f"{text}, but {edge} was never fetched from")
        for target in down.targets:
            fault = target_fault(target, by_row, down.at, span, late)
            if fault:
                found.broken("downs", f"{text}: {target.get('edge')} {fault}")


def target_fault(
    target: dict[str, object],
    by_row: dict[tuple[str, int, str, str], list[Probed]],
    at: float,
    span: float,
    late: float,
) -> str:
    """What is wrong with the evidence of one failed target; empty when nothing is."""
    named = target.get("failed_rows")
    rows = named if isinstance(named, list) else []
    matched: list[Probed] = []
    for row in rows:
        ago = float(row["seconds_ago"])
        real = [
            probe
            for probe in by_row.get(
                (row["prober"], row["sequence"], str(target["edge"]), str(target["watch"])), []
            )
            if probe.failed
            and probe.machine == row["machine"]
            and at - late - TOLD_MOST - ROUNDED <= probe.at + ago <= at + ROUNDED
        ]
        if not real:
            return f"names a failed fetch that there was not, or long ago: {row}"
        if ago > span:
            return f"names a fetch of {ago} s before"
        matched.append(real[0])
    machines = {probe.machine for probe in matched}
    if len(matched) < QUORUM or len(machines) < MACHINES:
        return f"has {len(matched)} failed fetches of {len(machines)} machines"
    if len({(probe.prober, probe.sequence) for probe in matched}) < len(matched):
        return "counts a fetch twice"
    return ""


def false_downs(downs: list[Down], notes: list[Told], addresses: dict[str, str]) -> int:
    """Down verdicts of zones whose edges served callers well in the 3 s before."""
    count = 0
    for down in downs:
        places = {addresses[edge] for edge in down.edges if edge in addresses}
        lately = [
            told
            for told in notes
            if told.edge in places and told.end and down.at - 3.0 <= told.at <= down.at
        ]
        count += len(lately) >= 5 and sum(
            told.whole and told.status < 500 for told in lately
        ) >= 0.9 * len(lately)
    return count
