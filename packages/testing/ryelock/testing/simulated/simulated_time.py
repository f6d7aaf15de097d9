"""Discrete-event simulation of time: scheduled callbacks, and processes with timers."""

import heapq
from collections.abc import Callable

Callback = Callable[[], None]


class SimulatedTime:
    """A simulated clock that jumps to the next due callback or process timer.

    A subclass defines how its processes run and when the next of their timers is due.
    """

    __slots__ = ("events", "sequence", "time")

    step_past_seconds = 1e-9
    """How far the clock moves past a due time, so that rounding leaves no timer undue."""

    def __init__(self) -> None:
        """Create a clock at 0 seconds without callbacks."""
        self.time = 0.0
        self.sequence = 0
        self.events: list[tuple[float, int, Callback]] = []

    def run_processes(self) -> None:
        """Run all processes until none has a ready task."""
        raise NotImplementedError

    def next_process_time(self) -> float | None:
        """Return when the next timer of a process is due; None if there is no timer."""
        raise NotImplementedError

    def at(self, when: float, callback: Callback) -> None:
        """Schedule a callback; those due at the same time run in the order of scheduling."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, callback))

    def later(self, seconds: float, callback: Callback) -> None:
        """Run a callback after a delay in seconds."""
        self.at(self.time + seconds, callback)

    def step(self, until: float) -> bool:
        """Run ready tasks and advance to the next due time; return False if it is after `until`."""
        self.run_processes()
        times = [self.events[0][0]] if self.events else []
        next_timer = self.next_process_time()
        if next_timer is not None:
            times.append(next_timer)
        if not times or min(times) > until:
            self.time = max(self.time, until)
            return False
        self.time = max(self.time, min(times) + self.step_past_seconds)
        while self.events and self.events[0][0] <= self.time:
            heapq.heappop(self.events)[2]()
        return True

    def run(self, seconds: float) -> None:
        """Run the simulation for a time in seconds."""
        until = self.time + seconds
        while self.step(until):
            pass

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Run until `done`, checked after every step; return False after `seconds`."""
        until = self.time + seconds
        while not done():
            if not self.step(until):
                return done()
        return True
