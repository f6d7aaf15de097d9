"""The last phases: a zone, the leader, and at last all cores are lost and come back."""

import signal

from ryelock.testing.processes.fleet import wait_ready
from ryelock.testing.scale.readings import Reading, grown, number_of
from ryelock.testing.scale.run import LOOK_SECONDS, REACH_SECONDS, ScaleRun
from ryelock.testing.scale.sizes import zone_name
from ryelock.testing.scale.startup import wait_storm
from ryelock.testing.scale.steady import kilobytes_above_rest

KILL_SECONDS = 5.0
READY_SECONDS = 30.0
SETTLE_SECONDS = 2.0
LOST_ZONE = 1


async def lose_zone(run: ScaleRun) -> None:
    """End all nodes of a zone at once; then let them come back at once."""
    before = await run.read()
    lost = await total(run, "hollow.drop", zone=zone_name(LOST_ZONE, run.size.zones))
    knowing = await wait_known(run, run.size.nodes - lost, before.at + REACH_SECONDS)
    run.figures["zone lost: nodes"] = lost
    run.figures["zone lost: others who know"] = knowing
    after = await run.read()
    run.figures["zone lost: s until the others know"] = after.at - before.at
    above = kilobytes_above_rest(run, before, after)
    run.figures["zone lost: MB from the leader above rest"] = above / 1e3
    await zone_back(run)


async def total(run: ScaleRun, kind: str, **fields: object) -> int:
    """Return how many nodes of all hollow processes a message concerned."""
    answers = await run.tell(kind, **fields)
    return sum(int(number_of(answer, "nodes")) for answer in answers)


async def wait_known(run: ScaleRun, left: int, until: float) -> int:
    """Wait until all nodes that are left know it; return how many do."""
    while True:
        knowing = await total(run, "hollow.knowing", edges=left + 1)
        if knowing == left or run.scheduler.now() > until:
            return knowing
        await run.scheduler.sleep(LOOK_SECONDS)


async def zone_back(run: ScaleRun) -> None:
    """Let the lost nodes come back and wait for their sessions."""
    before = await run.read()
    await run.tell("hollow.lose", without="")
    started = run.scheduler.now()
    await run.tell("hollow.return")
    await wait_storm(run, "zone back", started, before)
    await run.scheduler.sleep(SETTLE_SECONDS)


async def lose_leader(run: ScaleRun) -> None:
    """Kill the leader; it comes back after all sessions stand with another."""
    leader = await run.find_leader()
    if leader is None:
        run.faults.append("no leader to lose")
        return
    before = await run.read()
    await run.tell("hollow.lose", without=leader.wire)
    leader.signal(signal.SIGKILL)
    started = run.scheduler.now()
    leader.wait(KILL_SECONDS)
    after = await wait_storm(run, "leader lost", started, before)
    keep_lapsed(run, "leader lost", before, after)
    leader.start()
    await wait_ready(run.scheduler, run.reactor, leader, READY_SECONDS)


async def lose_all(run: ScaleRun) -> None:
    """Kill all cores and start them again: every session is lost at once."""
    before = await run.read()
    for core in run.cores():
        core.signal(signal.SIGKILL)
    for core in run.cores():
        core.wait(KILL_SECONDS)
    await run.tell("hollow.lose", without="")
    started = run.scheduler.now()
    for core in run.cores():
        core.start()
    fresh = before.without(core.name for core in run.cores())
    after = await wait_storm(run, "all lost", started, fresh)
    keep_lapsed(run, "all lost", before, after)


def keep_lapsed(run: ScaleRun, name: str, before: Reading, after: Reading) -> None:
    """Note how many leases lapsed meanwhile."""
    run.figures[f"{name} terms lapsed"] = grown("lapsed", before, after)
