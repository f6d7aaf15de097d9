"""The simulated network of the model: messages with loss, delay, duplication and partitions.

Time advances only while no node has a ready task. Messages are lost, delayed, duplicated and
reordered as the current `NetworkConditions` define; a cut drops all messages in one direction.
"""

from collections.abc import Callable
from random import Random
from typing import Protocol

from ryelock.testing.simulated.simulated_time import Callback, SimulatedTime


class NetworkConditions:
    """Probabilities and delays (in seconds) of messages.

    `late` is the probability of a long delay, of up to `late_seconds`.
    """

    __slots__ = ("delay", "duplicate", "late", "late_seconds", "loss")

    def __init__(
        self,
        loss: float = 0.0,
        duplicate: float = 0.0,
        delay: float = 0.002,
        late: float = 0.0,
        late_seconds: float = 0.0,
    ) -> None:
        """Create conditions; the defaults are those of a reliable network."""
        self.loss = loss
        self.duplicate = duplicate
        self.delay = delay
        self.late = late
        self.late_seconds = late_seconds


RELIABLE = NetworkConditions()
NETWORK_CONDITIONS = (
    RELIABLE,
    NetworkConditions(loss=0.3),
    NetworkConditions(loss=0.1, duplicate=0.3, delay=0.05),
    NetworkConditions(delay=0.1, late=0.2, late_seconds=1.0),
    NetworkConditions(loss=0.2, duplicate=0.2, delay=0.02, late=0.3, late_seconds=3.0),
)


class Process(Protocol):
    """A process that the world runs."""

    def run(self) -> bool:
        """Run the ready tasks; return True if there were any."""
        ...

    def next_time(self) -> float | None:
        """Return the time of the world at which the process has to run next, None for never."""
        ...


class World(SimulatedTime):
    """The event queue, the processes and the state of the network."""

    __slots__ = ("conditions", "cuts", "processes", "random")

    step_past_seconds = 1e-7

    def __init__(self, random: Random) -> None:
        """Create a world at time 0; `random` draws losses and delays."""
        super().__init__()
        self.random = random
        self.processes: list[Process] = []
        self.cuts: set[tuple[str, str]] = set()
        self.conditions = RELIABLE

    def send(self, source: str, target: str, sent_at: float, deliver: Callback) -> None:
        """Send a message at time `sent_at`; `deliver` runs for each copy that arrives."""
        conditions, random = self.conditions, self.random
        if (source, target) in self.cuts or random.random() < conditions.loss:
            return
        copies = 2 if random.random() < conditions.duplicate else 1
        for _ in range(copies):
            delay = 0.0005 + conditions.delay * random.random()
            if random.random() < conditions.late:
                delay += conditions.late_seconds * random.random()
            self.at(max(self.time, sent_at) + delay, self.arrival(source, target, deliver))

    def arrival(self, source: str, target: str, deliver: Callback) -> Callback:
        """Return a callback that delivers a message unless its path is cut on arrival."""

        def arrive() -> None:
            if (source, target) not in self.cuts:
                deliver()

        return arrive

    def run_processes(self) -> None:
        """Run all processes until none has a ready task."""
        busy = True
        while busy:
            busy = False
            for process in self.processes:
                busy = process.run() or busy

    def next_process_time(self) -> float | None:
        """Return the earliest time at which a process has to run, None if there is none."""
        times = [process.next_time() for process in self.processes]
        return min((time for time in times if time is not None), default=None)

    def run_until_about(
        self, done: Callable[[], bool], seconds: float, interval: float = 0.05
    ) -> bool:
        """Run until `done`, checked every `interval` seconds; return False after `seconds`."""
        until = self.time + seconds
        while not done():
            if self.time >= until:
                return False
            self.run(interval)
        return True
