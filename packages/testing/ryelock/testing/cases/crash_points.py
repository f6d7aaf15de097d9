"""Cases that crash one node at each numbered point of one operation, each point in turn.

A point is a write to disk or a message to another process. An operation that was acknowledged
must not be lost, and one that was answered as not taken must not take effect.
"""

from collections.abc import Callable, Iterable

from ryelock.runtime import TaskCoroutine
from ryelock.testing.cases.cluster_faults import end_version, voters_are_replaced
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated.world import SimNode
from ryelock.testing.stand_ins.callers import Caller, RequestRecord

Check = Callable[[], str]
"""What is wrong once the cluster is back; empty when the operation was kept or never taken."""
Operation = Callable[[Scenario, str], Check]
"""Runs one operation through a node and returns the check of what became of it."""
LOST = "acknowledged and lost"
TAKEN = "'not taken' but taken"


def crash_points(seed: int, last: int = 150) -> Findings:
    """The leader loses power at each numbered point of one change, each in turn."""
    return crash_each(seed, "leader", change_route, range(1, last + 1))


def crash_follower(seed: int) -> Findings:
    """A follower loses power at each of its points of one change."""
    return crash_each(seed, "follower", change_route, range(1, 60))


def crash_edge(seed: int) -> Findings:
    """The edge that a change comes through loses power at each of its points."""
    return crash_each(seed, "edge", change_route, range(1, 60))


def crash_purge(seed: int) -> Findings:
    """The leader loses power at each of its points of one purge."""
    return crash_each(seed, "leader", purge_object, range(1, 80))


def crash_drain(seed: int) -> Findings:
    """The leader loses power at each of its points of one drain."""
    return crash_each(seed, "leader", drain_edge, range(1, 80))


def crash_claim(seed: int) -> Findings:
    """A reservation under a key, sent again until it is answered; the leader dies in between."""
    return crash_each(seed, "leader", reserve_under_key, range(1, 80))


def crash_snapshot(seed: int) -> Findings:
    """A row of changes while a snapshot is written every ten records."""
    return crash_each(seed, "leader", change_routes, range(1, 400, 7), {"image_records": 10})


def crash_voters(seed: int) -> Findings:
    """A voter's disk is lost and its machine comes back empty; the leader dies meanwhile."""
    return crash_each(seed, "leader", replace_voter, range(3, 400, 5))


def change_route(scenario: Scenario, through: str) -> Check:
    """Change the configuration once; the check compares its version with the answer."""
    change = scenario.world.task(
        scenario.operators, scenario.add_route("gen-point", 1, through), 40
    )

    def check() -> str:
        version = end_version(scenario)
        if change.status == 200 and version != 2:
            return LOST
        return TAKEN if change.status == 503 and version != 1 else ""

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
        return LOST if end_version(scenario) < version else ""

    return check


def purge_object(scenario: Scenario, through: str) -> Check:
    """Purge one object; the check looks for the purge in the replicated state."""
    status, _ = scenario.ask_now(
        "POST", "/purges", {"id": "point", "scopes": [{"path": "/covers/1"}]}, through
    )

    def check() -> str:
        taken = bool(scenario.node(scenario.leader()).core.replicated_state.purges)
        return outcome_fault(status, taken)

    return check


def drain_edge(scenario: Scenario, through: str) -> Check:
    """Drain one edge; the check looks for the drain in the replicated state."""
    status, _ = scenario.ask_now(
        "POST", "/drains", {"id": "point", "target": scenario.edges[0], "force": True}, through
    )

    def check() -> str:
        taken = scenario.edges[0] in scenario.node(scenario.leader()).core.replicated_state.drains
        return outcome_fault(status, taken)

    return check


def outcome_fault(status: int, taken: bool) -> str:
    """Compare the status an operator got with whether the operation took effect."""
    if status == 200 and not taken:
        return LOST
    return TAKEN if status == 503 and taken else ""


def reserve_under_key(scenario: Scenario, _through: str) -> Check:
    """Send one POST under a key; the check sends it again and counts its runs."""
    caller = Caller(
        scenario.outside.scheduler, scenario.outside.network, scenario.random, scenario.notes, 8.0
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
    """Start a voter on an empty disk; the check waits until it is replaced."""
    lost = next(name for name in scenario.cores if name != scenario.leader())
    scenario.lose_disk(lost)
    scenario.start(lost)
    scenario.world.run(4.0)

    def check() -> str:
        replaced = scenario.world.run_until(lambda: voters_are_replaced(scenario), 30)
        return "" if replaced else "the lost voter was not replaced"

    return check


class CrashTrigger:
    """Ends one node at the numbered point of its own at which it is armed, once.

    Attributes:
        hit: the node and the kind of the point that ended it; empty before.
    """

    __slots__ = ("hit", "number", "passed", "target")

    def __init__(self, target: str, number: int) -> None:
        """Arm the trigger for a node's point of this number, counted from 1."""
        self.target = target
        self.number = number
        self.passed = 0
        self.hit: list[str] = []

    def fire(self, _point: int, node: SimNode, kind: str) -> bool:
        """Count a point of the target; True where the node ends here."""
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
    """Power is lost at one numbered point of an operation, each in turn; nothing may be lost.

    Behind the last point all control nodes lose it, just after the answer.

    Args:
        seed: seed of each run.
        role: who loses power: leader, follower or edge.
        operate: the operation.
        points: numbers of the points, ascending.
        settings: settings of the control nodes.
    """
    found = Findings()
    for number in points:
        scenario = Scenario(seed, zones=1, edges=1, probers=0, settings=settings)
        scenario.set_up()
        scenario.world.run(2.0)
        trigger, check = crash_at(scenario, role, operate, number)
        if not wait_for_return(scenario):
            found.broken("return", f"no leader after point {number} {trigger.hit}")
            continue
        text = check()
        found.look("points")
        if text:
            found.broken("points", f"{text} at point {number} {trigger.hit}")
        found.violations += scenario.findings().violations
        if not trigger.hit:
            break
    return found


def crash_at(
    scenario: Scenario, role: str, operate: Operation, number: int
) -> tuple[CrashTrigger, Check]:
    """Run the operation while one node loses power at a point, then start what is down."""
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
    scenario.mend_all()
    return trigger, check


def wait_for_return(scenario: Scenario) -> bool:
    """Wait for a leader, then for the edges to be ready; False where no leader is elected."""
    if not scenario.world.run_until(lambda: bool(scenario.leader()), 15):
        return False
    scenario.world.run_until(
        lambda: all(scenario.node(name).traffic.ready for name in scenario.edges), 5
    )
    return True
