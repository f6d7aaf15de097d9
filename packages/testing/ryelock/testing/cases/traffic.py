"""Fault injection in traffic: overload, misbehaving servers, purges, retries, reused addresses.

Each case takes a seed, runs a simulated fleet under one kind of load or fault, and returns the
findings of the checkers over the histories of callers and servers.
"""

from random import Random

from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.callers import Caller, RequestRecord
from ryelock.testing.stand_ins.servers import ServerBehavior

MISBEHAVIORS = (
    ServerBehavior.LOST,
    ServerBehavior.CUT,
    ServerBehavior.SHORT,
    ServerBehavior.LONG,
    ServerBehavior.WRONG,
    ServerBehavior.DEAF,
)


def overload(seed: int) -> Findings:
    """Overload the services with callers of which many retry failures at once."""
    scenario = Scenario(seed)
    scenario.service_rates = {"pages": 40.0, "desks": 10.0}
    services = {
        "pages": {"rate": 40, "answer_seconds": 2},
        "desks": {"rate": 10, "flight": 8, "answer_seconds": 2},
    }
    scenario.set_up()
    scenario.world.task(
        scenario.operators, scenario.change("narrow", 1, {"services": services}), 20
    )
    scenario.world.run(8)
    scenario.history.clear()
    scenario.start_callers(60, 3.0, 40)
    scenario.world.run(6)
    failing_server = next(iter(scenario.servers.values()))
    failing_server.behavior = ServerBehavior.LOST
    scenario.world.run(6)
    scenario.world.kill(scenario.edges[0])
    scenario.world.run(2)
    scenario.start(scenario.edges[0])
    failing_server.behavior = ServerBehavior.SOUND
    scenario.world.run(10)
    found = scenario.findings()
    for record in scenario.request_records:
        if record.status in (429, 503) and record.complete:
            found.count_check("given up")
            if not record.retry_after:
                found.add_violation("given up", f"{record.identity}: no Retry-After")
            if record.seconds > 1.5:
                found.add_violation(
                    "given up", f"{record.identity} held back {record.seconds:.2f} s"
                )
    served = {record.method for record in scenario.request_records if record.status == 200}
    if "POST" not in served:
        found.add_violation("given up", "no POST was served: cheap orders starve them")
    return found


def misbehaving_servers(seed: int) -> Findings:
    """Make servers lose, truncate or corrupt answers, misstate lengths, or stop reading."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    servers = list(scenario.servers.values())
    for behavior in MISBEHAVIORS:
        for server in servers[:4]:
            server.behavior = behavior
        scenario.world.run(3)
        for server in servers[:4]:
            server.behavior = ServerBehavior.SOUND
        scenario.world.run(1)
    return scenario.findings()


async def poll_edge(scenario: Scenario, edge: str) -> None:
    """Request marker paths and covers from one edge continuously, whether ready or not."""
    caller = Caller(
        scenario.outside.scheduler,
        scenario.outside.network,
        scenario.random,
        scenario.request_records,
    )
    count = 0
    while scenario.callers_on:
        count += 1
        marks = [change.marker_path for change in scenario.changes if change.marker_path][-3:]
        for target in [*marks, f"/covers/{count % 8}"]:
            await caller.request(
                f"{scenario.node(edge).host}:3", "GET", target, f"s{edge}-{count}-{target}"
            )
        await scenario.outside.scheduler.sleep(0.05)


def reused_address(seed: int) -> Findings:
    """Remove servers under load one by one and reassign their addresses to the other service."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    scenario.world.run(3)
    for name in list(scenario.servers)[:4]:
        server = scenario.servers[name]
        other = "desks" if server.service == "pages" else "pages"
        scenario.add_server(server.service, scenario.zones[0], f"next-{name}", 1)
        scenario.platform.show(server.service, server.address, scenario.zones[0], 1, True)
        scenario.world.run(2.2)
        server.close()
        scenario.world.kill(name)
        scenario.platform.hide(server.address)
        scenario.add_server(other, scenario.zones[1], f"handed-{name}", 2, server.address)
        scenario.world.run(1)
    scenario.world.run(3)
    return scenario.findings()


def purge_flood(seed: int) -> Findings:
    """Purge objects at a high rate during slow cache fills, and partition an edge."""
    scenario = Scenario(seed)
    scenario.set_up()
    for server in scenario.servers.values():
        server.delay = 0.4
        server.lifetime = "max-age=60"
    scenario.start_callers(20, 5.0)
    for edge in scenario.edges:
        scenario.outside.scheduler.create_task(poll_edge(scenario, edge), name="stubborn")
    scenario.world.run(3)
    for number in range(6):
        scenario.operators.scheduler.create_task(purge_in_a_row(scenario, number, 8), name="flood")
    scenario.world.run(3)
    for core in scenario.cores:
        scenario.world.cut(scenario.edges[0], core)
    scenario.world.run(6)
    scenario.world.heal()
    scenario.world.run(4)
    return scenario.findings()


async def purge_in_a_row(scenario: Scenario, number: int, count: int) -> None:
    """Change and purge `count` objects in turn, starting with object `number`."""
    for turn in range(count):
        target = f"/covers/{(number + turn) % 8}"
        await scenario.change_and_purge(target, f"flood-{number}-{turn}")


def lifetimes(seed: int) -> Findings:
    """Change objects without a purge: cached copies must expire with their lifetime."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 5.0)
    for turn in range(3):
        scenario.world.run(4)
        for number in range(8):
            if (number + turn) % 3 == 0:
                scenario.objects["pages"].change(f"/covers/{number}", scenario.world.time)
    scenario.world.run(12)
    return scenario.findings()


def repeated_keys(seed: int) -> Findings:  # noqa: C901, PLR0912 - not split yet
    """Retry POSTs under their idempotency key at other edges, amid lost answers and crashes."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(24, 3.0, 24)
    failing_servers = [server for server in scenario.servers.values() if server.service == "desks"]
    for turn in range(4):
        for server in failing_servers:
            server.behavior = ServerBehavior.LOST if turn % 2 == 0 else ServerBehavior.SOUND
            server.delay = 0.3
        scenario.world.run(2)
        edge = scenario.edges[turn]
        scenario.world.kill(edge, turn % 2 == 0)
        if turn == 1:
            scenario.world.kill(scenario.leader(), True)
        if turn == 2:
            for core in scenario.cores:
                scenario.world.cut(scenario.edges[0], core)
        scenario.world.run(2)
        scenario.world.heal()
        for name in [edge, *scenario.cores]:
            if not scenario.node(name).alive:
                scenario.start(name)
    for name in scenario.cores:
        scenario.world.kill(name, True)
        scenario.start(name)
    scenario.clear_faults()
    scenario.world.run(3)
    for name, server in scenario.servers.items():
        for other in scenario.edges if server.service == "desks" else ():
            scenario.world.cut(other, name)
    scenario.world.run(4.5)
    scenario.clear_faults()
    scenario.world.run(6)
    found = scenario.findings()
    by_identity: dict[str, list[RequestRecord]] = {}
    for record in scenario.request_records:
        if record.method == "POST":
            by_identity.setdefault(record.identity, []).append(record)
    retried = [records for records in by_identity.values() if len(records) > 1]
    found.count_check("keys", len(retried))
    if not any(
        records[-1].status == 200
        and any(record.status == 502 and record.outcome == "not-run" for record in records)
        for records in retried
    ):
        found.add_violation("keys", "no order went again after its claim was given back")
    if not any(records[-1].status == 409 for records in retried):
        found.add_violation("keys", "no repeat was told that its key was sent before")
    return found


def low_rate_service(seed: int) -> Findings:
    """Overload a service whose rate is below the number of edges; crash edges and a leader."""
    rate = [1.0, 2.0, 5.0][seed % 3]
    scenario = Scenario(seed, edges=5, probers=0)
    scenario.service_rates = {"desks": rate}
    scenario.set_up()
    scenario.world.task(
        scenario.operators,
        scenario.change(
            "narrow", 1, {"services": {"desks": {"rate": rate, "flight": 8, "answer_seconds": 2}}}
        ),
        20,
    )
    scenario.start_callers(40, 3.0, 20)
    scenario.world.run(6)
    since = scenario.world.time
    scenario.world.run(10)
    served = sum(request.service == "desks" and request.at >= since for request in scenario.history)
    for turn in range(3):
        scenario.world.kill(scenario.edges[turn], turn % 2 == 0)
        if turn == 1:
            scenario.world.kill(scenario.leader(), True)
        if turn == 2:
            for first in scenario.cores:
                for other in scenario.cores:
                    if first < other:
                        scenario.world.cut(first, other)
        scenario.world.run(2.0)
        scenario.world.heal()
        scenario.clear_faults()
        scenario.world.run(3.0)
    since = scenario.world.time
    scenario.world.run(10)
    served_after_faults = sum(
        request.service == "desks" and request.at >= since for request in scenario.history
    )
    found = scenario.findings()
    for count in (served, served_after_faults):
        found.count_check("goodput")
        if count < 0.7 * rate * 10:
            found.add_violation("goodput", f"{count} orders in 10 s at rate {rate:g}, in a crowd")
    return found


def unmarked_repeats(
    seed: int, changes_edge: bool = False, shares_user_agent: bool = False
) -> Findings:
    """Fail every server of a service for a while; callers retry at once without marking retries.

    Args:
        seed: seed of the run.
        changes_edge: callers pick a random edge for each attempt.
        shares_user_agent: all callers send the same User-Agent.
    """
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0, 0)
    for number in range(24):
        scenario.outside.scheduler.create_task(
            retry_until_served(scenario, number, changes_edge, shares_user_agent), name="phone"
        )
    scenario.world.run(6)
    for server in scenario.servers.values():
        if server.service == "pages":
            server.behavior = ServerBehavior.FAILING
    scenario.world.run(8)
    for server in scenario.servers.values():
        server.behavior = ServerBehavior.SOUND
    scenario.world.run(8)
    found = scenario.findings()
    late = [
        record
        for record in scenario.request_records
        if record.target.startswith("/plain/")
        and record.ending
        and record.identity.startswith("c")
        and record.sent_at > scenario.world.time - 4.0
    ]
    found.count_check("others", len(late))
    if sum(record.status == 200 for record in late) < 0.9 * len(late):
        found.add_violation("others", "first orders were declined 4 s after the service was back")
    return found


async def retry_until_served(
    scenario: Scenario, number: int, changes_edge: bool, shares_user_agent: bool
) -> None:
    """Send requests, retrying failures almost at once without a retry header."""
    random = Random(f"phone {scenario.world.seed} {number}")
    caller = Caller(
        scenario.outside.scheduler, scenario.outside.network, random, scenario.request_records
    )
    name = b"phone" if shares_user_agent else b"phone %d" % number
    count = 0
    edge = ""
    while scenario.callers_on:
        count += 1
        await scenario.outside.scheduler.sleep(random.expovariate(2.0))
        target = f"/plain/{random.randrange(50)}"
        for _ in range(200):
            edges = scenario.ready_edges()
            if edges and (changes_edge or edge not in edges):
                edge = random.choice(edges)
            record = await caller.request(
                f"{scenario.node(edge).host}:3",
                "GET",
                target,
                f"p{number}-{count}",
                [(b"User-Agent", name)],
            )
            if record.status == 200 or not scenario.callers_on:
                break
            await scenario.outside.scheduler.sleep(0.05)
    caller.close()
