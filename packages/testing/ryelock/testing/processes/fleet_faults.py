"""Faults of a fleet of real processes, one after another, each mended before the next.

The leader is killed, a zone dies, processes freeze, many are killed at once, a crowd comes, copies
grow stale, and at last every process is restarted in turn.
"""

import signal
import statistics

from ryelock.testing.processes.fleet import wait_ready
from ryelock.testing.processes.fleet_run import Run
from ryelock.testing.stand_ins.callers import Caller

CROWD_MOST = 400


async def with_faults(run: Run) -> None:
    """A killed leader, a dead zone, a rolling restart."""
    leader = await run.leader()
    if leader is not None:
        leader.signal(signal.SIGKILL)
        killed = run.scheduler.now()
        while run.scheduler.now() < killed + 30:
            status, _ = await run.change(
                f"after-{run.scheduler.now()}",
                2,
                put={
                    "routes": {
                        "later": {"path": "/later", "service": next(iter(run.shape.servers))}
                    }
                },
            )
            if status == 200:
                break
            await run.scheduler.sleep(0.1)
        run.report["change_after_leader_lost"] = round(run.scheduler.now() - killed, 2)
        leader.start()
        await wait_ready(run.scheduler, run.reactor, leader, 30)
    zone = run.shape.zones[-1]
    dead = [process for process in run.fleet.of_role("edge") if process.zone == zone]
    for process in dead:
        process.signal(signal.SIGKILL)
    down = await run.wait_verdict(zone, "down", 60)
    run.report["dead_zone_found_after"] = None if down is None else round(down, 2)
    for process in dead:
        process.start()
        await wait_ready(run.scheduler, run.reactor, process, 30)
    healthy = await run.wait_verdict(zone, "healthy", 60)
    run.report["zone_back_after"] = None if healthy is None else round(healthy, 2)
    await with_frozen(run)
    await with_many_killed(run)
    await with_crowd(run)
    await with_stale_copies(run, zone)
    before = run.scheduler.now()
    run.report["restarted"] = await run.rolling_restart()
    run.report["during_restart"] = run.summary(before)


def first_service(run: Run) -> str:
    """Return the name of the shape's first service."""
    return next(iter(run.shape.servers))


async def change_soon(run: Run, name: str, seconds: float) -> float | None:
    """Return the seconds until a change is acknowledged, None where it is not.

    It is retried under its id; under a new one where another change came first, since the
    outcome of an id stays.
    """
    started = run.scheduler.now()
    identity = name
    while run.scheduler.now() < started + seconds:
        _, answer = await run.operator("GET", "/configuration")
        base = answer.get("version")
        status, _ = await run.change(
            identity,
            base if isinstance(base, int) else 0,
            put={"routes": {name: {"path": f"/{name}", "service": first_service(run)}}},
        )
        if status == 200:
            return round(run.scheduler.now() - started, 2)
        if status == 409:
            identity += "+"
        await run.scheduler.sleep(0.1)
    return None


async def with_frozen(run: Run) -> None:
    """The leader and then an edge stop running while their links stand, and wake late."""
    found: dict[str, object] = {}
    leader = await run.leader()
    for what, process in (("leader", leader), ("edge", run.fleet.of_role("edge")[0])):
        if process is None:
            continue
        run.frozen.add(process.name)
        process.signal(signal.SIGSTOP)
        found[f"change_with_{what}_frozen"] = await change_soon(run, f"frozen-{what}", 20)
        await run.scheduler.sleep(2.0)
        process.signal(signal.SIGCONT)
        run.frozen.discard(process.name)
        await wait_ready(run.scheduler, run.reactor, process, 20)
    run.report["frozen"] = found


async def with_many_killed(run: Run) -> None:
    """A minority of the cores, half of the edges and a prober at once, midway through a change."""
    cores, edges = run.fleet.of_role("core"), run.fleet.of_role("edge")
    leader = await run.leader()
    lost = [core for core in cores if core is not leader][: (min(len(cores), 5) - 1) // 2 - 1]
    lost += edges[::2] + run.fleet.of_role("prober")[:1] + ([leader] if leader else [])
    run.scheduler.create_task(midway(run), name="midway")
    await run.scheduler.sleep(0.004)
    for process in lost:
        process.signal(signal.SIGKILL)
    acknowledged = await change_soon(run, "many-killed", 20)
    for process in lost:
        process.start()
    for process in lost:
        await wait_ready(run.scheduler, run.reactor, process, 30)
    run.report["many_killed"] = {"processes": len(lost), "change_after": acknowledged}


async def midway(run: Run) -> None:
    """Send one change, whatever becomes of it."""
    await change_soon(run, "midway", 0.0)


async def with_crowd(run: Run) -> None:
    """Send ten times the rate for some seconds, whatever becomes of earlier requests.

    A caller whose request fails retries it once, at once.
    """
    before = run.scheduler.now()
    until = before + 6.0
    number = 0
    while run.scheduler.now() < until:
        for _ in range(max(1, int(run.shape.rate * 10 * 0.05))):
            if number - run.crowd_over < CROWD_MOST:
                number += 1
                run.scheduler.create_task(in_crowd(run, number), name="crowd")
        await run.scheduler.sleep(0.05)
    while number > run.crowd_over and run.scheduler.now() < until + 20:
        await run.scheduler.sleep(0.1)
    told = [one for one in run.notes if one.sent_at >= before and one.identity.startswith("x")]
    rejected = [one for one in told if one.complete and one.status in (429, 503)]
    run.report["crowd"] = {
        "came": number,
        "whole_200": sum(one.complete and one.status == 200 for one in told),
        "declined": len(rejected),
        "declined_without_retry_after": sum(not one.retry_after for one in rejected),
        "decline_median_ms": round(statistics.median([one.seconds for one in rejected]) * 1000, 1)
        if rejected
        else None,
    }
    await run.scheduler.sleep(2.0)


async def in_crowd(run: Run, number: int) -> None:
    """Send a request of one impatient caller, and once more where it failed."""
    try:
        ready = sorted(run.ready)
        if not ready:
            return
        edge = run.fleet.processes[run.random.choice(ready)].request_address
        kind = run.pick_kind()
        caller = Caller(run.scheduler, run.reactor, run.random, run.notes, 10.0)
        target = f"{kind.path}{run.random.randrange(kind.objects)}"
        for turn in range(2):
            fields = [(b"X-Retry-Count", b"%d" % turn)] if turn and kind.method == "GET" else []
            identity = f"x{number}" if kind.method == "GET" else f"x{number}-{turn}"
            told = await caller.request(
                edge, kind.method, target, identity, fields, b"x" * kind.body
            )
            if told.status == 200:
                break
        caller.close()
    finally:
        run.crowd_over += 1


async def with_stale_copies(run: Run, zone: str) -> None:
    """An object changes under copies that live long: stale by its watch, until it is purged."""
    service = next(iter(run.shape.servers))
    _, answer = await run.operator("GET", "/configuration")
    version = int(str(answer.get("version", 0)))
    status, _ = await run.change(
        "aged",
        version,
        put={
            "routes": {
                "aged": {
                    "path": "/aged",
                    "service": service,
                    "cached": True,
                    "lifetime_seconds": 600,
                }
            },
            "watches": {
                "aged": {
                    "route": "aged",
                    "object": "/aged/watched",
                    "dating": "etag",
                    "stale_seconds": 2,
                }
            },
        },
    )
    await run.scheduler.sleep(8.0)
    run.objects[service].change("/aged/watched", run.scheduler.clock.wall())
    stale = await run.wait_verdict(zone, "stale", 60)
    purged, _ = await run.operator(
        "POST", "/purges", {"id": "purge-aged", "scopes": [{"path": "/aged/watched"}]}
    )
    healthy = await run.wait_verdict(zone, "healthy", 60)
    run.report["stale_zone"] = {
        "change": status,
        "purge": purged,
        "found_after": stale,
        "healthy_after_purge": healthy,
    }
