"""Fault injection at crash points: one node crashes at each point of an operation in turn.

A point is a write to disk or a message to another process. An acknowledged operation must not be
lost, and an operation answered as not taken must not take effect.
"""

from collections.abc import Callable, Iterable

from ryelock.runtime import TaskCoroutine
from ryelock.testing.cases.cluster_faults import read_final_version, voters_match_disks
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated.world import SimNode
from ryelock.testing.stand_ins.callers import Caller, RequestRecord

Check = Callable[[], str]
"""Returns the violation after the recovery; empty if there is none."""
Operation = Callable[[Scenario, str], Check]
"""Runs an operation through a named node and returns the check of its effect."""
LOST = "acknowledged and lost"
APPLIED = "'not taken' but taken"


def crash_points(seed: int, last: int = 150) -> Findings:
    """Cut the leader's power at each point of one change in turn."""
    return crash_each(seed, "leader", change_route, range(1, last + 1))


def crash_follower(seed: int) -> Findings:
    """Cut a follower's power at each of its points of one change."""
    return crash_each(seed, "follower", change_route, range(1, 60))


def crash_edge(seed: int) -> Findings:
    """Cut the power of the edge that relays a change at each of its points."""
    return crash_each(seed, "edge", change_route, range(1, 60))


def crash_purge(seed: int) -> Findings:
    """Cut the leader's power at each of its points of one purge."""
    return crash_each(seed, "leader", purge_object, range(1, 80))


def crash_drain(seed: int) -> Findings:
    """Cut the leader's power at each of its points of one drain."""
    return crash_each(seed, "leader", drain_edge, range(1, 80))


def crash_claim(seed: int) -> Findings:
    """Cut the leader's power at each of its points of one POST with an idempotency key."""
    return crash_each(seed, "leader", reserve_under_key, range(1, 80))


def crash_snapshot(seed: int) -> Findings:
    """Cut the leader's power during changes while it snapshots every ten records."""
    return crash_each(seed, "leader", change_routes, range(1, 400, 7), {"image_records": 10})


def crash_voters(seed: int) -> Findings:
    """Cut the leader's power while a voter that lost its disk is being replaced."""
    return crash_each(seed, "leader", replace_voter, range(3, 400, 5))


def change_route(scenario: Scenario, through: str) -> Check:
    """Change the configuration once; the check compares the final version with the answer."""
    change = scenario.world.task(
        scenario.operators, scenario.add_route("gen-point", 1, through), 40
    )

    def check() -> str:
        version = read_final_version(scenario)
        if change.status == 200 and version != 2:
            return LOST
        return APPLIED if change.status == 503 and version != 1 else ""

    return check


def change_routes(scenario: Scenario, through: str) -> Check:
    """Make twelve changes in a row; the newest acknowledged version must be kept."""
    version = 1
    for turn in range(12):
        change = scenario.world.task(
            scenario.operators, scenario.add_route(f"gen-some-{turn}", version, through), 40
        )
        version = change.version or version

    def check() -> str:
        return LOST if read_final_version(scenario) < version else ""

    return check


def purge_object(scenario: Scenario, through: str) -> Check:
    """Purge one object; the check looks it up in the replicated state."""
    status, _ = scenario.ask_now(
        "POST", "/purges", {"id": "point", "scopes": [{"path": "/covers/1"}]}, through
    )

    def check() -> str:
        took_effect = bool(scenario.node(scenario.leader()).core.replicated_state.purges)
        return outcome_violation(status, took_effect)

    return check


def drain_edge(scenario: Scenario, through: str) -> Check:
    """Drain one edge; the check looks it up in the replicated state."""
    status, _ = scenario.ask_now(
        "POST", "/drains", {"id": "point", "target": scenario.edges[0], "force": True}, through
    )

    def check() -> str:
        took_effect = (
            scenario.edges[0] in scenario.node(scenario.leader()).core.replicated_state.drains
        )
        return outcome_violation(status, took_effect)

    return check


def outcome_violation(status: int, took_effect: bool) -> str:
    """Return the violation, if any, of an answered status against the actual effect."""
    if status == 200 and not took_effect:
        return LOST
    return APPLIED if status == 503 and took_effect else ""


def reserve_under_key(scenario: Scenario, _through: str) -> Check:
    """Send one POST with an idempotency key; the check retries it and counts executions."""
    caller = Caller(
        scenario.outside.scheduler,
        scenario.outside.network,
        scenario.random,
        scenario.request_records,
        8.0,
    )
    key = [(b"Idempotency-Key", b"point")]

    def send() -> TaskCoroutine[RequestRecord]:
        return caller.request(
            f"{scenario.node(scenario.edges[0]).host}:3", "POST", "/orders/1", "point", key, b"body"
        )

    scenario.world.task(scenario.outside, send(), 40)

    def check() -> str:
        answer = scenario.world.task(scenario.outside, send(), 40)
        runs = sum(request.identity == "point" for request in scenario.history)
        return "" if runs == 1 and answer.status in (200, 409) else f"{runs} runs, {answer.status}"

    return check


def replace_voter(scenario: Scenario, _through: str) -> Check:
    """Restart a voter with an empty disk; the check waits until it is a voter again."""
    lost = next(name for name in scenario.cores if name != scenario.leader())
    scenario.lose_disk(lost)
    scenario.start(lost)
    scenario.world.run(4.0)

    def check() -> str:
        replaced = scenario.world.run_until(lambda: voters_match_disks(scenario), 30)
        return "" if replaced else "the lost voter was not replaced"

    return check


class CrashTrigger:
    """Crashes one node once, at its crash point of a given number.

    Attributes:
        hit: node name and kind of the point at which it crashed; empty before.
    """

    __slots__ = ("hit", "number", "passed", "target")

    def __init__(self, target: str, number: int) -> None:
        """Arm the trigger for a node's crash point `number`, counted from 1."""
        self.target = target
        self.number = number
        self.passed = 0
        self.hit: list[str] = []

    def fire(self, _point: int, node: SimNode, kind: str) -> bool:
        """Count a point of the target; return True if the node crashes here."""
        if node.name == self.target and not self.hit:
            self.passed += 1
        if self.passed != self.number or self.hit:
            return False
        self.hit.append(f"{node.name} {kind}")
        return True


def crash_each(
    seed: int,
    role: str,
    operate: Operation,
    points: Iterable[int],
    settings: dict[str, object] | None = None,
) -> Findings:
    """Run an operation once for each crash point, cutting one node's power there.

    After the last point, all control nodes lose power right after the answer instead.

    Args:
        seed: seed of each run.
        role: node that loses power: leader, follower or edge.
        operate: the operation.
        points: numbers of the crash points, ascending.
        settings: settings of the processes.
    """
    found = Findings()
    for number in points:
        scenario = Scenario(seed, zones=1, edges=1, probers=0, settings=settings)
        scenario.set_up()
        scenario.world.run(2.0)
        trigger, check = crash_at(scenario, role, operate, number)
        if not wait_for_return(scenario):
            found.add_violation("return", f"no leader after point {number} {trigger.hit}")
            continue
        text = check()
        found.count_check("points")
        if text:
            found.add_violation("points", f"{text} at point {number} {trigger.hit}")
        found.violations += scenario.findings().violations
        if not trigger.hit:
            break
    return found


def crash_at(
    scenario: Scenario, role: str, operate: Operation, number: int
) -> tuple[CrashTrigger, Check]:
    """Run the operation, cut one node's power at a point, then restart what is down."""
    leader = scenario.leader()
    others = [name for name in scenario.cores if name != leader]
    target = {"leader": leader, "follower": others[0], "edge": scenario.edges[0]}[role]
    trigger = CrashTrigger(target, number)
    scenario.world.fire = trigger.fire
    check = operate(scenario, scenario.edges[0] if role == "edge" else others[1])
    scenario.world.fire = None
    for name in scenario.cores if not trigger.hit else ():
        scenario.world.kill(name, True)
    scenario.world.run(1)
    scenario.clear_faults()
    return trigger, check


def wait_for_return(scenario: Scenario) -> bool:
    """Wait for a leader, then for ready edges; return False if no leader is elected."""
    if not scenario.world.run_until(lambda: bool(scenario.leader()), 15):
        return False
    scenario.world.run_until(
        lambda: all(scenario.node(name).traffic.ready for name in scenario.edges), 5
    )
    return True
