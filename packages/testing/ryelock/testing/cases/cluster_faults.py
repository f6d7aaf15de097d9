"""Fault injection into the cluster: partitions, power loss, lost disks, rolling restarts.

Each case takes a seed and returns the checkers' findings; acknowledged changes and purges must
survive every fault.
"""

from ryelock.testing.cases.traffic import poll_edge
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated import SimNode


def cut_edges(seed: int) -> Findings:
    """Partition two edges from the control nodes while changes and purges are acknowledged."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    for number in (1, 2, 3):
        scenario.operators.scheduler.create_task(scenario.operate(number, 16), name="operator")
    scenario.world.run(2)
    for edge in scenario.edges[:2]:
        for core in scenario.cores:
            scenario.world.cut(edge, core)
    # Callers that don't notice the partition keep sending to the edge.
    scenario.outside.scheduler.create_task(poll_edge(scenario, scenario.edges[0]), name="stubborn")
    scenario.world.run(10)
    scenario.world.heal()
    scenario.world.run(5)
    return scenario.findings()


def all_power(seed: int) -> Findings:
    """Cut the power of all control nodes right after an acknowledgement, four times."""
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
        recovered = scenario.world.run_until(lambda: bool(scenario.leader()), 15)
        found.count_check("return")
        if not recovered:
            found.add_violation("return", "no leader 15 s after all cores lost power")
            return found
    final_version = read_final_version(scenario)
    found.count_check("end of day")
    if final_version < version:
        found.add_violation("end of day", f"version {final_version} is left of {version}")
    found.violations += scenario.findings().violations
    return found


def read_final_version(scenario: Scenario) -> int:
    """Return the version of the configuration in force; -1 if the read fails."""
    status, answer = scenario.ask_now("GET", "/configuration")
    found = answer.get("version")
    return found if status == 200 and isinstance(found, int) else -1


def deposed_leader(seed: int) -> Findings:
    """Partition the leader from its peers but not from edges and operators."""
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
    """Send a change through one node, based on that node's own version."""
    base = scenario.node(name).core.replicated_state.version
    await scenario.add_route(f"gen-old-{turn}", base, name)


async def read_from(scenario: Scenario, name: str, seconds: float) -> None:
    """Read the configuration through one node repeatedly for `seconds`."""
    until = scenario.world.time + seconds
    while scenario.world.time < until:
        started = scenario.world.time
        status, answer = await scenario.operator("GET", "/configuration", None, name)
        version = answer.get("version")
        if status == 200 and isinstance(version, int):
            scenario.reads.append((started, scenario.world.time, version))
        await scenario.operators.scheduler.sleep(0.02)


def scattered(seed: int) -> Findings:
    """Partition all control nodes from each other; edges must serve on leases of a majority."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(12, 4.0)
    scenario.world.run(2)
    for first in scenario.cores:
        for other in scenario.cores:
            if first < other:
                scenario.world.cut(first, other)
    partitioned_at = scenario.world.time
    scenario.world.run(10)
    served = sum(
        record.status == 200 and record.sent_at > partitioned_at + 5
        for record in scenario.request_records
    )
    scenario.world.heal()
    scenario.clear_faults()
    healed_at = scenario.world.time
    recovered = scenario.world.run_until(scenario.served_since(healed_at), 15)
    found = scenario.findings()
    found.count_check("promises")
    if served < 50:
        found.add_violation("promises", f"only {served} orders were served without a leader")
    if not recovered or not scenario.world.run_until(lambda: bool(scenario.leader()), 5):
        found.add_violation("return", "no leader after the cut healed")
    return found


def lost_disk(seed: int) -> Findings:
    """Lose a control node's disk right after an acknowledgement and restart it empty."""
    scenario = Scenario(seed, cores=5 if seed % 2 else 3)
    scenario.set_up()
    scenario.start_callers(8, 3.0)
    found = Findings()
    version = 1
    for turn in range(3):
        scenario.world.run_until(lambda: voters_match_disks(scenario), 30)
        found.count_check("voters")
        if not voters_match_disks(scenario):
            found.add_violation("voters", "the lost voter was not replaced")
        scenario.world.task(scenario.operators, scenario.add_route(f"gen-d-{turn}", version), 30)
        version = max(change.version for change in scenario.changes)
        lost = scenario.random.choice(scenario.cores)
        scenario.lose_disk(lost)
        scenario.world.run(1)
        scenario.start(lost)
    scenario.world.run_until(lambda: voters_match_disks(scenario), 30)
    if read_final_version(scenario) < version:
        found.add_violation("end of day", "an acknowledged change was lost with a disk")
    found.violations += scenario.findings().violations
    return found


def voters_match_disks(scenario: Scenario) -> bool:
    """Return True if all control nodes run and the voters are exactly their disks."""
    leader = scenario.leader()
    if not leader or len(scenario.alive(scenario.cores)) < len(scenario.cores):
        return False
    disks = {scenario.node(name).core.consensus.disk for name in scenario.cores}
    return set(scenario.node(leader).core.consensus.voters) == disks


def rolling(seed: int) -> Findings:
    """Stop each process gracefully in turn, as the platform does, and restart it under load."""
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
    for record in scenario.request_records:
        if record.sent_at >= began and record.ending:
            found.count_check("rolling")
            if record.ending not in ("whole", "no link"):
                found.add_violation("rolling", f"{record.identity} was cut: {record.ending}")
    return found


def is_ready(node: SimNode) -> bool:
    """Return True if the process on a node reports ready."""
    return node.inner is not None and node.inner.ready
