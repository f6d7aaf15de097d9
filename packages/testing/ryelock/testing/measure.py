"""Measures in the simulator, over seeds: times that follow from the protocol, not from a machine.

The network's delays are the simulator's (0.3 to 2.3 ms, now and then 50 to 350 ms), processing
takes no time. `python -m ryelock.testing measure` prints the lowest, median and highest of each.
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
STANDING_SECONDS = 4
VOTERS_BEFORE = 3


def standing(seed: int) -> Scenario:
    """Return a network that has been up for some seconds, with its first configuration."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.world.run(STANDING_SECONDS)
    return scenario


def timed_change(scenario: Scenario, through: str = "") -> float | None:
    """Return seconds to acknowledge a change, None where it is not; `through` names a node."""
    started = scenario.world.time
    put: dict[str, object] = {"routes": {"m": {"path": "/m", "service": "pages"}}}
    change = scenario.change("measured", 1, put, "", through)
    found = scenario.world.task(scenario.operators, change, 20)
    return scenario.world.time - started if found.status == 200 else None


def change_delay(seed: int) -> float | None:
    """From the asking to the acknowledgement of a change, all edges there."""
    return timed_change(standing(seed))


def change_with_a_cut_edge(seed: int) -> float | None:
    """The same with one edge cut off from the core the moment before."""
    scenario = standing(seed)
    for core in scenario.cores:
        scenario.world.cut(scenario.edges[0], core)
    return timed_change(scenario, scenario.leader())


def purge_delay(seed: int) -> float | None:
    """Measure seconds from sending a purge to its acknowledgement."""
    scenario = standing(seed)
    started = scenario.world.time
    status, _ = scenario.ask_now("POST", "/purges", {"id": "m", "scopes": [{"prefix": "/c"}]})
    return scenario.world.time - started if status == 200 else None


def after_leader_lost(seed: int) -> float | None:
    """From the leader's end to the next acknowledged change."""
    scenario = standing(seed)
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
    """How long the worst edge held no term around the loss of the leader."""
    scenario = standing(seed)
    scenario.world.kill(scenario.leader(), seed % 2 == 0)
    idle = dict.fromkeys(scenario.edges, 0.0)
    for _ in range(400):
        scenario.world.run(0.01)
        for name in scenario.edges:
            idle[name] += 0.0 if scenario.node(name).traffic.member.serving else 0.01
    return max(idle.values())


def voter_replaced(seed: int) -> float | None:
    """From an empty machine's start to its being a voter."""
    scenario = standing(seed)
    lost = scenario.cores[seed % 3]
    scenario.lose_disk(lost)
    scenario.world.run(1)
    scenario.start(lost)
    started = scenario.world.time

    def stands() -> bool:
        leader = scenario.leader()
        return bool(leader) and (
            scenario.node(lost).core.consensus.disk in scenario.node(leader).core.consensus.voters
        )

    return scenario.world.time - started if scenario.world.run_until(stands, 40) else None


def found_word(seed: int, word: str, cadence: float) -> float | None:
    """Measure seconds until a zone's verdict is `word`, with probes every `cadence` seconds."""
    probing: dict[str, object] = {
        "probe_seconds": cadence,
        "probe_timeout": min(6.0, cadence * 0.8),
    }
    scenario = Scenario(seed, settings=probing)
    scenario.set_up()
    scenario.start_callers(4, 2.0, 0)
    scenario.world.run(4 * cadence + seed % 7)
    if word == "down":
        for name in scenario.edges[:2]:
            scenario.world.kill(name, seed % 2 == 0)
    else:
        outdate_copies(scenario, 3 * cadence)
    started = scenario.world.time

    def found() -> bool:
        leader = scenario.leader()
        zones = scenario.node(leader).core.replicated_state.verdict.get("zones") if leader else None
        return isinstance(zones, dict) and zones.get("zone0", {}).get("verdict") == word

    back = scenario.world.run_until(found, 20 * cadence + 60)
    return scenario.world.time - started if back else None


def outdate_copies(scenario: Scenario, seconds: float) -> None:
    """Let copies of covers live long, wait until they are kept, and change the watched one."""
    for server in scenario.servers.values():
        server.lifetime = "max-age=600"
    version = scenario.node(scenario.leader()).core.replicated_state.version
    covers = {"path": "/covers", "service": "pages", "cached": True, "lifetime_seconds": 600}
    change = scenario.change("long", version, {"routes": {"covers": covers}})
    scenario.world.task(scenario.operators, change, 20)
    scenario.world.run(seconds)
    scenario.objects["pages"].change("/covers/watched", scenario.world.time)


def lapsed_share(seed: int) -> float | None:
    """Of the orders of stubborn callers at an edge cut off for 10 s, the part declined."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(8, 4.0, 0)
    scenario.world.run(4)
    edge = scenario.edges[0]
    for core in scenario.cores:
        scenario.world.cut(edge, core)
    since = scenario.world.time
    scenario.outside.scheduler.create_task(poll_edge(scenario, edge), name="stubborn")
    scenario.world.run(10)
    scenario.world.heal()
    address = f"{scenario.node(edge).host}:3"
    told = [
        one
        for one in scenario.request_records
        if one.edge == address
        and one.sent_at >= since
        and one.ending
        and one.identity.startswith("s")
    ]
    return sum(one.status == 503 for one in told) / len(told) if told else None


def goodput(seed: int, rate: float, edges: int, busy: int) -> float | None:
    """Measure the fraction of a service's rate that is served in a crowd, over 20 s.

    The crowd sends three times the rate, to `busy` of the edges.
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
    crowded = scenario.random.sample(scenario.edges, min(busy, len(scenario.edges)))
    for number, name in enumerate(crowded):
        scenario.outside.scheduler.create_task(
            crowd_at(scenario, name, number, 3.0 * rate / len(crowded)), name="crowd"
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


async def crowd_at(scenario: Scenario, edge: str, number: int, rate: float) -> None:
    """Orders that come evenly to one edge, each by a caller of its own."""
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


def spread(seed: int, what: str) -> float | None:
    """Four servers of one service in one zone under light load, one of them a while away.

    Shares are in parts of an even one; `tail` is the 99th percentile while one server is slow.
    """
    scenario = Scenario(seed, zones=1, edges=2, probers=0)
    for name in ("pages8", "pages9"):
        scenario.add_server("pages", "zone0", name, 1)
    servers = [server for server in scenario.servers.values() if server.service == "pages"]
    for server in servers:
        server.delay = 0.02
    scenario.set_up()
    scenario.outside.scheduler.create_task(plain_requests(scenario, 20.0), name="light")
    scenario.world.run(4.0)
    since = scenario.world.time
    if what == "tail":
        servers[0].behavior = ServerBehavior.SLOW
    scenario.world.run(20.0)
    if what == "tail":
        times = sorted(
            told.seconds
            for told in scenario.request_records
            if told.sent_at >= since and told.ending and told.identity.startswith("l")
        )
        return times[int(len(times) * 0.99)] if times else None
    if what == "back":
        servers[0].behavior = ServerBehavior.FAILING
        scenario.world.run(6.0)
        servers[0].behavior = ServerBehavior.SOUND
        scenario.world.run(12.0)
        since = scenario.world.time
        scenario.world.run(15.0)
    ran = [one.address for one in scenario.history if one.service == "pages" and one.at >= since]
    parts = [len(servers) * ran.count(server.address) / len(ran) for server in servers]
    return {"most": max(parts), "least": min(parts), "back": parts[0]}[what]


async def plain_requests(scenario: Scenario, rate: float) -> None:
    """Send plain reads to random edges, so many a second."""
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


def isolated(seed: int, leading: bool, way: str, figure: str) -> float | None:
    """Return one of the times of an isolation, in seconds."""
    value: float = getattr(run_isolation(seed, leading, way), figure)
    return value


def lost_voter_replaced(seed: int) -> float | None:
    """Measure seconds from a voter's loss of power to as many live voters as before."""
    scenario = Scenario(seed, cores=4, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(STANDING_SECONDS)
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
        return disk not in consensus.voters and len(consensus.voters) == VOTERS_BEFORE

    back = scenario.world.run_until(replaced, 20)
    return scenario.world.time - started if back else None


def stop_of_a_voter(seed: int, cores: int) -> float | None:
    """Measure seconds that a follower's stop in order takes, with or without a spare."""
    scenario = Scenario(seed, cores=cores, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(STANDING_SECONDS)
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
        lambda seed, leading=leading, way=way, figure=figure: isolated(  # type: ignore[misc]
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
    "dead zone, cadence 1 s": ("s to the verdict", lambda seed: found_word(seed, "down", 1.0)),
    "dead zone, cadence 30 s": ("s to the verdict", lambda seed: found_word(seed, "down", 30.0)),
    "stale zone, cadence 30 s": ("s to the verdict", lambda seed: found_word(seed, "stale", 30.0)),
    "edge cut for 10 s": ("part of its orders declined", lapsed_share),
    **GOODPUT,
    "spread, busiest of four": ("its share, 1 is even", lambda seed: spread(seed, "most")),
    "spread, idlest of four": ("its share, 1 is even", lambda seed: spread(seed, "least")),
    "spread, one that comes back": ("its share, 1 is even", lambda seed: spread(seed, "back")),
    "spread, one slow": ("s, 99th percentile", lambda seed: spread(seed, "tail")),
}


def measure(name: str, seeds: range) -> str:
    """One line of a table: lowest, median, highest, and how many runs had no outcome."""
    what, work = MEASURES[name]
    found = [work(seed) for seed in seeds]
    known = sorted(value for value in found if value is not None)
    if not known:
        return f"| {name} | {what} | - | - | - | {len(found)} without |"
    missing = len(found) - len(known)
    return (
        f"| {name} | {what} | {known[0]:.2f} | {known[len(known) // 2]:.2f} "
        f"| {known[-1]:.2f} | {len(known)}{f', {missing} without' if missing else ''} |"
    )
