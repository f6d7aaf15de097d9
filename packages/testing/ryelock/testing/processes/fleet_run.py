"""A fleet of real processes with traffic through it, and what is asked and checked of it.

What is judged are rules and counts, from the histories of stand-ins and callers; times are shown,
not judged.
"""

import json
import signal
import statistics
from pathlib import Path
from random import Random

from ryelock.control_client import ControlResponse, call_control_api
from ryelock.events import RecordingLog
from ryelock.runtime import Scheduler
from ryelock.runtime.reactor import Reactor
from ryelock.testing.checks import (
    Findings,
    check_at_most_once,
    check_bytes,
    check_rates,
    check_retry_budget,
)
from ryelock.testing.processes.fleet import Fleet, Process, wait_ready
from ryelock.testing.processes.shapes import Kind, Shape
from ryelock.testing.stand_ins.callers import Caller, RequestRecord
from ryelock.testing.stand_ins.servers import Objects, PlatformStandIn, ServedRequest, ServerStandIn

CALLERS = 40


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
        "platform",
        "random",
        "reactor",
        "ready",
        "report",
        "requests_sent",
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
        self.log = RecordingLog("runner")
        self.history: list[ServedRequest] = []
        self.notes: list[RequestRecord] = []
        self.objects: dict[str, Objects] = {}
        self.servers: list[ServerStandIn] = []
        self.report: dict[str, object] = {"shape": shape.name, "seed": seed}
        self.stopped = False
        self.requests_sent = 0
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

    async def operator(self, method: str, target: str, given: object = None) -> ControlResponse:
        """Send an operator's request to any control address; status 0 where none answered."""
        found = await call_control_api(
            self.scheduler, self.reactor, self.control(), method, target, given
        )
        return found.ok if found.is_ok() else ControlResponse(0, {"fault": str(found.error)})

    async def change(self, identity: str, base: int, **parts: object) -> ControlResponse:
        """Send a configuration change on top of version `base`."""
        return await self.operator("POST", "/changes", {"id": identity, "base": base, **parts})

    async def bring_up(self, seconds: float = 60.0) -> bool:
        """Start all daemons and wait until each is ready."""
        self.fleet.start()
        started = self.scheduler.now()
        for process in self.fleet.processes.values():
            if not await wait_ready(self.scheduler, self.reactor, process, seconds):
                self.report["not_ready"] = process.name
                return False
        self.report["ready_seconds"] = round(self.scheduler.now() - started, 2)
        return True

    async def set_up(self) -> bool:
        """Apply the shape's configuration."""
        status, answer = await self.change("first", 0, put=self.shape.configuration)
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

    async def call_on(self, number: int, rate: float) -> None:
        """One caller: orders at its part of the rate until the run says stop."""
        caller = Caller(self.scheduler, self.reactor, self.random, self.notes)
        await self.scheduler.sleep(self.random.random() * CALLERS / rate)
        edges = self.fleet.of_role("edge")
        due = self.scheduler.now()
        while not self.stopped:
            ready = [process for process in edges if process.name in self.ready]
            if not ready:
                await self.scheduler.sleep(0.1)
                continue
            edge = ready[(number + self.requests_sent // 200) % len(ready)]
            kind = self.pick_kind()
            self.requests_sent += 1
            identity = f"c{number}-{self.requests_sent}"
            target = f"{kind.path}{self.random.randrange(kind.objects)}"
            await caller.request(
                edge.request_address, kind.method, target, identity, None, b"x" * kind.body
            )
            due += self.random.expovariate(rate / CALLERS)
            wait = due - self.scheduler.now()
            if wait > 0:
                await self.scheduler.sleep(wait)
            elif wait < -5:
                due = self.scheduler.now()
        caller.close()
        self.callers_over += 1

    async def hand_callers(self, process: Process) -> None:
        """As the platform does: asks one edge whether it is ready, over and over."""
        while not self.stopped:
            fine = False
            if not process.over and process.name not in self.frozen:
                found = await call_control_api(
                    self.scheduler, self.reactor, process.control, "GET", "/fitness/ready"
                )
                fine = found.is_ok() and found.ok.status == 200
            (self.ready.add if fine else self.ready.discard)(process.name)
            await self.scheduler.sleep(0.15)

    def start_traffic(self, rate: float) -> None:
        """Start the callers, so many requests a second together."""
        for process in self.fleet.of_role("edge"):
            self.scheduler.create_task(
                self.hand_callers(process), name=f"readiness of {process.name}"
            )
        for number in range(CALLERS):
            self.scheduler.create_task(self.call_on(number, rate), name=f"caller {number}")

    async def end_traffic(self) -> None:
        """Stop the callers and wait for their open requests."""
        self.stopped = True
        until = self.scheduler.now() + 20
        while self.callers_over < CALLERS and self.scheduler.now() < until:
            await self.scheduler.sleep(0.05)

    async def wait_verdict(self, zone: str, word: str, seconds: float) -> float | None:
        """Seconds until the record shows a zone's word; None when it does not."""
        started = self.scheduler.now()
        while self.scheduler.now() < started + seconds:
            status, record = await self.operator("GET", "/verdicts")
            verdict = record.get("verdict") if status == 200 else None
            zones = verdict.get("zones") if isinstance(verdict, dict) else None
            found = zones.get(zone) if isinstance(zones, dict) else None
            if isinstance(found, dict) and found.get("verdict") == word:
                return self.scheduler.now() - started
            await self.scheduler.sleep(0.2)
        return None

    async def leader(self) -> Process | None:
        """Return the control node that says it leads, or None."""
        for process in self.fleet.of_role("core"):
            if process.over or process.name in self.frozen:
                continue
            found = await call_control_api(
                self.scheduler, self.reactor, process.control, "GET", "/fitness/ready"
            )
            if found.is_ok() and found.ok.body.get("leads") is True:
                return process
        return None

    async def rolling_restart(self) -> int:
        """Stop and start every process in turn, each waited for."""
        count = 0
        for process in list(self.fleet.processes.values()):
            process.signal(signal.SIGTERM)
            until = self.scheduler.now() + 20
            while not process.over and self.scheduler.now() < until:
                await self.scheduler.sleep(0.05)
            process.start()
            if not await wait_ready(self.scheduler, self.reactor, process, 30):
                self.report["restart_not_ready"] = process.name
                return count
            count += 1
        return count

    def summary(self, since: float) -> dict[str, object]:
        """Return counts and times of all requests since a moment."""
        notes = [record for record in self.notes if record.sent_at >= since and record.ending]
        statuses: dict[str, int] = {}
        for record in notes:
            key = str(record.status) if record.complete else record.ending
            statuses[key] = statuses.get(key, 0) + 1
        reasons: dict[str, int] = {}
        for record in notes:
            if record.complete and record.status >= 400:
                reason = reason_of(record)
                reasons[reason] = reasons.get(reason, 0) + 1
        times = sorted(record.seconds for record in notes if record.complete)
        span = (max((record.sent_at for record in notes), default=since) - since) or 1.0
        return {
            "orders": len(notes),
            "per_second": round(len(notes) / span, 1),
            "by_status": statuses,
            "declined_for": reasons,
            "median_ms": round(statistics.median(times) * 1000, 1) if times else None,
            "p99_ms": round(times[int(len(times) * 0.99)] * 1000, 1) if times else None,
            "cut": sum(not record.complete and record.status > 0 for record in notes),
        }

    def findings(self) -> Findings:
        """Check the rules on the notes of callers and the histories of stand-ins."""
        rates = {name: float(str(service["rate"])) for name, service in self.services().items()}
        found = Findings()
        check_at_most_once(found, self.notes, self.history)
        check_bytes(found, self.notes, self.objects, self.routes())
        check_rates(found, self.history, rates)
        check_retry_budget(found, self.history)
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


def reason_of(record: RequestRecord) -> str:
    """Return the reason that a failed request was told."""
    try:
        return str(json.loads(record.body)["error"])
    except (ValueError, KeyError, TypeError):
        return f"status {record.status}"
