"""Simulated time and the message carrier between nodes.

Time moves only when no node has anything to do. A message is lost, delayed, duplicated or
overtaken as the current `Weather` says; a cut drops what crosses it, in one direction.
"""

from collections.abc import Callable
from random import Random
from typing import Protocol

from ryelock.testing.simulated.simulated_time import Act, SimulatedTime


class Weather:
    """Chances and delays (seconds) of messages; `late` is the chance of a long delay."""

    __slots__ = ("delay", "duplicate", "late", "late_seconds", "loss")

    def __init__(
        self,
        loss: float = 0.0,
        duplicate: float = 0.0,
        delay: float = 0.002,
        late: float = 0.0,
        late_seconds: float = 0.0,
    ) -> None:
        """Calm weather where nothing is given."""
        self.loss = loss
        self.duplicate = duplicate
        self.delay = delay
        self.late = late
        self.late_seconds = late_seconds


CALM = Weather()
WEATHERS = (
    CALM,
    Weather(loss=0.3),
    Weather(loss=0.1, duplicate=0.3, delay=0.05),
    Weather(delay=0.1, late=0.2, late_seconds=1.0),
    Weather(loss=0.2, duplicate=0.2, delay=0.02, late=0.3, late_seconds=3.0),
)


class Process(Protocol):
    """What the world needs of a node."""

    def run(self) -> bool:
        """Run what is ready; says whether anything was run."""
        ...

    def next_time(self) -> float | None:
        """World time at which the node wants to run next."""
        ...


class World(SimulatedTime):
    """The event queue, the cuts and the weather."""

    __slots__ = ("cuts", "processes", "random", "weather")

    step_past_seconds = 1e-7

    def __init__(self, random: Random) -> None:
        """A world at time 0; losses and delays are drawn from `random`."""
        super().__init__()
        self.random = random
        self.processes: list[Process] = []
        self.cuts: set[tuple[str, str]] = set()
        self.weather = CALM

    def send(self, source: str, target: str, leaves: float, act: Act) -> None:
        """Carry one message that leaves at a time: `act` is run once a copy arrives."""
        weather, random = self.weather, self.random
        if (source, target) in self.cuts or random.random() < weather.loss:
            return
        copies = 2 if random.random() < weather.duplicate else 1
        for _ in range(copies):
            delay = 0.0005 + weather.delay * random.random()
            if random.random() < weather.late:
                delay += weather.late_seconds * random.random()
            self.at(max(self.time, leaves) + delay, self.arrival(source, target, act))

    def arrival(self, source: str, target: str, act: Act) -> Act:
        """The act of a message that arrives, unless its path is cut by then."""

        def arrive() -> None:
            if (source, target) not in self.cuts:
                act()

        return arrive

    def run_processes(self) -> None:
        """Run all processes until none has anything to do now."""
        busy = True
        while busy:
            busy = False
            for process in self.processes:
                busy = process.run() or busy

    def next_process_time(self) -> float | None:
        """When the next process wants to run."""
        times = [process.next_time() for process in self.processes]
        return min((time for time in times if time is not None), default=None)

    def run_until_about(
        self, done: Callable[[], bool], seconds: float, every: float = 0.05
    ) -> bool:
        """Run until `done`, looked at every so many seconds; False when the time is over."""
        until = self.time + seconds
        while not done():
            if self.time >= until:
                return False
            self.run(every)
        return True
