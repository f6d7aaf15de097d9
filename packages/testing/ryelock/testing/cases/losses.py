"""Fault injection: further losses during a recovery, a replacement or a planned departure.

Each case takes a seed and returns findings derived from the answers that operators received.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random

from ryelock.testing.cases.control import (
    OK,
    RETRY_INTERVAL_SECONDS,
    read_newest_version,
    route_change,
)
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario

LOSS_ROUNDS = 3
CATCH_UP_SECONDS = 4.0
LOSS_KINDS = ("crash", "wiped", "replaced", "planned")
ROLES = ("leader", "follower", "spare", "seed")
REPLACEMENT_PREFIX = "core-new"
PAUSES_SECONDS = (0.2, 1.5, 4.0)
MAX_STOP_SECONDS = 5.4
"""A planned stop is cut short by a kill after this time."""
CHANGE_SECONDS = 20.0
LOSS_SETTINGS: dict[str, object] = {
    "replace_seconds": 1.2,
    "stop_seconds": 3.0,
    "election_seconds": 0.7,
}


@dataclass(frozen=True, slots=True)
class Loss:
    """Loss of one machine: its kind, and the machine's role at that moment."""

    kind: str
    role: str


def all_losses() -> list[Loss]:
    """Return every combination of kind and role."""
    return [Loss(kind, role) for kind in LOSS_KINDS for role in ROLES]


def second_loss(seed: int) -> Findings:
    """Inject losses drawn by the seed, one after the other, into 3, 4, 5 or 8 control nodes.

    With 8 nodes two are lost at once.
    """
    random = Random(f"losses {seed}")
    disks = (3, 4, 5, 8)[seed % 4]
    at_once = 2 if disks == 8 else 1
    losses = [[random.choice(all_losses()) for _ in range(at_once)] for _ in range(LOSS_ROUNDS)]
    return run_losses(seed, disks, losses)


def run_losses(seed: int, disks: int, losses: list[list[Loss]]) -> Findings:
    """Inject groups of losses, each a catch-up time after the group before.

    Machines crash and restart, restart with an empty disk, are replaced by an empty machine, or
    are stopped as planned and replaced. A change must commit after each group, and none be lost.
    """
    random = Random(f"victims {seed}")
    scenario = Scenario(seed, cores=disks, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(CATCH_UP_SECONDS)
    found = Findings()
    version = 1
    for number, group in enumerate(losses):
        victims: dict[str, str] = {}
        for loss in group:
            victims[pick_victim(scenario, random, loss.role, victims)] = loss.kind
        for victim, kind in victims.items():
            inject_loss(scenario, victim, kind, number)
        text = f"loss {number} of {disks}: {victims}"
        version = commit_change(scenario, f"after-{number}", version, found, text)
        if version < 0:
            return found
        scenario.world.run(1.0)
        restart_victims(scenario, victims)
        scenario.world.run(CATCH_UP_SECONDS)
    check_version(scenario, version, found)
    return found


def pick_victim(scenario: Scenario, random: Random, role: str, excluded: Collection[str]) -> str:
    """Draw a running control node of a role, or any non-leader if no node has the role."""
    leader = scenario.leader()
    alive = [name for name in scenario.alive(scenario.cores) if name not in excluded]
    if role == "leader" and leader in alive:
        return leader
    others = [name for name in alive if name != leader]
    voters = scenario.node(leader).core.consensus.voters if leader else {}
    standbys = [name for name in others if scenario.node(name).core.consensus.disk not in voters]
    seeds = [name for name in others if name in scenario.cores[:3]]
    fitting = {"spare": standbys, "seed": seeds}.get(role, others)
    return random.choice(fitting or others)


def inject_loss(scenario: Scenario, name: str, kind: str, number: int) -> None:
    """Lose one control node; a replacement starts empty at another address."""
    if kind == "wiped":
        scenario.lose_disk(name)
    elif kind == "crash":
        scenario.world.kill(name, True)
    elif kind == "replaced":
        scenario.world.kill(name, True)
        add_core(scenario, f"{REPLACEMENT_PREFIX}-{name}-{number}")
    else:
        add_core(scenario, f"{REPLACEMENT_PREFIX}-{name}-{number}")
        scenario.world.run(1.0)
        stop_core(scenario, name)


def add_core(scenario: Scenario, name: str) -> None:
    """Start an empty control node at a new address, as the platform does for a replacement."""
    scenario.cores.append(scenario.plan("core", name, scenario.zones[0]))
    scenario.plans[name][1]["may_found"] = False
    scenario.start(name)


def stop_core(scenario: Scenario, name: str) -> None:
    """Stop one control node as planned, then remove its machine."""
    node = scenario.node(name)
    running = node.scheduler.create_task(node.core.stop(), name="stop")
    scenario.world.run_until(lambda: running.done, MAX_STOP_SECONDS)
    scenario.lose_disk(name)


def commit_change(
    scenario: Scenario, identity: str, version: int, found: Findings, text: str
) -> int:
    """Retry a change until it commits; return the new version, or -1 if it never does."""
    versions: list[int] = []

    async def send() -> None:
        while not versions:
            status, answer = await scenario.operator(
                "POST", "/changes", route_change(identity, version)
            )
            new = answer.get("version")
            if status == OK and isinstance(new, int):
                versions.append(new)
            await scenario.operators.scheduler.sleep(RETRY_INTERVAL_SECONDS)

    running = scenario.operators.scheduler.create_task(send(), name="change")
    scenario.world.run_until(lambda: bool(versions), CHANGE_SECONDS)
    running.cancel()
    found.count_check("majority kept")
    if not versions:
        found.add_violation("majority kept", f"{text}: no change was taken in {CHANGE_SECONDS} s")
        return -1
    return versions[0]


def restart_victims(scenario: Scenario, victims: dict[str, str]) -> None:
    """Restart machines that crashed or lost their disks; forget those that were replaced."""
    for victim, kind in victims.items():
        if kind in ("crash", "wiped"):
            scenario.plans[victim][1]["may_found"] = False
            scenario.start(victim)
        else:
            scenario.cores.remove(victim)


def check_version(scenario: Scenario, version: int, found: Findings) -> None:
    """Check that the final read returns the newest acknowledged version."""
    found.count_check("acknowledged kept")
    read = read_newest_version(scenario)
    if read != version:
        found.add_violation("acknowledged kept", f"version {read} is left of {version}")


def leaving_member(seed: int) -> Findings:
    """Stop a voter as planned and lose another voter's disk 0.2, 1.5 or 4 s later.

    Of four control nodes three are voters: the standby must replace the leaving voter before
    that voter stops.
    """
    scenario = Scenario(seed, cores=4, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(4)
    found = Findings()
    random = Random(f"leaving {seed}")
    leader = scenario.leader()
    voters = [
        name
        for name in scenario.cores
        if scenario.node(name).core.consensus.disk in scenario.node(leader).core.consensus.voters
    ]
    found.count_check("voters")
    if len(voters) != 3:
        found.add_violation("voters", f"{len(voters)} of 4 vote")
        return found
    leaving = leader if seed % 2 else random.choice([name for name in voters if name != leader])
    version = commit_change(scenario, "before", 1, found, "before the stop")
    stop_core(scenario, leaving)
    scenario.cores.remove(leaving)
    pause = PAUSES_SECONDS[seed % len(PAUSES_SECONDS)]
    scenario.world.run(pause)
    lost = random.choice([name for name in voters if name != leaving])
    scenario.lose_disk(lost)
    text = f"{leaving} left, {lost} lost {pause} s later"
    version = commit_change(scenario, "after", version, found, text)
    if version > 0:
        scenario.plans[lost][1]["may_found"] = False
        scenario.start(lost)
        scenario.world.run(CATCH_UP_SECONDS)
        check_version(scenario, version, found)
    return found


LOSS_CASES: dict[str, Callable[[int], Findings]] = {
    "second-loss": second_loss,
    "leaving-member": leaving_member,
}
