"""Fault injection into the control plane: isolation, racing changes, lost acknowledgements.

Each case takes a seed and returns findings derived from the answers that operators and edges
received, never from the control nodes' internal state. `python -m ryelock.testing case NAME`
runs one.
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
FAILOVER_SECONDS = 5.0
"""Deadline for the remaining control nodes to elect a leader after an isolation."""
MAX_ANSWER_SECONDS = 8.0
"""Deadline for any answer of an isolated control node."""
RETURN_SECONDS = 3.0
"""Deadline for a control node to serve again after it was reconnected."""
REQUEST_INTERVAL_SECONDS = 0.7
RENEWAL_INTERVAL_SECONDS = 0.1
MAX_RACERS = 8
RACE_SECONDS = 25.0
RACE_ROUNDS = 5
LOST_ANSWER_PROBABILITY = 0.5
BACKGROUND_PURGES = 40
RETRY_INTERVAL_SECONDS = 0.15
LOST_ACKNOWLEDGEMENT_ROUNDS = 4
EVICTING_PURGES = 60

OK = 200
CONFLICT = 409
BAD_REQUEST = 400
UNKNOWN = 504
NO_ANSWER = 0
UNPROCESSABLE = 422
FINAL_REJECTIONS = (BAD_REQUEST, CONFLICT, UNPROCESSABLE)

READS = ("/configuration", "/verdicts", "/members")
ROUTE_SERVICE = "pages"
SOFT_STATE = ("words", "listing", "shares", "grants", "members")


@dataclass(slots=True)
class TimedRequest:
    """One request to the isolated node and its status; times in simulated seconds."""

    method: str
    target: str
    sent_at: float
    answered_at: float
    status: int


@dataclass(slots=True)
class TimedRenewal:
    """One lease renewal that the isolated node answered; time in simulated seconds."""

    sent_at: float
    answer: Message


@dataclass(slots=True)
class MajorityChange:
    """A change that the majority committed during the isolation; time in simulated seconds."""

    acknowledged_at: float
    version: int


@dataclass(slots=True)
class IsolatedClients:
    """Clients that reach only the isolated control node, and the answers they received."""

    node: str
    drained: str
    answers: list[TimedRequest] = field(default_factory=list)
    renewals: list[TimedRenewal] = field(default_factory=list)
    running: bool = True


@dataclass(frozen=True, slots=True)
class IsolationResult:
    """Findings and durations, in seconds, of one isolation."""

    findings: Findings
    failover_seconds: float
    longest_answer_seconds: float
    return_seconds: float


def route_change(identity: str, base: int) -> dict[str, object]:
    """Return a change that adds a route named after the change to a base version."""
    route = {"path": f"/{identity}", "service": ROUTE_SERVICE}
    return {"id": identity, "base": base, "put": {"routes": {identity: route}}}


def isolate_both_ways(scenario: Scenario, name: str) -> None:
    """Partition a control node from the others in both directions."""
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(name, other)


def isolate_outgoing(scenario: Scenario, name: str) -> None:
    """Drop the messages that a control node sends to the others."""
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(name, other, False)


def isolate_incoming(scenario: Scenario, name: str) -> None:
    """Drop the messages that the others send to a control node."""
    for other in scenario.cores:
        if other != name:
            scenario.world.cut(other, name, False)


def freeze(scenario: Scenario, name: str) -> None:
    """Pause a control node's process while its connections stay open."""
    scenario.world.freeze(name, True)


def fill_disk(scenario: Scenario, name: str) -> None:
    """Make a control node's disk reject writes, and partition the node."""
    folder = scenario.node(name).folder
    assert folder is not None
    folder.full = True
    isolate_both_ways(scenario, name)


def step_clock(scenario: Scenario, name: str) -> None:
    """Step a control node's wall clock an hour ahead, and partition the node."""
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
    """Isolate the leader in a way chosen by the seed while clients keep sending to it."""
    return isolate_and_check(seed, leading=True)


def isolated_follower(seed: int) -> Findings:
    """Isolate a follower in a way chosen by the seed while clients keep sending to it."""
    return isolate_and_check(seed, leading=False)


def isolate_and_check(seed: int, leading: bool) -> Findings:
    """Isolate one control node in a way chosen by the seed and check its answers."""
    kinds = sorted(ISOLATIONS)
    return run_isolation(seed, leading, kinds[seed % len(kinds)]).findings


def run_isolation(seed: int, leading: bool, kind: str) -> IsolationResult:
    """Isolate the leader or a follower in one way under load, then reconnect it."""
    scenario = Scenario(seed, edges=1, probers=1)
    scenario.set_up()
    scenario.world.run(2)
    found = Findings()
    leader = scenario.leader()
    name = leader if leading else next(core for core in scenario.cores if core != leader)
    others = [core for core in scenario.cores if core != name]
    stale_base = scenario.node(name).core.replicated_state.version
    clients = IsolatedClients(name, scenario.edges[0])
    in_flight_statuses = send_in_flight_change(scenario, name, stale_base)
    ISOLATIONS[kind](scenario, name)
    isolated_at = scenario.world.time
    scenario.operators.scheduler.create_task(
        send_to_isolated(scenario, clients, stale_base), name="asks"
    )
    scenario.operators.scheduler.create_task(renew_with_isolated(scenario, clients), name="renews")
    failover_seconds = await_new_leader(scenario, others, found)
    majority_change = change_through_majority(scenario, others, clients.drained, found)
    scenario.world.run(isolated_at + ISOLATION_SECONDS - scenario.world.time)
    term = scenario.node(others[0]).core.consensus.term
    clients.running = False
    reconnect(scenario, name)
    healed_at = scenario.world.time
    check_return(scenario, name, term, found, kind)
    return_seconds = scenario.world.time - healed_at
    scenario.world.run(12)
    check_isolated_answers(clients, isolated_at, healed_at, found, kind)
    if majority_change is not None:
        check_isolated_rejections(clients, majority_change, healed_at, found, kind)
        check_stale_recoveries(clients, majority_change, found, kind)
        check_isolated_renewals(clients, majority_change, found, kind)
    check_in_flight_change(scenario, in_flight_statuses, majority_change is not None, found)
    answers = [
        request.answered_at - request.sent_at
        for request in clients.answers
        if isolated_at < request.sent_at and request.answered_at < healed_at
    ]
    return IsolationResult(found, failover_seconds, max(answers, default=0.0), return_seconds)


def await_new_leader(scenario: Scenario, others: list[str], found: Findings) -> float:
    """Wait until one of the other control nodes leads; return how long it took in seconds."""
    started = scenario.world.time
    found.count_check("succession")

    def has_leader() -> bool:
        return any(scenario.node(other).core.consensus.leader_ready for other in others)

    if not scenario.world.run_until(has_leader, FAILOVER_SECONDS):
        found.add_violation("succession", f"no leader {FAILOVER_SECONDS} s after the isolation")
    return scenario.world.time - started


def send_in_flight_change(scenario: Scenario, name: str, base: int) -> list[int]:
    """Send a change shortly before the isolation; return a list that receives its status."""
    statuses: list[int] = []

    async def send() -> None:
        status, _ = await scenario.operator(
            "POST", "/changes", route_change("in-flight", base), name
        )
        statuses.append(status)

    scenario.operators.scheduler.create_task(send(), name="in flight")
    scenario.world.run(Random(f"in flight {scenario.world.seed}").random() * 0.02)
    return statuses


def change_through_majority(
    scenario: Scenario, others: list[str], drained: str, found: Findings
) -> MajorityChange | None:
    """Commit a change and a drain through the majority; return None if either fails."""
    found.count_check("majority serves")
    status, answer = scenario.ask_now("GET", "/configuration", None, others[0])
    base = answer.get("version")
    if status != OK or not isinstance(base, int):
        found.add_violation("majority serves", f"read was answered {status}")
        return None
    status, answer = scenario.ask_now(
        "POST", "/changes", route_change("elsewhere", base), others[1]
    )
    version = answer.get("version")
    if status != OK or not isinstance(version, int):
        found.add_violation("majority serves", f"change was answered {status}")
        return None
    drain = {"id": "drain-elsewhere", "target": drained, "force": True}
    status, _ = scenario.ask_now("POST", "/drains", drain, others[0])
    if status != OK:
        found.add_violation("majority serves", f"drain was answered {status}")
        return None
    return MajorityChange(scenario.world.time, version)


async def send_to_isolated(scenario: Scenario, clients: IsolatedClients, base: int) -> None:
    """Send every kind of operator request to the isolated node, repeatedly."""
    count = 0
    while clients.running:
        count += 1
        requests: list[tuple[str, str, object]] = [
            ("GET", READS[count % len(READS)], None),
            ("POST", "/changes", route_change(f"isolated-{count}", base)),
            ("POST", "/plans", route_change(f"planned-{count}", base)),
            ("POST", "/purges", {"id": f"purge-{count}", "scopes": [{"path": "/covers/1"}]}),
            ("POST", "/drains", {"id": f"drain-{count}", "target": "zone:nowhere"}),
            ("POST", "/recoveries", {"id": f"recover-{count}", "target": clients.drained}),
        ]
        for method, target, given in requests:
            scenario.operators.scheduler.create_task(
                send_timed(scenario, clients, method, target, given), name=target
            )
        await scenario.operators.scheduler.sleep(REQUEST_INTERVAL_SECONDS)


async def send_timed(
    scenario: Scenario, clients: IsolatedClients, method: str, target: str, given: object
) -> None:
    """Send one request to the isolated node and record its status and times."""
    sent_at = scenario.world.time
    status, _ = await scenario.operator(method, target, given, clients.node)
    clients.answers.append(TimedRequest(method, target, sent_at, scenario.world.time, status))


async def renew_with_isolated(scenario: Scenario, clients: IsolatedClients) -> None:
    """Renew leases with the isolated node as restarted edges, which have no state, do."""
    node = scenario.operators
    rpc = RpcClients(node.scheduler, node.network, node.log)
    count = 0
    while clients.running:
        count += 1
        node.scheduler.create_task(renew_session(scenario, clients, rpc, count), name="renewal")
        await node.scheduler.sleep(RENEWAL_INTERVAL_SECONDS)


async def renew_session(
    scenario: Scenario, clients: IsolatedClients, rpc: RpcClients, count: int
) -> None:
    """Renew one session of a restarted edge with the isolated node."""
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
    sent_at = scenario.world.time
    address = f"{scenario.node(clients.node).host}:1"
    answer = await rpc.call(address, message, 2 * ISOLATION_SECONDS)
    if answer.is_ok():
        clients.renewals.append(TimedRenewal(sent_at, answer.ok))


def check_isolated_answers(
    clients: IsolatedClients, isolated_at: float, healed_at: float, found: Findings, kind: str
) -> None:
    """Check that no request succeeds without a majority and none waits too long."""
    for request in clients.answers:
        if request.sent_at <= isolated_at or request.answered_at >= healed_at:
            continue
        request_text = (
            f"{kind}: {request.method} {request.target} at {request.sent_at - isolated_at:.2f} s"
        )
        found.count_check("isolated answers")
        if request.status == OK:
            found.add_violation("isolated answers", f"{request_text} was served")
        found.count_check("bounded answers")
        seconds = request.answered_at - request.sent_at
        if seconds > MAX_ANSWER_SECONDS:
            found.add_violation("bounded answers", f"{request_text} took {seconds:.1f} s")


def check_isolated_rejections(
    clients: IsolatedClients,
    majority_change: MajorityChange,
    healed_at: float,
    found: Findings,
    kind: str,
) -> None:
    """Check that a node without a majority rejects no request for good."""
    for request in clients.answers:
        if request.sent_at < majority_change.acknowledged_at or request.answered_at >= healed_at:
            continue
        found.count_check("isolated refusals")
        if request.status in FINAL_REJECTIONS:
            after = request.sent_at - majority_change.acknowledged_at
            found.add_violation(
                "isolated refusals",
                f"{kind}: {request.target} refused ({request.status}) {after:.2f} s after",
            )


def check_stale_recoveries(
    clients: IsolatedClients, majority_change: MajorityChange, found: Findings, kind: str
) -> None:
    """Check that no recovery is rejected because the isolated node lacks the drain.

    A rejection is correct only if another recovery may have been committed before it.
    """
    recoveries = [request for request in clients.answers if request.target == "/recoveries"]
    possibly_committed = [
        request.sent_at for request in recoveries if request.status in (OK, UNKNOWN, NO_ANSWER)
    ]
    for request in recoveries:
        if request.sent_at < majority_change.acknowledged_at:
            continue
        found.count_check("stale recoveries")
        refused = request.status in FINAL_REJECTIONS
        if refused and not any(sent_at < request.answered_at for sent_at in possibly_committed):
            found.add_violation(
                "stale recoveries", f"{kind}: refused ({request.status}) from old state"
            )


def check_isolated_renewals(
    clients: IsolatedClients, majority_change: MajorityChange, found: Findings, kind: str
) -> None:
    """Check that renewals sent after an acknowledged change get that change or no state."""
    for renewal in clients.renewals:
        if (
            renewal.sent_at < majority_change.acknowledged_at
            or renewal.answer.get("ok") is not True
        ):
            continue
        delay = renewal.sent_at - majority_change.acknowledged_at
        after = f"asked {delay:.2f} s after the change elsewhere"
        found.count_check("isolated renewals")
        snapshot = renewal.answer.get("image")
        if isinstance(snapshot, bytes):
            replicated_state = ReplicatedState()
            replicated_state.restore(snapshot)
            if replicated_state.version < majority_change.version:
                found.add_violation(
                    "isolated renewals", f"{kind}: version {replicated_state.version}, {after}"
                )
        elif any(renewal.answer.get(part) for part in SOFT_STATE):
            found.add_violation(
                "isolated renewals", f"{kind}: soft state without a version, {after}"
            )


def check_return(scenario: Scenario, name: str, term: int, found: Findings, kind: str) -> None:
    """Check that the reconnected node serves in time and causes no new term."""
    node = scenario.node(name)

    def serves() -> bool:
        return bool(node.core.leader()) and node.core.consensus.term >= term

    found.count_check("return")
    if not scenario.world.run_until(serves, RETURN_SECONDS):
        found.add_violation(
            "return", f"{kind}: no leader known {RETURN_SECONDS} s after the cut healed"
        )
    found.count_check("undisturbed")
    now = max(scenario.node(core).core.consensus.term for core in scenario.cores)
    if now != term and kind != "outgoing":
        found.add_violation("undisturbed", f"{kind}: epoch {term} became {now} on the return")
    status, _ = scenario.ask_now("GET", "/configuration", None, name)
    found.count_check("return")
    if status != OK:
        found.add_violation("return", f"{kind}: the first read was answered {status}")


def check_in_flight_change(
    scenario: Scenario, statuses: list[int], advanced: bool, found: Findings
) -> None:
    """Check that the in-flight change took effect if acknowledged, and not if rejected."""
    found.count_check("in flight")
    if not statuses:
        found.add_violation("in flight", "a change that was on its way was never answered")
        return
    status, answer = scenario.ask_now("GET", "/configuration")
    configuration = answer.get("configuration")
    routes = configuration.get("routes", {}) if isinstance(configuration, dict) else {}
    present = "in-flight" in routes
    if status != OK:
        found.add_violation("in flight", f"the last read was answered {status}")
    elif statuses[0] == OK and not present:
        found.add_violation("in flight", "an acknowledged change is lost")
    elif statuses[0] in FINAL_REJECTIONS and present:
        found.add_violation("in flight", f"a change that was refused ({statuses[0]}) is in force")
    if advanced and status == OK and "elsewhere" not in routes:
        found.add_violation("in flight", "the change that the majority took is lost")


@dataclass(slots=True)
class Racer:
    """One operator's change in a race and its answers.

    Attributes:
        identity: id of the change.
        base: version that the change builds on.
        final: status that ended its retries; 0 while the outcome is unknown.
        acknowledged: number of acknowledgements.
        rejected_after_acknowledgement: whether a retry was rejected after an acknowledgement.
    """

    identity: str
    base: int
    final: int = 0
    acknowledged: int = 0
    rejected_after_acknowledgement: bool = False


def racing_changes(seed: int) -> Findings:
    """Let up to eight operators race for one version amid faults and lost acknowledgements."""
    scenario = Scenario(seed, edges=1, probers=0)
    scenario.set_up()
    found = Findings()
    random = Random(f"races {seed}")
    racers: list[Racer] = []
    for number in range(RACE_ROUNDS):
        base = read_newest_version(scenario)
        found.count_check("race")
        if base < 0:
            found.add_violation("race", "the version could not be read before a race")
            return found
        racing = [
            Racer(f"race-{number}-{index}", base)
            for index in range(random.randrange(2, MAX_RACERS + 1))
        ]
        racers += racing
        run_race_round(scenario, random, number, racing)
        check_race(number, racing, found)
    check_configuration_after_races(scenario, racers, found)
    return found


def read_newest_version(scenario: Scenario) -> int:
    """Read the version through any node; -1 if none answers in time."""
    versions: list[int] = []

    async def read() -> None:
        while not versions:
            status, answer = await scenario.operator("GET", "/configuration")
            version = answer.get("version")
            if status == OK and isinstance(version, int):
                versions.append(version)
            await scenario.operators.scheduler.sleep(RETRY_INTERVAL_SECONDS)

    running = scenario.operators.scheduler.create_task(read(), name="read")
    scenario.world.run_until(lambda: bool(versions), RACE_SECONDS)
    running.cancel()
    return versions[0] if versions else -1


def run_race_round(scenario: Scenario, random: Random, number: int, racing: list[Racer]) -> None:
    """Send all changes at once, inject a fault, and wait until every change has an answer."""
    running = [
        scenario.operators.scheduler.create_task(race(scenario, random, racer), name=racer.identity)
        for racer in racing
    ]
    fault = random.choice(sorted(RACE_FAULTS))
    scenario.world.later(random.random() * 0.3, lambda: RACE_FAULTS[fault](scenario))
    scenario.operators.scheduler.create_task(send_background_purges(scenario, number), name="noise")
    scenario.world.run(3.0)
    scenario.clear_faults()
    scenario.world.run_until(lambda: all(task.done for task in running), RACE_SECONDS)
    for task in running:
        task.cancel()
    scenario.world.run(1.0)


def inject_nothing(_scenario: Scenario) -> None:
    """Inject no fault."""


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


def isolate_leader(scenario: Scenario) -> None:
    """Partition the leader from the other control nodes, if there is one."""
    leader = scenario.leader()
    if leader:
        isolate_both_ways(scenario, leader)


def cut_all_power(scenario: Scenario) -> None:
    """Cut the power of all control nodes and restart them after half a second."""
    for name in scenario.cores:
        scenario.world.kill(name, True)
    scenario.world.later(0.5, lambda: restart_all(scenario))


def restart_all(scenario: Scenario) -> None:
    """Start every control node that is down."""
    for name in scenario.cores:
        if not scenario.node(name).alive:
            scenario.start(name)


RACE_FAULTS: dict[str, Callable[[Scenario], None]] = {
    "nothing": inject_nothing,
    "leader killed": kill_leader,
    "leader without power": cut_leader_power,
    "leader cut off": isolate_leader,
    "all without power": cut_all_power,
}


async def send_background_purges(scenario: Scenario, number: int) -> None:
    """Send purges during the race: log entries that change no configuration."""
    for count in range(BACKGROUND_PURGES):
        given = {"id": f"noise-{number}-{count}", "scopes": [{"path": f"/covers/{count}"}]}
        await scenario.operator("POST", "/purges", given)


async def race(scenario: Scenario, random: Random, racer: Racer) -> None:
    """Send one change until its outcome is known; ignore some acknowledgements and retry."""
    while not racer.final:
        names = scenario.alive(scenario.cores)
        if names:
            through = random.choice(names)
            change = route_change(racer.identity, racer.base)
            change["version"] = racer.base + 1
            status, _ = await scenario.operator("POST", "/changes", change, through)
            if status == OK:
                racer.acknowledged += 1
                if random.random() >= LOST_ANSWER_PROBABILITY:
                    racer.final = status
            elif status in FINAL_REJECTIONS:
                racer.rejected_after_acknowledgement = racer.acknowledged > 0
                racer.final = status
        await scenario.operators.scheduler.sleep(RETRY_INTERVAL_SECONDS * random.random())


def check_race(number: int, racing: list[Racer], found: Findings) -> None:
    """Check that exactly one change of a round is acknowledged, retries included."""
    winners = [racer.identity for racer in racing if racer.acknowledged]
    found.count_check("one winner")
    if len(winners) != 1:
        found.add_violation("one winner", f"round {number}: acknowledged were {winners}")
    for racer in racing:
        found.count_check("sent again")
        if racer.rejected_after_acknowledgement:
            found.add_violation("sent again", f"{racer.identity} was acknowledged and then refused")
        if not racer.final:
            found.add_violation("sent again", f"{racer.identity} never had a clear answer")


def check_configuration_after_races(
    scenario: Scenario, racers: list[Racer], found: Findings
) -> None:
    """Check that acknowledged changes took effect and rejected ones didn't."""
    status, answer = scenario.ask_now("GET", "/configuration")
    configuration = answer.get("configuration")
    routes = configuration.get("routes", {}) if isinstance(configuration, dict) else {}
    found.count_check("in force")
    if status != OK:
        found.add_violation("in force", f"the last read was answered {status}")
        return
    for racer in racers:
        present = racer.identity in routes
        if racer.acknowledged and not present:
            found.add_violation(
                "in force", f"{racer.identity} was acknowledged and is not in force"
            )
        if present and racer.final in FINAL_REJECTIONS:
            found.add_violation("in force", f"{racer.identity} was refused and is in force")


def lost_acknowledgement(seed: int) -> Findings:
    """Retry a change through every node long after it was acknowledged.

    In between come more purges and rejected changes than the nodes remember, snapshots,
    restarts, a wiped disk and new leaders, but no other accepted change.
    """
    settings: dict[str, object] = {"image_records": 50}
    scenario = Scenario(seed, edges=1, probers=0, settings=settings)
    scenario.set_up()
    found = Findings()
    random = Random(f"lost {seed}")
    version = 1
    for number in range(LOST_ACKNOWLEDGEMENT_ROUNDS):
        change = route_change(f"lost-{number}", version)
        resend_through_all(scenario, change, version + 1, found, "at first")
        version += 1
        scenario.world.task(scenario.operators, evict_remembered_outcomes(scenario, number), 120)
        fault = random.choice(sorted(LOST_ACKNOWLEDGEMENT_FAULTS))
        LOST_ACKNOWLEDGEMENT_FAULTS[fault](scenario)
        scenario.world.run(2.0)
        scenario.clear_faults()
        scenario.world.run_until(lambda: bool(scenario.leader()), RACE_SECONDS)
        scenario.world.run(4.0)
        resend_through_all(scenario, change, version, found, fault)
    return found


def resend_through_all(
    scenario: Scenario, change: dict[str, object], version: int, found: Findings, when: str
) -> None:
    """Check that every node acknowledges a retry of the change with its original version."""
    for name in scenario.alive(scenario.cores + scenario.edges):
        found.count_check("sent again")
        status, answer = scenario.ask_now("POST", "/changes", change, name)
        if status != OK or answer.get("version") != version:
            text = f"{change['id']} through {name}, {when}: {status} {answer}"
            found.add_violation("sent again", text)


async def evict_remembered_outcomes(scenario: Scenario, number: int) -> None:
    """Send more purges and rejected changes than the nodes remember of each."""
    for count in range(EVICTING_PURGES):
        given = {"id": f"noise-{number}-{count}", "scopes": [{"path": f"/covers/{count}"}]}
        await scenario.operator("POST", "/purges", given)
        if count % 2:
            refused = route_change(f"refused-{number}-{count}", 0)
            await scenario.operator("POST", "/changes", refused)


def wipe_follower(scenario: Scenario) -> None:
    """Lose the disk of a follower."""
    leader = scenario.leader()
    scenario.lose_disk(next(name for name in scenario.cores if name != leader))


LOST_ACKNOWLEDGEMENT_FAULTS: dict[str, Callable[[Scenario], None]] = {
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
