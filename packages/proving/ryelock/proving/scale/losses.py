"""The last phases: a zone, the leader, and at last all cores are lost and come back."""

import signal

from ryelock.loop import Step
from ryelock.proving.fleet import wait_ready
from ryelock.proving.scale.readings import Reading, grown, number_of
from ryelock.proving.scale.run import LOOK_SECONDS, REACH_SECONDS, ScaleRun
from ryelock.proving.scale.sizes import zone_name
from ryelock.proving.scale.startup import wait_storm
from ryelock.proving.scale.steady import kilobytes_above_rest

KILL_SECONDS = 5.0
READY_SECONDS = 30.0
SETTLE_SECONDS = 2.0
LOST_ZONE = 1


def lose_zone(run: ScaleRun) -> Step[None]:
    """End all nodes of a zone at once; then let them come back at once."""
    before = yield from run.read()
    lost = yield from total(run, "hollow.drop", zone=zone_name(LOST_ZONE, run.size.zones))
    knowing = yield from wait_known(run, run.size.nodes - lost, before.at + REACH_SECONDS)
    run.figures["zone lost: nodes"] = lost
    run.figures["zone lost: others who know"] = knowing
    after = yield from run.read()
    run.figures["zone lost: s until the others know"] = after.at - before.at
    above = kilobytes_above_rest(run, before, after)
    run.figures["zone lost: MB from the leader above rest"] = above / 1e3
    yield from zone_back(run)


def total(run: ScaleRun, kind: str, **fields: object) -> Step[int]:
    """Return how many nodes of all hollow processes a message concerned."""
    answers = yield from run.tell(kind, **fields)
    return sum(int(number_of(answer, "nodes")) for answer in answers)


def wait_known(run: ScaleRun, left: int, until: float) -> Step[int]:
    """Wait until all nodes that are left know it; return how many do."""
    while True:
        knowing = yield from total(run, "hollow.knowing", edges=left + 1)
        if knowing == left or run.scheduler.now() > until:
            return knowing
        yield from run.scheduler.pause(LOOK_SECONDS)


def zone_back(run: ScaleRun) -> Step[None]:
    """Let the lost nodes come back and wait for their sessions."""
    before = yield from run.read()
    yield from run.tell("hollow.lose", without="")
    started = run.scheduler.now()
    yield from run.tell("hollow.return")
    yield from wait_storm(run, "zone back", started, before)
    yield from run.scheduler.pause(SETTLE_SECONDS)


def lose_leader(run: ScaleRun) -> Step[None]:
    """Kill the leader; it comes back after all sessions stand with another."""
    leader = yield from run.find_leader()
    if leader is None:
        run.faults.append("no leader to lose")
        return
    before = yield from run.read()
    yield from run.tell("hollow.lose", without=leader.wire)
    leader.signal(signal.SIGKILL)
    started = run.scheduler.now()
    leader.wait(KILL_SECONDS)
    after = yield from wait_storm(run, "leader lost", started, before)
    keep_lapsed(run, "leader lost", before, after)
    leader.start()
    yield from wait_ready(run.scheduler, run.reactor, leader, READY_SECONDS)


def lose_all(run: ScaleRun) -> Step[None]:
    """Kill all cores and start them again: every session is lost at once."""
    before = yield from run.read()
    for core in run.cores():
        core.signal(signal.SIGKILL)
    for core in run.cores():
        core.wait(KILL_SECONDS)
    yield from run.tell("hollow.lose", without="")
    started = run.scheduler.now()
    for core in run.cores():
        core.start()
    fresh = before.without(core.name for core in run.cores())
    after = yield from wait_storm(run, "all lost", started, fresh)
    keep_lapsed(run, "all lost", before, after)


def keep_lapsed(run: ScaleRun, name: str, before: Reading, after: Reading) -> None:
    """Note how many leases lapsed meanwhile."""
    run.figures[f"{name} terms lapsed"] = grown("lapsed", before, after)
