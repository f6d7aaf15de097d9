"""Random schedules of faults, by seed: a fleet under traffic, faults, mending, and a verdict.

Each fault is an action on a scenario. A schedule draws some of them, at times of its own,
then everything is mended, and service must be back within 15 s. What a run came to is its
findings; a failing seed is run again by `python -m ryelock.testing simulate --seed N`.
"""

from collections.abc import Callable
from random import Random

from ryelock.testing.checks import Findings, false_downs
from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.servers import ServerBehavior

RETURN_SECONDS = 15.0
UNSOUND = [behavior for behavior in ServerBehavior if behavior is not ServerBehavior.SOUND]
"""In the order of the enum: a seed draws by position."""
Fault = Callable[[Scenario, Random], str]


def choose_or_empty(random: Random, names: list[str]) -> str:
    """Draw one of some names; empty where there are none."""
    return random.choice(names) if names else ""


def kill_core(scenario: Scenario, random: Random) -> str:
    """Kill a control node and start it again."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    if name:
        scenario.world.kill(name)
        scenario.world.later(0.5 + random.random() * 3, lambda: scenario.start(name))
    return f"kill {name}"


def power_core(scenario: Scenario, random: Random) -> str:
    """Cut a control node's power and start it again."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    if name:
        scenario.world.kill(name, True)
        scenario.world.later(0.5 + random.random() * 3, lambda: scenario.start(name))
    return f"power off {name}"


def empty_core(scenario: Scenario, random: Random) -> str:
    """One disk lost; never while another core is away, so a majority of disks is left."""
    if len(scenario.alive(scenario.cores)) < len(scenario.cores):
        return "nothing"
    if not voters_caught_up(scenario):
        return "nothing"
    name = choose_or_empty(random, scenario.cores)
    scenario.lose_disk(name)
    scenario.world.later(0.5 + random.random() * 2, lambda: scenario.start(name))
    return f"disk of {name} lost"


def voters_caught_up(scenario: Scenario) -> bool:
    """Whether every core is a voter that has caught up."""
    leader = scenario.leader()
    if not leader:
        return False
    consensus = scenario.node(leader).core.consensus
    disks = {
        scenario.node(name).core.consensus.disk
        for name in scenario.cores
        if scenario.node(name).alive
    }
    return (
        set(consensus.voters) == disks
        and len(disks) == len(scenario.cores)
        and all(peer.match_index == consensus.last_index for peer in consensus.peers.values())
    )


def kill_edge(scenario: Scenario, random: Random) -> str:
    """Kill an edge, perhaps with its power, and start it again."""
    name = choose_or_empty(random, scenario.alive(scenario.edges))
    if name:
        scenario.world.kill(name, random.random() < 0.5)
        scenario.world.later(0.2 + random.random() * 2, lambda: scenario.start(name))
    return f"kill {name}"


def kill_prober(scenario: Scenario, random: Random) -> str:
    """Kill a prober and start it again."""
    name = choose_or_empty(random, scenario.alive(scenario.probers))
    if name:
        scenario.world.kill(name)
        scenario.world.later(random.random() * 4, lambda: scenario.start(name))
    return f"kill {name}"


def all_cores(scenario: Scenario, random: Random) -> str:
    """Kill all control nodes at once, or cut their power, and start them again."""
    power = random.random() < 0.5
    for name in scenario.alive(scenario.cores):
        scenario.world.kill(name, power)
        scenario.world.later(
            0.5 + random.random(),
            lambda name=name: (  # type: ignore[misc]
                scenario.start(name)
            ),
        )
    return f"all cores down, power {power}"


def isolate(scenario: Scenario, random: Random) -> str:
    """Cut one machine off from all others for some seconds."""
    name = choose_or_empty(random, [*scenario.cores, *scenario.edges, *scenario.probers])
    scenario.world.isolate(name)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"isolate {name}"


def split_cores(scenario: Scenario, random: Random) -> str:
    """Cut one control node off from the other ones for some seconds, perhaps one way only."""
    one = choose_or_empty(random, scenario.cores)
    both = random.random() < 0.5
    for other in scenario.cores:
        if other != one:
            scenario.world.cut(one, other, both)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"split {one} from other cores, both ways {both}"


def scatter_cores(scenario: Scenario, random: Random) -> str:
    """Cut all control nodes off from each other for some seconds."""
    for one in scenario.cores:
        for other in scenario.cores:
            if one < other:
                scenario.world.cut(one, other)
    scenario.world.later(1 + random.random() * 4, scenario.world.heal)
    return "every core alone"


def cut_edge(scenario: Scenario, random: Random) -> str:
    """Cut an edge off from each control node, both ways or one way."""
    name = choose_or_empty(random, scenario.edges)
    for core in scenario.cores:
        scenario.world.cut(name, core, random.random() < 0.5)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"cut {name} from the core"


def freeze(scenario: Scenario, random: Random) -> str:
    """Freeze a control node or an edge for some seconds."""
    name = choose_or_empty(random, scenario.alive([*scenario.cores, *scenario.edges]))
    if name:
        scenario.world.freeze(name, True)
        scenario.world.later(0.3 + random.random() * 4, lambda: scenario.world.freeze(name, False))
    return f"freeze {name}"


def mean_server(scenario: Scenario, random: Random) -> str:
    """Let a server treat requests badly for some seconds."""
    servers = [
        server for name, server in scenario.servers.items() if scenario.world.nodes[name].alive
    ]
    server = random.choice(servers)
    server.behavior = random.choice(UNSOUND)

    def mend() -> None:
        server.behavior = ServerBehavior.SOUND

    scenario.world.later(1 + random.random() * 4, mend)
    return f"{server.service} {server.address} is {server.behavior}"


def staying(scenario: Scenario) -> list[str]:
    """Servers that run and are listed as staying, while another of their service is, too."""
    listed = scenario.platform.servers
    found = sorted(
        name
        for name, server in scenario.servers.items()
        if scenario.world.nodes[name].alive
        and listed.get(server.address, {"leaving": True})["leaving"] is False
    )
    services = [scenario.servers[name].service for name in found]
    return [name for name in found if services.count(scenario.servers[name].service) > 1]


def crash_server(scenario: Scenario, random: Random) -> str:
    """A server vanishes; another of the same service comes up elsewhere."""
    name = choose_or_empty(random, staying(scenario))
    if not name:
        return "nothing"
    server = scenario.servers[name]
    server.close()
    scenario.world.kill(name, random.random() < 0.3)
    service, address = server.service, server.address

    def again() -> None:
        scenario.platform.hide(address)
        scenario.add_server(service, random.choice(scenario.zones), f"again-{name}", 2)

    scenario.world.later(0.5 + random.random() * 2, again)
    return f"{service} {address} crashed"


def hand_address(scenario: Scenario, random: Random) -> str:
    """A server leaves in order, and its address goes to the other service."""
    name = choose_or_empty(random, staying(scenario))
    if not name:
        return "nothing"
    server = scenario.servers[name]
    address, service = server.address, server.service
    other = "desks" if service == "pages" else "pages"
    zone = str(scenario.platform.servers.get(address, {}).get("zone", scenario.zones[0]))
    scenario.platform.show(service, address, zone, 1, leaving=True)

    def hand() -> None:
        server.close()
        scenario.world.kill(name)
        scenario.platform.hide(address)
        scenario.add_server(other, zone, f"handed-{name}", 2, address)

    def refill() -> None:
        scenario.add_server(service, zone, f"refill-{name}", 1)

    scenario.world.later(2.5, hand)
    scenario.world.later(0.5, refill)
    return f"{address} goes from {service} to {other}"


def silent_platform(scenario: Scenario, random: Random) -> str:
    """Let the platform say nothing for some seconds."""
    scenario.platform.silent = True

    def speak() -> None:
        scenario.platform.silent = False

    scenario.world.later(0.5 + random.random() * 3, speak)
    return "the platform is silent"


def wrong_clocks(scenario: Scenario, random: Random) -> str:
    """Set the time of day of some machines wrong."""
    for name in [*scenario.cores, *scenario.edges, *scenario.probers]:
        scenario.node(name).clock.error = random.choice([0.0, 300.0, -300.0, 4000.0])
    return "wall clocks are wrong"


def slow_network(scenario: Scenario, random: Random) -> str:
    """Let many messages take long for some seconds."""
    scenario.world.spikes = 0.15

    def calm() -> None:
        scenario.world.spikes = 0.005

    scenario.world.later(1 + random.random() * 3, calm)
    return "a slow network"


def planned_stop(scenario: Scenario, random: Random) -> str:
    """A process is stopped with a warning, and started again once it has left."""
    name = choose_or_empty(
        random, scenario.alive([*scenario.cores, *scenario.edges, *scenario.probers])
    )
    if not name:
        return "nothing"
    node = scenario.node(name)

    def again() -> None:
        scenario.world.kill(name)
        scenario.world.later(0.3, lambda: scenario.start(name))

    async def whole() -> None:
        assert node.inner is not None
        await node.inner.stop()
        scenario.world.later(0.01, again)

    node.scheduler.create_task(whole(), name="planned stop")
    return f"planned stop of {name}"


def kill_many(scenario: Scenario, random: Random, names: list[str]) -> None:
    """Kill several processes at once and start each again."""
    for name in scenario.alive(names):
        scenario.world.kill(name, random.random() < 0.5)
        scenario.world.later(
            0.5 + random.random() * 3,
            lambda name=name: (  # type: ignore[misc]
                scenario.start(name)
            ),
        )


def whole_zone(scenario: Scenario, random: Random) -> str:
    """Kill all processes of a zone at once."""
    place = random.choice(scenario.zones)
    kill_many(
        scenario,
        random,
        [name for name, (_, plain) in scenario.plans.items() if plain["zone"] == place],
    )
    return f"all of {place} killed"


def several_edges(scenario: Scenario, random: Random) -> str:
    """Kill two thirds of the edges at once."""
    names = random.sample(scenario.edges, max(2, len(scenario.edges) * 2 // 3))
    kill_many(scenario, random, names)
    return f"killed at once: {', '.join(names)}"


def freeze_prober(scenario: Scenario, random: Random) -> str:
    """Freeze a prober for some seconds."""
    name = choose_or_empty(random, scenario.alive(scenario.probers))
    if name:
        scenario.world.freeze(name, True)
        scenario.world.later(1 + random.random() * 5, lambda: scenario.world.freeze(name, False))
    return f"freeze {name}"


def cut_one_way(scenario: Scenario, random: Random) -> str:
    """An edge or a prober hears nothing, or is not heard, by anyone."""
    name = random.choice([*scenario.edges, *scenario.probers])
    heard = random.random() < 0.5
    for other in scenario.plans:
        if other != name:
            scenario.world.cut(*((name, other) if heard else (other, name)), False)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"{name} is cut one way, sending {heard}"


def full_disk(scenario: Scenario, random: Random) -> str:
    """Fill a control node's disk for some seconds."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    folder = scenario.node(name).folder if name else None
    if folder is None:
        return "nothing"
    folder.full = True

    def room() -> None:
        folder.full = False

    scenario.world.later(0.5 + random.random() * 3, room)
    return f"the disk of {name} is full"


def damaged_tail(scenario: Scenario, random: Random) -> str:
    """Power goes in the middle of a write: bytes of no record behind the last one."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    if not name or not voters_caught_up(scenario):
        return "nothing"
    scenario.world.kill(name, True)
    folder = scenario.node(name).folder
    assert folder is not None
    segments = [file for file in folder.names() if file.startswith("segment-")]
    if segments:
        torn = bytes(random.randrange(256) for _ in range(random.randrange(1, 40)))
        folder.files[segments[-1]] += torn
        folder.synced[segments[-1]] = len(folder.files[segments[-1]])
    scenario.world.later(0.5 + random.random() * 2, lambda: scenario.start(name))
    return f"the journal of {name} has a damaged tail"


def core_elsewhere(scenario: Scenario, random: Random) -> str:
    """A core machine is gone for good; an empty one takes its place at another address."""
    if len(scenario.alive(scenario.cores)) < len(scenario.cores) or not voters_caught_up(scenario):
        return "nothing"
    name = random.choice(scenario.cores)
    place = str(scenario.plans[name][1]["zone"])
    scenario.world.kill(name, True)
    scenario.cores.remove(name)
    del scenario.plans[name]
    fresh = scenario.plan("core", f"core-{len(scenario.world.nodes)}", place)
    scenario.cores.append(fresh)
    scenario.world.later(0.5 + random.random() * 2, lambda: scenario.start(fresh))
    return f"{name} is gone, {fresh} comes empty at {scenario.node(fresh).host}"


def new_edge(scenario: Scenario, random: Random) -> str:
    """Let a new edge join."""
    name = scenario.plan("edge", f"edge-{len(scenario.world.nodes)}", random.choice(scenario.zones))
    scenario.edges.append(name)
    scenario.start(name)
    return f"{name} joins"


def drain_and_recover(scenario: Scenario, random: Random) -> str:
    """Drain an edge or a zone and take that back after a while."""
    target = random.choice([*scenario.edges, *(f"zone:{place}" for place in scenario.zones)])
    number = len(scenario.world.events) + scenario.world.points

    async def whole() -> None:
        await scenario.operator("POST", "/drains", {"id": f"drain-{number}", "target": target})
        await scenario.operators.scheduler.sleep(0.5 + 3 * random.random())
        for turn in range(20):
            status, _ = await scenario.operator(
                "POST",
                "/recoveries",
                {"id": f"recover-{number}-{turn}", "target": target, "force": True},
            )
            if status in (200, 409, 422):
                return
            await scenario.operators.scheduler.sleep(0.5)

    scenario.operators.scheduler.create_task(whole(), name="drains")
    return f"{target} is drained for a while"


def purge_flood(scenario: Scenario, random: Random) -> str:
    """Purge objects in quick succession."""
    number = scenario.world.points

    async def whole(turn: int) -> None:
        for count in range(6):
            await scenario.change_and_purge(
                f"/covers/{(turn + count) % 8}", f"flood-{number}-{turn}-{count}"
            )

    for turn in range(4):
        scenario.operators.scheduler.create_task(whole(turn), name="flood")
    return "a flood of purges"


def many_routes(scenario: Scenario, random: Random) -> str:
    """Changes in quick succession, each growing by hundreds of routes."""
    number = scenario.world.points

    async def whole() -> None:
        base = max((change.version for change in scenario.changes), default=1)
        for turn in range(3):
            name = f"gen-many-{number}-{turn}"
            routes = {
                f"{name}-{count}": {"path": f"/{name}/{count}", "service": "pages"}
                for count in range(200)
            }
            routes[name] = {"path": f"/{name}", "service": "pages"}
            change = await scenario.change(name, base, {"routes": routes}, f"/{name}")
            base = change.version or base

    scenario.operators.scheduler.create_task(whole(), name="many routes")
    return "changes of hundreds of routes"


def hang_ups(scenario: Scenario, random: Random) -> str:
    """Callers that leave in the middle: of their order, of its answer, or having read nothing."""

    async def whole(turn: int) -> None:
        edges = scenario.ready_edges()
        if not edges:
            return
        connection = scenario.outside.network.connect(
            f"{scenario.node(random.choice(edges)).host}:3"
        )
        if await connection.wait_connected(1.0):
            request = (
                b"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
                b"X-Order-Identity: hang-%d-%d\r\n\r\nbody" % (number, turn)
            )
            connection.write(request[: random.randrange(1, len(request) + 1)])
            await scenario.outside.scheduler.sleep(random.random() * 0.2)
        connection.abort()

    number = scenario.world.points
    for turn in range(20):
        scenario.outside.scheduler.create_task(whole(turn), name="hangs up")
    return "callers hang up"


FAULTS: tuple[Fault, ...] = (
    kill_core,
    power_core,
    empty_core,
    kill_edge,
    kill_prober,
    all_cores,
    isolate,
    split_cores,
    scatter_cores,
    cut_edge,
    freeze,
    mean_server,
    crash_server,
    hand_address,
    silent_platform,
    wrong_clocks,
    slow_network,
    planned_stop,
    whole_zone,
    several_edges,
    freeze_prober,
    cut_one_way,
    full_disk,
    damaged_tail,
    core_elsewhere,
    new_edge,
    drain_and_recover,
    purge_flood,
    many_routes,
    hang_ups,
)


class ScheduleResult:
    """What a schedule came to."""

    __slots__ = (
        "back_after",
        "counts",
        "digest",
        "false_downs",
        "findings",
        "happened",
        "scenario",
    )

    def __init__(
        self, scenario: Scenario, findings: Findings, happened: list[str], back_after: float | None
    ) -> None:
        """Note a run: its scenario, what was found, what happened, and seconds until it served."""
        self.scenario = scenario
        self.findings = findings
        self.happened = happened
        self.back_after = back_after
        self.digest = scenario.world.digest()
        self.counts: dict[str, int] = {}
        self.false_downs = false_downs(
            scenario.downs,
            scenario.request_records,
            {name: f"{scenario.node(name).host}:3" for name in scenario.edges},
        )


# Cores, zones, edges and probers a zone: the quick start's size, and the two deployments'.
SIZES = {"small": (0, 2, 2, 2), "buchfalter": (6, 4, 3, 2), "wanjiru": (5, 3, 3, 2)}


def run_schedule(
    seed: int,
    faults: int = 8,
    seconds: float = 24.0,
    pool: tuple[Fault, ...] = FAULTS,
    size: str = "small",
) -> ScheduleResult:
    """One schedule from founding to the return after the last fault."""
    random = Random(f"schedule {seed}")
    drawn = random.choice([3, 3, 5])
    cores, zones, edges, probers = SIZES[size]
    cores = cores or drawn
    small = random.random() < 0.5
    scenario = Scenario(
        seed,
        cores,
        zones,
        edges,
        probers,
        {"image_records": 12 if small else 4000, "segment_bytes": 4096 if small else 1 << 20},
    )
    scenario.set_up()
    scenario.start_callers()
    scenario.operators.scheduler.create_task(scenario.watch_verdicts(), name="verdicts")
    for number in (1, 2):
        scenario.operators.scheduler.create_task(
            scenario.operate(number, seconds + 5), name="operator"
        )
    happened: list[str] = []
    counts: dict[str, int] = {}
    start = scenario.world.time
    moments = sorted(start + 1 + random.random() * (seconds - 6) for _ in range(faults))
    for moment in moments:
        scenario.world.run(max(0.0, moment - scenario.world.time))
        fault = random.choice(pool)
        said = fault(scenario, random)
        if said != "nothing":
            counts[fault.__name__] = counts.get(fault.__name__, 0) + 1
        happened.append(f"{scenario.world.time:.2f} {said}")
    scenario.world.run(max(0.0, start + seconds - scenario.world.time))
    scenario.clear_faults()
    mended = scenario.world.time
    back = scenario.world.run_until(scenario.served_since(mended), RETURN_SECONDS + 10)
    back_after = scenario.world.time - mended if back else None
    scenario.world.run(3.0)
    findings = scenario.findings()
    findings.count_check("return")
    if back_after is None or back_after > RETURN_SECONDS:
        findings.add_violation("return", f"service was not back: {back_after}")
    check_final_configuration(scenario, findings)
    ended = ScheduleResult(scenario, findings, happened, back_after)
    ended.counts = counts
    return ended


def check_final_configuration(scenario: Scenario, findings: Findings) -> None:
    """The last read, through any node, has the newest acknowledged change."""
    told = [change for change in scenario.changes if change.status == 200]
    newest = max((change.version for change in told), default=0)
    status, answer = scenario.ask_now("GET", "/configuration")
    version = answer.get("version")
    findings.count_check("end of day")
    if status != 200 or not isinstance(version, int) or version < newest:
        findings.add_violation("end of day", f"read {status} version {version}, newest {newest}")
        return
    configuration = answer.get("configuration")
    routes = configuration.get("routes") if isinstance(configuration, dict) else None
    for change in scenario.changes:
        if not change.marker_path or not isinstance(routes, dict):
            continue
        there = change.identity in routes
        if change in told and not there:
            findings.add_violation("end of day", f"{change.identity} is missing")
        if change.status in (409, 422) and there:
            findings.add_violation("end of day", f"{change.identity} took effect")
