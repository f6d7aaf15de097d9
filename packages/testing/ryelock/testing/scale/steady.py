"""The phases in which all processes stay: at rest, changes, purges, listings, restarts."""

import time
from collections.abc import Callable

from ryelock.runtime import TaskCoroutine
from ryelock.testing.processes.accounts import Spent
from ryelock.testing.scale.readings import (
    Reading,
    grown,
    keep_percentiles,
    number_of,
    spent_by,
)
from ryelock.testing.scale.run import LOOK_SECONDS, REACH_SECONDS, ScaleRun
from ryelock.testing.scale.sizes import EDGE, Plain, service_name, zone_name

FLOOD_SECONDS = 3.0
FLOOD_END_SECONDS = 30.0
EVENT_SECONDS = 1.0
MOVED_SERVER = "127.0.9.250:9999"
Act = Callable[[ScaleRun, int], TaskCoroutine[None]]
Call = tuple[str, Plain]


async def at_rest(run: ScaleRun) -> None:
    """Measure a window without news: what standing sessions cost."""
    before = await run.read()
    await run.scheduler.sleep(run.size.seconds)
    after = await run.read()
    span, nodes, figures = after.at - before.at, run.size.nodes, run.figures
    roles = {"leader": [run.leader], "follower": run.followers(), "edge": [EDGE]}
    for role, names in roles.items():
        spent = [spent_by(name, before, after) for name in names]
        keep_spent(run, role, spent, span, len(spent))
    hollow = [name for name in after.accounts if name.startswith("hollow")]
    spent = [spent_by(name, before, after) for name in hollow]
    keep_spent(run, "hollow node", spent, span, nodes)
    figures["hollow node asks/s"] = (after.asks - before.asks)["renew"] / span / nodes
    figures["rows/s told"] = grown("rows", before, after) / span
    figures["terms lapsed at rest"] = grown("lapsed", before, after)
    figures["members KB"] = number_of(after.state, "members_bytes") / 1e3
    figures["verdict KB"] = number_of(after.state, "verdict_bytes") / 1e3


def keep_spent(run: ScaleRun, role: str, spent: list[Spent], span: float, count: int) -> None:
    """Note what `count` processes or nodes of a role spent in `span` seconds, each."""
    for name, value in (
        ("% of a core", 100 * sum(one.cpu for one in spent) / span),
        ("MB", sum(one.memory for one in spent) / 1e6),
        ("KB/s in", sum(one.bytes_in for one in spent) / span / 1e3),
        ("KB/s out", sum(one.bytes_out for one in spent) / span / 1e3),
        ("segments/s in", sum(one.segments_in for one in spent) / span),
        ("segments/s out", sum(one.segments_out for one in spent) / span),
        ("KB/s to disk", sum(one.disk for one in spent) / span / 1e3),
        ("descriptors", sum(one.descriptors for one in spent)),
    ):
        run.figures[f"{role} {name}"] = value / count


async def changes(run: ScaleRun) -> None:
    """Make changes one after another and time each."""

    def change(number: int) -> Call:
        route = {"path": f"/moved-{number}", "service": service_name(0)}
        put = {"routes": {"moved": route}}
        return "/changes", {"id": f"change-{number}", "base": run.version, "put": put}

    await in_turn(run, "change", change)


async def purges(run: ScaleRun) -> None:
    """Make purges one after another and time each."""
    await in_turn(run, "purge", lambda number: purge_call("purge", number))


def purge_call(name: str, number: int) -> Call:
    """Return a purge of one path as an operator sends it."""
    return "/purges", {"id": f"{name}-{number}", "scopes": [{"path": f"/route-0/{number}"}]}


async def in_turn(run: ScaleRun, kind: str, call_of: Callable[[int], Call]) -> None:
    """Time requests to the acknowledgement and to the last node, each after the one before."""
    acknowledged: list[float] = []
    last: list[float] = []
    reached = 0
    before = await run.read()
    for number in range(1, run.size.changes + 1):
        started = run.scheduler.now()
        status, answer = await run.post(*call_of(number))
        if kind == "change":
            run.version = int(number_of(answer, "version"))
        if status != 200:
            run.faults.append(f"{kind}: {status} {answer}")
            continue
        acknowledged.append(run.scheduler.now() - started)
        times = await run.times("hollow.reached", REACH_SECONDS, index=answer.get("index"))
        reached += len(times)
        if len(times) == run.size.nodes:
            last.append(times[-1] - started)
    after = await run.read()
    run.figures[f"{kind}s acknowledged"] = len(acknowledged)
    run.figures[f"{kind}s reached"] = reached
    keep_percentiles(run.figures, f"{kind} s to acknowledge", acknowledged)
    keep_percentiles(run.figures, f"{kind} s to the last node", last)
    disk = spent_by(run.leader, before, after).disk
    run.figures[f"{kind} KB to the leader's disk"] = disk / run.size.changes / 1e3


class Flood:
    """Purges at a rate, none waiting for another.

    Attributes:
        taken: start and log index of each acknowledged purge.
        ended: how many purges came to an end, acknowledged or not.
    """

    __slots__ = ("ended", "run", "taken")

    def __init__(self, run: ScaleRun) -> None:
        """Create a flood that has sent nothing yet."""
        self.run = run
        self.taken: list[tuple[float, int]] = []
        self.ended = 0

    async def purge(self, number: int) -> None:
        """Send one purge and note when it was started."""
        started = self.run.scheduler.now()
        status, answer = await self.run.post(*purge_call("flood", number))
        index = answer.get("index")
        if status == 200 and isinstance(index, int):
            self.taken.append((started, index))
        self.ended += 1

    async def send(self, count: int, rate: float, started: float) -> None:
        """Start so many purges at a rate a second and wait until each has ended."""
        scheduler = self.run.scheduler
        for number in range(count):
            scheduler.create_task(self.purge(number), name="purge")
            due = started + (number + 1) / rate
            await scheduler.sleep(max(0.0, due - scheduler.now()))
        until = scheduler.now() + FLOOD_END_SECONDS
        while self.ended < count and scheduler.now() < until:
            await scheduler.sleep(LOOK_SECONDS)

    async def delays(self) -> list[float]:
        """Return seconds from a purge's start to the last node, for those that reached all."""
        found: list[float] = []
        for started, index in self.taken:
            times = await self.run.times("hollow.reached", 1.0, index=index)
            if len(times) == self.run.size.nodes:
                found.append(times[-1] - started)
        return found


async def flood(run: ScaleRun) -> None:
    """Send purges at a rate; note how many nodes had each, and how late."""
    rate = run.size.flood
    if not rate:
        return
    count = int(rate * FLOOD_SECONDS)
    purging = Flood(run)
    before = await run.read()
    await purging.send(count, rate, before.at)
    after = await run.read()
    last = await purging.delays()
    run.figures["flood purges"] = count
    run.figures["flood purges acknowledged"] = len(purging.taken)
    run.figures["flood purges at all nodes"] = len(last)
    keep_percentiles(run.figures, "flood s to the last node", last)
    spent, span = spent_by(run.leader, before, after), after.at - before.at
    run.figures["flood leader % of a core"] = 100 * spent.cpu / span
    run.figures["flood leader KB/s out"] = spent.bytes_out / span / 1e3
    run.figures["flood leader KB/s to disk"] = spent.disk / span / 1e3


def kilobytes_above_rest(run: ScaleRun, before: Reading, after: Reading) -> float:
    """Return what the leader sent between two readings beyond its rate at rest."""
    sent = spent_by(run.leader, before, after).bytes_out / 1e3
    return sent - run.figures["leader KB/s out"] * (after.at - before.at)


async def over_and_above(run: ScaleRun, name: str, act: Act) -> None:
    """Measure what some events cost the leader beyond its rest, each."""
    count = run.size.restarts
    if not count:
        return
    before = await run.read()
    for number in range(count):
        await act(run, number)
        await run.scheduler.sleep(EVENT_SECONDS)
    after = await run.read()
    above = kilobytes_above_rest(run, before, after)
    run.figures[f"{name}: KB from the leader above rest"] = above / count
    cpu = spent_by(run.leader, before, after).cpu
    run.figures[f"{name}: leader % of a core"] = 100 * cpu / (after.at - before.at)


async def change_listing(run: ScaleRun, number: int) -> None:
    """Change the platform's list and time it to the last node; the slowest change is noted."""
    name = "listing s to the last node"
    since = time.monotonic()
    run.platform.show(service_name(0), MOVED_SERVER, zone_name(0, run.size.zones), number + 1)
    times = await run.times("hollow.listed", REACH_SECONDS, since=since)
    if len(times) < run.size.nodes:
        run.faults.append(f"listing: {len(times)} of {run.size.nodes}")
    elif number == 0 or times[-1] - since > run.figures[name]:
        run.figures[name] = times[-1] - since


async def restart_one(run: ScaleRun, _: int) -> None:
    """Restart one hollow node in a planned way."""
    message = {"kind": "hollow.restart", "count": 1}
    await run.lines.call(run.hollow[0].address, message, 10.0)
