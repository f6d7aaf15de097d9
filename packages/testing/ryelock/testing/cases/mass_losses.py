"""Fault injection: many machines crash or lose power at the same moment.

Each case takes a seed and returns findings derived from the answers of operators and callers and
from the histories of upstream servers. A run checks two invariants: nothing that was acknowledged
is lost or rolled back, and service recovers within `RETURN_SECONDS` of the restart.
"""

from collections.abc import Callable
from random import Random

from ryelock.runtime import TaskCoroutine
from ryelock.testing.cases.control import OK, RETRY_INTERVAL_SECONDS, read_newest_version
from ryelock.testing.cases.losses import (
    CATCH_UP_SECONDS,
    LOSS_SETTINGS,
    commit_change,
    pick_victim,
)
from ryelock.testing.checks import Findings, PurgeRecord
from ryelock.testing.finals import voters
from ryelock.testing.scenario import Scenario
from ryelock.testing.schedules import RETURN_SECONDS, check_final_configuration

DISK_COUNTS = (3, 4, 5, 8)
CLOSING_ROUNDS = 3
PARTITION_PROBABILITY = 2 / 3
"""Probability that a minority of voters is partitioned before a round's requests."""
ACKNOWLEDGE_SECONDS = 10.0
START_SPREAD_SECONDS = 0.3
"""Machines restart within this time of each other, in random order."""
MAX_POWER_OUTAGE_SECONDS = 2.0
FAILURE_ROUNDS = 4
FAILED_FRACTIONS = (0.4, 0.7, 1.0)
"""Fractions of all processes that fail at once."""
OPERATORS = 2
OPERATOR_SECONDS = 120.0
MAX_MOMENT_SECONDS = 6.0
"""Longest wait for the moment of a failure."""
MAX_IN_FLIGHT_SECONDS = 0.05
SETTLE_SECONDS = 3.0


def closing_disk_loss(seed: int) -> Findings:
    """Lose disks right after an acknowledgement while all other machines lose power.

    One disk of 3, 4 or 5 is lost, two of 8. Edges and probers, which keep nothing on a disk and
    don't count towards a majority, lose power at the same moment. In two of three rounds a
    minority of the voters is partitioned shortly before, so that only a bare majority of disks
    has the newest entries and voters that lack them become candidates too.
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
        behind = (
            cut_off_minority(scenario, random) if random.random() < PARTITION_PROBABILITY else []
        )
        acknowledge_all(scenario, random, number, drained, found)
        lost = lose_disks_and_all_power(scenario, random, 2 if disks == 8 else 1, behind)
        scenario.world.heal()
        scenario.world.run(random.random() * MAX_POWER_OUTAGE_SECONDS)
        restart_in_random_order(scenario, random, list(scenario.plans))
        text = f"closing loss {number}, disks of {lost} of {disks}, {behind} behind"
        if not await_service(scenario, found, text):
            return found
        check_acknowledged(scenario, number, drained, found, text)
        scenario.world.run(CATCH_UP_SECONDS)
    finish(scenario, found)
    return found


def acknowledge_all(
    scenario: Scenario, random: Random, number: int, drained: str, found: Findings
) -> None:
    """Commit a change, a purge and a drain or recovery, in random order.

    Each is retried through the leader under the same id until it is acknowledged.
    """
    target = f"/covers/{number}"
    target_path = "/recoveries" if number % 2 else "/drains"
    base = read_newest_version(scenario)

    async def change() -> bool:
        changed = await scenario.add_route(f"gen-closing-{number}", base, scenario.leader())
        return changed.status == OK

    async def purge() -> bool:
        given = {"id": f"purge-{number}", "scopes": [{"path": target}]}
        status, _ = await scenario.operator("POST", "/purges", given, scenario.leader())
        return status == OK

    async def drain() -> bool:
        given = {"id": f"drain-{number}", "target": drained, "force": True}
        status, _ = await scenario.operator("POST", target_path, given, scenario.leader())
        return status == OK

    requests: list[Callable[[], TaskCoroutine[bool]]] = [change, purge, drain]
    random.shuffle(requests)
    for request in requests:
        if request is purge:
            scenario.objects["pages"].change(target, scenario.world.time)
        found.count_check("acknowledged in time")
        if not retry_until_acknowledged(scenario, request):
            name = request.__name__
            found.add_violation(
                "acknowledged in time", f"{name} {number}: {ACKNOWLEDGE_SECONDS:g} s"
            )
        elif request is purge:
            purged = PurgeRecord(target, scenario.objects["pages"].revision(target))
            purged.acknowledged_at = scenario.world.time
            scenario.purges.append(purged)


def retry_until_acknowledged(
    scenario: Scenario, request: Callable[[], TaskCoroutine[bool]]
) -> bool:
    """Retry a request until it is acknowledged; return False if that takes too long."""
    acknowledged: list[bool] = []

    async def send() -> None:
        while not await request():
            await scenario.operators.scheduler.sleep(RETRY_INTERVAL_SECONDS)
        acknowledged.append(True)

    running = scenario.operators.scheduler.create_task(send(), name="request")
    scenario.world.run_until(lambda: bool(acknowledged), ACKNOWLEDGE_SECONDS)
    running.cancel()
    return bool(acknowledged)


def cut_off_minority(scenario: Scenario, random: Random) -> list[str]:
    """Partition the largest minority of voting followers; return their names."""
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
    """Lose the disks of some control nodes and the power of all other machines at once.

    Each victim is drawn as the leader, whose log is the most complete, or as a follower; nodes
    that are behind are never drawn.

    Returns:
        Names of the nodes whose disks were lost.
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


def restart_in_random_order(scenario: Scenario, random: Random, names: list[str]) -> None:
    """Restart machines within `START_SPREAD_SECONDS`; none may bootstrap a new cluster."""
    for name in names:
        scenario.plans[name][1]["may_found"] = False
        delay = random.random() * START_SPREAD_SECONDS
        scenario.world.later(delay, lambda name=name: scenario.start(name))  # type: ignore[misc]


def await_service(scenario: Scenario, found: Findings, text: str) -> bool:
    """Wait until every undrained edge has served callers; return False after the deadline."""
    began = scenario.world.time
    scenario.world.run(START_SPREAD_SECONDS)
    found.count_check("return")
    returned = scenario.world.run_until(
        scenario.served_since(scenario.world.time), began + RETURN_SECONDS - scenario.world.time
    )
    if not returned:
        found.add_violation("return", f"{text}: no service {RETURN_SECONDS:g} s after the restart")
    return returned


def check_acknowledged(
    scenario: Scenario, number: int, drained: str, found: Findings, text: str
) -> None:
    """Check that the newest acknowledged change is read and the drain is as acknowledged."""
    acknowledged = max(changed.version for changed in scenario.changes)
    found.count_check("acknowledged kept")
    version = read_newest_version(scenario)
    if version < acknowledged:
        found.add_violation("acknowledged kept", f"{text}: version {version} of {acknowledged}")
    status, record = scenario.ask_now("GET", "/verdicts")
    drains = record.get("drains")
    found.count_check("acknowledged kept")
    expected = number % 2 == 0
    if status != OK or not isinstance(drains, dict) or (drained in drains) != expected:
        found.add_violation("acknowledged kept", f"{text}: drains {drains}, expected {expected}")


def mass_failure(seed: int) -> Findings:
    """Crash many processes of all roles at once, with or without power loss, under traffic.

    The crash comes right after an acknowledgement, shortly after a change was sent, or at a
    random time.
    """
    random = Random(f"mass failure {seed}")
    scenario = Scenario(seed, cores=random.choice((3, 5)))
    scenario.set_up()
    scenario.start_callers()
    scenario.world.run(CATCH_UP_SECONDS)
    for number in range(OPERATORS):
        scenario.operators.scheduler.create_task(
            scenario.operate(number, OPERATOR_SECONDS), name="operator"
        )
    found = Findings()
    for number in range(FAILURE_ROUNDS):
        scenario.world.run(SETTLE_SECONDS)
        moment = random.choice(sorted(MOMENTS))
        MOMENTS[moment](scenario, random)
        fraction, power = random.choice(FAILED_FRACTIONS), random.random() < 0.5
        failed = fail_at_once(scenario, random, fraction, power)
        scenario.world.run(random.random() * MAX_POWER_OUTAGE_SECONDS)
        restart_in_random_order(scenario, random, failed)
        text = f"failure {number} {moment}, {len(failed)} of {len(scenario.plans)}, power {power}"
        if not await_service(scenario, found, text):
            return found
    finish(scenario, found)
    return found


def fail_at_once(scenario: Scenario, random: Random, fraction: float, power: bool) -> list[str]:
    """Kill a fraction of all processes at once, perhaps with a power loss; return their names."""
    names = random.sample(sorted(scenario.plans), round(fraction * len(scenario.plans)))
    for name in names:
        scenario.world.kill(name, power)
    return names


def await_acknowledgement(scenario: Scenario, _random: Random) -> None:
    """Run until a change or a purge is acknowledged."""

    def acknowledged() -> int:
        return len(scenario.purges) + sum(changed.status == OK for changed in scenario.changes)

    before = acknowledged()
    scenario.world.run_until(lambda: acknowledged() > before, MAX_MOMENT_SECONDS)


def await_sent_change(scenario: Scenario, random: Random) -> None:
    """Run until a change is in flight, and a random moment longer."""
    before = len(scenario.changes)
    scenario.world.run_until(lambda: len(scenario.changes) > before, MAX_MOMENT_SECONDS)
    scenario.world.run(random.random() * MAX_IN_FLIGHT_SECONDS)


def await_any_moment(scenario: Scenario, random: Random) -> None:
    """Run for a random time."""
    scenario.world.run(random.random())


MOMENTS: dict[str, Callable[[Scenario, Random], None]] = {
    "after an acknowledgement": await_acknowledgement,
    "after a send": await_sent_change,
    "at any moment": await_any_moment,
}


def finish(scenario: Scenario, found: Findings) -> None:
    """Commit one more change and check all invariants."""
    scenario.world.run(SETTLE_SECONDS)
    commit_change(scenario, "after-all", read_newest_version(scenario), found, "after all losses")
    check_final_configuration(scenario, found)
    scenario_findings = scenario.findings()
    found.violations += scenario_findings.violations
    for rule, count in scenario_findings.checked.items():
        found.count_check(rule, count)


MASS_LOSS_CASES: dict[str, Callable[[int], Findings]] = {
    "closing-disk-loss": closing_disk_loss,
    "mass-failure": mass_failure,
}
