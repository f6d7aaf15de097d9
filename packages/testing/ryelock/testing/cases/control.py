"""Simulated runs aimed at the control plane: isolation, racing changes, lost acknowledgements.

Each case takes a seed and returns findings made from what the operators and edges of the run were
told, never from the control nodes' own state. `python -m ryelock.testing case NAME` runs one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ryelock.membership import Session
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, RpcClients
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario

ISOLATION_SECONDS = 20.0
SUCCESSION_SECONDS = 5.0
"""The other control nodes have a leader this long after theirs was isolated."""
ANSWER_SECONDS_MOST = 8.0
"""Any request to an isolated control node is answered within this time (seconds)."""
RETURN_SECONDS = 3.0
"""An isolated control node serves again this long after it was reconnected."""
PAUSE_SECONDS = 0.7
RENEWAL_SECONDS = 0.1
RACERS_MOST = 8
RACE_SECONDS = 25.0
RACE_ROUNDS = 5
LOST_SHARE = 0.5
NOISE_PURGES = 40
RESEND_SECONDS = 0.15
LOST_ROUNDS = 4
LOST_PURGES = 60

OK = 200
CONFLICT = 409
UNREADABLE = 400
UNKNOWN = 504
UNANSWERED = 0
UNPROCESSABLE = 422
FINAL_REFUSALS = (UNREADABLE, CONFLICT, UNPROCESSABLE)

READS = ("/configuration", "/verdicts", "/members")
ROUTE_SERVICE = "pages"
SOFT_STATE = ("words", "listing", "shares", "grants", "members")


@dataclass(slots=True)
class Answered:
    """One request to the isolated node and its answer; times in seconds of the run."""

    method: str
    target: str
    asked: float
    answered: float
    status: int


@dataclass(slots=True)
class Renewed:
    """One lease renewal that the isolated node answered."""

    asked: float
    answer: Message


@dataclass(slots=True)
class Superseded:
    """What the other control nodes agreed on while one was isolated; times in seconds."""

    at: float
    version: int


@dataclass(slots=True)
class Watcher:
    """What clients that reach only one control node were told while it was isolated."""

    name: str
    drained: str
    answers: list[Answered] = field(default_factory=list)
    renewals: list[Renewed] = field(default_factory=list)
    running: bool = True


@dataclass(frozen=True, slots=True)
class Isolation:
    """One isolation: what was found, and its times in seconds."""

    findings: Findings
    succession: float
    longest_answer: float
    returned: float


def route_change(identity: str, base: int) -> dict[str, object]:
    """A change that adds one route of its own name on top of a base version."""
    route = {"path": f"/{identity}", "service": ROUTE_SERVICE}
    return {"id": identity, "base": base, "put": {"routes": {identity: route}}}


def isolate_both_ways(scenario: Scenario, name: str) -> None:
    """Cut a control node off from the others, both ways."""
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(name, other)


def isolate_outgoing(scenario: Scenario, name: str) -> None:
    """Cut what a control node sends to the others."""
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(name, other, False)


def isolate_incoming(scenario: Scenario, name: str) -> None:
    """Cut what the others send to a control node."""
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(other, name, False)


def freeze(scenario: Scenario, name: str) -> None:
    """Let a control node stand still while its connections stay."""
    scenario.world.freeze(name, True)


def fill_disk(scenario: Scenario, name: str) -> None:
    """Let a control node's disk take no more writes, and cut the node off."""
    folder = scenario.node(name).folder
    assert folder is not None
    folder.full = True
    isolate_both_ways(scenario, name)


def step_clock(scenario: Scenario, name: str) -> None:
    """Set a control node's wall clock an hour ahead, and cut the node off."""
    scenario.node(name).clock.error += 3600.0
    isolate_both_ways(scenario, name)


ISOLATIONS: dict[str, Callable[[Scenario, str], None]] = {
    "both ways": isolate_both_ways,
    "outgoing": isolate_outgoing,
    "incoming": isolate_incoming,
    "frozen": freeze,
    "full disk": fill_disk,
    "clock stepped": step_clock,
}


def reconnect(scenario: Scenario, name: str) -> None:
    """Undo every isolation of a control node."""
    folder = scenario.node(name).folder
    assert folder is not None
    folder.full = False
    scenario.world.freeze(name, False)
    scenario.world.heal()


def isolated_leader(seed: int) -> Findings:
    """The leader is isolated for twenty seconds in each way, while clients go on asking it."""
    return isolated_member(seed, leading=True)


def isolated_follower(seed: int) -> Findings:
    """A follower is isolated for twenty seconds in each way, while clients go on asking it."""
    return isolated_member(seed, leading=False)


def isolated_member(seed: int, leading: bool) -> Findings:
    """Isolate one control node in one of the ways, picked by the seed, and judge its answers."""
    ways = sorted(ISOLATIONS)
    return play_isolation(seed, leading, ways[seed % len(ways)]).findings


def play_isolation(seed: int, leading: bool, way: str) -> Isolation:
    """Isolate the leader or a follower in one way, have clients ask it, reconnect it."""
    scenario = Scenario(seed, edges=1, probers=1)
    scenario.set_up()
    scenario.world.run(2)
    found = Findings()
    leader = scenario.leader()
    name = leader if leading else next(core for core in scenario.cores if core != leader)
    others = [core for core in scenario.cores if core != name]
    stale_base = scenario.node(name).core.replicated_state.version
    watcher = Watcher(name, scenario.edges[0])
    in_in_flight = send_in_in_flight(scenario, name, stale_base)
    ISOLATIONS[way](scenario, name)
    cut_at = scenario.world.time
    scenario.operators.scheduler.create_task(
        ask_isolated(scenario, watcher, stale_base), name="asks"
    )
    scenario.operators.scheduler.create_task(renew_isolated(scenario, watcher), name="renews")
    succession = succeed(scenario, others, found)
    superseded = change_elsewhere(scenario, others, watcher.drained, found)
    scenario.world.run(cut_at + ISOLATION_SECONDS - scenario.world.time)
    epoch = scenario.node(others[0]).core.consensus.term
    watcher.running = False
    reconnect(scenario, name)
    healed_at = scenario.world.time
    judge_return(scenario, name, epoch, found, way)
    returned = scenario.world.time - healed_at
    scenario.world.run(12)
    judge_answers(watcher, cut_at, healed_at, found, way)
    if superseded is not None:
        judge_refusals(watcher, superseded, healed_at, found, way)
        judge_recoveries(watcher, superseded, found, way)
        judge_renewals(watcher, superseded, found, way)
    judge_in_in_flight(scenario, in_in_flight, superseded is not None, found)
    answers = [
        answered.answered - answered.asked
        for answered in watcher.answers
        if cut_at < answered.asked and answered.answered < healed_at
    ]
    return Isolation(found, succession, max(answers, default=0.0), returned)


def succeed(scenario: Scenario, others: list[str], found: Findings) -> float:
    """Wait until one of the other control nodes leads; returns the seconds that took."""
    started = scenario.world.time
    found.look("succession")

    def led() -> bool:
        return any(scenario.node(other).core.consensus.leader_ready for other in others)

    if not scenario.world.run_until(led, SUCCESSION_SECONDS):
        found.broken("succession", f"no leader {SUCCESSION_SECONDS} s after the isolation")
    return scenario.world.time - started


def send_in_in_flight(scenario: Scenario, name: str, base: int) -> list[int]:
    """A change that is on its way when the node is isolated; its statuses are collected."""
    statuses: list[int] = []

    async def send() -> None:
        status, _ = await scenario.operator(
            "POST", "/changes", route_change("in-flight", base), name
        )
        statuses.append(status)

    scenario.operators.scheduler.create_task(send(), name="in flight")
    scenario.world.run(Random(f"in flight {scenario.world.seed}").random() * 0.02)
    return statuses


def change_elsewhere(
    scenario: Scenario, others: list[str], drained: str, found: Findings
) -> Superseded | None:
    """Have the other control nodes take a change and a drain that the isolated one cannot know."""
    found.look("majority serves")
    status, answer = scenario.ask_now("GET", "/configuration", None, others[0])
    base = answer.get("version")
    if status != OK or not isinstance(base, int):
        found.broken("majority serves", f"read was answered {status}")
        return None
    status, answer = scenario.ask_now(
        "POST", "/changes", route_change("elsewhere", base), others[1]
    )
    version = answer.get("version")
    if status != OK or not isinstance(version, int):
        found.broken("majority serves", f"change was answered {status}")
        return None
    drain = {"id": "drain-elsewhere", "target": drained, "force": True}
    status, _ = scenario.ask_now("POST", "/drains", drain, others[0])
    if status != OK:
        found.broken("majority serves", f"drain was answered {status}")
        return None
    return Superseded(scenario.world.time, version)


async def ask_isolated(scenario: Scenario, watcher: Watcher, base: int) -> None:
    """Operators that reach only the isolated node: reads, changes, purges, drains, plans."""
    count = 0
    while watcher.running:
        count += 1
        requests: list[tuple[str, str, object]] = [
            ("GET", READS[count % len(READS)], None),
            ("POST", "/changes", route_change(f"isolated-{count}", base)),
            ("POST", "/plans", route_change(f"planned-{count}", base)),
            ("POST", "/purges", {"id": f"purge-{count}", "scopes": [{"path": "/covers/1"}]}),
            ("POST", "/drains", {"id": f"drain-{count}", "target": "zone:nowhere"}),
            ("POST", "/recoveries", {"id": f"recover-{count}", "target": watcher.drained}),
        ]
        for method, target, given in requests:
            scenario.operators.scheduler.create_task(
                ask_once(scenario, watcher, method, target, given), name=target
            )
        await scenario.operators.scheduler.sleep(PAUSE_SECONDS)


async def ask_once(
    scenario: Scenario, watcher: Watcher, method: str, target: str, given: object
) -> None:
    """Send one request to the watched node and note what it answered, and when."""
    asked = scenario.world.time
    status, _ = await scenario.operator(method, target, given, watcher.name)
    watcher.answers.append(Answered(method, target, asked, scenario.world.time, status))


async def renew_isolated(scenario: Scenario, watcher: Watcher) -> None:
    """Edges without any state that reach only the isolated node, as after a restart."""
    node = scenario.operators
    lines = RpcClients(node.scheduler, node.network, node.log)
    count = 0
    while watcher.running:
        count += 1
        node.scheduler.create_task(renew_once(scenario, watcher, lines, count), name="renewal")
        await node.scheduler.sleep(RENEWAL_SECONDS)


async def renew_once(scenario: Scenario, watcher: Watcher, lines: RpcClients, count: int) -> None:
    """Renew one session of a returning edge with the isolated node."""
    session = Session()
    session.name = f"returned{count}"
    session.role = "edge"
    session.incarnation = str(count)
    message: Message = {
        "kind": "renew",
        "hold": 0.0,
        "session": session.to_wire(),
        "sequence": 1,
        "vector": {},
        "demand": {},
        "holding": {},
        "wanted": {},
        "failed": [],
        "objects": [],
    }
    asked = scenario.world.time
    address = f"{scenario.node(watcher.name).host}:1"
    answer = await lines.call(address, message, 2 * ISOLATION_SECONDS)
    if answer.is_ok():
        watcher.renewals.append(Renewed(asked, answer.ok))


def judge_answers(
    watcher: Watcher, cut_at: float, healed_at: float, found: Findings, way: str
) -> None:
    """Nothing is read or acknowledged without a majority, and no request waits without bound."""
    for answered in watcher.answers:
        if answered.asked <= cut_at or answered.answered >= healed_at:
            continue
        place = f"{way}: {answered.method} {answered.target} at {answered.asked - cut_at:.2f} s"
        found.look("isolated answers")
        if answered.status == OK:
            found.broken("isolated answers", f"{place} was served")
        found.look("bounded answers")
        seconds = answered.answered - answered.asked
        if seconds > ANSWER_SECONDS_MOST:
            found.broken("bounded answers", f"{place} took {seconds:.1f} s")


def judge_refusals(
    watcher: Watcher, superseded: Superseded, healed_at: float, found: Findings, way: str
) -> None:
    """No request is refused for good by a node that no longer has its majority."""
    for answered in watcher.answers:
        if answered.asked < superseded.at or answered.answered >= healed_at:
            continue
        found.look("isolated refusals")
        if answered.status in FINAL_REFUSALS:
            after = answered.asked - superseded.at
            found.broken(
                "isolated refusals",
                f"{way}: {answered.target} refused ({answered.status}) {after:.2f} s after",
            )


def judge_recoveries(watcher: Watcher, superseded: Superseded, found: Findings, way: str) -> None:
    """A recovery of what was drained elsewhere is never refused from old state.

    A refusal is right only where another recovery may have been taken before it.
    """
    recoveries = [answered for answered in watcher.answers if answered.target == "/recoveries"]
    taken = [
        answered.asked for answered in recoveries if answered.status in (OK, UNKNOWN, UNANSWERED)
    ]
    for answered in recoveries:
        if answered.asked < superseded.at:
            continue
        found.look("stale recoveries")
        refused = answered.status in FINAL_REFUSALS
        if refused and not any(asked < answered.answered for asked in taken):
            found.broken("stale recoveries", f"{way}: refused ({answered.status}) from old state")


def judge_renewals(watcher: Watcher, superseded: Superseded, found: Findings, way: str) -> None:
    """An edge that asks after a change was acknowledged gets that change or nothing."""
    for renewed in watcher.renewals:
        if renewed.asked < superseded.at or renewed.answer.get("ok") is not True:
            continue
        after = f"asked {renewed.asked - superseded.at:.2f} s after the change elsewhere"
        found.look("isolated renewals")
        snapshot = renewed.answer.get("image")
        if isinstance(snapshot, bytes):
            replicated_state = ReplicatedState()
            replicated_state.restore(snapshot)
            if replicated_state.version < superseded.version:
                found.broken(
                    "isolated renewals", f"{way}: version {replicated_state.version}, {after}"
                )
        elif any(renewed.answer.get(part) for part in SOFT_STATE):
            found.broken("isolated renewals", f"{way}: soft state without a version, {after}")


def judge_return(scenario: Scenario, name: str, epoch: int, found: Findings, way: str) -> None:
    """The isolated node is of use again soon, and its return disturbs nobody's leadership."""
    node = scenario.node(name)

    def serves() -> bool:
        return bool(node.core.leader()) and node.core.consensus.term >= epoch

    found.look("return")
    if not scenario.world.run_until(serves, RETURN_SECONDS):
        found.broken("return", f"{way}: no leader known {RETURN_SECONDS} s after the cut healed")
    found.look("undisturbed")
    now = max(scenario.node(core).core.consensus.term for core in scenario.cores)
    if now != epoch and way != "outgoing":
        found.broken("undisturbed", f"{way}: epoch {epoch} became {now} on the return")
    status, _ = scenario.ask_now("GET", "/configuration", None, name)
    found.look("return")
    if status != OK:
        found.broken("return", f"{way}: the first read was answered {status}")


def judge_in_in_flight(
    scenario: Scenario, statuses: list[int], advanced: bool, found: Findings
) -> None:
    """A change that was on its way is in force if it was acknowledged, and not if refused."""
    found.look("in flight")
    if not statuses:
        found.broken("in flight", "a change that was on its way was never answered")
        return
    status, answer = scenario.ask_now("GET", "/configuration")
    configuration = answer.get("configuration")
    routes = configuration.get("routes", {}) if isinstance(configuration, dict) else {}
    present = "in-flight" in routes
    if status != OK:
        found.broken("in flight", f"the last read was answered {status}")
    elif statuses[0] == OK and not present:
        found.broken("in flight", "an acknowledged change is lost")
    elif statuses[0] in FINAL_REFUSALS and present:
        found.broken("in flight", f"a change that was refused ({statuses[0]}) is in force")
    if advanced and status == OK and "elsewhere" not in routes:
        found.broken("in flight", "the change that the majority took is lost")


@dataclass(slots=True)
class Racer:
    """One operator's change in a race: how it ended and how often it was acknowledged.

    `final` is the status that ended it, 0 as long as it had no clear answer.
    """

    identity: str
    base: int
    final: int = 0
    acknowledged: int = 0
    refused_after: bool = False


def racing_changes(seed: int) -> Findings:
    """Up to eight operators race for one number, beside faults and with lost acknowledgements."""
    scenario = Scenario(seed, edges=1, probers=0)
    scenario.set_up()
    found = Findings()
    random = Random(f"races {seed}")
    racers: list[Racer] = []
    for number in range(RACE_ROUNDS):
        base = newest_version(scenario)
        found.look("race")
        if base < 0:
            found.broken("race", "the version could not be read before a race")
            return found
        racing = [
            Racer(f"race-{number}-{place}", base)
            for place in range(random.randrange(2, RACERS_MOST + 1))
        ]
        racers += racing
        run_race(scenario, random, number, racing)
        judge_race(number, racing, found)
    judge_races(scenario, racers, found)
    return found


def newest_version(scenario: Scenario) -> int:
    """The version as read through any control node, or -1 where nobody answers in time."""
    versions: list[int] = []

    async def read() -> None:
        while not versions:
            status, answer = await scenario.operator("GET", "/configuration")
            version = answer.get("version")
            if status == OK and isinstance(version, int):
                versions.append(version)
            await scenario.operators.scheduler.sleep(RESEND_SECONDS)

    running = scenario.operators.scheduler.create_task(read(), name="read")
    scenario.world.run_until(lambda: bool(versions), RACE_SECONDS)
    running.cancel()
    return versions[0] if versions else -1


def run_race(scenario: Scenario, random: Random, number: int, racing: list[Racer]) -> None:
    """Let all racers send at once, strike the control plane meanwhile, and wait for all ends."""
    running = [
        scenario.operators.scheduler.create_task(race(scenario, random, racer), name=racer.identity)
        for racer in racing
    ]
    strike = random.choice(sorted(STRIKES))
    scenario.world.later(random.random() * 0.3, lambda: STRIKES[strike](scenario))
    scenario.operators.scheduler.create_task(make_noise(scenario, number), name="noise")
    scenario.world.run(3.0)
    scenario.mend_all()
    scenario.world.run_until(lambda: all(task.done for task in running), RACE_SECONDS)
    for task in running:
        task.cancel()
    scenario.world.run(1.0)


def strike_nothing(_scenario: Scenario) -> None:
    """No fault at all."""


def kill_leader(scenario: Scenario) -> None:
    """Kill the leader's process, if there is a leader."""
    leader = scenario.leader()
    if leader:
        scenario.world.kill(leader)


def cut_leader_power(scenario: Scenario) -> None:
    """Cut the power of the leader's machine, if there is a leader."""
    leader = scenario.leader()
    if leader:
        scenario.world.kill(leader, True)


def cut_leader_off(scenario: Scenario) -> None:
    """Cut the leader off from the other control nodes, if there is one."""
    leader = scenario.leader()
    if leader:
        isolate_both_ways(scenario, leader)


def cut_all_power(scenario: Scenario) -> None:
    """Cut the power of all control nodes and start them again after half a second."""
    for name in scenario.cores:
        scenario.world.kill(name, True)
    scenario.world.later(0.5, lambda: restart_all(scenario))


def restart_all(scenario: Scenario) -> None:
    """Start every control node that does not run."""
    for name in scenario.cores:
        if not scenario.node(name).alive:
            scenario.start(name)


STRIKES: dict[str, Callable[[Scenario], None]] = {
    "nothing": strike_nothing,
    "leader killed": kill_leader,
    "leader without power": cut_leader_power,
    "leader cut off": cut_leader_off,
    "all without power": cut_all_power,
}


async def make_noise(scenario: Scenario, number: int) -> None:
    """Purges beside the race: entries that change no configuration."""
    for count in range(NOISE_PURGES):
        given = {"id": f"noise-{number}-{count}", "scopes": [{"path": f"/covers/{count}"}]}
        await scenario.operator("POST", "/purges", given)


async def race(scenario: Scenario, random: Random, racer: Racer) -> None:
    """Send one change until its answer is clear; at times lose the answer and send it again."""
    while not racer.final:
        names = scenario.alive(scenario.cores)
        if names:
            through = random.choice(names)
            change = route_change(racer.identity, racer.base)
            change["version"] = racer.base + 1
            status, _ = await scenario.operator("POST", "/changes", change, through)
            if status == OK:
                racer.acknowledged += 1
                if random.random() >= LOST_SHARE:
                    racer.final = status
            elif status in FINAL_REFUSALS:
                racer.refused_after = racer.acknowledged > 0
                racer.final = status
        await scenario.operators.scheduler.sleep(RESEND_SECONDS * random.random())


def judge_race(number: int, racing: list[Racer], found: Findings) -> None:
    """Exactly one racer of a round is acknowledged, also when it is sent again."""
    winners = [racer.identity for racer in racing if racer.acknowledged]
    found.look("one winner")
    if len(winners) != 1:
        found.broken("one winner", f"round {number}: acknowledged were {winners}")
    for racer in racing:
        found.look("sent again")
        if racer.refused_after:
            found.broken("sent again", f"{racer.identity} was acknowledged and then refused")
        if not racer.final:
            found.broken("sent again", f"{racer.identity} never had a clear answer")


def judge_races(scenario: Scenario, racers: list[Racer], found: Findings) -> None:
    """What was acknowledged is in force, and nothing that was refused is."""
    status, answer = scenario.ask_now("GET", "/configuration")
    configuration = answer.get("configuration")
    routes = configuration.get("routes", {}) if isinstance(configuration, dict) else {}
    found.look("in force")
    if status != OK:
        found.broken("in force", f"the last read was answered {status}")
        return
    for racer in racers:
        present = racer.identity in routes
        if racer.acknowledged and not present:
            found.broken("in force", f"{racer.identity} was acknowledged and is not in force")
        if present and racer.final in FINAL_REFUSALS:
            found.broken("in force", f"{racer.identity} was refused and is in force")


def lost_acknowledgement(seed: int) -> Findings:
    """A change is sent again, to every node, long after it was acknowledged.

    Meanwhile come more purges and refused changes than are remembered, snapshots, restarts, a
    wiped disk and new leaders, but no other change.
    """
    settings: dict[str, object] = {"image_records": 50}
    scenario = Scenario(seed, edges=1, probers=0, settings=settings)
    scenario.set_up()
    found = Findings()
    random = Random(f"lost {seed}")
    version = 1
    for number in range(LOST_ROUNDS):
        change = route_change(f"lost-{number}", version)
        send_again(scenario, change, version + 1, found, "at first")
        version += 1
        scenario.world.task(scenario.operators, make_much_noise(scenario, number), 120)
        strike = random.choice(sorted(LOST_STRIKES))
        LOST_STRIKES[strike](scenario)
        scenario.world.run(2.0)
        scenario.mend_all()
        scenario.world.run_until(lambda: bool(scenario.leader()), RACE_SECONDS)
        scenario.world.run(4.0)
        send_again(scenario, change, version, found, strike)
    return found


def send_again(
    scenario: Scenario, change: dict[str, object], version: int, found: Findings, when: str
) -> None:
    """The same change through every control node and edge is acknowledged with its version."""
    for name in scenario.alive(scenario.cores + scenario.edges):
        found.look("sent again")
        status, answer = scenario.ask_now("POST", "/changes", change, name)
        if status != OK or answer.get("version") != version:
            text = f"{change['id']} through {name}, {when}: {status} {answer}"
            found.broken("sent again", text)


async def make_much_noise(scenario: Scenario, number: int) -> None:
    """More purges and refused changes than are remembered of each."""
    for count in range(LOST_PURGES):
        given = {"id": f"noise-{number}-{count}", "scopes": [{"path": f"/covers/{count}"}]}
        await scenario.operator("POST", "/purges", given)
        if count % 2:
            refused = route_change(f"refused-{number}-{count}", 0)
            await scenario.operator("POST", "/changes", refused)


def wipe_follower(scenario: Scenario) -> None:
    """Let a follower lose its disk."""
    leader = scenario.leader()
    scenario.lose_disk(next(name for name in scenario.cores if name != leader))


LOST_STRIKES: dict[str, Callable[[Scenario], None]] = {
    "leader killed": kill_leader,
    "leader without power": cut_leader_power,
    "all without power": cut_all_power,
    "follower wiped": wipe_follower,
}


CONTROL_CASES: dict[str, Callable[[int], Findings]] = {
    "isolated-leader": isolated_leader,
    "isolated-follower": isolated_follower,
    "racing-changes": racing_changes,
    "lost-acknowledgement": lost_acknowledgement,
}
