"""Times of the protocol, measured in simulated runs of several seeds.

They do not depend on a machine: processing takes no time, and the network has the simulator's
delays (0.3 to 2.3 ms, for a few messages 50 to 350 ms). `python -m ryelock.testing measures` prints
minimum, median and maximum of each.
"""

from collections.abc import Callable

from ryelock.testing.cases.control import run_isolation
from ryelock.testing.cases.losses import LOSS_SETTINGS
from ryelock.testing.cases.traffic import poll_edge
from ryelock.testing.checks import Findings, check_rates
from ryelock.testing.finals import request_once
from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.servers import ServerBehavior

Measure = Callable[[int], float | None]
WARM_UP_SECONDS = 4
VOTER_COUNT = 3
SAMPLE_SECONDS = 0.01
OVERLOAD_FACTOR = 3.0
LIGHT_LOAD_REQUESTS_PER_SECOND = 20.0


def start_scenario(seed: int) -> Scenario:
    """Return a deployment that has run for WARM_UP_SECONDS with its first configuration."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.world.run(WARM_UP_SECONDS)
    return scenario


def acknowledgement_delay(scenario: Scenario, through: str = "") -> float | None:
    """Send a change and return the seconds until its acknowledgement.

    Args:
        scenario: the deployment.
        through: name of the node that gets the change; empty for any node.

    Returns:
        The seconds; None if the change was not acknowledged.
    """
    started = scenario.world.time
    put: dict[str, object] = {"routes": {"m": {"path": "/m", "service": "pages"}}}
    change = scenario.change("measured", 1, put, "", through)
    found = scenario.world.task(scenario.operators, change, 20)
    return scenario.world.time - started if found.status == 200 else None


def change_delay(seed: int) -> float | None:
    """Return the seconds from sending a change to its acknowledgement, with all edges connected."""
    return acknowledgement_delay(start_scenario(seed))


def change_with_a_cut_edge(seed: int) -> float | None:
    """Return the seconds to an acknowledgement with one edge partitioned from all control nodes."""
    scenario = start_scenario(seed)
    for core in scenario.cores:
        scenario.world.cut(scenario.edges[0], core)
    return acknowledgement_delay(scenario, scenario.leader())


def purge_delay(seed: int) -> float | None:
    """Return the seconds from sending a purge to its acknowledgement."""
    scenario = start_scenario(seed)
    started = scenario.world.time
    status, _ = scenario.ask_now("POST", "/purges", {"id": "m", "scopes": [{"prefix": "/c"}]})
    return scenario.world.time - started if status == 200 else None


def after_leader_lost(seed: int) -> float | None:
    """Return the seconds from the loss of the leader to the next acknowledged change."""
    scenario = start_scenario(seed)
    leader = scenario.leader()
    scenario.world.kill(leader, seed % 2 == 0)
    started = scenario.world.time
    for number in range(200):
        through = next(name for name in scenario.cores if name != leader)
        found = scenario.world.task(
            scenario.operators,
            scenario.change(
                f"m{number}", 1, {"routes": {"m": {"path": "/m", "service": "pages"}}}, "", through
            ),
            30,
        )
        if found.status == 200:
            return scenario.world.time - started
        scenario.world.run(0.02)
    return None


def edges_without_leader(seed: int) -> float | None:
    """Return the longest time, over edges, without a lease after the loss of the leader."""
    scenario = start_scenario(seed)
    scenario.world.kill(scenario.leader(), seed % 2 == 0)
    without_lease = dict.fromkeys(scenario.edges, 0.0)
    for _ in range(400):
        scenario.world.run(SAMPLE_SECONDS)
        for name in scenario.edges:
            if not scenario.node(name).traffic.member.serving:
                without_lease[name] += SAMPLE_SECONDS
    return max(without_lease.values())


def voter_replaced(seed: int) -> float | None:
    """Return the seconds from the start of a control node with an empty disk until it votes."""
    scenario = start_scenario(seed)
    lost = scenario.cores[seed % 3]
    scenario.lose_disk(lost)
    scenario.world.run(1)
    scenario.start(lost)
    started = scenario.world.time

    def is_voter() -> bool:
        leader = scenario.leader()
        return bool(leader) and (
            scenario.node(lost).core.consensus.disk in scenario.node(leader).core.consensus.voters
        )

    return scenario.world.time - started if scenario.world.run_until(is_voter, 40) else None


def verdict_delay(seed: int, status: str, probe_seconds: float) -> float | None:
    """Return the seconds from a fault of a zone until the zone has a health status.

    Args:
        seed: seed of the run.
        status: "down" after the loss of the zone's edges, "stale" after a change of an object.
        probe_seconds: interval between two probes.
    """
    probing: dict[str, object] = {
        "probe_seconds": probe_seconds,
        "probe_timeout": min(6.0, probe_seconds * 0.8),
    }
    scenario = Scenario(seed, settings=probing)
    scenario.set_up()
    scenario.start_callers(4, 2.0, 0)
    scenario.world.run(4 * probe_seconds + seed % 7)
    if status == "down":
        for name in scenario.edges[:2]:
            scenario.world.kill(name, seed % 2 == 0)
    else:
        outdate_cached_object(scenario, 3 * probe_seconds)
    started = scenario.world.time

    def has_status() -> bool:
        leader = scenario.leader()
        zones = scenario.node(leader).core.replicated_state.verdict.get("zones") if leader else None
        return isinstance(zones, dict) and zones.get("zone0", {}).get("verdict") == status

    reached = scenario.world.run_until(has_status, 20 * probe_seconds + 60)
    return scenario.world.time - started if reached else None


def outdate_cached_object(scenario: Scenario, seconds: float) -> None:
    """Let edges cache covers with a long lifetime for some seconds, then change the watched one."""
    for server in scenario.servers.values():
        server.lifetime = "max-age=600"
    version = scenario.node(scenario.leader()).core.replicated_state.version
    covers = {"path": "/covers", "service": "pages", "cached": True, "lifetime_seconds": 600}
    change = scenario.change("long", version, {"routes": {"covers": covers}})
    scenario.world.task(scenario.operators, change, 20)
    scenario.world.run(seconds)
    scenario.objects["pages"].change("/covers/watched", scenario.world.time)


def rejected_share(seed: int) -> float | None:
    """Return the share of requests that an edge rejects while it is partitioned for 10 s."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(8, 4.0, 0)
    scenario.world.run(4)
    edge = scenario.edges[0]
    for core in scenario.cores:
        scenario.world.cut(edge, core)
    since = scenario.world.time
    scenario.outside.scheduler.create_task(poll_edge(scenario, edge), name="polling client")
    scenario.world.run(10)
    scenario.world.heal()
    address = f"{scenario.node(edge).host}:3"
    answered = [
        record
        for record in scenario.request_records
        if record.edge == address
        and record.sent_at >= since
        and record.ending
        and record.identity.startswith("s")
    ]
    return sum(record.status == 503 for record in answered) / len(answered) if answered else None


def goodput(seed: int, rate: float, edges: int, busy: int) -> float | None:
    """Return the fraction of a service's rate limit that is served under overload, over 20 s.

    Args:
        seed: seed of the run.
        rate: rate limit in requests per second; three times as many are sent.
        edges: number of edges.
        busy: number of edges that get requests.
    """
    scenario = Scenario(seed, zones=2, edges=edges // 2, probers=0)
    scenario.set_up()
    scenario.world.task(
        scenario.operators,
        scenario.change(
            "narrow", 1, {"services": {"desks": {"rate": rate, "flight": 16, "answer_seconds": 2}}}
        ),
        20,
    )
    busy_edges = scenario.random.sample(scenario.edges, min(busy, len(scenario.edges)))
    for number, name in enumerate(busy_edges):
        scenario.outside.scheduler.create_task(
            send_unsafe_requests(scenario, name, number, OVERLOAD_FACTOR * rate / len(busy_edges)),
            name="overload",
        )
    scenario.world.run(6.0)
    since = scenario.world.time
    scenario.world.run(20.0)
    served = sum(ran.service == "desks" and ran.at >= since for ran in scenario.history)
    found = Findings()
    check_rates(found, scenario.history, {"desks": rate})
    if found.violations:
        raise AssertionError(f"seed {seed}: {found.violations}")
    return served / (20.0 * rate)


async def send_unsafe_requests(scenario: Scenario, edge: str, number: int, rate: float) -> None:
    """Send requests to one edge as a Poisson process, each on a connection of its own.

    Args:
        scenario: the deployment.
        edge: name of the edge.
        number: distinguishes the requests of this task from those of others.
        rate: mean number of requests per second.
    """
    scheduler = scenario.outside.scheduler
    count = 0
    while scenario.callers_on:
        count += 1
        await scheduler.sleep(scenario.random.expovariate(rate))
        scheduler.create_task(
            request_once(
                scenario,
                f"{scenario.node(edge).host}:3",
                "POST",
                f"/orders/{count % 100}",
                f"g{number}-{count}",
            ),
            name="caller",
        )


def load_spread(seed: int, figure: str) -> float | None:
    """Return a figure of how light load spreads over four servers of one service in one zone.

    Args:
        seed: seed of the run.
        figure: "most" or "least", the largest or smallest server's share, where 1 is an even share;
            "back", the share of a server that failed for 6 s; "tail", the 99th percentile of the
            response time in seconds while one server is slow.
    """
    scenario = Scenario(seed, zones=1, edges=2, probers=0)
    for name in ("pages8", "pages9"):
        scenario.add_server("pages", "zone0", name, 1)
    servers = [server for server in scenario.servers.values() if server.service == "pages"]
    for server in servers:
        server.delay = 0.02
    scenario.set_up()
    scenario.outside.scheduler.create_task(
        send_safe_requests(scenario, LIGHT_LOAD_REQUESTS_PER_SECOND), name="light load"
    )
    scenario.world.run(4.0)
    since = scenario.world.time
    if figure == "tail":
        servers[0].behavior = ServerBehavior.SLOW
    scenario.world.run(20.0)
    if figure == "tail":
        times = sorted(
            record.seconds
            for record in scenario.request_records
            if record.sent_at >= since and record.ending and record.identity.startswith("l")
        )
        return times[int(len(times) * 0.99)] if times else None
    if figure == "back":
        servers[0].behavior = ServerBehavior.FAILING
        scenario.world.run(6.0)
        servers[0].behavior = ServerBehavior.SOUND
        scenario.world.run(12.0)
        since = scenario.world.time
        scenario.world.run(15.0)
    addresses = [
        execution.address
        for execution in scenario.history
        if execution.service == "pages" and execution.at >= since
    ]
    shares = [len(servers) * addresses.count(one.address) / len(addresses) for one in servers]
    return {"most": max(shares), "least": min(shares), "back": shares[0]}[figure]


async def send_safe_requests(scenario: Scenario, rate: float) -> None:
    """Send safe requests to random edges as a Poisson process of a mean rate per second."""
    count = 0
    while scenario.callers_on:
        count += 1
        await scenario.outside.scheduler.sleep(scenario.random.expovariate(rate))
        edge = scenario.random.choice(scenario.edges)
        scenario.outside.scheduler.create_task(
            request_once(
                scenario,
                f"{scenario.node(edge).host}:3",
                "GET",
                f"/plain/{count % 100}",
                f"l{count}",
            ),
            name="caller",
        )


GOODPUT = {
    f"goodput at {rate:g}/s, {edges} edges, {busy} busy": (
        "part of the rate served",
        lambda seed, rate=rate, edges=edges, busy=busy: goodput(seed, rate, edges, busy),
    )
    for edges in (10, 14)
    for rate in (1.0, 2.0, 5.0, 10.0, 60.0)
    for busy in (1, edges)
}


def isolation_time(seed: int, leading: bool, way: str, figure: str) -> float | None:
    """Return a time in seconds that `run_isolation` measured, by the name of its attribute."""
    seconds: float = getattr(run_isolation(seed, leading, way), figure)
    return seconds


def lost_voter_replaced(seed: int) -> float | None:
    """Return the seconds from a voter's loss of power until a standby has replaced it."""
    scenario = Scenario(seed, cores=4, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(WARM_UP_SECONDS)
    leader = scenario.leader()
    consensus = scenario.node(leader).core.consensus
    lost = next(
        name
        for name in scenario.cores
        if name != leader and scenario.node(name).core.consensus.disk in consensus.voters
    )
    disk = scenario.node(lost).core.consensus.disk
    started = scenario.world.time
    scenario.world.kill(lost, True)

    def replaced() -> bool:
        return disk not in consensus.voters and len(consensus.voters) == VOTER_COUNT

    reached = scenario.world.run_until(replaced, 20)
    return scenario.world.time - started if reached else None


def stop_of_a_voter(seed: int, cores: int) -> float | None:
    """Return the seconds that a graceful shutdown of a follower takes.

    Args:
        seed: seed of the run.
        cores: number of control nodes; with four there is a standby that becomes a voter.
    """
    scenario = Scenario(seed, cores=cores, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(WARM_UP_SECONDS)
    leader = scenario.leader()
    voters = scenario.node(leader).core.consensus.voters
    name = next(
        name
        for name in scenario.cores
        if name != leader and scenario.node(name).core.consensus.disk in voters
    )
    node = scenario.node(name)
    started = scenario.world.time
    running = node.scheduler.create_task(node.core.stop(), name="stop")
    scenario.world.run_until(lambda: running.done, 20)
    return scenario.world.time - started if running.done else None


ISOLATED: dict[str, tuple[str, Measure]] = {
    f"{who} isolated, {way}: {what}": (
        "s",
        lambda seed, leading=leading, way=way, figure=figure: isolation_time(  # type: ignore[misc]
            seed, leading, way, figure
        ),
    )
    for who, leading in (("leader", True), ("follower", False))
    for way in ("both ways", "outgoing", "incoming", "frozen", "full disk")
    for what, figure in (
        ("others led", "failover_seconds"),
        ("longest answer", "longest_answer_seconds"),
        ("of use again", "return_seconds"),
    )
}

MEASURES: dict[str, tuple[str, Measure]] = {
    **ISOLATED,
    "lost voter replaced by a spare": ("s", lost_voter_replaced),
    "stop of a voter, with a spare": ("s", lambda seed: stop_of_a_voter(seed, 4)),
    "stop of a voter, without one": ("s", lambda seed: stop_of_a_voter(seed, 3)),
    "change": ("s to acknowledge a change", change_delay),
    "change, one edge cut": ("s to acknowledge a change", change_with_a_cut_edge),
    "purge": ("s to acknowledge a purge", purge_delay),
    "leader lost": ("s to the next acknowledged change", after_leader_lost),
    "leader lost, edges": ("s without a term, worst edge", edges_without_leader),
    "voter replaced": ("s from an empty start to a vote", voter_replaced),
    "dead zone, cadence 1 s": ("s to the verdict", lambda seed: verdict_delay(seed, "down", 1.0)),
    "dead zone, cadence 30 s": ("s to the verdict", lambda seed: verdict_delay(seed, "down", 30.0)),
    "stale zone, cadence 30 s": (
        "s to the verdict",
        lambda seed: verdict_delay(seed, "stale", 30.0),
    ),
    "edge cut for 10 s": ("part of its orders declined", rejected_share),
    **GOODPUT,
    "spread, busiest of four": ("its share, 1 is even", lambda seed: load_spread(seed, "most")),
    "spread, idlest of four": ("its share, 1 is even", lambda seed: load_spread(seed, "least")),
    "spread, one that comes back": ("its share, 1 is even", lambda seed: load_spread(seed, "back")),
    "spread, one slow": ("s, 99th percentile", lambda seed: load_spread(seed, "tail")),
}


def measure(name: str, seeds: range) -> str:
    """Return a row of the table: minimum, median, maximum, and the runs without an outcome."""
    unit, measure_once = MEASURES[name]
    outcomes = [measure_once(seed) for seed in seeds]
    values = sorted(value for value in outcomes if value is not None)
    if not values:
        return f"| {name} | {unit} | - | - | - | {len(outcomes)} without |"
    missing = len(outcomes) - len(values)
    return (
        f"| {name} | {unit} | {values[0]:.2f} | {values[len(values) // 2]:.2f} "
        f"| {values[-1]:.2f} | {len(values)}{f', {missing} without' if missing else ''} |"
    )
