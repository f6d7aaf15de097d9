"""One soak run, and the command that plays several seeds.

`python -m ryelock.testing soak --seed 1 --runs 50` prints a line for each seed. Real processes keep
no seed to the letter: a seed repeats the plan and the mix of requests, not the moments.
"""

import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from ryelock.events import RecordingLog
from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor
from ryelock.testing.checks import Findings
from ryelock.testing.processes.fleet import FAST, Fleet, wait_ready
from ryelock.testing.processes.reactors import run_to_end
from ryelock.testing.soak.clients import SoakClient, SoakRequest
from ryelock.testing.soak.judging import ENDS, judge
from ryelock.testing.soak.operators import SoakOperator
from ryelock.testing.soak.plan import FleetSize, Plan, draw_plan, shape_of
from ryelock.testing.soak.processes import Supervisor
from ryelock.testing.soak.series import SeriesPlayer
from ryelock.testing.soak.servers import Arrivals, WorkingServers
from ryelock.testing.stand_ins.servers import Objects, ServedRequest

SETTINGS: dict[str, object] = {**FAST, "stop_seconds": 6.0, "linger_seconds": 0.5}
CROWDED_PROBE_SECONDS = 30.0
"""Each edge probes every edge of its zone, so that probes grow with the square of their number."""
READY_SECONDS = 120.0
CLIENTS_PER_EDGE = 2
MAX_CLIENTS = 80
POLL_SECONDS = 0.05
SERIES_SECONDS = 120.0
MAX_SHOWN_VIOLATIONS = 10


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one run.

    Attributes:
        plan: the plan.
        findings: the findings.
        requests: number of requests that clients sent.
        changes: number of changes that were acknowledged.
    """

    plan: Plan
    findings: Findings
    requests: int
    changes: int

    def report(self) -> str:
        """Return the lines that the command prints for this run."""
        violations = self.findings.violations
        kinds = ", ".join(f"{one.kind} x{one.repeats}" for one in self.plan.series)
        word = "BROKEN" if violations else "held"
        lines = [
            f"seed {self.plan.seed} ({self.plan.size}): {word}; {self.requests} requests, "
            f"{self.changes} changes, {self.findings.checked.get(ENDS, 0)} ends; {kinds}"
        ]
        lines += [f"  {text}" for text in violations[:MAX_SHOWN_VIOLATIONS]]
        if violations:
            lines.append(
                f"  {len(violations)} violations; again: python -m ryelock.testing soak "
                f"--seed {self.plan.seed} --size {self.plan.size} --seconds {self.plan.seconds:g}"
            )
        return "".join(f"{line}\n" for line in lines)


class SoakRun:
    """The processes, stand-ins, clients and operators of one run."""

    def __init__(self, plan: Plan, folder: Path, reactor: Reactor) -> None:
        """Create the stand-ins and write the settings files; nothing is started yet."""
        self.plan = plan
        self.reactor = reactor
        self.scheduler = reactor.scheduler
        self.random = Random(f"soak run {plan.seed}")
        self.shape = shape_of(plan.size)
        self.log = RecordingLog("soak")
        self.history: list[ServedRequest] = []
        self.arrivals: Arrivals = {}
        self.requests: list[SoakRequest] = []
        self.objects = {service: Objects() for service in self.shape.servers}
        self.servers = WorkingServers(
            self.scheduler,
            reactor,
            self.log,
            self.random,
            self.objects,
            self.history,
            self.arrivals,
        )
        for service, count in self.shape.servers.items():
            for number in range(count):
                self.servers.add(service, self.shape.zones[number % len(self.shape.zones)])
        settings = dict(SETTINGS)
        if plan.size is FleetSize.CROWDED:
            settings["probe_seconds"] = CROWDED_PROBE_SECONDS
        self.fleet = Fleet(self.shape, folder, self.servers.platform.address, settings)
        self.supervisor = Supervisor(self.scheduler, self.fleet)
        self.operator = SoakOperator(self.scheduler, reactor, self.random, self.fleet)
        self.series = SeriesPlayer(
            self.scheduler, self.random, self.shape, self.supervisor, self.operator, self.servers
        )

    async def run(self) -> SoakResult:
        """Play the plan and judge it."""
        self.fleet.start()
        if not await self.wait_all_ready() or not await self.operator.put(
            "first", self.shape.configuration
        ):
            return self.failed("the processes were not ready, or took no configuration")
        self.scheduler.create_task(self.supervisor.watch(), name="supervisor")
        clients = self.start_clients()
        for series in self.plan.series:
            self.series.start(series)
        await self.wait_until(lambda: all(client.is_over for client in clients))
        await self.wait_until(lambda: self.series.running == 0)
        return await self.finish()

    def start_clients(self) -> list[SoakClient]:
        """Start the clients."""
        edges = self.fleet.of_role("edge")
        until = self.scheduler.now() + self.plan.seconds
        clients = [
            SoakClient(
                self.scheduler,
                self.reactor,
                f"c{number}",
                Random(f"client {self.plan.seed} {number}"),
                self.shape,
                edges,
                self.requests,
            )
            for number in range(min(MAX_CLIENTS, CLIENTS_PER_EDGE * len(edges)))
        ]
        for client in clients:
            self.scheduler.create_task(client.run(until), name=client.name)
        return clients

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds, or for SERIES_SECONDS."""
        until = self.scheduler.now() + self.plan.seconds + SERIES_SECONDS
        while not condition() and self.scheduler.now() < until:
            await self.scheduler.sleep(POLL_SECONDS)

    async def wait_all_ready(self) -> bool:
        """Wait until every process is ready; return False if one is not in time."""
        until = self.scheduler.now() + READY_SECONDS
        for process in self.fleet.processes.values():
            while not await wait_ready(self.scheduler, self.reactor, process, 1.0):
                if self.scheduler.now() >= until:
                    return False
        return True

    async def finish(self) -> SoakResult:
        """Check that all processes recover, and judge the run."""
        recovered = await self.wait_all_ready()
        self.supervisor.stopped = True
        if recovered:
            await self.operator.add_route("last", next(iter(self.shape.servers)))
            for node in self.fleet.of_role("core"):
                if not await self.operator.check_configuration(node):
                    self.operator.faults.append(f"{node.name} did not answer a read at the end")
        else:
            self.operator.faults.append("not every process is ready again")
        routes = {
            str(route["path"]): str(route["service"])
            for route in self.configured("routes").values()
        }
        findings = judge(
            self.requests, self.arrivals, self.history, self.objects, routes, self.supervisor
        )
        for fault in self.operator.faults:
            findings.add_violation("configuration", fault)
        return SoakResult(self.plan, findings, len(self.requests), len(self.operator.acknowledged))

    def failed(self, reason: str) -> SoakResult:
        """Return the result of a run that could not be played."""
        findings = Findings()
        findings.add_violation("start", reason)
        return SoakResult(self.plan, findings, 0, 0)

    def configured(self, section: str) -> dict[str, dict[str, object]]:
        """Return a section of the first configuration."""
        items = self.shape.configuration[section]
        assert isinstance(items, dict)
        return items


def run_plan(plan: Plan, keep: str = "") -> SoakResult:
    """Play one plan on processes of its own; all of them have ended when this returns.

    Args:
        plan: the plan.
        keep: folder for settings, data and logs; by default a temporary one.
    """
    with tempfile.TemporaryDirectory(prefix="ryelock-soak-") as folder:
        runs: list[SoakRun] = []

        def begin(reactor: Reactor) -> TaskCoroutine[SoakResult]:
            runs.append(SoakRun(plan, Path(keep or folder), reactor))
            return runs[0].run()

        try:
            ended = run_to_end(begin)
        finally:
            for run in runs:
                run.fleet.stop()
    if ended.result is None or ended.faults:
        return runs[0].failed("; ".join(ended.faults) or "the run has no result")
    return ended.result


def run_soak(seed: int, runs: int, size: str, seconds: float, keep: str, crowded_every: int) -> int:
    """Play seeds one after another and print a line for each; exit code 1 after a violation."""
    broken = 0
    for number in range(seed, seed + runs):
        crowded = crowded_every and number % crowded_every == 0
        plan = draw_plan(number, FleetSize.CROWDED if crowded else FleetSize(size), seconds)
        result = run_plan(plan, keep)
        broken += bool(result.findings.violations)
        sys.stdout.write(result.report())
        sys.stdout.flush()
    sys.stdout.write(f"{runs - broken} held, {broken} broken\n")
    return 1 if broken else 0
