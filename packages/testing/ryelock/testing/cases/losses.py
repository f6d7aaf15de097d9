"""Simulated runs of second losses: beside a repair, a replacement, and a member that leaves.

Each case takes a seed and returns findings made from what operators were told.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random

from ryelock.testing.cases.control import (
    OK,
    RESEND_SECONDS,
    newest_version,
    route_change,
)
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario

LOSSES = 3
CATCH_UP_SECONDS = 4.0
LOSS_KINDS = ("crash", "wiped", "replaced", "planned")
ROLES = ("leader", "follower", "spare", "seed")
SPARE_CORE = "core-new"
PAUSES = (0.2, 1.5, 4.0)
STOP_SECONDS = 5.4
"""A process that is stopped in order is killed after so long."""
CHANGE_SECONDS = 20.0
LOSS_SETTINGS: dict[str, object] = {
    "replace_seconds": 1.2,
    "stop_seconds": 3.0,
    "election_seconds": 0.7,
}


@dataclass(frozen=True, slots=True)
class Loss:
    """One machine's loss: how it goes, and which machine, by its role at that moment."""

    kind: str
    role: str


def every_loss() -> list[Loss]:
    """Return each kind of loss of each role."""
    return [Loss(kind, role) for kind in LOSS_KINDS for role in ROLES]


def second_loss(seed: int) -> Findings:
    """Losses one after the other, drawn by the seed, for 3, 4, 5 and 8 disks.

    With 8 disks two are lost at once.
    """
    random = Random(f"losses {seed}")
    disks = (3, 4, 5, 8)[seed % 4]
    at_once = 2 if disks == 8 else 1
    losses = [[random.choice(every_loss()) for _ in range(at_once)] for _ in range(LOSSES)]
    return play_losses(seed, disks, losses)


def play_losses(seed: int, disks: int, losses: list[list[Loss]]) -> Findings:
    """Groups of losses, each group a machine's catch-up time after the one before.

    Machines crash and come back, come back with an empty disk, are replaced by an empty machine,
    or are stopped in order and replaced. A change must be taken after each group, and none lost.
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
            lose_core(scenario, victim, kind, number)
        text = f"loss {number} of {disks}: {victims}"
        version = take_change(scenario, f"after-{number}", version, found, text)
        if version < 0:
            return found
        scenario.world.run(1.0)
        bring_back(scenario, victims)
        scenario.world.run(CATCH_UP_SECONDS)
    judge_version(scenario, version, found)
    return found


def pick_victim(scenario: Scenario, random: Random, role: str, taken: Collection[str]) -> str:
    """A control node that runs and has a role; any other than the leader where none has it."""
    leader = scenario.leader()
    alive = [name for name in scenario.alive(scenario.cores) if name not in taken]
    if role == "leader" and leader in alive:
        return leader
    others = [name for name in alive if name != leader]
    voters = scenario.node(leader).core.consensus.voters if leader else {}
    spares = [name for name in others if scenario.node(name).core.consensus.disk not in voters]
    seeds = [name for name in others if name in scenario.cores[:3]]
    fitting = {"spare": spares, "seed": seeds}.get(role, others)
    return random.choice(fitting or others)


def lose_core(scenario: Scenario, name: str, kind: str, number: int) -> None:
    """Lose one control node; where it is replaced, an empty one stands at another address."""
    if kind == "wiped":
        scenario.lose_disk(name)
    elif kind == "crash":
        scenario.world.kill(name, True)
    elif kind == "replaced":
        scenario.world.kill(name, True)
        add_core(scenario, f"{SPARE_CORE}-{name}-{number}")
    else:
        add_core(scenario, f"{SPARE_CORE}-{name}-{number}")
        scenario.world.run(1.0)
        stop_core(scenario, name)


def add_core(scenario: Scenario, name: str) -> None:
    """An empty control node at a new address joins, as the platform puts one in another's place."""
    scenario.cores.append(scenario.plan("core", name, scenario.zones[0]))
    scenario.plans[name][1]["may_found"] = False
    scenario.start(name)


def stop_core(scenario: Scenario, name: str) -> None:
    """Stop one control node in order, for good; its machine is gone once it has ended."""
    node = scenario.node(name)
    running = node.scheduler.create_task(node.core.stop(), name="stop")
    scenario.world.run_until(lambda: running.done, STOP_SECONDS)
    scenario.lose_disk(name)


def take_change(scenario: Scenario, identity: str, version: int, found: Findings, text: str) -> int:
    """Have a change taken, sent again until it is; the new version, or -1 where it never is."""
    taken: list[int] = []

    async def send() -> None:
        while not taken:
            status, answer = await scenario.operator(
                "POST", "/changes", route_change(identity, version)
            )
            new = answer.get("version")
            if status == OK and isinstance(new, int):
                taken.append(new)
            await scenario.operators.scheduler.sleep(RESEND_SECONDS)

    running = scenario.operators.scheduler.create_task(send(), name="change")
    scenario.world.run_until(lambda: bool(taken), CHANGE_SECONDS)
    running.cancel()
    found.look("majority kept")
    if not taken:
        found.broken("majority kept", f"{text}: no change was taken in {CHANGE_SECONDS} s")
        return -1
    return taken[0]


def bring_back(scenario: Scenario, victims: dict[str, str]) -> None:
    """Machines that crashed or lost their disks return; those replaced are gone for good."""
    for victim, kind in victims.items():
        if kind in ("crash", "wiped"):
            scenario.plans[victim][1]["may_found"] = False
            scenario.start(victim)
        else:
            scenario.cores.remove(victim)


def judge_version(scenario: Scenario, version: int, found: Findings) -> None:
    """The newest acknowledged version is read in the end."""
    found.look("acknowledged kept")
    read = newest_version(scenario)
    if read != version:
        found.broken("acknowledged kept", f"version {read} is left of {version}")


def leaving_member(seed: int) -> Findings:
    """A voter is stopped in order for good, and another disk is lost 0.2, 1.5 or 4 s later.

    Four control nodes, three of them voters: the spare must have taken the place before the
    voter ended.
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
    found.look("voters")
    if len(voters) != 3:
        found.broken("voters", f"{len(voters)} of 4 vote")
        return found
    leaving = leader if seed % 2 else random.choice([name for name in voters if name != leader])
    version = take_change(scenario, "before", 1, found, "before the stop")
    stop_core(scenario, leaving)
    scenario.cores.remove(leaving)
    pause = PAUSES[seed % len(PAUSES)]
    scenario.world.run(pause)
    lost = random.choice([name for name in voters if name != leaving])
    scenario.lose_disk(lost)
    text = f"{leaving} left, {lost} lost {pause} s later"
    version = take_change(scenario, "after", version, found, text)
    if version > 0:
        scenario.plans[lost][1]["may_found"] = False
        scenario.start(lost)
        scenario.world.run(CATCH_UP_SECONDS)
        judge_version(scenario, version, found)
    return found


LOSS_CASES: dict[str, Callable[[int], Findings]] = {
    "second-loss": second_loss,
    "leaving-member": leaving_member,
}
