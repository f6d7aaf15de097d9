"""Cases of faults of the cluster: partitions, loss of power, lost disks, rolling restarts.

Each case takes a seed and returns what the checkers found; acknowledged changes and purges must
outlive every fault.
"""

from ryelock.testing.cases.traffic import stubborn
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated import SimNode


def cut_edges(seed: int) -> Findings:
    """An edge is cut off from the core while changes and purges are acknowledged."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    for number in (1, 2, 3):
        scenario.operators.scheduler.create_task(scenario.operate(number, 16), name="operator")
    scenario.world.run(2)
    for edge in scenario.edges[:2]:
        for core in scenario.cores:
            scenario.world.cut(edge, core)
    # Callers know nothing of the cut.
    scenario.outside.scheduler.create_task(stubborn(scenario, scenario.edges[0]), name="stubborn")
    scenario.world.run(10)
    scenario.world.heal()
    scenario.world.run(5)
    return scenario.findings()


def all_power(seed: int) -> Findings:
    """Every core loses power right after an acknowledgement, several times."""
    scenario = Scenario(seed)
    scenario.set_up()
    version = 1
    found = Findings()
    for number in range(4):
        scenario.world.task(scenario.operators, scenario.add_route(f"gen-p-{number}", version), 30)
        version = max(change.version for change in scenario.changes)
        for name in scenario.cores:
            scenario.world.kill(name, True)
        scenario.world.run(0.5 + number)
        for name in scenario.cores:
            scenario.start(name)
        back = scenario.world.run_until(lambda: bool(scenario.leader()), 15)
        found.look("return")
        if not back:
            found.broken("return", "no leader 15 s after all cores lost power")
            return found
    day = end_version(scenario)
    found.look("end of day")
    if day < version:
        found.broken("end of day", f"version {day} is left of {version}")
    found.violations += scenario.findings().violations
    return found


def end_version(scenario: Scenario) -> int:
    """Return the version of the configuration that is in force; -1 where nobody answers."""
    status, answer = scenario.ask_now("GET", "/configuration")
    found = answer.get("version")
    return found if status == 200 and isinstance(found, int) else -1


def deposed_leader(seed: int) -> Findings:
    """The leader is cut off from its peers but not from edges and operators."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(12, 4.0)
    for turn in range(3):
        scenario.world.run_until(lambda: bool(scenario.leader()), 10)
        old = scenario.leader()
        for other in scenario.cores:
            if other != old:
                scenario.world.cut(old, other)
        scenario.operators.scheduler.create_task(read_from(scenario, old, 4.0), name="reads")
        scenario.operators.scheduler.create_task(change_at(scenario, old, turn), name="change")
        for number in (10 + turn, 20 + turn):
            scenario.operators.scheduler.create_task(scenario.operate(number, 5), name="operator")
        scenario.world.run(6)
        scenario.world.heal()
        scenario.world.run(2)
    return scenario.findings()


async def change_at(scenario: Scenario, name: str, turn: int) -> None:
    """A change made through one node, against the version that node knows."""
    base = scenario.node(name).core.replicated_state.version
    await scenario.add_route(f"gen-old-{turn}", base, name)


async def read_from(scenario: Scenario, name: str, seconds: float) -> None:
    """Read the configuration through one node for so many seconds, again and again."""
    until = scenario.world.time + seconds
    while scenario.world.time < until:
        started = scenario.world.time
        status, answer = await scenario.operator("GET", "/configuration", None, name)
        version = answer.get("version")
        if status == 200 and isinstance(version, int):
            scenario.reads.append((started, scenario.world.time, version))
        await scenario.operators.scheduler.sleep(0.02)


def scattered(seed: int) -> Findings:
    """No two cores reach one another, but edges reach them all: promises carry the edges."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(12, 4.0)
    scenario.world.run(2)
    for one in scenario.cores:
        for other in scenario.cores:
            if one < other:
                scenario.world.cut(one, other)
    cut_at = scenario.world.time
    scenario.world.run(10)
    served = sum(record.status == 200 and record.sent_at > cut_at + 5 for record in scenario.notes)
    scenario.world.heal()
    scenario.mend_all()
    mended = scenario.world.time
    back = scenario.world.run_until(scenario.served_since(mended), 15)
    found = scenario.findings()
    found.look("promises")
    if served < 50:
        found.broken("promises", f"only {served} orders were served without a leader")
    if not back or not scenario.world.run_until(lambda: bool(scenario.leader()), 5):
        found.broken("return", "no leader after the cut healed")
    return found


def lost_disk(seed: int) -> Findings:
    """A voter's disk is lost just after an acknowledgement; an empty machine takes its place."""
    scenario = Scenario(seed, cores=5 if seed % 2 else 3)
    scenario.set_up()
    scenario.start_callers(8, 3.0)
    found = Findings()
    version = 1
    for turn in range(3):
        scenario.world.run_until(lambda: voters_are_replaced(scenario), 30)
        found.look("voters")
        if not voters_are_replaced(scenario):
            found.broken("voters", "the lost voter was not replaced")
        scenario.world.task(scenario.operators, scenario.add_route(f"gen-d-{turn}", version), 30)
        version = max(change.version for change in scenario.changes)
        lost = scenario.random.choice(scenario.cores)
        scenario.lose_disk(lost)
        scenario.world.run(1)
        scenario.start(lost)
    scenario.world.run_until(lambda: voters_are_replaced(scenario), 30)
    if end_version(scenario) < version:
        found.broken("end of day", "an acknowledged change was lost with a disk")
    found.violations += scenario.findings().violations
    return found


def voters_are_replaced(scenario: Scenario) -> bool:
    """Whether the voters are exactly the disks that are there."""
    leader = scenario.leader()
    if not leader or len(scenario.alive(scenario.cores)) < len(scenario.cores):
        return False
    disks = {scenario.node(name).core.consensus.disk for name in scenario.cores}
    return set(scenario.node(leader).core.consensus.voters) == disks


def rolling(seed: int) -> Findings:
    """Every process is stopped as the platform stops it and started again, under load."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 5.0)
    scenario.world.run(2)
    for server in scenario.servers.values():
        server.delay = 0.8
    began = scenario.world.time
    for name in scenario.plans:
        node = scenario.node(name)
        assert node.inner is not None
        scenario.world.task(node, node.inner.stop(), 30)
        scenario.world.kill(name)
        scenario.world.run(0.3)
        scenario.start(name)
        scenario.world.run_until(
            lambda node=node: is_ready(node),  # type: ignore[misc]
            20,
        )
    scenario.world.run(2)
    found = scenario.findings()
    for record in scenario.notes:
        if record.sent_at >= began and record.ending:
            found.look("rolling")
            if record.ending not in ("whole", "no link"):
                found.broken("rolling", f"{record.identity} was cut: {record.ending}")
    return found


def is_ready(node: SimNode) -> bool:
    """Return whether the process that runs on a node should get new callers."""
    return node.inner is not None and node.inner.ready
