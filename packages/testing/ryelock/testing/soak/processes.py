"""Signals to the processes of a soak run, and how the processes end."""

import json
import signal
from dataclasses import dataclass, field

from ryelock.events import STARTED, TASK_FAULT
from ryelock.runtime import Scheduler
from ryelock.testing.processes.fleet import Fleet, Process

POLL_SECONDS = 0.02
MAX_STOP_SECONDS = 60.0
"""A process that runs this long after SIGTERM hangs."""


@dataclass(frozen=True, slots=True)
class Span:
    """A time during which a process may break off requests without a fault of its own."""

    begins: float
    ends: float

    def overlaps(self, begins: float, ends: float) -> bool:
        """Return True if a part of the other span lies within this one."""
        return begins <= self.ends and ends >= self.begins


@dataclass(slots=True, eq=False)
class Supervised:
    """One process under supervision.

    Attributes:
        process: the process.
        starts: number of times that it was started.
        expected_codes: exit codes with which it may end now; empty while it has to run.
        crashes: spans in which it was killed or frozen, until it was ready again.
    """

    process: Process
    starts: int = 1
    expected_codes: tuple[int, ...] = ()
    crashes: list[Span] = field(default_factory=list)

    @property
    def has_started(self) -> bool:
        """True if the process that runs now has logged that it started."""
        return count_events(self.process, STARTED.number) >= self.starts


class Supervisor:
    """Ends and restarts processes, and notes each end that nobody asked for.

    Attributes:
        faults: ends that were not asked for, and wrong exit codes.
        ends: number of processes that ended as asked for.
    """

    __slots__ = ("ends", "faults", "fleet", "processes", "scheduler", "stopped")

    def __init__(self, scheduler: Scheduler, fleet: Fleet) -> None:
        """Create the supervisor of a fleet whose processes have been started."""
        self.scheduler = scheduler
        self.fleet = fleet
        self.processes = {name: Supervised(process) for name, process in fleet.processes.items()}
        self.faults: list[str] = []
        self.ends = 0
        self.stopped = False

    async def watch(self) -> None:
        """Restart processes that end without being asked to, until `stopped`."""
        while not self.stopped:
            for name, supervised in self.processes.items():
                if supervised.process.over and not supervised.expected_codes:
                    code = supervised.process.wait(0)
                    self.faults.append(f"{name} ended by itself with {code}")
                    self.restart(supervised)
            await self.scheduler.sleep(POLL_SECONDS)

    async def terminate(self, name: str, signals: int, pause_seconds: float) -> None:
        """Send SIGTERM, perhaps several times, and start the process again once it has ended.

        Args:
            name: the process; nothing is done while it ends already.
            signals: number of signals.
            pause_seconds: pause between the signals and before the start.
        """
        supervised = self.processes[name]
        if supervised.expected_codes:
            return
        # A process that is still being loaded has no handler yet.
        early_code = () if supervised.has_started else (-signal.SIGTERM,)
        supervised.expected_codes = (0, *early_code)
        for _ in range(signals):
            supervised.process.signal(signal.SIGTERM)
            if signals > 1:
                await self.scheduler.sleep(pause_seconds)
        await self.restart_after_end(supervised, pause_seconds)

    async def kill(self, name: str, pause_seconds: float, settle_seconds: float) -> None:
        """Kill a process and start it again after a pause."""
        supervised = self.processes[name]
        if supervised.expected_codes:
            return
        supervised.expected_codes = (-signal.SIGKILL,)
        killed_at = self.scheduler.now()
        supervised.process.signal(signal.SIGKILL)
        await self.restart_after_end(supervised, pause_seconds)
        supervised.crashes.append(Span(killed_at, self.scheduler.now() + settle_seconds))

    async def freeze(self, name: str, seconds: float, settle_seconds: float) -> None:
        """Stop a process from running for a while."""
        supervised = self.processes[name]
        if supervised.expected_codes:
            return
        frozen_at = self.scheduler.now()
        supervised.process.signal(signal.SIGSTOP)
        await self.scheduler.sleep(seconds)
        supervised.process.signal(signal.SIGCONT)
        supervised.crashes.append(Span(frozen_at, self.scheduler.now() + settle_seconds))

    async def restart_after_end(self, supervised: Supervised, pause_seconds: float) -> None:
        """Wait until a process has ended, check its exit code, and start it again after a pause."""
        await self.wait_over(supervised)
        self.check_exit(supervised)
        await self.scheduler.sleep(pause_seconds)
        self.restart(supervised)

    async def wait_over(self, supervised: Supervised) -> None:
        """Wait until a process has ended; kill it if it hangs."""
        until = self.scheduler.now() + MAX_STOP_SECONDS
        while not supervised.process.over:
            if self.scheduler.now() >= until:
                self.faults.append(f"{supervised.process.name} did not end after SIGTERM")
                supervised.process.signal(signal.SIGKILL)
                supervised.process.wait(MAX_STOP_SECONDS)
                return
            await self.scheduler.sleep(POLL_SECONDS)

    def check_exit(self, supervised: Supervised) -> None:
        """Note an exit code other than those expected."""
        code = supervised.process.wait(0)
        if code in supervised.expected_codes:
            self.ends += 1
        else:
            self.faults.append(f"{supervised.process.name} ended with {code}")

    def restart(self, supervised: Supervised) -> None:
        """Start a process that has ended."""
        supervised.process.start()
        supervised.starts += 1
        supervised.expected_codes = ()

    def excuses(self, name: str, begins: float, ends: float) -> bool:
        """Return True if a process was killed or frozen during a time."""
        return any(span.overlaps(begins, ends) for span in self.processes[name].crashes)

    def task_faults(self) -> list[str]:
        """Return the tasks of all processes that ended by an exception."""
        found: list[str] = []
        for name, supervised in self.processes.items():
            for event in read_events(supervised.process):
                if event.get("event") == TASK_FAULT.number:
                    found.append(f"{name}: task {event.get('task')}: {event.get('fault')}")
        return found


def read_events(process: Process) -> list[dict[str, object]]:
    """Return the events in the log of a process."""
    events: list[dict[str, object]] = []
    for line in process.log.read_text(errors="replace").splitlines():
        if not line.startswith("{"):
            continue
        try:
            events.append(json.loads(line))
        except ValueError:
            continue
    return events


def count_events(process: Process, number: int) -> int:
    """Return how often an event stands in the log of a process."""
    return sum(event.get("event") == number for event in read_events(process))
