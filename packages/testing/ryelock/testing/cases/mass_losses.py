"""Simulated runs in which many machines go at the same moment, by a kill or by a loss of power.

Each case takes a seed and returns findings made from what operators and callers were answered,
and from the histories of upstream servers. A run holds two things: nothing that was acknowledged
is lost or shown in an older state, and service returns within `RETURN_SECONDS` of the restart.
"""

from collections.abc import Callable
from random import Random

from ryelock.runtime import TaskCoroutine
from ryelock.testing.cases.control import OK, RESEND_SECONDS, newest_version
from ryelock.testing.cases.losses import (
    CATCH_UP_SECONDS,
    LOSS_SETTINGS,
    pick_victim,
    take_change,
)
from ryelock.testing.checks import Findings, PurgeRecord
from ryelock.testing.finals import voters
from ryelock.testing.scenario import Scenario
from ryelock.testing.schedules import RETURN_SECONDS, end_of_day

DISK_COUNTS = (3, 4, 5, 8)
CLOSING_ROUNDS = 3
CUT_SHARE = 2 / 3
"""In how many rounds voters are cut off before the acknowledgements."""
ACKNOWLEDGE_SECONDS = 10.0
START_SPREAD_SECONDS = 0.3
"""All machines start again within this time of each other, in any order."""
POWER_OUT_SECONDS_MOST = 2.0
FAILURE_ROUNDS = 4
FAILED_SHARES = (0.4, 0.7, 1.0)
"""How many of all processes go at once."""
OPERATORS = 2
OPERATE_SECONDS = 120.0
MOMENT_SECONDS = 6.0
"""Longest wait for the moment at which a failure is due."""
IN_FLIGHT_SECONDS_MOST = 0.05
SETTLE_SECONDS = 3.0


def closing_disk_loss(seed: int) -> Findings:
    """Disks are lost right after an acknowledgement, and all other machines lose power with them.

    One disk of 3, 4 or 5, two of 8. Edges and probers, which keep nothing on a disk and don't
    count towards a majority, lose power at the same moment. In two of three rounds as many voters
    as a majority can spare were cut off shortly before, so that fewest disks have the newest
    entries and those that lack them stand for election too.
    """
    random = Random(f"closing {seed}")
    disks = DISK_COUNTS[seed % len(DISK_COUNTS)]
    scenario = Scenario(seed, cores=disks, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.start_callers()
    scenario.world.run(CATCH_UP_SECONDS)
    found = Findings()
    drained = scenario.edges[0]
    for number in range(CLOSING_ROUNDS):
        behind = cut_off_minority(scenario, random) if random.random() < CUT_SHARE else []
        acknowledge_all(scenario, random, number, drained, found)
        lost = lose_disks_and_all_power(scenario, random, 2 if disks == 8 else 1, behind)
        scenario.world.heal()
        scenario.world.run(random.random() * POWER_OUT_SECONDS_MOST)
        restart_in_any_order(scenario, random, list(scenario.plans))
        text = f"closing loss {number}, disks of {lost} of {disks}, {behind} behind"
        if not await_service(scenario, found, text):
            return found
        judge_acknowledged(scenario, number, drained, found, text)
        scenario.world.run(CATCH_UP_SECONDS)
    finish(scenario, found)
    return found


def acknowledge_all(
    scenario: Scenario, random: Random, number: int, drained: str, found: Findings
) -> None:
    """Have a change, a purge and a drain (or its end) acknowledged, in any order.

    Each is sent again through the leader, under one id, until it is acknowledged.
    """
    target = f"/covers/{number}"
    place = "/recoveries" if number % 2 else "/drains"
    base = newest_version(scenario)

    async def change() -> bool:
        changed = await scenario.add_route(f"gen-closing-{number}", base, scenario.leader())
        return changed.status == OK

    async def purge() -> bool:
        given = {"id": f"purge-{number}", "scopes": [{"path": target}]}
        status, _ = await scenario.operator("POST", "/purges", given, scenario.leader())
        return status == OK

    async def drain() -> bool:
        given = {"id": f"drain-{number}", "target": drained, "force": True}
        status, _ = await scenario.operator("POST", place, given, scenario.leader())
        return status == OK

    requests: list[Callable[[], TaskCoroutine[bool]]] = [change, purge, drain]
    random.shuffle(requests)
    for request in requests:
        if request is purge:
            scenario.objects["pages"].change(target, scenario.world.time)
        found.look("acknowledged in time")
        if not send_until_taken(scenario, request):
            name = request.__name__
            found.broken("acknowledged in time", f"{name} {number}: {ACKNOWLEDGE_SECONDS:g} s")
        elif request is purge:
            purged = PurgeRecord(target, scenario.objects["pages"].revision(target))
            purged.acknowledged_at = scenario.world.time
            scenario.purges.append(purged)


def send_until_taken(scenario: Scenario, request: Callable[[], TaskCoroutine[bool]]) -> bool:
    """Send a request again and again until it is acknowledged; whether that was in time."""
    taken: list[bool] = []

    async def send() -> None:
        while not await request():
            await scenario.operators.scheduler.sleep(RESEND_SECONDS)
        taken.append(True)

    running = scenario.operators.scheduler.create_task(send(), name="request")
    scenario.world.run_until(lambda: bool(taken), ACKNOWLEDGE_SECONDS)
    running.cancel()
    return bool(taken)


def cut_off_minority(scenario: Scenario, random: Random) -> list[str]:
    """Cut as many followers that vote off the others as leave a majority; returns their names."""
    voting = voters(scenario)
    followers = [name for name in voting if name != scenario.leader()]
    behind = random.sample(followers, (len(voting) - 1) // 2)
    for name in behind:
        for other in scenario.cores:
            if other not in behind:
                scenario.world.cut(name, other)
    return behind


def lose_disks_and_all_power(
    scenario: Scenario, random: Random, count: int, behind: list[str]
) -> list[str]:
    """Take some control nodes' disks and all other machines' power, in one moment.

    Returns the names of those whose disks were lost. The leader, whose disk has most, is among
    them in half of all cases; those that are behind never are.
    """
    lost: list[str] = []
    for _ in range(count):
        role = random.choice(("leader", "follower"))
        lost.append(pick_victim(scenario, random, role, [*lost, *behind]))
    for name in scenario.plans:
        if name in lost:
            scenario.lose_disk(name)
        else:
            scenario.world.kill(name, power=True)
    return lost


def restart_in_any_order(scenario: Scenario, random: Random, names: list[str]) -> None:
    """Start machines again within `START_SPREAD_SECONDS`; none may found a new control plane."""
    for name in names:
        scenario.plans[name][1]["may_found"] = False
        delay = random.random() * START_SPREAD_SECONDS
        scenario.world.later(delay, lambda name=name: scenario.start(name))  # type: ignore[misc]


def await_service(scenario: Scenario, found: Findings, text: str) -> bool:
    """Wait until every edge that may serve has served callers; whether that was in time."""
    began = scenario.world.time
    scenario.world.run(START_SPREAD_SECONDS)
    found.look("return")
    returned = scenario.world.run_until(
        scenario.served_since(scenario.world.time), began + RETURN_SECONDS - scenario.world.time
    )
    if not returned:
        found.broken("return", f"{text}: no service {RETURN_SECONDS:g} s after the restart")
    return returned


def judge_acknowledged(
    scenario: Scenario, number: int, drained: str, found: Findings, text: str
) -> None:
    """The newest change is read, and a drain is in force or at its end, as acknowledged."""
    acknowledged = max(changed.version for changed in scenario.changes)
    found.look("acknowledged kept")
    version = newest_version(scenario)
    if version < acknowledged:
        found.broken("acknowledged kept", f"{text}: version {version} of {acknowledged}")
    status, record = scenario.ask_now("GET", "/verdicts")
    drains = record.get("drains")
    found.look("acknowledged kept")
    expected = number % 2 == 0
    if status != OK or not isinstance(drains, dict) or (drained in drains) != expected:
        found.broken("acknowledged kept", f"{text}: drains {drains}, expected {expected}")


def mass_failure(seed: int) -> Findings:
    """Many processes of all roles go at once, by a kill or by a loss of power, beside traffic.

    The moment is right after an acknowledgement, soon after a change was sent, or any.
    """
    random = Random(f"mass failure {seed}")
    scenario = Scenario(seed, cores=random.choice((3, 5)))
    scenario.set_up()
    scenario.start_callers()
    scenario.world.run(CATCH_UP_SECONDS)
    for number in range(OPERATORS):
        scenario.operators.scheduler.create_task(
            scenario.operate(number, OPERATE_SECONDS), name="operator"
        )
    found = Findings()
    for number in range(FAILURE_ROUNDS):
        scenario.world.run(SETTLE_SECONDS)
        moment = random.choice(sorted(MOMENTS))
        MOMENTS[moment](scenario, random)
        share, power = random.choice(FAILED_SHARES), random.random() < 0.5
        failed = fail_at_once(scenario, random, share, power)
        scenario.world.run(random.random() * POWER_OUT_SECONDS_MOST)
        restart_in_any_order(scenario, random, failed)
        text = f"failure {number} {moment}, {len(failed)} of {len(scenario.plans)}, power {power}"
        if not await_service(scenario, found, text):
            return found
    finish(scenario, found)
    return found


def fail_at_once(scenario: Scenario, random: Random, share: float, power: bool) -> list[str]:
    """Kill a share of all processes in one moment, perhaps their machines' power with them."""
    names = random.sample(sorted(scenario.plans), round(share * len(scenario.plans)))
    for name in names:
        scenario.world.kill(name, power)
    return names


def await_acknowledgement(scenario: Scenario, _random: Random) -> None:
    """Run until an operator is answered that a change or purge was taken."""

    def acknowledged() -> int:
        return len(scenario.purges) + sum(changed.status == OK for changed in scenario.changes)

    before = acknowledged()
    scenario.world.run_until(lambda: acknowledged() > before, MOMENT_SECONDS)


def await_sent_change(scenario: Scenario, random: Random) -> None:
    """Run until a change is on its way, and a little longer."""
    before = len(scenario.changes)
    scenario.world.run_until(lambda: len(scenario.changes) > before, MOMENT_SECONDS)
    scenario.world.run(random.random() * IN_FLIGHT_SECONDS_MOST)


def await_any_moment(scenario: Scenario, random: Random) -> None:
    """Run for a while, whatever happens meanwhile."""
    scenario.world.run(random.random())


MOMENTS: dict[str, Callable[[Scenario, Random], None]] = {
    "after an acknowledgement": await_acknowledgement,
    "after a send": await_sent_change,
    "at any moment": await_any_moment,
}


def finish(scenario: Scenario, found: Findings) -> None:
    """One more change is taken; all rules are judged by callers, servers and the last read."""
    scenario.world.run(SETTLE_SECONDS)
    take_change(scenario, "after-all", newest_version(scenario), found, "after all losses")
    end_of_day(scenario, found)
    ended = scenario.findings()
    found.violations += ended.violations
    for rule, count in ended.checked.items():
        found.look(rule, count)


MASS_LOSS_CASES: dict[str, Callable[[int], Findings]] = {
    "closing-disk-loss": closing_disk_loss,
    "mass-failure": mass_failure,
}
