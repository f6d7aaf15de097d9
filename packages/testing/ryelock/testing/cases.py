"""Cases made for one rule or one fault each, by seed; tests run them with their mechanism in
place and taken out. `python -m ryelock.testing case NAME` runs one over many seeds."""

from collections.abc import Callable, Iterable
from random import Random

from ryelock.runtime import TaskCoroutine
from ryelock.testing.answer_cases import foreign_answer, silent_server
from ryelock.testing.callers import Caller, Told
from ryelock.testing.catchup import many_changes
from ryelock.testing.checks import Findings
from ryelock.testing.control_cases import CONTROL_CASES
from ryelock.testing.loss_cases import LOSS_CASES
from ryelock.testing.mass_loss_cases import MASS_LOSS_CASES
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated import SimNode
from ryelock.testing.standins import CUT, DEAF, FAILING, LONG, LOST, SHORT, WRONG

Case = Callable[[int], Findings]


def crowd(seed: int) -> Findings:
    """Everybody arrives at once, and many ask again the instant something fails."""
    scenario = Scenario(seed)
    scenario.rate_rate = {"pages": 40.0, "desks": 10.0}
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
    broken.manner = LOST
    scenario.world.run(6)
    scenario.world.kill(scenario.edges[0])
    scenario.world.run(2)
    scenario.start(scenario.edges[0])
    broken.manner = "whole"
    scenario.world.run(10)
    found = scenario.findings()
    for told in scenario.notes:
        if told.status in (429, 503) and told.whole:
            found.look("given up")
            if not told.retry_after:
                found.broken("given up", f"{told.identity}: no Retry-After")
            if told.seconds > 1.5:
                found.broken("given up", f"{told.identity} held back {told.seconds:.2f} s")
    served = {told.method for told in scenario.notes if told.status == 200}
    if "POST" not in served:
        found.broken("given up", "no POST was served: cheap orders starve them")
    return found


def mean_servers(seed: int) -> Findings:
    """Servers lose answers, cut them, lie about lengths, fall silent."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    servers = list(scenario.servers.values())
    for manner in (LOST, CUT, SHORT, LONG, WRONG, DEAF):
        for server in servers[:4]:
            server.manner = manner
        scenario.world.run(3)
        for server in servers[:4]:
            server.manner = "whole"
        scenario.world.run(1)
    return scenario.findings()


def cut_edges(seed: int) -> Findings:
    """An edge is cut off from the core while changes and purges are acknowledged."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 4.0)
    for number in (1, 2, 3):
        scenario.operators.scheduler.create_task(scenario.operate(number, 16), name="operator")
    scenario.world.run(2)
    for edge in scenario.edges[:2]:
        for core in scenario.cores:
            scenario.world.cut(edge, core)
    # Callers know nothing of the cut.
    scenario.outside.scheduler.create_task(stubborn(scenario, scenario.edges[0]), name="stubborn")
    scenario.world.run(10)
    scenario.world.heal()
    scenario.world.run(5)
    return scenario.findings()


async def stubborn(scenario: Scenario, edge: str) -> None:
    """A caller that keeps asking one edge for marks and covers, ready or not."""
    caller = Caller(
        scenario.outside.scheduler, scenario.outside.network, scenario.random, scenario.notes
    )
    count = 0
    while scenario.callers_on:
        count += 1
        marks = [changed.mark for changed in scenario.changes if changed.mark][-3:]
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
    for turn in range(count):
        target = f"/covers/{(number + turn) % 8}"
        await scenario.renew_object(target, f"flood-{number}-{turn}")


def all_power(seed: int) -> Findings:
    """Every core loses power right after an acknowledgement, several times."""
    scenario = Scenario(seed)
    scenario.set_up()
    version = 1
    found = Findings()
    for number in range(4):
        scenario.world.task(scenario.operators, scenario.add_route(f"gen-p-{number}", version), 30)
        version = max(changed.version for changed in scenario.changes)
        for name in scenario.cores:
            scenario.world.kill(name, True)
        scenario.world.run(0.5 + number)
        for name in scenario.cores:
            scenario.start(name)
        back = scenario.world.run_until(lambda: bool(scenario.leader()), 15)
        found.look("return")
        if not back:
            found.broken("return", "no leader 15 s after all cores lost power")
            return found
    day = end_version(scenario)
    found.look("end of day")
    if day < version:
        found.broken("end of day", f"version {day} is left of {version}")
    found.violations += scenario.findings().violations
    return found


def end_version(scenario: Scenario) -> int:
    status, answer = scenario.ask_now("GET", "/configuration")
    found = answer.get("version")
    return found if status == 200 and isinstance(found, int) else -1


def deposed_leader(seed: int) -> Findings:
    """The leader is cut off from its peers but not from edges and operators."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(12, 4.0)
    for turn in range(3):
        scenario.world.run_until(lambda: bool(scenario.leader()), 10)
        old = scenario.leader()
        for other in scenario.cores:
            if other != old:
                scenario.world.cut(old, other)
        scenario.operators.scheduler.create_task(read_from(scenario, old, 4.0), name="reads")
        scenario.operators.scheduler.create_task(change_at(scenario, old, turn), name="change")
        for number in (10 + turn, 20 + turn):
            scenario.operators.scheduler.create_task(scenario.operate(number, 5), name="operator")
        scenario.world.run(6)
        scenario.world.heal()
        scenario.world.run(2)
    return scenario.findings()


async def change_at(scenario: Scenario, name: str, turn: int) -> None:
    """A change made through one node, against the version that node knows."""
    base = scenario.node(name).core.replicated_state.version
    await scenario.add_route(f"gen-old-{turn}", base, name)


async def read_from(scenario: Scenario, name: str, seconds: float) -> None:
    until = scenario.world.time + seconds
    while scenario.world.time < until:
        started = scenario.world.time
        status, answer = await scenario.operator("GET", "/configuration", None, name)
        version = answer.get("version")
        if status == 200 and isinstance(version, int):
            scenario.reads.append((started, scenario.world.time, version))
        await scenario.operators.scheduler.sleep(0.02)


def scattered(seed: int) -> Findings:
    """No two cores reach one another, but edges reach them all: promises carry the edges."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(12, 4.0)
    scenario.world.run(2)
    for one in scenario.cores:
        for other in scenario.cores:
            if one < other:
                scenario.world.cut(one, other)
    cut_at = scenario.world.time
    scenario.world.run(10)
    served = sum(told.status == 200 and told.at > cut_at + 5 for told in scenario.notes)
    scenario.world.heal()
    scenario.mend_all()
    mended = scenario.world.time
    back = scenario.world.run_until(scenario.served_since(mended), 15)
    found = scenario.findings()
    found.look("promises")
    if served < 50:
        found.broken("promises", f"only {served} orders were served without a leader")
    if not back or not scenario.world.run_until(lambda: bool(scenario.leader()), 5):
        found.broken("return", "no leader after the cut healed")
    return found


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


def crash_points(seed: int, last: int = 150) -> Findings:
    """The leader loses power at each numbered point of one change, each in turn."""
    return crash_each(seed, "leader", a_change, range(1, last + 1))


def crash_follower(seed: int) -> Findings:
    return crash_each(seed, "follower", a_change, range(1, 60))


def crash_edge(seed: int) -> Findings:
    """The edge that a change comes through loses power at each of its points."""
    return crash_each(seed, "edge", a_change, range(1, 60))


def crash_purge(seed: int) -> Findings:
    return crash_each(seed, "leader", a_purge, range(1, 80))


def crash_drain(seed: int) -> Findings:
    return crash_each(seed, "leader", a_drain, range(1, 80))


def crash_claim(seed: int) -> Findings:
    """A reservation under a key, sent again until it is answered; the leader dies in between."""
    return crash_each(seed, "leader", a_reservation, range(1, 80))


def crash_snapshot(seed: int) -> Findings:
    """A row of changes while images are written every ten records."""
    return crash_each(seed, "leader", some_changes, range(1, 400, 7), {"image_records": 10})


def crash_voters(seed: int) -> Findings:
    """A voter's disk is lost and its machine comes back empty; the leader dies meanwhile."""
    return crash_each(seed, "leader", a_new_voter, range(3, 400, 5))


Act = Callable[[Scenario, str], Callable[[], str]]


def a_change(scenario: Scenario, through: str) -> Callable[[], str]:
    changed = scenario.world.task(
        scenario.operators, scenario.add_route("gen-point", 1, through), 40
    )

    def fault() -> str:
        version = end_version(scenario)
        if changed.status == 200 and version != 2:
            return "acknowledged and lost"
        return "'not taken' but taken" if changed.status == 503 and version != 1 else ""

    return fault


def some_changes(scenario: Scenario, through: str) -> Callable[[], str]:
    version = 1
    for turn in range(12):
        changed = scenario.world.task(
            scenario.operators, scenario.add_route(f"gen-some-{turn}", version, through), 40
        )
        version = changed.version or version

    def fault() -> str:
        return "acknowledged and lost" if end_version(scenario) < version else ""

    return fault


def a_purge(scenario: Scenario, through: str) -> Callable[[], str]:
    status, _ = scenario.ask_now(
        "POST", "/purges", {"id": "point", "scopes": [{"path": "/covers/1"}]}, through
    )

    def fault() -> str:
        there = bool(scenario.node(scenario.leader()).core.replicated_state.purges)
        return fault_of(status, there)

    return fault


def a_drain(scenario: Scenario, through: str) -> Callable[[], str]:
    status, _ = scenario.ask_now(
        "POST", "/drains", {"id": "point", "target": scenario.edges[0], "force": True}, through
    )

    def fault() -> str:
        there = scenario.edges[0] in scenario.node(scenario.leader()).core.replicated_state.drains
        return fault_of(status, there)

    return fault


def fault_of(status: int, there: bool) -> str:
    if status == 200 and not there:
        return "acknowledged and lost"
    return "'not taken' but taken" if status == 503 and there else ""


def a_reservation(scenario: Scenario, _through: str) -> Callable[[], str]:
    caller = Caller(
        scenario.outside.scheduler, scenario.outside.network, scenario.random, scenario.notes, 8.0
    )
    key = [(b"Idempotency-Key", b"point")]

    def sending() -> TaskCoroutine[Told]:
        return caller.request(
            f"{scenario.node(scenario.edges[0]).host}:3", "POST", "/orders/1", "point", key, b"body"
        )

    scenario.world.task(scenario.outside, sending(), 40)

    def fault() -> str:
        told = scenario.world.task(scenario.outside, sending(), 40)
        runs = sum(ran.identity == "point" for ran in scenario.history)
        return "" if runs == 1 and told.status in (200, 409) else f"{runs} runs, {told.status}"

    return fault


def a_new_voter(scenario: Scenario, _through: str) -> Callable[[], str]:
    lost = next(name for name in scenario.cores if name != scenario.leader())
    scenario.lose_disk(lost)
    scenario.start(lost)
    scenario.world.run(4.0)

    def fault() -> str:
        stand = scenario.world.run_until(lambda: voters_stand(scenario), 30)
        return "" if stand else "the lost voter was not replaced"

    return fault


def crash_each(
    seed: int, who: str, act: Act, points: Iterable[int], settings: dict[str, object] | None = None
) -> Findings:
    """Power is lost at one numbered point of a word's way, each in turn; nothing may be lost.

    Behind the last point all cores lose it, just after the answer.
    """
    found = Findings()
    for number in points:
        scenario = Scenario(seed, zones=1, edges=1, probers=0, settings=settings)
        scenario.set_up()
        scenario.world.run(2.0)
        leader = scenario.leader()
        others = [name for name in scenario.cores if name != leader]
        target = {"leader": leader, "follower": others[0], "edge": scenario.edges[0]}[who]
        passed: list[int] = []
        hit: list[str] = []

        def fire(
            point: int,
            node: SimNode,
            what: str,
            number: int = number,
            target: str = target,
            passed: list[int] = passed,
            hit: list[str] = hit,
        ) -> bool:
            if node.name == target and not hit:
                passed.append(point)
            if len(passed) == number and not hit:
                hit.append(f"{node.name} {what}")
                return True
            return False

        scenario.world.fire = fire
        fault = act(scenario, scenario.edges[0] if who == "edge" else others[1])
        scenario.world.fire = None
        for name in scenario.cores if not hit else ():
            scenario.world.kill(name, True)
        scenario.world.run(1)
        scenario.mend_all()
        if not scenario.world.run_until(
            lambda scenario=scenario: (  # type: ignore[misc]
                bool(scenario.leader())
            ),
            15,
        ):
            found.broken("return", f"no leader after point {number} {hit}")
            continue
        scenario.world.run_until(
            lambda scenario=scenario: all(  # type: ignore[misc]
                scenario.node(name).traffic.ready for name in scenario.edges
            ),
            5,
        )
        text = fault()
        found.look("points")
        if text:
            found.broken("points", f"{text} at point {number} {hit}")
        found.violations += scenario.findings().violations
        if not hit:
            break
    return found


def lost_disk(seed: int) -> Findings:
    """A voter's disk is lost just after an acknowledgement; an empty machine takes its place."""
    scenario = Scenario(seed, cores=5 if seed % 2 else 3)
    scenario.set_up()
    scenario.start_callers(8, 3.0)
    found = Findings()
    version = 1
    for turn in range(3):
        scenario.world.run_until(lambda: voters_stand(scenario), 30)
        found.look("voters")
        if not voters_stand(scenario):
            found.broken("voters", "the lost voter was not replaced")
        scenario.world.task(scenario.operators, scenario.add_route(f"gen-d-{turn}", version), 30)
        version = max(changed.version for changed in scenario.changes)
        lost = scenario.random.choice(scenario.cores)
        scenario.lose_disk(lost)
        scenario.world.run(1)
        scenario.start(lost)
    scenario.world.run_until(lambda: voters_stand(scenario), 30)
    if end_version(scenario) < version:
        found.broken("end of day", "an acknowledged change was lost with a disk")
    found.violations += scenario.findings().violations
    return found


def voters_stand(scenario: Scenario) -> bool:
    """Whether the voters are exactly the disks that are there."""
    leader = scenario.leader()
    if not leader or len(scenario.alive(scenario.cores)) < len(scenario.cores):
        return False
    disks = {scenario.node(name).core.consensus.disk for name in scenario.cores}
    return set(scenario.node(leader).core.consensus.voters) == disks


def rolling(seed: int) -> Findings:
    """Every process is stopped as the platform stops it and started again, under load."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(16, 5.0)
    scenario.world.run(2)
    for server in scenario.servers.values():
        server.delay = 0.8
    began = scenario.world.time
    for name in scenario.plans:
        node = scenario.node(name)
        assert node.inner is not None
        scenario.world.task(node, node.inner.stop(), 30)
        scenario.world.kill(name)
        scenario.world.run(0.3)
        scenario.start(name)
        scenario.world.run_until(
            lambda node=node: bool(  # type: ignore[misc]
                node.inner is not None and node.inner.fitness()["ready"]
            ),
            20,
        )
    scenario.world.run(2)
    found = scenario.findings()
    for told in scenario.notes:
        if told.at >= began and told.end:
            found.look("rolling")
            if told.end not in ("whole", "no link"):
                found.broken("rolling", f"{told.identity} was cut: {told.end}")
    return found


def repeated_keys(seed: int) -> Findings:
    """Reservations sent again under their key, at other edges, after lost answers, kills, cuts."""
    scenario = Scenario(seed)
    scenario.set_up()
    scenario.start_callers(24, 3.0, 24)
    control_apis = [server for server in scenario.servers.values() if server.service == "desks"]
    for turn in range(4):
        for server in control_apis:
            server.manner = LOST if turn % 2 == 0 else "whole"
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
    by_identity: dict[str, list[Told]] = {}
    for told in scenario.notes:
        if told.method == "POST":
            by_identity.setdefault(told.identity, []).append(told)
    again = [notes for notes in by_identity.values() if len(notes) > 1]
    found.look("keys", len(again))
    if not any(
        notes[-1].status == 200
        and any(told.status == 502 and told.outcome == "not-run" for told in notes)
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
    scenario.rate_rate = {"desks": rate}
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
    served = sum(ran.service == "desks" and ran.at >= since for ran in scenario.history)
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
    again = sum(ran.service == "desks" and ran.at >= since for ran in scenario.history)
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
            server.manner = FAILING
    scenario.world.run(8)
    for server in scenario.servers.values():
        server.manner = "whole"
    scenario.world.run(8)
    found = scenario.findings()
    late = [
        told
        for told in scenario.notes
        if told.target.startswith("/plain/")
        and told.end
        and told.identity.startswith("c")
        and told.at > scenario.world.time - 4.0
    ]
    found.look("others", len(late))
    if sum(told.status == 200 for told in late) < 0.9 * len(late):
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
            told = await caller.request(
                f"{scenario.node(edge).host}:3",
                "GET",
                target,
                f"p{number}-{count}",
                [(b"User-Agent", name)],
            )
            if told.status == 200 or not scenario.callers_on:
                break
            await scenario.outside.scheduler.sleep(0.05)
    caller.close()


CASES: dict[str, Case] = {
    "unmarked-repeats": unmarked_repeats,
    "narrow-desks": narrow_control_apis,
    "repeated-keys": repeated_keys,
    "crowd": crowd,
    "mean-servers": mean_servers,
    "cut-edges": cut_edges,
    "handed-address": handed_address,
    "purge-flood": purge_flood,
    "all-power": all_power,
    "deposed-leader": deposed_leader,
    "scattered": scattered,
    "lost-disk": lost_disk,
    "lifetimes": lifetimes,
    "rolling": rolling,
    "crash-points": crash_points,
    "crash-follower": crash_follower,
    "crash-edge": crash_edge,
    "crash-purge": crash_purge,
    "crash-drain": crash_drain,
    "crash-claim": crash_claim,
    "crash-image": crash_snapshot,
    "crash-voters": crash_voters,
    "many-changes": many_changes,
    "foreign-answer": foreign_answer,
    "silent-server": silent_server,
    **CONTROL_CASES,
    **LOSS_CASES,
    **MASS_LOSS_CASES,
}
