"""Final losses: something is lost and nothing is mended; service must be back all the same.

Callers go by readiness as the platform asks for it, over the network. Service is back when
every kind of order is: from some moment on, in each half second, at most a tenth of its orders
fail, and some succeed. The moment is worked out from the callers' notes alone. A change and a
purge must be acknowledged too. `python -m ryelock.testing finals` runs each over seeds and sizes.
"""

from collections.abc import Callable
from random import Random

from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario
from ryelock.testing.schedules import RETURN_SECONDS, SIZES, check_final_configuration
from ryelock.testing.stand_ins.callers import Caller, RequestRecord
from ryelock.testing.stand_ins.servers import ServerBehavior

BIN = 0.5
A_SECOND = 8.0
FAILED_MOST = 0.1
LOOK_ON = 6.0
KINDS = {
    "covers": ("GET", "/covers/"),
    "plain": ("GET", "/plain/"),
    "lookups": ("GET", "/lookups/"),
    "orders": ("POST", "/orders/"),
}
Loss = Callable[[Scenario, Random], str]


def core(scenario: Scenario, random: Random) -> str:
    """A control node that follows is lost for good."""
    others = [name for name in scenario.cores if name != scenario.leader()]
    return lose(scenario, [random.choice(others)], random)


def leader(scenario: Scenario, random: Random) -> str:
    """The leader is lost for good."""
    return lose(scenario, [scenario.leader()], random)


def two_voters(scenario: Scenario, random: Random) -> str:
    """Two of five at once, the leader among them in half of the runs."""
    voting = voters(scenario)
    first = [scenario.leader()] if random.random() < 0.5 else []
    rest = [name for name in voting if name not in first and name != scenario.leader()]
    return lose(scenario, [*first, *random.sample(rest, 2 - len(first))], random)


def zone(scenario: Scenario, random: Random) -> str:
    """Everything in one zone, its servers too, where a majority of voters is elsewhere."""
    able = [
        place
        for place in scenario.zones
        if 2 * len(voting_in(scenario, [place])) < len(voters(scenario))
    ]
    return lose_zones(scenario, [random.choice(able)], random)


def region(scenario: Scenario, random: Random) -> str:
    """Half of the zones, where a majority of voters is in the other half."""
    half = len(scenario.zones) // 2
    halves = [scenario.zones[:half], scenario.zones[half:]]
    able = [
        places for places in halves if 2 * len(voting_in(scenario, places)) < len(voters(scenario))
    ]
    return lose_zones(scenario, random.choice(able), random) if able else ""


def edge(scenario: Scenario, random: Random) -> str:
    """One edge is lost for good."""
    return lose(scenario, [random.choice(scenario.edges)], random)


def most_edges(scenario: Scenario, random: Random) -> str:
    """All edges but one are lost for good."""
    kept = random.choice(scenario.edges)
    return lose(scenario, [name for name in scenario.edges if name != kept], random)


def listing_at_one_core(scenario: Scenario, random: Random) -> str:
    """The platform is within reach of one core only, which does not lead."""
    able = random.choice([name for name in scenario.cores if name != scenario.leader()])
    for name in scenario.cores:
        if name != able:
            scenario.world.cut(name, "platform")
    return f"only {able} reaches the platform"


def listing_out_of_leaders_reach(scenario: Scenario, random: Random) -> str:
    """The leader cannot reach the platform any more."""
    scenario.world.cut(scenario.leader(), "platform")
    return f"the leader {scenario.leader()} cannot reach the platform"


def servers_of_a_zone(scenario: Scenario, random: Random) -> str:
    """All servers of a service in one zone vanish and stay listed."""
    service, place = random.choice(["pages", "desks"]), random.choice(scenario.zones)
    lost = [
        name
        for name, server in scenario.servers.items()
        if server.service == service and scenario.platform.servers[server.address]["zone"] == place
    ]
    for name in lost:
        scenario.servers[name].close()
    return lose(scenario, lost, random)


def prober_pair(scenario: Scenario, random: Random) -> str:
    """All probers of one zone are lost for good."""
    place = random.choice(scenario.zones)
    return lose(
        scenario,
        [name for name in scenario.probers if scenario.plans[name][1]["zone"] == place],
        random,
    )


def slow_server(scenario: Scenario, random: Random) -> str:
    """One server stays slow."""
    server = random.choice(list(scenario.servers.values()))
    server.behavior = ServerBehavior.SLOW
    return f"{server.service} {server.address} stays slow"


def cores_cut(scenario: Scenario, random: Random) -> str:
    """The leader and one other core never reach one another again, perhaps one way only."""
    first = scenario.leader()
    other = random.choice([name for name in scenario.cores if name != first])
    both = random.random() < 0.5
    scenario.world.cut(first, other, both)
    return f"{first} and {other} are cut, both ways {both}"


def leader_cut_off(scenario: Scenario, random: Random) -> str:
    """The leader is cut from all other cores, one way or both; the edges reach it."""
    first, both = scenario.leader(), random.random() < 0.5
    for other in scenario.cores:
        if other != first:
            scenario.world.cut(first, other, both)
    return f"{first} is cut from other cores, both ways {both}"


def edge_cut_off(scenario: Scenario, random: Random) -> str:
    """An edge is cut off from all control nodes, perhaps one way only."""
    name, both = random.choice(scenario.edges), random.random() < 0.5
    for other in scenario.cores:
        scenario.world.cut(name, other, both)
    return f"{name} is cut from the core, both ways {both}"


def frozen(scenario: Scenario, random: Random) -> str:
    """A process stops running and never ends: its links stand."""
    name = random.choice([scenario.leader(), random.choice(scenario.edges)])
    scenario.world.freeze(name, True)
    return f"{name} is frozen"


def lose(scenario: Scenario, names: list[str], random: Random) -> str:
    """Kill processes for good, their machines' power with them in half of the runs; say which."""
    power = random.random() < 0.5
    for name in names:
        scenario.world.kill(name, power)
    return f"lost for good: {', '.join(names)}, power {power}"


def lose_zones(scenario: Scenario, places: list[str], random: Random) -> str:
    """Lose all processes and servers of some zones for good."""
    names = [name for name, (_, plain) in scenario.plans.items() if plain["zone"] in places]
    for name, server in scenario.servers.items():
        if scenario.platform.servers[server.address]["zone"] in places:
            server.close()
            names.append(name)
    return lose(scenario, names, random)


def voters(scenario: Scenario) -> list[str]:
    """Return the living control nodes that vote."""
    consensus = scenario.node(scenario.leader()).core.consensus
    return [
        name
        for name in scenario.alive(scenario.cores)
        if scenario.node(name).core.consensus.disk in consensus.voters
    ]


def voting_in(scenario: Scenario, places: list[str]) -> list[str]:
    """Return the voters in some zones."""
    return [name for name in voters(scenario) if scenario.plans[name][1]["zone"] in places]


FINALS: dict[str, Loss] = {
    "core": core,
    "leader": leader,
    "two-voters": two_voters,
    "zone": zone,
    "region": region,
    "edge": edge,
    "most-edges": most_edges,
    "listing-at-one-core": listing_at_one_core,
    "listing-out-of-leaders-reach": listing_out_of_leaders_reach,
    "servers-of-a-zone": servers_of_a_zone,
    "prober-pair": prober_pair,
    "slow-server": slow_server,
    "cores-cut": cores_cut,
    "leader-cut-off": leader_cut_off,
    "edge-cut-off": edge_cut_off,
    "frozen": frozen,
}


class Final:
    """What a final loss came to: per kind of order, and the operator's, seconds to the return."""

    __slots__ = ("back", "findings", "happened", "scenario")

    def __init__(self, scenario: Scenario, happened: list[str]) -> None:
        """Note a loss in a scenario and what happened; findings are added by the judge."""
        self.scenario = scenario
        self.happened = happened
        self.back: dict[str, float] = {}
        self.findings = Findings()

    @property
    def slowest(self) -> float:
        """Return the longest time until a kind was served again, in seconds."""
        return max(self.back.values(), default=0.0)


async def arrive(scenario: Scenario, kind: str) -> None:
    """Callers of one kind that come evenly, each on a link of its own."""
    method, path = KINDS[kind]
    scheduler = scenario.outside.scheduler
    count = 0
    while scenario.callers_on:
        count += 1
        await scheduler.sleep(1.0 / A_SECOND)
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
    """Send one request through an edge on a connection of its own."""
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
    """Whether a request got no whole success."""
    return not (record.complete and record.status == 200)


def return_of(
    notes: list[RequestRecord], method: str, path: str, since: float, until: float
) -> float:
    """Seconds from a loss to the end of the last half second in which a kind was not served."""
    last = 0.0
    moment = since
    while moment + BIN <= until:
        found = [
            record
            for record in notes
            if record.method == method
            and moment <= record.sent_at < moment + BIN
            and record.target.startswith(path)
        ]
        lost = sum(failed(record) for record in found)
        if not found or lost > max(1, FAILED_MOST * len(found)) or lost == len(found):
            last = moment + BIN - since
        moment += BIN
    return last


async def ask_on(
    scenario: Scenario, path: str, given: Callable[[int], object], ended: list[float], until: float
) -> None:
    """An operator that asks again, through any node that runs, until it is acknowledged."""
    count = 0
    while scenario.world.time < until and not ended:
        count += 1
        status, _ = await scenario.operator("POST", path, given(count))
        if status == 200:
            ended.append(scenario.world.time)
        await scenario.operators.scheduler.sleep(0.2)


def operators_of(scenario: Scenario, since: float) -> dict[str, list[float]]:
    """A change and a purge asked for from the loss on; when each was acknowledged."""
    ended: dict[str, list[float]] = {"change": [], "purge": []}
    create_task = scenario.operators.scheduler.create_task
    until = since + RETURN_SECONDS + 5
    create_task(change_on(scenario, ended["change"], until), name="change")
    create_task(
        ask_on(
            scenario,
            "/purges",
            lambda count: {"id": f"final-{count}", "scopes": [{"path": "/covers/1"}]},
            ended["purge"],
            until,
        ),
        name="purge",
    )
    return ended


async def change_on(scenario: Scenario, ended: list[float], until: float) -> None:
    """One change under one id: it may be asked for again, and is taken once."""
    base = max(change.version for change in scenario.changes)
    while scenario.world.time < until and not ended:
        change = await scenario.change(
            "gen-final",
            base,
            {"routes": {"gen-final": {"path": "/gen-final", "service": "pages"}}},
            "/gen-final",
        )
        if change.status == 200:
            ended.append(scenario.world.time)
        await scenario.operators.scheduler.sleep(0.2)


def run_final(seed: int, name: str, size: str = "small", before: int = 0) -> Final:
    """One final loss, perhaps after earlier faults that were mended."""
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
        scenario.outside.scheduler.create_task(arrive(scenario, kind), name=f"callers for {kind}")
    wanted = 5 if len(scenario.cores) >= 5 else 3
    scenario.world.run_until(
        lambda: bool(scenario.leader()) and len(voters(scenario)) == wanted, 20
    )
    scenario.world.run(4)
    happened: list[str] = []
    for _ in range(before):
        lost = (
            scenario.leader()
            if random.random() < 0.5
            else random.choice(scenario.edges + scenario.cores)
        )
        happened.append(f"{scenario.world.time:.2f} {lost} killed and started again")
        scenario.world.kill(lost, True)
        scenario.world.run(1 + random.random())
        scenario.start(lost)
        scenario.world.run_until(lambda: bool(scenario.leader()), 15)
        scenario.world.run(5)
    ended = Final(scenario, happened)
    since = scenario.world.time
    said = FINALS[name](scenario, random)
    happened.append(f"{since:.2f} {said}")
    if not said:
        return ended
    asked = operators_of(scenario, since)
    scenario.world.run(RETURN_SECONDS + LOOK_ON + 4.0)
    judge_return(ended, since, asked)
    scenario.callers_on = False
    ended.findings.violations += scenario.findings().violations
    check_final_configuration(scenario, ended.findings)
    return ended


def judge_return(ended: Final, since: float, asked: dict[str, list[float]]) -> None:
    """Note how long each kind was not served, and find what took longer than it may."""
    notes = [record for record in ended.scenario.request_records if record.ending]
    for kind, (method, path) in KINDS.items():
        ended.back[kind] = return_of(notes, method, path, since, since + RETURN_SECONDS + LOOK_ON)
    for kind, times in asked.items():
        ended.back[kind] = times[0] - since if times else 1e9
    for kind, seconds in ended.back.items():
        ended.findings.count_check("final")
        if seconds > RETURN_SECONDS:
            ended.findings.add_violation(
                "final",
                f"{kind} was not back {RETURN_SECONDS:g} s after "
                f"{ended.happened[-1]} ({seconds:.1f})",
            )
