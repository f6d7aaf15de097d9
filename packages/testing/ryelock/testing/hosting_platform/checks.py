"""Checkers of the rules on requests and answers, from callers' records and servers' histories.

Each returns one line for what broke a rule; nothing of what the system says of itself is read.
"""

from collections.abc import Callable

from ryelock.testing.hosting_platform.attempts import NOT_RUN_STATUSES, UNSAFE, AttemptRecord
from ryelock.testing.hosting_platform.format import PlatformFormat
from ryelock.testing.hosting_platform.servers import Arrival
from ryelock.testing.hosting_platform.services import ServiceStandIn

Allowed = Callable[[AttemptRecord], set[str]]
OwnRead = Callable[[Arrival], bool]


def find_violations(  # noqa: C901 - one branch a rule
    notes: list[AttemptRecord],
    arrivals: list[Arrival],
    services: dict[str, ServiceStandIn],
    format: PlatformFormat,
    allowed: Allowed,
    own_read: OwnRead,
) -> list[str]:
    """Return what broke the rules on requests and answers; empty where all held.

    `own_read` tells of a request that no caller sent whether the system may send it by itself.
    """
    found: list[str] = []
    sent = {record.identity: record for record in notes}
    runs: dict[str, int] = {}
    for arrival in arrivals:
        if not arrival.ran:
            continue
        record = sent.get(arrival.identity)
        if record is None:
            if not own_read(arrival):
                found.append(f"unasked: {arrival.identity!r} was run and nobody sent it")
            continue
        runs[record.identity] = runs.get(record.identity, 0) + 1
        if (arrival.method, arrival.target, arrival.body) != (
            record.method,
            record.target,
            record.body,
        ):
            found.append(f"unasked: {record.identity} was changed on its way")
        if arrival.service not in allowed(record):
            found.append(f"route: {record.identity} was run by {arrival.service}")
        if record.kind == UNSAFE and arrival.at - 1.0 > record.sent_at + record.deadline:
            found.append(f"late: {record.identity} was run long after its caller left")
    for record in notes:
        if record.kind == UNSAFE and runs.get(record.identity, 0) > 1:
            found.append(f"twice: {record.identity} ran {runs[record.identity]} times")
        if (
            record.kind == UNSAFE
            and record.status in NOT_RUN_STATUSES
            and runs.get(record.identity)
        ):
            found.append(f"promised: {record.identity} was told {record.status} and has run")
        if record.served:
            found += response_violations(record, services, format, allowed(record))
    return found


def response_violations(
    record: AttemptRecord,
    services: dict[str, ServiceStandIn],
    format: PlatformFormat,
    allowed: set[str],
) -> list[str]:
    """Check one success: whose it is, its seal, and every byte of it."""
    if record.field(format.profile.identity) != record.identity.encode():
        return [f"mixed: {record.identity} got an answer of another order"]
    seal = record.field(format.profile.seal)
    if seal is None:
        return [f"mixed: {record.identity} got a success without its mark"]
    if record.field(b"content-encoding") is not None:
        return [f"mixed: {record.identity} got bytes that are encoded"]
    revision = seal.partition(b".")[0]
    if not revision.isdigit():
        return [f"mixed: {record.identity} got a mark of nobody's"]
    for name in sorted(allowed):
        service = services[name]
        if service.seal(record.target, int(revision)) == seal:
            body = service.body(record.target, int(revision))
            path = (record.field(b"content-range") or b"").removeprefix(b"bytes ")
            first, _, rest = path.partition(b"-")
            if record.status == 206:
                body = body[int(first) : int(rest.partition(b"/")[0]) + 1]
            return (
                []
                if body == record.response_body
                else [f"mixed: {record.identity} got other bytes"]
            )
    return [f"mixed: {record.identity} got another service's answer"]


def rate_violations(
    arrivals: list[Arrival], service: str, rate: float, seconds: float = 5.0, overshoot: float = 1.1
) -> list[str]:
    """Spans in which a service got more requests than its rate allows."""
    times = sorted(arrival.at for arrival in arrivals if arrival.service == service)
    most = rate * seconds * overshoot + 5
    found: list[str] = []
    first = 0
    for number, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        if number - first + 1 > most:
            found.append(f"ceiling: {number - first + 1} orders to {service} until {at:.2f}")
    return found[:3]


def retry_violations(
    notes: list[AttemptRecord],
    arrivals: list[Arrival],
    service: str,
    routed: Callable[[AttemptRecord], set[str]],
    ratio: float = 0.2,
    slack: float = 68,
    seconds: float = 10.0,
) -> list[str]:
    """Spans in which a service got more retries than a part of its callers' requests allows.

    A read without a name is no caller's request, so it retries none; every named one is counted.
    """
    seen: set[str] = set()
    repeats: list[float] = []
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if arrival.service != service or not arrival.identity:
            continue
        if arrival.identity in seen:
            repeats.append(arrival.at)
        seen.add(arrival.identity)
    sent = sorted(record.sent_at for record in notes if service in routed(record))
    found: list[str] = []
    for until in repeats:
        count = sum(until - seconds < at <= until for at in repeats)
        requests = max(
            sum(until - seconds - back < at <= until - back for at in sent)
            for back in (0.0, seconds / 2, seconds)
        )
        if count > ratio * requests + slack:
            found.append(
                f"budget: {count} repeats to {service} until {until:.2f}, {requests} orders"
            )
    return found[:3]
