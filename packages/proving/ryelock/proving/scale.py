"""A scale run: real cores and a real edge beside hollow nodes, and what each costs by size.

For every size three `ryelock core` processes and one `ryelock edge` are started anew, with a
stand-in of the platform, and hollow nodes (hollow.py) join them, many to a process. The runner
reads the kernel's accounts (accounts.py) over windows: at rest, under changes, purges, changed
listings and restarts; then it kills the leader, and last all cores, and counts what the nodes
send until each has its session again. The slopes go to a table, to JSON and to plots.

The judging of verdicts is measured in this process on a full history, since filling one by
probes would take its whole span.
"""

import json
import math
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import cbor2

from ryelock.events import QuietLog
from ryelock.loop import Scheduler, Step
from ryelock.loop.reactor import Reactor
from ryelock.operator import ask
from ryelock.proving.accounts import Account, Spent, read_traffic
from ryelock.proving.fleet import Fleet, Process, picked_port, wait_ready
from ryelock.proving.shapes import Machine, Shape
from ryelock.proving.standins import PlatformStandIn
from ryelock.register import Watch
from ryelock.verdict import History, Rules, judge
from ryelock.watch import Row, watch_mark
from ryelock.wire import Lines, Message

TERM_SECONDS = 1.5
LISTING_SECONDS = 1.8
JOIN_SECONDS = 40.0
REACH_SECONDS = 15.0
FLOOD_SECONDS = 3.0
Figures = dict[str, float]
Plain = dict[str, object]


class Size:
    """What one bring-up has, and what is measured of it."""

    __slots__ = (
        "changes",
        "flood",
        "joins",
        "losses",
        "nodes",
        "probe_seconds",
        "processes",
        "restarts",
        "routes",
        "seconds",
        "servers",
        "zones",
    )

    def __init__(
        self,
        nodes: int,
        zones: int,
        servers: int,
        routes: int,
        *,
        processes: int = 1,
        seconds: float = 4.0,
        changes: int = 5,
        restarts: int = 3,
        flood: float = 42.0,
        probe_seconds: float = 30.0,
        joins: float = 20.0,
        losses: bool = True,
    ) -> None:
        """Describe a bring-up.

        Args:
            nodes: hollow nodes.
            zones: zones they are spread over.
            servers: upstream servers listed by the platform.
            routes: configured routes.
            processes: processes that the hollow nodes are spread over.
            seconds: length of the window at rest.
            changes: changes and purges that are timed.
            restarts: restarts and changed listings.
            flood: purges a second in the flood, 0 for none.
            probe_seconds: made-up cadence of probes.
            joins: nodes that join a second.
            losses: whether a zone, the leader and all cores are lost at the end.
        """
        self.nodes = nodes
        self.zones = zones
        self.servers = servers
        self.routes = routes
        self.processes = processes
        self.seconds = seconds
        self.changes = changes
        self.restarts = restarts
        self.flood = flood
        self.probe_seconds = probe_seconds
        self.joins = joins
        self.losses = losses

    def shape(self) -> Shape:
        """Return the real machines and the configuration."""
        machines = [
            Machine(f"core-{number}", zone_name(number, self.zones), True, False, False)
            for number in range(3)
        ]
        machines.append(Machine("edge-real", zone_name(0, self.zones), False, False, False))
        services = {f"service-{number}": {"rate": 20_000} for number in range(2)}
        routes = {
            f"route-{number}": {
                "path": f"/route-{number}",
                "cached": True,
                "service": f"service-{number % 2}",
            }
            for number in range(self.routes)
        }
        configuration: Plain = {
            "services": services,
            "routes": routes,
            "watches": {
                "watched": {"route": "route-0", "object": "/route-0/watched", "dating": "etag"}
            },
        }
        return Shape("scale", machines, {}, configuration, [], 0.0)


def zone_name(number: int, zones: int) -> str:
    """Return the name of the zone that a node with this number stands in."""
    return f"zone-{number % zones:02d}"


class HollowProcess:
    """One process of hollow nodes as the runner sees it."""

    __slots__ = ("address", "file", "log", "popen")

    def __init__(
        self,
        name: str,
        folder: Path,
        seeds: list[str],
        places: list[tuple[str, str]],
        probe_seconds: float,
    ) -> None:
        """Write the settings of a process with these nodes, given by name and zone."""
        self.address = f"127.0.8.1:{picked_port('127.0.8.1')}"
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.file.write_text(
            json.dumps(
                {
                    "wire_address": self.address,
                    "seeds": seeds,
                    "nodes": places,
                    "term_seconds": TERM_SECONDS,
                    "listing_term": LISTING_SECONDS,
                    "probe_seconds": probe_seconds,
                }
            )
        )
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "ryelock.proving.hollow", str(self.file)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def stop(self) -> None:
        """End the process, by force after 5 s."""
        if self.popen is not None:
            self.popen.terminate()
            try:
                self.popen.wait(5)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait(5)


class Reading:
    """All accounts and the hollow nodes' counts at one moment."""

    __slots__ = ("accounts", "asks", "at", "state")

    def __init__(self, at: float, accounts: dict[str, Account], state: Plain) -> None:
        """Keep accounts by process name and the summed counts of hollow nodes."""
        self.at = at
        self.accounts = accounts
        self.state = state
        asks = state.get("asks")
        self.asks: Counter[str] = Counter(asks if isinstance(asks, dict) else {})


class ScaleRun:
    """One bring-up of one size and its figures."""

    __slots__ = (
        "again",
        "faults",
        "figures",
        "fleet",
        "hollow",
        "leader",
        "lines",
        "notes",
        "passed",
        "platform",
        "reactor",
        "scheduler",
        "size",
        "turn",
        "version",
    )

    def __init__(self, size: Size, folder: Path, reactor: Reactor) -> None:
        """Create the stand-in, the fleet and the hollow processes; nothing is started."""
        self.size = size
        self.reactor = reactor
        self.scheduler: Scheduler = reactor.scheduler
        log = QuietLog("runner")
        self.lines = Lines(self.scheduler, reactor, log)
        self.platform = PlatformStandIn(self.scheduler, reactor, log, "127.0.9.1:0")
        for number in range(size.servers):
            self.platform.show(
                f"service-{number % 2}",
                f"127.0.9.{2 + number // 200}:{10_000 + number}",
                zone_name(number, size.zones),
                1,
            )
        self.fleet = Fleet(
            size.shape(),
            folder,
            self.platform.address,
            {"term_seconds": TERM_SECONDS, "listing_term": LISTING_SECONDS},
        )
        places = [
            (f"edge-{number:04d}", zone_name(number, size.zones)) for number in range(size.nodes)
        ]
        self.hollow = [
            HollowProcess(
                f"hollow-{number}",
                folder,
                self.fleet.seeds,
                places[number :: size.processes],
                size.probe_seconds,
            )
            for number in range(size.processes)
        ]
        self.leader = ""
        self.again = self.passed = 0
        self.turn = 0
        self.version = 1
        self.figures: Figures = {}
        self.faults: list[str] = []
        self.notes: Plain = {}

    # Asks.

    def tell(self, kind: str, **fields: object) -> Step[list[Message]]:
        """The same ask to every hollow process, answers in their order."""
        found: list[Message] = []
        for process in self.hollow:
            answer = yield from self.lines.ask(process.address, {"kind": kind, **fields}, 20.0)
            found.append(answer.ok if answer.is_ok() else {})
        return found

    def state(self) -> Step[Plain]:
        """The sum of the hollow processes' counts."""
        total: Plain = {}
        for answer in (yield from self.tell("hollow.state")):
            for name, value in answer.items():
                before = total.get(name)
                if isinstance(value, dict):
                    counts: Counter[str] = Counter(before if isinstance(before, dict) else {})
                    counts.update(value)
                    total[name] = dict(counts)
                elif name.startswith(("members", "verdict")):
                    total[name] = value
                elif isinstance(value, int | float):
                    total[name] = value + (before if isinstance(before, int | float) else 0)
        return total

    def times(self, kind: str, seconds: float, **fields: object) -> Step[list[float]]:
        """Moments at which nodes came somewhere; all of them, or those there are when it ends."""
        until = self.scheduler.now() + seconds
        while True:
            found: list[float] = []
            for answer in (yield from self.tell(kind, **fields)):
                times = answer.get("times")
                found += [float(at) for at in times] if isinstance(times, list) else []
            if len(found) >= self.size.nodes or self.scheduler.now() >= until:
                return sorted(found)
            yield from self.scheduler.pause(0.05)

    def cores(self) -> list[Process]:
        """Return the control nodes."""
        return self.fleet.of_role("core")

    def find_leader(self, seconds: float = 20.0) -> Step[Process | None]:
        """Ask control nodes until one says it leads; None once the seconds are over."""
        until = self.scheduler.now() + seconds
        while self.scheduler.now() < until:
            for core in self.cores():
                if core.over:
                    continue
                found = yield from ask(
                    self.scheduler, self.reactor, core.control, "GET", "/fitness/ready"
                )
                if found.is_ok() and found.ok[1].get("leads") is True:
                    self.passed += self.leader not in ("", core.name)
                    self.leader = core.name
                    return core
            yield from self.scheduler.pause(0.1)
        return None

    def order(self, target: str, given: object) -> Step[tuple[int, Plain]]:
        """An operator's order; not taken or unknown, it is asked again under its id."""
        until = self.scheduler.now() + REACH_SECONDS
        while True:
            found = yield from ask(
                self.scheduler,
                self.reactor,
                self.fleet.processes[self.leader].control,
                "POST",
                target,
                given,
            )
            status, answer = found.ok if found.is_ok() else (0, fault_of(found.error))
            if status not in (0, 503, 504) or self.scheduler.now() >= until:
                return status, answer
            self.again += 1
            yield from self.scheduler.pause(0.1)
            yield from self.find_leader()

    def read(self) -> Step[Reading]:
        """Read all accounts and counts now."""
        state = yield from self.state()
        traffic = read_traffic()
        numbers = {
            process.name: process.popen.pid
            for process in self.fleet.processes.values()
            if process.popen is not None and not process.over
        }
        numbers.update(
            {
                f"hollow-{place}": process.popen.pid
                for place, process in enumerate(self.hollow)
                if process.popen is not None
            }
        )
        return Reading(
            self.scheduler.now(),
            {name: Account(number, traffic) for name, number in numbers.items()},
            state,
        )

    def followers(self) -> list[str]:
        """Return the names of the control nodes that do not lead."""
        return [core.name for core in self.cores() if core.name != self.leader]

    # Phases.

    def bring_up(self) -> Step[bool]:
        """The real processes, a configuration, and the hollow nodes, so many a second."""
        self.fleet.start()
        for hollow in self.hollow:
            hollow.start()
        for process in self.fleet.processes.values():
            if not (yield from wait_ready(self.scheduler, self.reactor, process, 60.0)):
                self.faults.append(f"{process.name} is not ready")
                return False
        if (yield from self.find_leader()) is None:
            self.faults.append("no leader")
            return False
        status, _ = yield from self.order(
            "/changes", {"id": "first", "base": 0, "put": self.fleet.shape.configuration}
        )
        if status != 200:
            self.faults.append(f"the first change: {status}")
            return False
        before = yield from self.read()
        started = self.scheduler.now()
        yield from self.tell("hollow.lose", without="")
        yield from self.tell("hollow.start", pause=self.size.processes / self.size.joins)
        back = yield from self.times(
            "hollow.back", JOIN_SECONDS + self.size.nodes / self.size.joins
        )
        self.keep_storm("join", started, back, before, (yield from self.read()))
        yield from self.scheduler.pause(3.0)
        return len(back) == self.size.nodes

    def keep_storm(
        self, name: str, started: float, back: list[float], before: Reading, after: Reading
    ) -> None:
        """What it took until all sessions stood; those that never came are a fault."""
        nodes = self.size.nodes
        if len(back) < nodes:
            self.faults.append(f"{name}: {len(back)} of {nodes} sessions")
        self.figures[f"{name} sessions"] = len(back)
        if back:
            self.figures[f"{name} s to half"] = back[len(back) // 2] - started
            self.figures[f"{name} s to all"] = back[-1] - started
        asks = after.asks - before.asks
        self.figures[f"{name} asks a node"] = sum(asks.values()) / nodes
        self.notes[f"{name} asks"] = dict(asks)
        images = number_of(after.state, "images") - number_of(before.state, "images")
        self.figures[f"{name} images"] = images
        if images and name == "join":
            self.figures["image bytes"] = (
                number_of(after.state, "image_bytes") - number_of(before.state, "image_bytes")
            ) / images
            self.figures["image ms to restore"] = (
                1000
                * (
                    number_of(after.state, "image_seconds")
                    - number_of(before.state, "image_seconds")
                )
                / images
            )
        spent = [
            Spent(before.accounts.get(core), after.accounts[core])
            for core in after.accounts
            if core.startswith("core")
        ]
        self.figures[f"{name} MB from cores"] = sum(one.bytes_out for one in spent) / 1e6
        self.figures[f"{name} s of processor, busiest core"] = max(one.cpu for one in spent)

    def at_rest(self) -> Step[None]:
        """A window without news: what standing sessions cost."""
        before = yield from self.read()
        yield from self.scheduler.pause(self.size.seconds)
        after = yield from self.read()
        span, nodes = after.at - before.at, self.size.nodes
        for role, names in (
            ("leader", [self.leader]),
            ("follower", self.followers()),
            ("edge", ["edge-real"]),
        ):
            spent = [Spent(before.accounts[name], after.accounts[name]) for name in names]
            self.keep_spent(role, spent, span, len(spent))
        spent = [
            Spent(before.accounts[name], after.accounts[name])
            for name in after.accounts
            if name.startswith("hollow")
        ]
        self.keep_spent("hollow node", spent, span, nodes)
        self.figures["hollow node asks/s"] = (after.asks - before.asks)["renew"] / span / nodes
        self.figures["rows/s told"] = (
            number_of(after.state, "rows") - number_of(before.state, "rows")
        ) / span
        self.figures["terms lapsed at rest"] = number_of(after.state, "lapsed") - number_of(
            before.state, "lapsed"
        )
        self.figures["members KB"] = number_of(after.state, "members_bytes") / 1e3
        self.figures["verdict KB"] = number_of(after.state, "verdict_bytes") / 1e3

    def keep_spent(self, role: str, spent: list[Spent], span: float, count: int) -> None:
        """Note what `count` processes or nodes of a role spent, each."""
        for name, value in (
            ("% of a core", 100 * sum(one.cpu for one in spent) / span),
            ("MB", sum(one.memory for one in spent) / 1e6),
            ("KB/s in", sum(one.bytes_in for one in spent) / span / 1e3),
            ("KB/s out", sum(one.bytes_out for one in spent) / span / 1e3),
            ("segments/s in", sum(one.segments_in for one in spent) / span),
            ("segments/s out", sum(one.segments_out for one in spent) / span),
            ("KB/s to disk", sum(one.disk for one in spent) / span / 1e3),
            ("descriptors", sum(one.descriptors for one in spent)),
        ):
            self.figures[f"{role} {name}"] = value / count

    def under_words(self, kind: str) -> Step[None]:
        """Changes or purges one after another: to the acknowledgement, and to the last node."""
        acknowledged: list[float] = []
        last: list[float] = []
        reached = 0
        before = yield from self.read()
        for _ in range(self.size.changes):
            self.turn += 1
            started = self.scheduler.now()
            if kind == "change":
                status, answer = yield from self.order(
                    "/changes",
                    {
                        "id": f"change-{self.turn}",
                        "base": self.version,
                        "put": {
                            "routes": {
                                "moved": {"path": f"/moved-{self.turn}", "service": "service-0"}
                            }
                        },
                    },
                )
                self.version = int(number_of(answer, "version"))
            else:
                status, answer = yield from self.order(
                    "/purges",
                    {"id": f"purge-{self.turn}", "scopes": [{"path": f"/route-0/{self.turn}"}]},
                )
            if status != 200:
                self.faults.append(f"{kind}: {status} {answer}")
                continue
            acknowledged.append(self.scheduler.now() - started)
            times = yield from self.times(
                "hollow.reached", REACH_SECONDS, index=answer.get("index")
            )
            reached += len(times)
            if len(times) == self.size.nodes:
                last.append(times[-1] - started)
        after = yield from self.read()
        self.figures[f"{kind}s acknowledged"] = len(acknowledged)
        self.figures[f"{kind}s reached"] = reached
        if acknowledged:
            self.figures[f"{kind} s to acknowledge p50"] = at_part(acknowledged, 0.5)
            self.figures[f"{kind} s to acknowledge p99"] = at_part(acknowledged, 0.99)
        if last:
            self.figures[f"{kind} s to the last node p50"] = at_part(last, 0.5)
            self.figures[f"{kind} s to the last node p99"] = at_part(last, 0.99)
        spent = Spent(before.accounts[self.leader], after.accounts[self.leader])
        self.figures[f"{kind} KB to the leader's disk"] = spent.disk / self.size.changes / 1e3

    def flood(self) -> Step[None]:
        """Purges at a rate, none waiting for another; how many nodes had each, and how late."""
        rate = self.size.flood
        if not rate:
            return
        taken: list[tuple[float, int]] = []
        over: list[bool] = []
        count = int(rate * FLOOD_SECONDS)

        def purge(number: int) -> Step[None]:
            started = self.scheduler.now()
            status, answer = yield from self.order(
                "/purges", {"id": f"flood-{number}", "scopes": [{"path": f"/route-0/{number}"}]}
            )
            index = answer.get("index")
            if status == 200 and isinstance(index, int):
                taken.append((started, index))
            over.append(True)

        before = yield from self.read()
        for number in range(count):
            due = before.at + number / rate
            self.scheduler.spawn("purge", purge(number))
            yield from self.scheduler.pause(max(0.0, due + 1 / rate - self.scheduler.now()))
        until = self.scheduler.now() + 30.0
        while len(over) < count and self.scheduler.now() < until:
            yield from self.scheduler.pause(0.05)
        after = yield from self.read()
        last: list[float] = []
        for started, index in taken:
            times = yield from self.times("hollow.reached", 1.0, index=index)
            if len(times) == self.size.nodes:
                last.append(times[-1] - started)
        self.figures["flood purges"] = count
        self.figures["flood purges acknowledged"] = len(taken)
        self.figures["flood purges at all nodes"] = len(last)
        if last:
            self.figures["flood s to the last node p50"] = at_part(last, 0.5)
            self.figures["flood s to the last node p99"] = at_part(last, 0.99)
        spent = Spent(before.accounts[self.leader], after.accounts[self.leader])
        span = after.at - before.at
        self.figures["flood leader % of a core"] = 100 * spent.cpu / span
        self.figures["flood leader KB/s out"] = spent.bytes_out / span / 1e3
        self.figures["flood leader KB/s to disk"] = spent.disk / span / 1e3

    def over_and_above(self, name: str, count: int, act: Callable[[int], Step[None]]) -> Step[None]:
        """What some events cost the leader beyond its rest, each."""
        if not count:
            return
        before = yield from self.read()
        for number in range(count):
            yield from act(number)
            yield from self.scheduler.pause(1.0)
        after = yield from self.read()
        spent = Spent(before.accounts[self.leader], after.accounts[self.leader])
        span = after.at - before.at
        rest = self.figures["leader KB/s out"] * span
        self.figures[f"{name}: KB from the leader above rest"] = (
            spent.bytes_out / 1e3 - rest
        ) / count
        self.figures[f"{name}: leader % of a core"] = 100 * spent.cpu / span

    def change_listing(self, number: int) -> Step[None]:
        """Change the platform's list and time it to the last node."""
        since = time.monotonic()
        self.platform.show(
            "service-0", "127.0.9.250:9999", zone_name(0, self.size.zones), number + 1
        )
        times = yield from self.times("hollow.listed", REACH_SECONDS, since=since)
        if len(times) < self.size.nodes:
            self.faults.append(f"listing: {len(times)} of {self.size.nodes}")
        elif number == 0 or times[-1] - since > self.figures["listing s to the last node"]:
            self.figures["listing s to the last node"] = times[-1] - since

    def restart_one(self, _: int) -> Step[None]:
        """Restart one hollow node in a planned way."""
        yield from self.lines.ask(
            self.hollow[0].address, {"kind": "hollow.restart", "count": 1}, 10.0
        )

    def lose_zone(self) -> Step[None]:
        """A zone's nodes end at once; then all of them come back at once."""
        before = yield from self.read()
        lost = sum(
            int(number_of(answer, "nodes"))
            for answer in (yield from self.tell("hollow.drop", zone=zone_name(1, self.size.zones)))
        )
        left = self.size.nodes - lost
        until = before.at + REACH_SECONDS
        while True:
            knowing = sum(
                int(number_of(answer, "nodes"))
                for answer in (yield from self.tell("hollow.knowing", edges=left + 1))
            )
            if knowing == left or self.scheduler.now() > until:
                break
            yield from self.scheduler.pause(0.05)
        self.figures["zone lost: nodes"] = lost
        self.figures["zone lost: others who know"] = knowing
        after = yield from self.read()
        span = after.at - before.at
        self.figures["zone lost: s until the others know"] = span
        spent = Spent(before.accounts[self.leader], after.accounts[self.leader])
        self.figures["zone lost: MB from the leader above rest"] = (
            spent.bytes_out / 1e6 - self.figures["leader KB/s out"] * span / 1e3
        )
        before = yield from self.read()
        yield from self.tell("hollow.lose", without="")
        started = self.scheduler.now()
        yield from self.tell("hollow.return")
        back = yield from self.times("hollow.back", JOIN_SECONDS)
        self.keep_storm("zone back", started, back, before, (yield from self.read()))
        yield from self.scheduler.pause(2.0)

    def lose_leader(self) -> Step[None]:
        """The leader is killed, and comes back after all sessions stand with another."""
        leader = yield from self.find_leader()
        if leader is None:
            self.faults.append("no leader to lose")
            return
        before = yield from self.read()
        yield from self.tell("hollow.lose", without=leader.wire)
        leader.signal(signal.SIGKILL)
        started = self.scheduler.now()
        leader.wait(5.0)
        back = yield from self.times("hollow.back", JOIN_SECONDS)
        after = yield from self.read()
        self.keep_storm("leader lost", started, back, before, after)
        self.figures["leader lost terms lapsed"] = number_of(after.state, "lapsed") - number_of(
            before.state, "lapsed"
        )
        leader.start()
        yield from wait_ready(self.scheduler, self.reactor, leader, 30.0)

    def lose_all(self) -> Step[None]:
        """All cores are killed and started again: every session is lost at once."""
        before = yield from self.read()
        for core in self.cores():
            core.signal(signal.SIGKILL)
        for core in self.cores():
            core.wait(5.0)
        yield from self.tell("hollow.lose", without="")
        started = self.scheduler.now()
        for core in self.cores():
            core.start()
        back = yield from self.times("hollow.back", JOIN_SECONDS)
        after = yield from self.read()
        for core in self.cores():
            before.accounts.pop(core.name, None)
        self.keep_storm("all lost", started, back, before, after)
        self.figures["all lost terms lapsed"] = number_of(after.state, "lapsed") - number_of(
            before.state, "lapsed"
        )

    def work(self) -> Step[None]:
        """Run all phases; stops early where the fleet does not come up."""
        if not (yield from self.bring_up()):
            return
        for phase in self.phases():
            if (yield from self.find_leader()) is None:
                self.faults.append("no leader")
                return
            yield from phase
        self.figures["orders asked again"] = self.again
        self.figures["lead passed unasked"] = self.passed - self.size.losses

    def phases(self) -> list[Step[None]]:
        """Return the phases in their order, not yet started."""
        restarts = self.size.restarts
        found = [
            self.at_rest(),
            self.under_words("change"),
            self.under_words("purge"),
            self.flood(),
            self.over_and_above("listing changed", restarts, self.change_listing),
            self.over_and_above("node restarted", restarts, self.restart_one),
        ]
        if self.size.losses:
            found += [self.lose_zone(), self.lose_leader(), self.lose_all()]
        return found

    def stop(self) -> None:
        """End all processes."""
        for process in self.hollow:
            process.stop()
        self.fleet.stop()


def fault_of(error: Exception) -> Plain:
    """Return a failed request as an answer."""
    return {"fault": str(error)}


def number_of(plain: Plain, name: str) -> float:
    """Return a number from an answer, 0 where it has none."""
    value = plain.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def at_part(values: list[float], part: float) -> float:
    """The value below or at which such a part of all values lies."""
    return sorted(values)[max(0, math.ceil(part * len(values)) - 1)]


def run_size(size: Size, keep: str = "") -> tuple[Figures, list[str], Plain]:
    """One bring-up of one size, from empty disks: its figures, its faults, its notes."""
    faults: list[str] = []

    def fault(task: str, error: BaseException) -> None:
        faults.append(f"{task}: {error!r}")
        reactor.stop()

    reactor = Reactor(fault)
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        run = ScaleRun(size, Path(keep or folder), reactor)

        def whole() -> Step[None]:
            yield from run.work()
            reactor.stop()

        reactor.scheduler.spawn("run", whole())
        try:
            reactor.run()
        finally:
            run.stop()
    return run.figures, run.faults + faults, run.notes


def measure_judging(nodes: int, zones: int, rows: int = 400) -> Figures:
    """The aggregator's work on full history: edges times the watch, rows each, in this process."""
    history, rules = History(600.0), Rules()
    watch = Watch(route="route-0", object="/route-0/watched")
    mark, now = watch_mark(watch), time.monotonic()
    by_zone: dict[str, list[str]] = {}
    for number in range(nodes):
        by_zone.setdefault(zone_name(number, zones), []).append(f"edge-{number:04d}")
    made = 0
    started = time.process_time()
    tracemalloc.start()
    for zone, names in by_zone.items():
        for edge in names:
            probers = [name for name in names if name != edge] or names
            for sequence in range(rows):
                prober = probers[sequence % len(probers)]
                row = Row(prober, prober, sequence, zone, edge, "watched", False, time.time(), mark)
                row.taken, row.age, row.ttfb = now - 600.0 + 600.0 * sequence / rows, 1.0, 12.0
                row.reachable = row.manifest_valid = row.object_fetchable = True
                history.add(row)
                made += 1
            if tracemalloc.is_tracing():
                held = tracemalloc.get_traced_memory()[0] / made
                tracemalloc.stop()
                made, started = 0, time.process_time()
    taken = (time.process_time() - started) / max(1, made)
    weights = dict.fromkeys(by_zone, 1.0 / len(by_zone))
    started = time.process_time()
    history.forget_old(now)
    judged = judge(by_zone, {"watched": watch}, weights, False, history, rules, now)
    return {
        "judging s": time.process_time() - started,
        "judging: µs to take a row": 1e6 * taken,
        "judging: bytes a row held": held,
        "judging: verdict KB": len(cbor2.dumps(judged.plain())) / 1e3,
    }


class Point:
    """All runs of one size."""

    __slots__ = ("faults", "label", "notes", "runs", "size")

    def __init__(self, label: str, size: Size) -> None:
        """Create a point without runs."""
        self.label = label
        self.size = size
        self.runs: list[Figures] = []
        self.faults: list[str] = []
        self.notes: list[Plain] = []

    def values(self, name: str) -> list[float]:
        """Return a figure's values over all runs, sorted."""
        return sorted(run[name] for run in self.runs if name in run)

    def median(self, name: str) -> float | None:
        """Return a figure's median over all runs, None where no run has it."""
        values = self.values(name)
        return statistics.median(values) if values else None

    def plain(self) -> Plain:
        """Return the point as plain data for the JSON file."""
        return {
            "label": self.label,
            "nodes": self.size.nodes,
            "zones": self.size.zones,
            "servers": self.size.servers,
            "routes": self.size.routes,
            "runs": self.runs,
            "faults": self.faults,
            "notes": self.notes,
        }


def growth(first: Point, second: Point, name: str, by: str) -> float | None:
    """The exponent between two points: 0 does not grow, 1 grows in step, 2 by the square."""
    one, other = first.median(name), second.median(name)
    start, end = getattr(first.size, by), getattr(second.size, by)
    if one is None or other is None or one <= 0 or other <= 0 or start == end:
        return None
    return math.log(other / one) / math.log(end / start)


def table(points: list[Point], by: str) -> str:
    """Medians with lowest and highest, and the exponent between the two greatest sizes."""
    names = list(dict.fromkeys(name for point in points for run in point.runs for name in run))
    lines = [
        "| figure | " + " | ".join(point.label for point in points) + " | exponent |",
        "|---" * (len(points) + 2) + "|",
    ]
    for name in names:
        cells = [cell(point.values(name)) for point in points]
        power = growth(points[-2], points[-1], name, by) if len(points) > 1 else None
        cells.append("" if power is None else f"{power:.2f}")
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def cell(values: list[float]) -> str:
    """Return a table cell: the median, with lowest and highest where they differ."""
    if not values:
        return ""
    middle = statistics.median(values)
    if len(values) == 1 or values[0] == values[-1]:
        return f"{middle:.3g}"
    return f"{middle:.3g} ({values[0]:.3g} to {values[-1]:.3g})"


def plot(points: list[Point], by: str, folder: Path) -> None:
    """One picture a figure, both axes by powers, every run a dot."""
    from matplotlib.figure import Figure

    folder.mkdir(parents=True, exist_ok=True)
    names = list(dict.fromkeys(name for point in points for run in point.runs for name in run))
    for name in names:
        picture = Figure(figsize=(5, 3.5), layout="constrained")
        axes = picture.subplots()
        known = [(getattr(point.size, by), point) for point in points if point.values(name)]
        for place, point in known:
            values = point.values(name)
            axes.plot([place] * len(values), values, "o", color="tab:grey", markersize=4)
        axes.plot(
            [place for place, _ in known],
            [statistics.median(point.values(name)) for _, point in known],
            "-",
        )
        if all(point.values(name)[0] > 0 for _, point in known):
            axes.set_xscale("log")
            axes.set_yscale("log")
        axes.set_xlabel(by)
        axes.set_title(name, fontsize=9)
        file = "".join(letter if letter.isalnum() else "-" for letter in name)
        picture.savefig(folder / f"{by}-{file}.png", dpi=110)


def run_scale(
    sizes: dict[str, list[int]], fixed: Size, runs: int, write: str = "", plots: str = ""
) -> list[Point]:
    """Every size so many times; one list with more than one entry gives the axis."""
    by = next((name for name, counts in sizes.items() if len(counts) > 1), "nodes")
    points: list[Point] = []
    for count in sizes[by]:
        given = {name: counts[0] for name, counts in sizes.items()}
        given[by] = count
        size = Size(
            **given,
            processes=fixed.processes,
            seconds=fixed.seconds,
            changes=fixed.changes,
            restarts=fixed.restarts,
            flood=fixed.flood,
            probe_seconds=fixed.probe_seconds,
            joins=fixed.joins,
            losses=fixed.losses,
        )
        points.append(Point(f"{count} {by}", size))
    for point in points:
        for number in range(runs):
            started = time.monotonic()
            figures, faults, notes = run_size(point.size)
            if by == "nodes":
                figures.update(measure_judging(point.size.nodes, point.size.zones))
            point.runs.append(figures)
            point.faults += faults
            point.notes.append(notes)
            sys.stderr.write(
                f"{point.label}, run {number + 1}: {time.monotonic() - started:.0f} s"
                f"{'; ' + '; '.join(faults) if faults else ''}\n"
            )
            if write:
                Path(write).write_text(
                    json.dumps(
                        {"by": by, "sizes": sizes, "points": [one.plain() for one in points]},
                        indent=1,
                    )
                )
    if plots:
        plot(points, by, Path(plots))
    return points
