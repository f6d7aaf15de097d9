"""Permanent losses: something is lost and never repaired, and service must recover anyway.

Callers use the readiness that the platform polls over the network. Service has recovered when
every kind of request has: from then on, in each half second, at most a tenth of its requests
fail and some succeed. This is computed from the callers' records only. A change and a purge must
be acknowledged too. `python -m ryelock.testing finals` runs each loss over seeds and sizes.
"""

from collections.abc import Callable
from random import Random

from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.schedules import RETURN_SECONDS, SIZES, check_final_configuration
from ryelock.testing.stand_ins.callers import Caller, RequestRecord
from ryelock.testing.stand_ins.servers import ServerBehavior

INTERVAL_SECONDS = 0.5
REQUESTS_PER_SECOND = 8.0
MAX_FAILED_FRACTION = 0.1
OBSERVATION_SECONDS = 6.0
KINDS = {
    "covers": ("GET", "/covers/"),
    "plain": ("GET", "/plain/"),
    "lookups": ("GET", "/lookups/"),
    "orders": ("POST", "/orders/"),
}
Loss = Callable[[Scenario, Random], str]


def lose_follower(scenario: Scenario, random: Random) -> str:
    """Lose a follower."""
    others = [name for name in scenario.cores if name != scenario.leader()]
    return lose(scenario, [random.choice(others)], random)


def lose_leader(scenario: Scenario, random: Random) -> str:
    """Lose the leader."""
    return lose(scenario, [scenario.leader()], random)


def lose_two_voters(scenario: Scenario, random: Random) -> str:
    """Lose two of five voters at once, in half of the runs including the leader."""
    running_voters = voters(scenario)
    first = [scenario.leader()] if random.random() < 0.5 else []
    rest = [name for name in running_voters if name not in first and name != scenario.leader()]
    return lose(scenario, [*first, *random.sample(rest, 2 - len(first))], random)


def lose_zone(scenario: Scenario, random: Random) -> str:
    """Lose one zone, servers included, that holds no majority of the voters."""
    eligible = [
        zone
        for zone in scenario.zones
        if 2 * len(voters_in(scenario, [zone])) < len(voters(scenario))
    ]
    return lose_zones(scenario, [random.choice(eligible)], random)


def lose_region(scenario: Scenario, random: Random) -> str:
    """Lose half of the zones, where the other half keeps a majority of the voters."""
    half = len(scenario.zones) // 2
    halves = [scenario.zones[:half], scenario.zones[half:]]
    eligible = [
        zones for zones in halves if 2 * len(voters_in(scenario, zones)) < len(voters(scenario))
    ]
    return lose_zones(scenario, random.choice(eligible), random) if eligible else ""


def lose_edge(scenario: Scenario, random: Random) -> str:
    """Lose one edge."""
    return lose(scenario, [random.choice(scenario.edges)], random)


def lose_most_edges(scenario: Scenario, random: Random) -> str:
    """Lose all edges but one."""
    kept = random.choice(scenario.edges)
    return lose(scenario, [name for name in scenario.edges if name != kept], random)


def isolate_platform_to_one_core(scenario: Scenario, random: Random) -> str:
    """Partition the platform from all control nodes but one follower."""
    eligible = random.choice([name for name in scenario.cores if name != scenario.leader()])
    for name in scenario.cores:
        if name != eligible:
            scenario.world.cut(name, "platform")
    return f"only {eligible} reaches the platform"


def cut_leader_from_platform(scenario: Scenario, random: Random) -> str:
    """Partition the leader from the platform."""
    scenario.world.cut(scenario.leader(), "platform")
    return f"the leader {scenario.leader()} cannot reach the platform"


def lose_servers_of_zone(scenario: Scenario, random: Random) -> str:
    """Lose all servers of a service in one zone; they stay listed."""
    service, zone = random.choice(["pages", "desks"]), random.choice(scenario.zones)
    lost = [
        name
        for name, server in scenario.servers.items()
        if server.service == service and scenario.platform.servers[server.address]["zone"] == zone
    ]
    for name in lost:
        scenario.servers[name].close()
    return lose(scenario, lost, random)


def lose_probers_of_zone(scenario: Scenario, random: Random) -> str:
    """Lose all probers of one zone."""
    zone = random.choice(scenario.zones)
    return lose(
        scenario,
        [name for name in scenario.probers if scenario.plans[name][1]["zone"] == zone],
        random,
    )


def make_server_slow(scenario: Scenario, random: Random) -> str:
    """Make one server slow."""
    server = random.choice(list(scenario.servers.values()))
    server.behavior = ServerBehavior.SLOW
    return f"{server.service} {server.address} stays slow"


def cut_leader_from_one_core(scenario: Scenario, random: Random) -> str:
    """Partition the leader and one other control node, perhaps one way only."""
    first = scenario.leader()
    other = random.choice([name for name in scenario.cores if name != first])
    both = random.random() < 0.5
    scenario.world.cut(first, other, both)
    return f"{first} and {other} are cut, both ways {both}"


def cut_leader_from_cores(scenario: Scenario, random: Random) -> str:
    """Partition the leader from all other control nodes, one way or both, not from the edges."""
    first, both = scenario.leader(), random.random() < 0.5
    for other in scenario.cores:
        if other != first:
            scenario.world.cut(first, other, both)
    return f"{first} is cut from other cores, both ways {both}"


def cut_edge_from_cores(scenario: Scenario, random: Random) -> str:
    """Partition an edge from all control nodes, perhaps one way only."""
    name, both = random.choice(scenario.edges), random.random() < 0.5
    for other in scenario.cores:
        scenario.world.cut(name, other, both)
    return f"{name} is cut from the core, both ways {both}"


def freeze_process(scenario: Scenario, random: Random) -> str:
    """Freeze the leader or an edge; its connections stay open."""
    name = random.choice([scenario.leader(), random.choice(scenario.edges)])
    scenario.world.freeze(name, True)
    return f"{name} is frozen"


def lose(scenario: Scenario, names: list[str], random: Random) -> str:
    """Kill processes, in half of the runs with a power loss; return a description."""
    power = random.random() < 0.5
    for name in names:
        scenario.world.kill(name, power)
    return f"lost for good: {', '.join(names)}, power {power}"


def lose_zones(scenario: Scenario, zones: list[str], random: Random) -> str:
    """Lose all processes and servers of some zones."""
    names = [name for name, (_, plain) in scenario.plans.items() if plain["zone"] in zones]
    for name, server in scenario.servers.items():
        if scenario.platform.servers[server.address]["zone"] in zones:
            server.close()
            names.append(name)
    return lose(scenario, names, random)


def voters(scenario: Scenario) -> list[str]:
    """Return the running control nodes that are voters."""
    consensus = scenario.node(scenario.leader()).core.consensus
    return [
        name
        for name in scenario.alive(scenario.cores)
        if scenario.node(name).core.consensus.disk in consensus.voters
    ]


def voters_in(scenario: Scenario, zones: list[str]) -> list[str]:
    """Return the voters in some zones."""
    return [name for name in voters(scenario) if scenario.plans[name][1]["zone"] in zones]


FINALS: dict[str, Loss] = {
    "core": lose_follower,
    "leader": lose_leader,
    "two-voters": lose_two_voters,
    "zone": lose_zone,
    "region": lose_region,
    "edge": lose_edge,
    "most-edges": lose_most_edges,
    "listing-at-one-core": isolate_platform_to_one_core,
    "listing-out-of-leaders-reach": cut_leader_from_platform,
    "servers-of-a-zone": lose_servers_of_zone,
    "prober-pair": lose_probers_of_zone,
    "slow-server": make_server_slow,
    "cores-cut": cut_leader_from_one_core,
    "leader-cut-off": cut_leader_from_cores,
    "edge-cut-off": cut_edge_from_cores,
    "frozen": freeze_process,
}


class FinalResult:
    """Result of a permanent loss.

    Attributes:
        scenario: fleet of the run.
        events: time and description of each fault.
        recovery_seconds: time from the loss to recovery, by kind of request and operator request.
        findings: what the checkers found.
    """

    __slots__ = ("events", "findings", "recovery_seconds", "scenario")

    def __init__(self, scenario: Scenario, events: list[str]) -> None:
        """Create a result without findings; `check_recovery` adds them."""
        self.scenario = scenario
        self.events = events
        self.recovery_seconds: dict[str, float] = {}
        self.findings = Findings()

    @property
    def slowest(self) -> float:
        """Longest recovery time of any kind, in seconds."""
        return max(self.recovery_seconds.values(), default=0.0)


async def generate_requests(scenario: Scenario, kind: str) -> None:
    """Send requests of one kind at an even rate, each on its own connection."""
    method, path = KINDS[kind]
    scheduler = scenario.outside.scheduler
    count = 0
    while scenario.callers_on:
        count += 1
        await scheduler.sleep(1.0 / REQUESTS_PER_SECOND)
        edges = scenario.ready_edges()
        if edges:
            scheduler.create_task(
                request_once(
                    scenario,
                    f"{scenario.node(scenario.random.choice(edges)).host}:3",
                    method,
                    f"{path}{scenario.random.randrange(8)}",
                    f"f{kind}-{count}",
                ),
                name="caller",
            )


async def request_once(
    scenario: Scenario, edge: str, method: str, target: str, identity: str
) -> None:
    """Send one request through an edge on its own connection."""
    caller = Caller(
        scenario.outside.scheduler,
        scenario.outside.network,
        scenario.random,
        scenario.request_records,
        8.0,
    )
    await caller.request(
        edge,
        method,
        target,
        identity,
        [(b"Idempotency-Key", identity.encode())],
        b"body" if method == "POST" else b"",
    )
    caller.close()


def failed(record: RequestRecord) -> bool:
    """Return True if a request got no complete 200."""
    return not (record.complete and record.status == 200)


def recovery_time(
    records: list[RequestRecord], method: str, path: str, since: float, until: float
) -> float:
    """Return the seconds from `since` to the end of the last interval with too many failures."""
    last = 0.0
    moment = since
    while moment + INTERVAL_SECONDS <= until:
        found = [
            record
            for record in records
            if record.method == method
            and moment <= record.sent_at < moment + INTERVAL_SECONDS
            and record.target.startswith(path)
        ]
        lost = sum(failed(record) for record in found)
        if not found or lost > max(1, MAX_FAILED_FRACTION * len(found)) or lost == len(found):
            last = moment + INTERVAL_SECONDS - since
        moment += INTERVAL_SECONDS
    return last


async def retry_request(
    scenario: Scenario,
    path: str,
    given: Callable[[int], object],
    acknowledged_at: list[float],
    until: float,
) -> None:
    """Retry an operator's request through any running node until it is acknowledged."""
    count = 0
    while scenario.world.time < until and not acknowledged_at:
        count += 1
        status, _ = await scenario.operator("POST", path, given(count))
        if status == 200:
            acknowledged_at.append(scenario.world.time)
        await scenario.operators.scheduler.sleep(0.2)


def start_operator_requests(scenario: Scenario, since: float) -> dict[str, list[float]]:
    """Start a change and a purge; return lists that receive their acknowledgement times."""
    result: dict[str, list[float]] = {"change": [], "purge": []}
    create_task = scenario.operators.scheduler.create_task
    until = since + RETURN_SECONDS + 5
    create_task(retry_change(scenario, result["change"], until), name="change")
    create_task(
        retry_request(
            scenario,
            "/purges",
            lambda count: {"id": f"final-{count}", "scopes": [{"path": "/covers/1"}]},
            result["purge"],
            until,
        ),
        name="purge",
    )
    return result


async def retry_change(scenario: Scenario, acknowledged_at: list[float], until: float) -> None:
    """Retry one change under one id, which makes the retries idempotent."""
    base = max(change.version for change in scenario.changes)
    while scenario.world.time < until and not acknowledged_at:
        change = await scenario.change(
            "gen-final",
            base,
            {"routes": {"gen-final": {"path": "/gen-final", "service": "pages"}}},
            "/gen-final",
        )
        if change.status == 200:
            acknowledged_at.append(scenario.world.time)
        await scenario.operators.scheduler.sleep(0.2)


def run_final(seed: int, name: str, size: str = "small", before: int = 0) -> FinalResult:
    """Run one permanent loss, after `before` earlier faults that were repaired."""
    random = Random(f"final {seed} {name}")
    cores, zones, edges, probers = SIZES[size]
    if name == "two-voters":
        cores = max(cores, 5)
    scenario = Scenario(
        seed, cores or random.choice([3, 5]), zones, edges, probers, {"spread_servers": True}
    )
    scenario.set_up()
    scenario.poll_readiness()
    scenario.service_rates = {"pages": 120.0, "desks": 60.0}
    scenario.world.task(
        scenario.operators,
        scenario.change(
            "ample", 1, {"services": {"desks": {"rate": 60, "flight": 16, "answer_seconds": 2}}}
        ),
        20,
    )
    for kind in KINDS:
        scenario.outside.scheduler.create_task(
            generate_requests(scenario, kind), name=f"callers for {kind}"
        )
    expected_voters = 5 if len(scenario.cores) >= 5 else 3
    scenario.world.run_until(
        lambda: bool(scenario.leader()) and len(voters(scenario)) == expected_voters, 20
    )
    scenario.world.run(4)
    events: list[str] = []
    for _ in range(before):
        lost = (
            scenario.leader()
            if random.random() < 0.5
            else random.choice(scenario.edges + scenario.cores)
        )
        events.append(f"{scenario.world.time:.2f} {lost} killed and started again")
        scenario.world.kill(lost, True)
        scenario.world.run(1 + random.random())
        scenario.start(lost)
        scenario.world.run_until(lambda: bool(scenario.leader()), 15)
        scenario.world.run(5)
    result = FinalResult(scenario, events)
    since = scenario.world.time
    description = FINALS[name](scenario, random)
    events.append(f"{since:.2f} {description}")
    if not description:
        return result
    acknowledgements = start_operator_requests(scenario, since)
    scenario.world.run(RETURN_SECONDS + OBSERVATION_SECONDS + 4.0)
    check_recovery(result, since, acknowledgements)
    scenario.callers_on = False
    result.findings.violations += scenario.findings().violations
    check_final_configuration(scenario, result.findings)
    return result


def check_recovery(
    result: FinalResult, since: float, acknowledgements: dict[str, list[float]]
) -> None:
    """Record each kind's recovery time and check it against `RETURN_SECONDS`."""
    records = [record for record in result.scenario.request_records if record.ending]
    for kind, (method, path) in KINDS.items():
        result.recovery_seconds[kind] = recovery_time(
            records, method, path, since, since + RETURN_SECONDS + OBSERVATION_SECONDS
        )
    for kind, times in acknowledgements.items():
        result.recovery_seconds[kind] = times[0] - since if times else 1e9
    for kind, seconds in result.recovery_seconds.items():
        result.findings.count_check("final")
        if seconds > RETURN_SECONDS:
            result.findings.add_violation(
                "final",
                f"{kind} was not back {RETURN_SECONDS:g} s after "
                f"{result.events[-1]} ({seconds:.1f})",
            )
