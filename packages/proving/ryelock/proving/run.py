"""One run of a fleet of real processes: traffic, faults by plan, and a report of rules kept.

`python -m ryelock.proving fleet SHAPE` prints a JSON report. What the report judges are rules
and counts, from the histories of stand-ins and callers; times are shown, not judged.
"""

import json
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from ryelock.events import QuietLog
from ryelock.loop import Scheduler, Step
from ryelock.loop.reactor import Reactor
from ryelock.operator import Reply, ask
from ryelock.proving.callers import Caller, Told
from ryelock.proving.checks import Findings, check_bytes, check_once, check_rates, check_repeats
from ryelock.proving.fleet import FAST, Fleet, Process, wait_ready
from ryelock.proving.reactors import run_to_end
from ryelock.proving.shapes import SHAPES, Kind, Shape
from ryelock.proving.standins import Objects, PlatformStandIn, Ran, ServerStandIn

CALLERS = 40
CROWD_MOST = 400


class Run:
    """A fleet, its outside world on one reactor, and the notes of both."""

    __slots__ = (
        "callers_over",
        "crowd_over",
        "fleet",
        "frozen",
        "history",
        "log",
        "notes",
        "objects",
        "orders_sent",
        "platform",
        "random",
        "reactor",
        "ready",
        "report",
        "scheduler",
        "servers",
        "shape",
        "stopped",
    )

    def __init__(
        self, shape: Shape, folder: Path, reactor: Reactor, seed: int, settings: dict[str, object]
    ) -> None:
        """Create the stand-ins and write the fleet's settings; nothing is started yet."""
        self.shape = shape
        self.reactor = reactor
        self.scheduler: Scheduler = reactor.scheduler
        self.random = Random(seed)
        self.log = QuietLog("runner")
        self.history: list[Ran] = []
        self.notes: list[Told] = []
        self.objects: dict[str, Objects] = {}
        self.servers: list[ServerStandIn] = []
        self.report: dict[str, object] = {"shape": shape.name, "seed": seed}
        self.stopped = False
        self.orders_sent = 0
        self.ready: set[str] = set()
        self.callers_over = 0
        self.crowd_over = 0
        self.frozen: set[str] = set()
        self.platform = PlatformStandIn(self.scheduler, reactor, self.log, "127.0.9.1:0")
        zones = shape.zones
        for service, count in shape.servers.items():
            self.objects[service] = Objects()
            for number in range(count):
                server = ServerStandIn(
                    self.scheduler,
                    reactor,
                    self.log,
                    service,
                    "127.0.9.2:0",
                    self.objects[service],
                    self.history,
                )
                server.delay = 0.002
                self.servers.append(server)
                self.platform.show(service, server.address, zones[number % len(zones)], 1)
        self.fleet = Fleet(shape, folder, self.platform.address, settings)

    def control(self) -> str:
        """Any control address of a process that runs."""
        able = [
            process
            for process in self.fleet.of_role("edge") + self.fleet.of_role("core")
            if not process.over and process.name not in self.frozen
        ]
        return self.random.choice(able).control

    def operator(self, method: str, target: str, given: object = None) -> Step[Reply]:
        """Send an operator's request to any control address; status 0 where none answered."""
        found = yield from ask(self.scheduler, self.reactor, self.control(), method, target, given)
        return found.ok if found.is_ok() else Reply(0, {"fault": str(found.error)})

    def change(self, identity: str, base: int, **parts: object) -> Step[Reply]:
        """Send a configuration change on top of version `base`."""
        return (
            yield from self.operator("POST", "/changes", {"id": identity, "base": base, **parts})
        )

    def bring_up(self, seconds: float = 60.0) -> Step[bool]:
        """Start all daemons and wait until each is ready."""
        self.fleet.start()
        started = self.scheduler.now()
        for process in self.fleet.processes.values():
            if not (yield from wait_ready(self.scheduler, self.reactor, process, seconds)):
                self.report["not_ready"] = process.name
                return False
        self.report["ready_seconds"] = round(self.scheduler.now() - started, 2)
        return True

    def set_up(self) -> Step[bool]:
        """Apply the shape's configuration."""
        status, answer = yield from self.change("first", 0, put=self.shape.configuration)
        self.report["first_change"] = {"status": status, "version": answer.get("version")}
        return status == 200

    def pick_kind(self) -> Kind:
        """Pick a kind of request, each as often as its part says."""
        mark = self.random.random()
        for kind in self.shape.kinds:
            mark -= kind.part
            if mark <= 0:
                return kind
        return self.shape.kinds[-1]

    def call_on(self, number: int, rate: float) -> Step[None]:
        """One caller: orders at its part of the rate until the run says stop."""
        caller = Caller(self.scheduler, self.reactor, self.random, self.notes)
        yield from self.scheduler.pause(self.random.random() * CALLERS / rate)
        edges = self.fleet.of_role("edge")
        due = self.scheduler.now()
        while not self.stopped:
            ready = [process for process in edges if process.name in self.ready]
            if not ready:
                yield from self.scheduler.pause(0.1)
                continue
            edge = ready[(number + self.orders_sent // 200) % len(ready)]
            kind = self.pick_kind()
            self.orders_sent += 1
            identity = f"c{number}-{self.orders_sent}"
            target = f"{kind.path}{self.random.randrange(kind.objects)}"
            yield from caller.order(
                edge.order, kind.method, target, identity, None, b"x" * kind.body
            )
            due += self.random.expovariate(rate / CALLERS)
            wait = due - self.scheduler.now()
            if wait > 0:
                yield from self.scheduler.pause(wait)
            elif wait < -5:
                due = self.scheduler.now()
        caller.close()
        self.callers_over += 1

    def hand_callers(self, process: Process) -> Step[None]:
        """As the platform does: asks one edge whether it is ready, over and over."""
        while not self.stopped:
            fine = False
            if not process.over and process.name not in self.frozen:
                found = yield from ask(
                    self.scheduler, self.reactor, process.control, "GET", "/fitness/ready"
                )
                fine = found.is_ok() and found.ok.status == 200
            (self.ready.add if fine else self.ready.discard)(process.name)
            yield from self.scheduler.pause(0.15)

    def start_traffic(self, rate: float) -> None:
        """Start the callers, so many requests a second together."""
        for process in self.fleet.of_role("edge"):
            self.scheduler.spawn(f"readiness of {process.name}", self.hand_callers(process))
        for number in range(CALLERS):
            self.scheduler.spawn(f"caller {number}", self.call_on(number, rate))

    def end_traffic(self) -> Step[None]:
        """Stop the callers and wait for their open requests."""
        self.stopped = True
        until = self.scheduler.now() + 20
        while self.callers_over < CALLERS and self.scheduler.now() < until:
            yield from self.scheduler.pause(0.05)

    def wait_verdict(self, zone: str, word: str, seconds: float) -> Step[float | None]:
        """Seconds until the record shows a zone's word; None when it does not."""
        started = self.scheduler.now()
        while self.scheduler.now() < started + seconds:
            status, record = yield from self.operator("GET", "/verdicts")
            verdict = record.get("verdict") if status == 200 else None
            zones = verdict.get("zones") if isinstance(verdict, dict) else None
            found = zones.get(zone) if isinstance(zones, dict) else None
            if isinstance(found, dict) and found.get("verdict") == word:
                return self.scheduler.now() - started
            yield from self.scheduler.pause(0.2)
        return None

    def leader(self) -> Step[Process | None]:
        """Return the control node that says it leads, or None."""
        for process in self.fleet.of_role("core"):
            if process.over or process.name in self.frozen:
                continue
            found = yield from ask(
                self.scheduler, self.reactor, process.control, "GET", "/fitness/ready"
            )
            if found.is_ok() and found.ok.plain.get("leads") is True:
                return process
        return None

    def rolling_restart(self) -> Step[int]:
        """Stop and start every process in turn, each waited for."""
        count = 0
        for process in list(self.fleet.processes.values()):
            process.signal(signal.SIGTERM)
            until = self.scheduler.now() + 20
            while not process.over and self.scheduler.now() < until:
                yield from self.scheduler.pause(0.05)
            process.start()
            if not (yield from wait_ready(self.scheduler, self.reactor, process, 30)):
                self.report["restart_not_ready"] = process.name
                return count
            count += 1
        return count

    def summary(self, since: float) -> dict[str, object]:
        """Return counts and times of all requests since a moment."""
        notes = [told for told in self.notes if told.at >= since and told.end]
        statuses: dict[str, int] = {}
        for told in notes:
            key = str(told.status) if told.whole else told.end
            statuses[key] = statuses.get(key, 0) + 1
        reasons: dict[str, int] = {}
        for told in notes:
            if told.whole and told.status >= 400:
                reason = reason_of(told)
                reasons[reason] = reasons.get(reason, 0) + 1
        times = sorted(told.seconds for told in notes if told.whole)
        span = (max((told.at for told in notes), default=since) - since) or 1.0
        return {
            "orders": len(notes),
            "per_second": round(len(notes) / span, 1),
            "by_status": statuses,
            "declined_for": reasons,
            "median_ms": round(statistics.median(times) * 1000, 1) if times else None,
            "p99_ms": round(times[int(len(times) * 0.99)] * 1000, 1) if times else None,
            "cut": sum(not told.whole and told.status > 0 for told in notes),
        }

    def findings(self) -> Findings:
        """Check the rules on the notes of callers and the histories of stand-ins."""
        rates = {name: float(str(service["rate"])) for name, service in self.services().items()}
        found = Findings()
        check_once(found, self.notes, self.history)
        check_bytes(found, self.notes, self.objects, self.routes())
        check_rates(found, self.history, rates)
        check_repeats(found, self.history)
        return found

    def services(self) -> dict[str, dict[str, object]]:
        """Return the configured services by name."""
        services = self.shape.configuration["services"]
        assert isinstance(services, dict)
        return services

    def routes(self) -> dict[str, str]:
        """Return the configured services by path."""
        routes = self.shape.configuration["routes"]
        assert isinstance(routes, dict)
        return {str(route["path"]): str(route["service"]) for route in routes.values()}


def reason_of(told: Told) -> str:
    """Return the reason that a failed request was told."""
    try:
        return str(json.loads(told.body)["error"])
    except (ValueError, KeyError, TypeError):
        return f"status {told.status}"


def quick(run: Run, seconds: float, faults: bool) -> Step[int]:
    """The run of the quick start and of CI: everything seen once, rules checked."""
    good = yield from run.bring_up()
    good = good and (yield from run.set_up())
    if not good:
        return 1
    started = run.scheduler.now()
    run.start_traffic(run.shape.rate)
    yield from run.scheduler.pause(seconds)
    zone = run.shape.zones[0]
    run.report["healthy_after"] = yield from run.wait_verdict(zone, "healthy", 30)
    status, answer = yield from run.change(
        "under-load",
        1,
        put={"routes": {"extra": {"path": "/extra", "service": next(iter(run.shape.servers))}}},
    )
    run.report["change_under_load"] = {"status": status, "version": answer.get("version")}
    status, _ = yield from run.operator(
        "POST", "/purges", {"id": "purge-1", "scopes": [{"prefix": run.shape.kinds[0].path}]}
    )
    run.report["purge"] = status
    drained = run.fleet.of_role("edge")[0]
    status, _ = yield from run.operator(
        "POST", "/drains", {"id": "drain-1", "target": drained.name}
    )
    run.report["drain"] = status
    status, _ = yield from run.operator(
        "POST", "/recoveries", {"id": "recover-1", "target": drained.name}
    )
    run.report["recover"] = status
    if faults:
        yield from with_faults(run)
    run.report["traffic"] = run.summary(started)
    yield from run.end_traffic()
    found = run.findings()
    run.report["violations"] = found.violations[:20]
    run.report["checked"] = found.checked
    return 0 if not found.violations and status == 200 else 1


def with_faults(run: Run) -> Step[None]:
    """A killed leader, a dead zone, a rolling restart."""
    leader = yield from run.leader()
    if leader is not None:
        leader.signal(signal.SIGKILL)
        killed = run.scheduler.now()
        while run.scheduler.now() < killed + 30:
            status, _ = yield from run.change(
                f"after-{run.scheduler.now()}",
                2,
                put={
                    "routes": {
                        "later": {"path": "/later", "service": next(iter(run.shape.servers))}
                    }
                },
            )
            if status == 200:
                break
            yield from run.scheduler.pause(0.1)
        run.report["change_after_leader_lost"] = round(run.scheduler.now() - killed, 2)
        leader.start()
        yield from wait_ready(run.scheduler, run.reactor, leader, 30)
    zone = run.shape.zones[-1]
    dead = [process for process in run.fleet.of_role("edge") if process.zone == zone]
    for process in dead:
        process.signal(signal.SIGKILL)
    down = yield from run.wait_verdict(zone, "down", 60)
    run.report["dead_zone_found_after"] = None if down is None else round(down, 2)
    for process in dead:
        process.start()
        yield from wait_ready(run.scheduler, run.reactor, process, 30)
    healthy = yield from run.wait_verdict(zone, "healthy", 60)
    run.report["zone_back_after"] = None if healthy is None else round(healthy, 2)
    yield from with_frozen(run)
    yield from with_many_killed(run)
    yield from with_crowd(run)
    yield from with_stale_copies(run, zone)
    before = run.scheduler.now()
    run.report["restarted"] = yield from run.rolling_restart()
    run.report["during_restart"] = run.summary(before)


def first_service(run: Run) -> str:
    """Return the name of the shape's first service."""
    return next(iter(run.shape.servers))


def change_soon(run: Run, name: str, seconds: float) -> Step[float | None]:
    """Return the seconds until a change is acknowledged, None where it is not.

    It is retried under its id; under a new one where another change came first, since the
    outcome of an id stays.
    """
    started = run.scheduler.now()
    identity = name
    while run.scheduler.now() < started + seconds:
        _, answer = yield from run.operator("GET", "/configuration")
        base = answer.get("version")
        status, _ = yield from run.change(
            identity,
            base if isinstance(base, int) else 0,
            put={"routes": {name: {"path": f"/{name}", "service": first_service(run)}}},
        )
        if status == 200:
            return round(run.scheduler.now() - started, 2)
        if status == 409:
            identity += "+"
        yield from run.scheduler.pause(0.1)
    return None


def with_frozen(run: Run) -> Step[None]:
    """The leader and then an edge stop running while their links stand, and wake late."""
    found: dict[str, object] = {}
    leader = yield from run.leader()
    for what, process in (("leader", leader), ("edge", run.fleet.of_role("edge")[0])):
        if process is None:
            continue
        run.frozen.add(process.name)
        process.signal(signal.SIGSTOP)
        found[f"change_with_{what}_frozen"] = yield from change_soon(run, f"frozen-{what}", 20)
        yield from run.scheduler.pause(2.0)
        process.signal(signal.SIGCONT)
        run.frozen.discard(process.name)
        yield from wait_ready(run.scheduler, run.reactor, process, 20)
    run.report["frozen"] = found


def with_many_killed(run: Run) -> Step[None]:
    """A minority of the cores, half of the edges and a prober at once, midway through a change."""
    cores, edges = run.fleet.of_role("core"), run.fleet.of_role("edge")
    leader = yield from run.leader()
    lost = [core for core in cores if core is not leader][: (min(len(cores), 5) - 1) // 2 - 1]
    lost += edges[::2] + run.fleet.of_role("prober")[:1] + ([leader] if leader else [])
    run.scheduler.spawn("midway", midway(run))
    yield from run.scheduler.pause(0.004)
    for process in lost:
        process.signal(signal.SIGKILL)
    acknowledged = yield from change_soon(run, "many-killed", 20)
    for process in lost:
        process.start()
    for process in lost:
        yield from wait_ready(run.scheduler, run.reactor, process, 30)
    run.report["many_killed"] = {"processes": len(lost), "change_after": acknowledged}


def midway(run: Run) -> Step[None]:
    """Send one change, whatever becomes of it."""
    yield from change_soon(run, "midway", 0.0)


def with_crowd(run: Run) -> Step[None]:
    """Send ten times the rate for some seconds, whatever becomes of earlier requests.

    A caller whose request fails retries it once, at once.
    """
    before = run.scheduler.now()
    until = before + 6.0
    number = 0
    while run.scheduler.now() < until:
        for _ in range(max(1, int(run.shape.rate * 10 * 0.05))):
            if number - run.crowd_over < CROWD_MOST:
                number += 1
                run.scheduler.spawn("crowd", in_crowd(run, number))
        yield from run.scheduler.pause(0.05)
    while number > run.crowd_over and run.scheduler.now() < until + 20:
        yield from run.scheduler.pause(0.1)
    told = [one for one in run.notes if one.at >= before and one.identity.startswith("x")]
    declined = [one for one in told if one.whole and one.status in (429, 503)]
    run.report["crowd"] = {
        "came": number,
        "whole_200": sum(one.whole and one.status == 200 for one in told),
        "declined": len(declined),
        "declined_without_retry_after": sum(not one.retry_after for one in declined),
        "decline_median_ms": round(statistics.median([one.seconds for one in declined]) * 1000, 1)
        if declined
        else None,
    }
    yield from run.scheduler.pause(2.0)


def in_crowd(run: Run, number: int) -> Step[None]:
    """Send a request of one impatient caller, and once more where it failed."""
    try:
        ready = sorted(run.ready)
        if not ready:
            return
        edge = run.fleet.processes[run.random.choice(ready)].order
        kind = run.pick_kind()
        caller = Caller(run.scheduler, run.reactor, run.random, run.notes, 10.0)
        target = f"{kind.path}{run.random.randrange(kind.objects)}"
        for turn in range(2):
            fields = [(b"X-Retry-Count", b"%d" % turn)] if turn and kind.method == "GET" else []
            identity = f"x{number}" if kind.method == "GET" else f"x{number}-{turn}"
            told = yield from caller.order(
                edge, kind.method, target, identity, fields, b"x" * kind.body
            )
            if told.status == 200:
                break
        caller.close()
    finally:
        run.crowd_over += 1


def with_stale_copies(run: Run, zone: str) -> Step[None]:
    """An object changes under copies that live long: stale by its watch, until it is purged."""
    service = next(iter(run.shape.servers))
    _, answer = yield from run.operator("GET", "/configuration")
    version = int(str(answer.get("version", 0)))
    status, _ = yield from run.change(
        "aged",
        version,
        put={
            "routes": {
                "aged": {
                    "path": "/aged",
                    "service": service,
                    "cached": True,
                    "lifetime_seconds": 600,
                }
            },
            "watches": {
                "aged": {
                    "route": "aged",
                    "object": "/aged/watched",
                    "dating": "etag",
                    "stale_seconds": 2,
                }
            },
        },
    )
    yield from run.scheduler.pause(8.0)
    run.objects[service].change("/aged/watched", run.scheduler.clock.wall())
    stale = yield from run.wait_verdict(zone, "stale", 60)
    purged, _ = yield from run.operator(
        "POST", "/purges", {"id": "purge-aged", "scopes": [{"path": "/aged/watched"}]}
    )
    healthy = yield from run.wait_verdict(zone, "healthy", 60)
    run.report["stale_zone"] = {
        "change": status,
        "purge": purged,
        "found_after": stale,
        "healthy_after_purge": healthy,
    }


def run_fleet(name: str, seconds: float, seed: int, faults: bool, keep: str) -> int:
    """Bring a shape up, run it, print the report; the exit code tells whether rules held."""
    settings: dict[str, object] = dict(FAST)
    if name != "small":
        settings["probe_seconds"] = 3.0
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        runs: list[Run] = []

        def begin(reactor: Reactor) -> Step[int]:
            runs.append(Run(SHAPES[name](), Path(keep or folder), reactor, seed, settings))
            return quick(runs[0], seconds, faults)

        started = time.monotonic()
        try:
            ended = run_to_end(begin)
        finally:
            for run in runs:
                run.fleet.stop()
        run.report["seconds"] = round(time.monotonic() - started, 1)
    sys.stderr.writelines(f"{fault}\n" for fault in ended.faults)
    sys.stdout.write(json.dumps(run.report, indent=2) + "\n")
    return 1 if ended.faults or ended.result is None else ended.result
