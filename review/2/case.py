"""A stopping edge breaks off requests that servers work on, and answers 502 itself, in good time."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    BOUNDS, BROKEN, CALL_ERRORS, HELD, LIMITS, CannotRunError, Deployment, Exchange, Operator,
    Record, Server, connect, discard_body, new_identity, read_body, read_head, request_head, route,
    run_case, service,
)  # fmt: skip

TIMEOUT_MS = 2000
"""Deadline of `stock-check`, as its clients say it and as its route has it."""
USUAL_WORK_SECONDS = 0.22
"""Mean work of `stock-check`."""
LONG_WORK_SECONDS = 1.6
"""Longest work of `stock-check` in the site file (`work_ms`, `max`)."""
SLOTS = 2
USUAL_REQUESTS, LONG_REQUESTS = 20, 12
GRACE_SECONDS = float(BOUNDS["grace_period_s"])
LAST_PART = 5 / 6
"""NEWS-22: a server that is still at work in the last sixth of `grace_period_s` is an excuse."""
DEADLINE_MARGIN_SECONDS = 0.1
LOOK_SECONDS = 0.02


class Work:
    """What the servers do: how long they work, and what became of each request."""

    seconds = USUAL_WORK_SECONDS
    at_work: dict[str, int] = {}
    dropped: dict[str, float] = {}


async def run(server: Server, exchange: Exchange) -> bool:
    """Work on a request, in one of two slots; drop it when its connection closes."""
    await discard_body(exchange.reader, exchange.fields)
    left = int(exchange.fields.get("deadline-remaining", "0")) / 1000
    until = time.monotonic() + left
    while server.in_use >= SLOTS:
        await asyncio.sleep(LOOK_SECONDS)
        if exchange.reader.at_eof() or exchange.reader.exception():
            return False
        if time.monotonic() >= until:
            server.answer(exchange, 503, b"", {"Not-Executed": "1"})
            return True
    server.in_use += 1
    identity = exchange.identity
    Work.at_work[identity] = Work.at_work.get(identity, 0) + 1
    server.record.write(f"server {server.identifier}: runs {identity}, {left:.3f} s left")
    end = time.monotonic() + Work.seconds
    try:
        while time.monotonic() < end:
            await asyncio.sleep(min(LOOK_SECONDS, max(0.0, end - time.monotonic())))
            if exchange.reader.at_eof() or exchange.reader.exception():
                Work.dropped.setdefault(identity, time.monotonic())
                server.record.write(
                    f"server {server.identifier}: drops {identity}, since its connection is closed"
                )
                return False
            if time.monotonic() >= until:
                server.record.write(f"server {server.identifier}: {identity} is past its deadline")
                server.answer(exchange, 504, b"")
                return True
        server.record.write(f"server {server.identifier}: has run {identity}")
        server.answer(exchange, 200, b"in stock\n")
        return True
    finally:
        server.in_use -= 1


def servers(deployment: Deployment) -> None:
    """Add the eight servers of `bestell`, with two slots each."""
    for number in range(8):
        zone = deployment.machines[number % 4].zone
        deployment.add_server("bestell", zone, number + 1, SLOTS, run)


class Asked:
    """One request of a client and its end."""

    def __init__(self) -> None:
        self.identity = new_identity()
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        self.stamped = False


async def ask(address: str, record: Record) -> Asked:
    """Send one request and wait for its end."""
    asked = Asked()
    fields = {
        "Host": "ficu95.example", "Attempt-Id": asked.identity,
        "Deadline-Remaining": str(TIMEOUT_MS),
    }  # fmt: skip
    try:
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            reader, writer = await connect(address)
            try:
                writer.write(request_head("GET", "/vose762/2f", fields, None))
                line, found = await read_head(reader)
                await read_body(reader, found)
                asked.status, asked.stamped = int(line.split(" ")[1]), "server-seal" in found
                ended = f"{asked.status}, stamp {found.get('server-seal', 'none')}"
            finally:
                writer.transport.abort()
    except CALL_ERRORS as error:
        ended = type(error).__name__
    asked.ended_at = time.monotonic()
    record.write(
        f"client: {asked.identity} gets {ended}, {asked.ended_at - asked.sent_at:.3f} s after it was sent"
    )
    return asked


async def case(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Play the case; return the exit code."""
    operator = Operator(deployment)
    configuration = {
        "version": "r1",
        "routes": [route("r-stock", "/vose762/", "bestell", "safe", TIMEOUT_MS, 800)],
        "services": [service("bestell")],
        "limits": LIMITS,
    }
    if await operator.replace(configuration, 0, 20) != 200:
        raise CannotRunError("the first configuration was not taken")
    await deployment.wait_ready(15)
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1)
    edge = deployment.of_role("edge")[0]
    address = deployment.front_of(edge.machine)
    for _ in range(USUAL_REQUESTS):
        if (await ask(address, record)).status != 200:
            raise CannotRunError("requests are not served in calm times")
    Work.seconds = LONG_WORK_SECONDS
    record.write(f"{LONG_REQUESTS} requests that take {LONG_WORK_SECONDS} s at their servers")
    requests = [asyncio.create_task(ask(address, record)) for _ in range(LONG_REQUESTS)]
    await asyncio.sleep(0.1)
    stopped_at = None
    if trouble:
        record.write(f"platform: SIGTERM to {edge.name}")
        stopped_at = time.monotonic()
        edge.signal(signal.SIGTERM)
    ended = [await request for request in requests]
    lost = [asked for asked in ended if stopped_at is not None and is_lost(asked, stopped_at)]
    for asked in lost:
        after = asked.ended_at - (stopped_at or 0.0)
        before = asked.sent_at + TIMEOUT_MS / 1000 - asked.ended_at
        record.write(
            f"{asked.identity}: a server was at work on it when the edge answered {asked.status}, "
            f"{after:.3f} s after SIGTERM, {before:.3f} s before its deadline"
        )
    record.write(f"{len(lost)} of {len(ended)} requests were broken off after a SIGTERM")
    return BROKEN if lost else HELD


def is_lost(asked: Asked, stopped_at: float) -> bool:
    """Return whether the edge broke off a request that its server worked on, without an excuse.

    A request that ended at its deadline or at the route's timeout is excused, and one whose server
    was still at work in the last sixth of the grace period.
    """
    in_time = asked.ended_at < asked.sent_at + TIMEOUT_MS / 1000 - DEADLINE_MARGIN_SECONDS
    early = asked.ended_at < stopped_at + LAST_PART * GRACE_SECONDS
    dropped = asked.identity in Work.dropped
    return not asked.stamped and dropped and in_time and early


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case, servers))
