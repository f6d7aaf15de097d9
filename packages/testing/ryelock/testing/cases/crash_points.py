"""Cases that crash one node at each numbered point of one operation, each point in turn.

A point is a write to disk or a message to another process. An operation that was acknowledged
must not be lost, and one that was answered as not taken must not take effect.
"""

from collections.abc import Callable, Iterable

from ryelock.runtime import TaskCoroutine
from ryelock.testing.cases.cluster_faults import end_version, voters_stand
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated.world import SimNode
from ryelock.testing.stand_ins.callers import Caller, Told

Act = Callable[[Scenario, str], Callable[[], str]]


def crash_points(seed: int, last: int = 150) -> Findings:
    """The leader loses power at each numbered point of one change, each in turn."""
    return crash_each(seed, "leader", a_change, range(1, last + 1))


def crash_follower(seed: int) -> Findings:
    return crash_each(seed, "follower", a_change, range(1, 60))


def crash_edge(seed: int) -> Findings:
    """The edge that a change comes through loses power at each of its points."""
    return crash_each(seed, "edge", a_change, range(1, 60))


def crash_purge(seed: int) -> Findings:
    return crash_each(seed, "leader", a_purge, range(1, 80))


def crash_drain(seed: int) -> Findings:
    return crash_each(seed, "leader", a_drain, range(1, 80))


def crash_claim(seed: int) -> Findings:
    """A reservation under a key, sent again until it is answered; the leader dies in between."""
    return crash_each(seed, "leader", a_reservation, range(1, 80))


def crash_snapshot(seed: int) -> Findings:
    """A row of changes while images are written every ten records."""
    return crash_each(seed, "leader", some_changes, range(1, 400, 7), {"image_records": 10})


def crash_voters(seed: int) -> Findings:
    """A voter's disk is lost and its machine comes back empty; the leader dies meanwhile."""
    return crash_each(seed, "leader", a_new_voter, range(3, 400, 5))


def a_change(scenario: Scenario, through: str) -> Callable[[], str]:
    changed = scenario.world.task(
        scenario.operators, scenario.add_route("gen-point", 1, through), 40
    )

    def fault() -> str:
        version = end_version(scenario)
        if changed.status == 200 and version != 2:
            return "acknowledged and lost"
        return "'not taken' but taken" if changed.status == 503 and version != 1 else ""

    return fault


def some_changes(scenario: Scenario, through: str) -> Callable[[], str]:
    version = 1
    for turn in range(12):
        changed = scenario.world.task(
            scenario.operators, scenario.add_route(f"gen-some-{turn}", version, through), 40
        )
        version = changed.version or version

    def fault() -> str:
        return "acknowledged and lost" if end_version(scenario) < version else ""

    return fault


def a_purge(scenario: Scenario, through: str) -> Callable[[], str]:
    status, _ = scenario.ask_now(
        "POST", "/purges", {"id": "point", "scopes": [{"path": "/covers/1"}]}, through
    )

    def fault() -> str:
        there = bool(scenario.node(scenario.leader()).core.replicated_state.purges)
        return fault_of(status, there)

    return fault


def a_drain(scenario: Scenario, through: str) -> Callable[[], str]:
    status, _ = scenario.ask_now(
        "POST", "/drains", {"id": "point", "target": scenario.edges[0], "force": True}, through
    )

    def fault() -> str:
        there = scenario.edges[0] in scenario.node(scenario.leader()).core.replicated_state.drains
        return fault_of(status, there)

    return fault


def fault_of(status: int, there: bool) -> str:
    if status == 200 and not there:
        return "acknowledged and lost"
    return "'not taken' but taken" if status == 503 and there else ""


def a_reservation(scenario: Scenario, _through: str) -> Callable[[], str]:
    caller = Caller(
        scenario.outside.scheduler, scenario.outside.network, scenario.random, scenario.notes, 8.0
    )
    key = [(b"Idempotency-Key", b"point")]

    def sending() -> TaskCoroutine[Told]:
        return caller.request(
            f"{scenario.node(scenario.edges[0]).host}:3", "POST", "/orders/1", "point", key, b"body"
        )

    scenario.world.task(scenario.outside, sending(), 40)

    def fault() -> str:
        told = scenario.world.task(scenario.outside, sending(), 40)
        runs = sum(ran.identity == "point" for ran in scenario.history)
        return "" if runs == 1 and told.status in (200, 409) else f"{runs} runs, {told.status}"

    return fault


def a_new_voter(scenario: Scenario, _through: str) -> Callable[[], str]:
    lost = next(name for name in scenario.cores if name != scenario.leader())
    scenario.lose_disk(lost)
    scenario.start(lost)
    scenario.world.run(4.0)

    def fault() -> str:
        stand = scenario.world.run_until(lambda: voters_stand(scenario), 30)
        return "" if stand else "the lost voter was not replaced"

    return fault


def crash_each(
    seed: int, who: str, act: Act, points: Iterable[int], settings: dict[str, object] | None = None
) -> Findings:
    """Power is lost at one numbered point of a word's way, each in turn; nothing may be lost.

    Behind the last point all cores lose it, just after the answer.
    """
    found = Findings()
    for number in points:
        scenario = Scenario(seed, zones=1, edges=1, probers=0, settings=settings)
        scenario.set_up()
        scenario.world.run(2.0)
        leader = scenario.leader()
        others = [name for name in scenario.cores if name != leader]
        target = {"leader": leader, "follower": others[0], "edge": scenario.edges[0]}[who]
        passed: list[int] = []
        hit: list[str] = []

        def fire(
            point: int,
            node: SimNode,
            what: str,
            number: int = number,
            target: str = target,
            passed: list[int] = passed,
            hit: list[str] = hit,
        ) -> bool:
            if node.name == target and not hit:
                passed.append(point)
            if len(passed) == number and not hit:
                hit.append(f"{node.name} {what}")
                return True
            return False

        scenario.world.fire = fire
        fault = act(scenario, scenario.edges[0] if who == "edge" else others[1])
        scenario.world.fire = None
        for name in scenario.cores if not hit else ():
            scenario.world.kill(name, True)
        scenario.world.run(1)
        scenario.mend_all()
        if not scenario.world.run_until(
            lambda scenario=scenario: (  # type: ignore[misc]
                bool(scenario.leader())
            ),
            15,
        ):
            found.broken("return", f"no leader after point {number} {hit}")
            continue
        scenario.world.run_until(
            lambda scenario=scenario: all(  # type: ignore[misc]
                scenario.node(name).traffic.ready for name in scenario.edges
            ),
            5,
        )
        text = fault()
        found.look("points")
        if text:
            found.broken("points", f"{text} at point {number} {hit}")
        found.violations += scenario.findings().violations
        if not hit:
            break
    return found
