"""Cases of traffic: crowds, servers that misbehave, purges, keys, retries and addresses.

Each case takes a seed, runs a simulated fleet under one kind of strain, and returns what the
checkers found in the histories of callers and servers.
"""

from random import Random

from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.callers import Caller, RequestRecord
from ryelock.testing.stand_ins.servers import ServerBehavior

BODY_FAULTS = (
    ServerBehavior.LOST,
    ServerBehavior.CUT,
    ServerBehavior.SHORT,
    ServerBehavior.LONG,
    ServerBehavior.WRONG,
    ServerBehavior.DEAF,
)


def crowd(seed: int) -> Findings:
    """Everybody arrives at once, and many ask again the instant something fails."""
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
    broken = next(iter(scenario.servers.values()))
    broken.behavior = ServerBehavior.LOST
    scenario.world.run(6)
    scenario.world.kill(scenario.edges[0])
    scenario.world.run(2)
    scenario.start(scenario.edges[0])
    broken.behavior = ServerBehavior.SOUND
    scenario.world.run(10)
    found = scenario.findings()
    for record in scenario.notes:
        if record.status in (429, 503) and record.complete:
            found.look("given up")
            if not record.retry_after:
                found.broken("given up", f"{record.identity}: no Retry-After")
            if record.seconds > 1.5:
                found.broken("given up", f"{record.identity} held back {record.seconds:.2f} s")
    served = {record.method for record in scenario.notes if record.status == 200}
    if "POST" not in served:
        found.broken("given up", "no POST was served: cheap orders starve them")
    return found


def mean_servers(seed: int) -> Findings:
    """Servers lose answers, cut them, lie about lengths, fall silent."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    servers = list(scenario.servers.values())
    for behavior in BODY_FAULTS:
        for server in servers[:4]:
            server.behavior = behavior
        scenario.world.run(3)
        for server in servers[:4]:
            server.behavior = ServerBehavior.SOUND
        scenario.world.run(1)
    return scenario.findings()


async def stubborn(scenario: Scenario, edge: str) -> None:
    """A caller that keeps asking one edge for marks and covers, ready or not."""
    caller = Caller(
        scenario.outside.scheduler, scenario.outside.network, scenario.random, scenario.notes
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


def handed_address(seed: int) -> Findings:
    """Servers leave under load, one by one, and their addresses go to the other service."""
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
    """Purges alone and in floods against slow fills, and an edge that is cut."""
    scenario = Scenario(seed)
    scenario.set_up()
    for server in scenario.servers.values():
        server.delay = 0.4
        server.lifetime = "max-age=60"
    scenario.start_callers(20, 5.0)
    for edge in scenario.edges:
        scenario.outside.scheduler.create_task(stubborn(scenario, edge), name="stubborn")
    scenario.world.run(3)
    for number in range(6):
        scenario.operators.scheduler.create_task(flood(scenario, number, 8), name="flood")
    scenario.world.run(3)
    for core in scenario.cores:
        scenario.world.cut(scenario.edges[0], core)
    scenario.world.run(6)
    scenario.world.heal()
    scenario.world.run(4)
    return scenario.findings()


async def flood(scenario: Scenario, number: int, count: int) -> None:
    """Purge eight objects in a row, so many times in all."""
    for turn in range(count):
        target = f"/covers/{(number + turn) % 8}"
        await scenario.renew_object(target, f"flood-{number}-{turn}")


def lifetimes(seed: int) -> Findings:
    """Objects change and nobody purges: copies end with their lifetime."""
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
    """Reservations sent again under their key, at other edges, after lost answers, kills, cuts."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(24, 3.0, 24)
    control_apis = [server for server in scenario.servers.values() if server.service == "desks"]
    for turn in range(4):
        for server in control_apis:
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
    scenario.mend_all()
    scenario.world.run(3)
    for name, server in scenario.servers.items():
        for other in scenario.edges if server.service == "desks" else ():
            scenario.world.cut(other, name)
    scenario.world.run(4.5)
    scenario.mend_all()
    scenario.world.run(6)
    found = scenario.findings()
    by_identity: dict[str, list[RequestRecord]] = {}
    for record in scenario.notes:
        if record.method == "POST":
            by_identity.setdefault(record.identity, []).append(record)
    again = [notes for notes in by_identity.values() if len(notes) > 1]
    found.look("keys", len(again))
    if not any(
        notes[-1].status == 200
        and any(record.status == 502 and record.outcome == "not-run" for record in notes)
        for notes in again
    ):
        found.broken("keys", "no order went again after its claim was given back")
    if not any(notes[-1].status == 409 for notes in again):
        found.broken("keys", "no repeat was told that its key was sent before")
    return found


def narrow_control_apis(seed: int) -> Findings:
    """A crowd before desks of fewer orders a second than there are edges; edges, leaders die."""
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
            for one in scenario.cores:
                for other in scenario.cores:
                    if one < other:
                        scenario.world.cut(one, other)
        scenario.world.run(2.0)
        scenario.world.heal()
        scenario.mend_all()
        scenario.world.run(3.0)
    since = scenario.world.time
    scenario.world.run(10)
    again = sum(request.service == "desks" and request.at >= since for request in scenario.history)
    found = scenario.findings()
    for count in (served, again):
        found.look("goodput")
        if count < 0.7 * rate * 10:
            found.broken("goodput", f"{count} orders in 10 s at rate {rate:g}, in a crowd")
    return found


def unmarked_repeats(seed: int, moving: bool = False, alike: bool = False) -> Findings:
    """A service fails whole for a while; callers repeat at once and mark nothing.

    They stay at their edge, or move from edge to edge; each has a client's name of its own, or
    all are alike behind one address.
    """
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0, 0)
    for number in range(24):
        scenario.outside.scheduler.create_task(phone(scenario, number, moving, alike), name="phone")
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
        for record in scenario.notes
        if record.target.startswith("/plain/")
        and record.ending
        and record.identity.startswith("c")
        and record.sent_at > scenario.world.time - 4.0
    ]
    found.look("others", len(late))
    if sum(record.status == 200 for record in late) < 0.9 * len(late):
        found.broken("others", "first orders were declined 4 s after the service was back")
    return found


async def phone(scenario: Scenario, number: int, moving: bool, alike: bool) -> None:
    """One caller that sends what failed again at once, as the same order, without a mark."""
    random = Random(f"phone {scenario.world.seed} {number}")
    caller = Caller(scenario.outside.scheduler, scenario.outside.network, random, scenario.notes)
    name = b"phone" if alike else b"phone %d" % number
    count = 0
    edge = ""
    while scenario.callers_on:
        count += 1
        await scenario.outside.scheduler.sleep(random.expovariate(2.0))
        target = f"/plain/{random.randrange(50)}"
        for _ in range(200):
            edges = scenario.ready_edges()
            if edges and (moving or edge not in edges):
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
