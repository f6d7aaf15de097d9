"""Simulated time: acts at given moments, and processes that run until none has anything to do."""

import heapq
from collections.abc import Callable

Act = Callable[[], None]


class SimulatedTime:
    """A clock that moves from one moment to the next at which something is due.

    A subclass says how its processes run and when the next of them wants to run.
    """

    __slots__ = ("events", "sequence", "time")

    step_past_seconds = 1e-9
    """Time moves so far past a moment that timers due at it are certainly due."""

    def __init__(self) -> None:
        """Start at time 0, in seconds, with nothing due."""
        self.time = 0.0
        self.sequence = 0
        self.events: list[tuple[float, int, Act]] = []

    def run_processes(self) -> None:
        """Run all processes until none has anything to do now."""
        raise NotImplementedError

    def next_process_time(self) -> float | None:
        """When the next process wants to run; None where none waits for a moment."""
        raise NotImplementedError

    def at(self, when: float, act: Act) -> None:
        """Run an act at a time; acts of one moment run in the order in which they came."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, act))

    def later(self, seconds: float, act: Act) -> None:
        """Run an act after so many seconds."""
        self.at(self.time + seconds, act)

    def step(self, until: float) -> bool:
        """Run all that is due now, then move to the next moment; False at the end."""
        self.run_processes()
        times = [self.events[0][0]] if self.events else []
        wanted = self.next_process_time()
        if wanted is not None:
            times.append(wanted)
        if not times or min(times) > until:
            self.time = max(self.time, until)
            return False
        self.time = max(self.time, min(times) + self.step_past_seconds)
        while self.events and self.events[0][0] <= self.time:
            heapq.heappop(self.events)[2]()
        return True

    def run(self, seconds: float) -> None:
        """Run for so many seconds."""
        until = self.time + seconds
        while self.step(until):
            pass

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Run until `done`, looked at at every moment; False when the time is over."""
        until = self.time + seconds
        while not done():
            if not self.step(until):
                return done()
        return True
