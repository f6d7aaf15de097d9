"""Random schedules of faults, by seed, against a simulated fleet under traffic.

A schedule draws faults, which are actions on a scenario, and their times. After the last fault
everything is repaired, and service must recover within `RETURN_SECONDS`. A run results in
findings; `python -m ryelock.testing simulate --seed N` repeats a failing seed.
"""

from collections.abc import Callable
from random import Random

from ryelock.testing.checks import Findings, count_false_downs
from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.servers import ServerBehavior

RETURN_SECONDS = 15.0
UNSOUND = [behavior for behavior in ServerBehavior if behavior is not ServerBehavior.SOUND]
"""In the order of the enum, since a seed draws by position."""
Fault = Callable[[Scenario, Random], str]


def choose_or_empty(random: Random, names: list[str]) -> str:
    """Draw one of the names; return an empty string if there are none."""
    return random.choice(names) if names else ""


def kill_core(scenario: Scenario, random: Random) -> str:
    """Kill a control node and restart it."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    if name:
        scenario.world.kill(name)
        scenario.world.later(0.5 + random.random() * 3, lambda: scenario.start(name))
    return f"kill {name}"


def power_core(scenario: Scenario, random: Random) -> str:
    """Cut a control node's power and restart it."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    if name:
        scenario.world.kill(name, True)
        scenario.world.later(0.5 + random.random() * 3, lambda: scenario.start(name))
    return f"power off {name}"


def empty_core(scenario: Scenario, random: Random) -> str:
    """Lose the disk of a control node; only while all others run, so that a majority is left."""
    if len(scenario.alive(scenario.cores)) < len(scenario.cores):
        return "nothing"
    if not voters_caught_up(scenario):
        return "nothing"
    name = choose_or_empty(random, scenario.cores)
    scenario.lose_disk(name)
    scenario.world.later(0.5 + random.random() * 2, lambda: scenario.start(name))
    return f"disk of {name} lost"


def voters_caught_up(scenario: Scenario) -> bool:
    """Return True if every control node is a voter that has caught up."""
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
    """Kill an edge, perhaps with a power loss, and restart it."""
    name = choose_or_empty(random, scenario.alive(scenario.edges))
    if name:
        scenario.world.kill(name, random.random() < 0.5)
        scenario.world.later(0.2 + random.random() * 2, lambda: scenario.start(name))
    return f"kill {name}"


def kill_prober(scenario: Scenario, random: Random) -> str:
    """Kill a prober and restart it."""
    name = choose_or_empty(random, scenario.alive(scenario.probers))
    if name:
        scenario.world.kill(name)
        scenario.world.later(random.random() * 4, lambda: scenario.start(name))
    return f"kill {name}"


def all_cores(scenario: Scenario, random: Random) -> str:
    """Kill all control nodes at once, or cut their power, and restart them."""
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
    """Partition one machine from all others for some seconds."""
    name = choose_or_empty(random, [*scenario.cores, *scenario.edges, *scenario.probers])
    scenario.world.isolate(name)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"isolate {name}"


def split_cores(scenario: Scenario, random: Random) -> str:
    """Partition one control node from the others for some seconds, perhaps one way only."""
    name = choose_or_empty(random, scenario.cores)
    both = random.random() < 0.5
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(name, other, both)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"split {name} from other cores, both ways {both}"


def scatter_cores(scenario: Scenario, random: Random) -> str:
    """Partition all control nodes from each other for some seconds."""
    for first in scenario.cores:
        for other in scenario.cores:
            if first < other:
                scenario.world.cut(first, other)
    scenario.world.later(1 + random.random() * 4, scenario.world.heal)
    return "every core alone"


def cut_edge(scenario: Scenario, random: Random) -> str:
    """Partition an edge from each control node, both ways or one way."""
    name = choose_or_empty(random, scenario.edges)
    for core in scenario.cores:
        scenario.world.cut(name, core, random.random() < 0.5)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"cut {name} from the core"


def freeze(scenario: Scenario, random: Random) -> str:
    """Pause a control node or an edge for some seconds."""
    name = choose_or_empty(random, scenario.alive([*scenario.cores, *scenario.edges]))
    if name:
        scenario.world.freeze(name, True)
        scenario.world.later(0.3 + random.random() * 4, lambda: scenario.world.freeze(name, False))
    return f"freeze {name}"


def mean_server(scenario: Scenario, random: Random) -> str:
    """Make a server misbehave for some seconds."""
    servers = [
        server for name, server in scenario.servers.items() if scenario.world.nodes[name].alive
    ]
    server = random.choice(servers)
    server.behavior = random.choice(UNSOUND)

    def restore() -> None:
        server.behavior = ServerBehavior.SOUND

    scenario.world.later(1 + random.random() * 4, restore)
    return f"{server.service} {server.address} is {server.behavior}"


def replaceable_servers(scenario: Scenario) -> list[str]:
    """Return running servers, not listed as leaving, whose service has another such server."""
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
    """Kill a server; another of the same service starts at a new address."""
    name = choose_or_empty(random, replaceable_servers(scenario))
    if not name:
        return "nothing"
    server = scenario.servers[name]
    server.close()
    scenario.world.kill(name, random.random() < 0.3)
    service, address = server.service, server.address

    def replace() -> None:
        scenario.platform.hide(address)
        scenario.add_server(service, random.choice(scenario.zones), f"again-{name}", 2)

    scenario.world.later(0.5 + random.random() * 2, replace)
    return f"{service} {address} crashed"


def hand_address(scenario: Scenario, random: Random) -> str:
    """Remove a server gracefully and give its address to the other service."""
    name = choose_or_empty(random, replaceable_servers(scenario))
    if not name:
        return "nothing"
    server = scenario.servers[name]
    address, service = server.address, server.service
    other = "desks" if service == "pages" else "pages"
    zone = str(scenario.platform.servers.get(address, {}).get("zone", scenario.zones[0]))
    scenario.platform.show(service, address, zone, 1, leaving=True)

    def reassign() -> None:
        server.close()
        scenario.world.kill(name)
        scenario.platform.hide(address)
        scenario.add_server(other, zone, f"handed-{name}", 2, address)

    def refill() -> None:
        scenario.add_server(service, zone, f"refill-{name}", 1)

    scenario.world.later(2.5, reassign)
    scenario.world.later(0.5, refill)
    return f"{address} goes from {service} to {other}"


def silent_platform(scenario: Scenario, random: Random) -> str:
    """Stop the platform's answers for some seconds."""
    scenario.platform.silent = True

    def resume() -> None:
        scenario.platform.silent = False

    scenario.world.later(0.5 + random.random() * 3, resume)
    return "the platform is silent"


def wrong_clocks(scenario: Scenario, random: Random) -> str:
    """Set wrong wall clocks on some machines."""
    for name in [*scenario.cores, *scenario.edges, *scenario.probers]:
        scenario.node(name).clock.error = random.choice([0.0, 300.0, -300.0, 4000.0])
    return "wall clocks are wrong"


def slow_network(scenario: Scenario, random: Random) -> str:
    """Delay many messages for some seconds."""
    scenario.world.spikes = 0.15

    def restore() -> None:
        scenario.world.spikes = 0.005

    scenario.world.later(1 + random.random() * 3, restore)
    return "a slow network"


def planned_stop(scenario: Scenario, random: Random) -> str:
    """Stop a process gracefully and restart it once it has result."""
    name = choose_or_empty(
        random, scenario.alive([*scenario.cores, *scenario.edges, *scenario.probers])
    )
    if not name:
        return "nothing"
    node = scenario.node(name)

    def restart() -> None:
        scenario.world.kill(name)
        scenario.world.later(0.3, lambda: scenario.start(name))

    async def stop() -> None:
        assert node.inner is not None
        await node.inner.stop()
        scenario.world.later(0.01, restart)

    node.scheduler.create_task(stop(), name="planned stop")
    return f"planned stop of {name}"


def kill_many(scenario: Scenario, random: Random, names: list[str]) -> None:
    """Kill several processes at once and restart each."""
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
    zone = random.choice(scenario.zones)
    kill_many(
        scenario,
        random,
        [name for name, (_, plain) in scenario.plans.items() if plain["zone"] == zone],
    )
    return f"all of {zone} killed"


def several_edges(scenario: Scenario, random: Random) -> str:
    """Kill two thirds of the edges at once."""
    names = random.sample(scenario.edges, max(2, len(scenario.edges) * 2 // 3))
    kill_many(scenario, random, names)
    return f"killed at once: {', '.join(names)}"


def freeze_prober(scenario: Scenario, random: Random) -> str:
    """Pause a prober for some seconds."""
    name = choose_or_empty(random, scenario.alive(scenario.probers))
    if name:
        scenario.world.freeze(name, True)
        scenario.world.later(1 + random.random() * 5, lambda: scenario.world.freeze(name, False))
    return f"freeze {name}"


def cut_one_way(scenario: Scenario, random: Random) -> str:
    """Drop all messages to or from an edge or a prober for some seconds."""
    name = random.choice([*scenario.edges, *scenario.probers])
    sending = random.random() < 0.5
    for other in scenario.plans:
        if other != name:
            scenario.world.cut(*((name, other) if sending else (other, name)), False)
    scenario.world.later(0.5 + random.random() * 4, scenario.world.heal)
    return f"{name} is cut one way, sending {sending}"


def full_disk(scenario: Scenario, random: Random) -> str:
    """Fill a control node's disk for some seconds."""
    name = choose_or_empty(random, scenario.alive(scenario.cores))
    folder = scenario.node(name).folder if name else None
    if folder is None:
        return "nothing"
    folder.full = True

    def free_space() -> None:
        folder.full = False

    scenario.world.later(0.5 + random.random() * 3, free_space)
    return f"the disk of {name} is full"


def damaged_tail(scenario: Scenario, random: Random) -> str:
    """Cut a control node's power and append a torn write behind its journal's last record."""
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
    """Remove a control node for good; an empty one at a new address replaces it."""
    if len(scenario.alive(scenario.cores)) < len(scenario.cores) or not voters_caught_up(scenario):
        return "nothing"
    name = random.choice(scenario.cores)
    zone = str(scenario.plans[name][1]["zone"])
    scenario.world.kill(name, True)
    scenario.cores.remove(name)
    del scenario.plans[name]
    fresh = scenario.plan("core", f"core-{len(scenario.world.nodes)}", zone)
    scenario.cores.append(fresh)
    scenario.world.later(0.5 + random.random() * 2, lambda: scenario.start(fresh))
    return f"{name} is gone, {fresh} comes empty at {scenario.node(fresh).host}"


def new_edge(scenario: Scenario, random: Random) -> str:
    """Add an edge."""
    name = scenario.plan("edge", f"edge-{len(scenario.world.nodes)}", random.choice(scenario.zones))
    scenario.edges.append(name)
    scenario.start(name)
    return f"{name} joins"


def drain_and_recover(scenario: Scenario, random: Random) -> str:
    """Drain an edge or a zone and recover it after a while."""
    target = random.choice([*scenario.edges, *(f"zone:{zone}" for zone in scenario.zones)])
    number = len(scenario.world.events) + scenario.world.points

    async def run_drain() -> None:
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

    scenario.operators.scheduler.create_task(run_drain(), name="drains")
    return f"{target} is drained for a while"


def purge_flood(scenario: Scenario, random: Random) -> str:
    """Purge objects in quick succession."""
    number = scenario.world.points

    async def purge_objects(turn: int) -> None:
        for count in range(6):
            await scenario.change_and_purge(
                f"/covers/{(turn + count) % 8}", f"flood-{number}-{turn}-{count}"
            )

    for turn in range(4):
        scenario.operators.scheduler.create_task(purge_objects(turn), name="flood")
    return "a flood of purges"


def many_routes(scenario: Scenario, random: Random) -> str:
    """Send changes in quick succession, each adding hundreds of routes."""
    number = scenario.world.points

    async def add_routes() -> None:
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

    scenario.operators.scheduler.create_task(add_routes(), name="many routes")
    return "changes of hundreds of routes"


def hang_ups(scenario: Scenario, random: Random) -> str:
    """Abort connections during the request, during the answer, or before reading any of it."""

    async def abort_request(turn: int) -> None:
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
        scenario.outside.scheduler.create_task(abort_request(turn), name="hangs up")
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
    """Result of one schedule.

    Attributes:
        scenario: fleet of the run.
        findings: what the checkers found.
        events: time and description of each fault.
        recovery_seconds: time from the repair to service; None if it did not recover.
        digest: digest of the simulated world.
        fault_counts: injected faults by the name of their function.
        false_downs: down verdicts of zones that served callers well.
    """

    __slots__ = (
        "digest",
        "events",
        "false_downs",
        "fault_counts",
        "findings",
        "recovery_seconds",
        "scenario",
    )

    def __init__(
        self,
        scenario: Scenario,
        findings: Findings,
        events: list[str],
        recovery_seconds: float | None,
    ) -> None:
        """Create the result of a run that has result."""
        self.scenario = scenario
        self.findings = findings
        self.events = events
        self.recovery_seconds = recovery_seconds
        self.digest = scenario.world.digest()
        self.fault_counts: dict[str, int] = {}
        self.false_downs = count_false_downs(
            scenario.downs,
            scenario.request_records,
            {name: f"{scenario.node(name).host}:3" for name in scenario.edges},
        )


# Control nodes (0: drawn by seed), zones, and edges and probers per zone, of the quick start and
# of the two deployments.
SIZES = {"small": (0, 2, 2, 2), "buchfalter": (6, 4, 3, 2), "wanjiru": (5, 3, 3, 2)}


def run_schedule(
    seed: int,
    faults: int = 8,
    seconds: float = 24.0,
    pool: tuple[Fault, ...] = FAULTS,
    size: str = "small",
) -> ScheduleResult:
    """Run one schedule, from the bootstrap to the recovery after the last fault.

    Args:
        seed: seed of the run.
        faults: number of faults to draw.
        seconds: length of the run before the repair.
        pool: faults to draw from.
        size: key of `SIZES`.
    """
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
    events: list[str] = []
    fault_counts: dict[str, int] = {}
    start = scenario.world.time
    moments = sorted(start + 1 + random.random() * (seconds - 6) for _ in range(faults))
    for moment in moments:
        scenario.world.run(max(0.0, moment - scenario.world.time))
        fault = random.choice(pool)
        description = fault(scenario, random)
        if description != "nothing":
            fault_counts[fault.__name__] = fault_counts.get(fault.__name__, 0) + 1
        events.append(f"{scenario.world.time:.2f} {description}")
    scenario.world.run(max(0.0, start + seconds - scenario.world.time))
    scenario.clear_faults()
    repaired_at = scenario.world.time
    recovered = scenario.world.run_until(scenario.served_since(repaired_at), RETURN_SECONDS + 10)
    recovery_seconds = scenario.world.time - repaired_at if recovered else None
    scenario.world.run(3.0)
    findings = scenario.findings()
    findings.count_check("return")
    if recovery_seconds is None or recovery_seconds > RETURN_SECONDS:
        findings.add_violation("return", f"service was not back: {recovery_seconds}")
    check_final_configuration(scenario, findings)
    result = ScheduleResult(scenario, findings, events, recovery_seconds)
    result.fault_counts = fault_counts
    return result


def check_final_configuration(scenario: Scenario, findings: Findings) -> None:
    """Check that a final read has every acknowledged change and no rejected one."""
    accepted = [change for change in scenario.changes if change.status == 200]
    newest = max((change.version for change in accepted), default=0)
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
        present = change.identity in routes
        if change in accepted and not present:
            findings.add_violation("end of day", f"{change.identity} is missing")
        if change.status in (409, 422) and present:
            findings.add_violation("end of day", f"{change.identity} took effect")
