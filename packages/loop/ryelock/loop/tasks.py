"""Ordered generator tasks that wait on mailboxes and on beats of an injected clock.

circuits keeps its tasks in a set and polls them every tick, which neither repeats in the
same order nor scales; so tasks stand in a queue here, a mailbox wakes exactly the task that
waits on it, and a beat is a place on a heap. A task is a generator that yields Wait; every
wait is a loop that looks again after it was woken, so a needless wake does no harm.
"""

import heapq
from collections import deque
from collections.abc import Callable, Generator
from typing import Generic, Protocol, TypeVar

Item = TypeVar("Item")
CLOCK_STEPS = 4
"""The clock is read after so many steps."""
RUN_SECONDS = 0.06
"""Tasks run for so long before connections are polled again."""


class Clock(Protocol):
    """What tells the time: the machine's clock or the simulator's."""

    def now(self) -> float:
        """Seconds that only grow; their zero means nothing."""
        ...

    def wall(self) -> float:
        """Seconds since 1970 as this machine believes; may be wrong."""
        ...


class Wait:
    """What a task waits for: an item in a mailbox, a moment, or the earlier of both."""

    __slots__ = ("mailbox", "until")

    def __init__(self, mailbox: "Mailbox[object] | None", until: float | None) -> None:
        """Wait for a mailbox, until monotonic seconds; None leaves either out."""
        self.mailbox = mailbox
        self.until = until


Step = Generator[Wait, None, Item]


class TaskHandle:
    """One task: its generator, and a ticket that makes old wakes stale."""

    __slots__ = ("generator", "mailbox", "name", "over", "queued", "ticket", "urgent")

    def __init__(self, name: str, generator: Step[None], urgent: bool = False) -> None:
        """Create a task that has not run yet; an urgent one goes before all others."""
        self.name = name
        self.urgent = urgent
        self.generator = generator
        self.mailbox: Mailbox[object] | None = None
        self.ticket = 0
        self.over = False
        self.queued = False

    def cancel(self) -> None:
        """End the task; its `finally` blocks run."""
        if self.over:
            return
        self.over = True
        if self.mailbox is not None:
            self.mailbox.waiting = None
        if not self.generator.gi_running:  # type: ignore[attr-defined]
            self.generator.close()


class Mailbox(Generic[Item]):
    """An ordered queue with at most one task that takes from it."""

    __slots__ = ("items", "scheduler", "waiting")

    def __init__(self, scheduler: "Scheduler") -> None:
        """Create an empty queue whose reader runs on this scheduler."""
        self.scheduler = scheduler
        self.items: deque[Item] = deque()
        self.waiting: TaskHandle | None = None

    def put(self, item: Item) -> None:
        """Append an item and wake the reader."""
        self.items.append(item)
        self.wake()

    def wake(self) -> None:
        """Make the waiting reader ready, if there is one."""
        if self.waiting is not None:
            running, self.waiting = self.waiting, None
            running.mailbox = None
            self.scheduler.make_ready(running)

    def take(self, seconds: float | None = None) -> Step[Item | None]:
        """The next item, or None once the seconds are over."""
        until = None if seconds is None else self.scheduler.now() + seconds
        while not self.items:
            if until is not None and self.scheduler.now() >= until:
                return None
            yield Wait(self, until)  # type: ignore[arg-type]
        return self.items.popleft()

    def __len__(self) -> int:
        """Return how many items wait."""
        return len(self.items)


class Scheduler:
    """Runs the tasks of one process in a repeatable order."""

    __slots__ = ("clock", "fault", "ready", "sequence", "timers", "urgent")

    def __init__(self, clock: Clock, fault: Callable[[str, BaseException], None]) -> None:
        """Create a scheduler; `fault` is called with the name and error of a failed task."""
        self.clock = clock
        self.fault = fault
        self.ready: deque[TaskHandle] = deque()
        self.urgent: deque[TaskHandle] = deque()
        self.timers: list[tuple[float, int, TaskHandle, int]] = []
        self.sequence = 0

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.now()

    def spawn(self, name: str, generator: Step[None], urgent: bool = False) -> TaskHandle:
        """Start a task; the name stands in fault reports.

        An urgent task goes before all that are not: for the few whose delay under load would
        cost more than a request's, such as the renewal of a lease.
        """
        running = TaskHandle(name, generator, urgent)
        self.make_ready(running)
        return running

    def make_ready(self, running: TaskHandle) -> None:
        """Queue a task to run, once; earlier timers of it become stale."""
        if not running.queued and not running.over:
            running.queued = True
            running.ticket += 1
            (self.urgent if running.urgent else self.ready).append(running)

    def pause(self, seconds: float) -> Step[None]:
        """Wait so many seconds."""
        until = self.now() + seconds
        while self.now() < until:
            yield Wait(None, until)

    @property
    def has_ready(self) -> bool:
        """Whether a task is ready to run."""
        return bool(self.urgent or self.ready)

    def run_ready(self, most: int = 1000, seconds: float = RUN_SECONDS) -> bool:
        """Run what is due, at most so many steps or so long; says whether more is ready.

        The bound in seconds lets the caller poll its connections while a crowd keeps tasks ready.
        """
        self.fire_due_timers()
        until = self.now() + seconds
        while most > 0 and self.has_ready:
            most -= 1
            running = self.urgent.popleft() if self.urgent else self.ready.popleft()
            running.queued = False
            if not running.over:
                self.resume(running)
            if most % CLOCK_STEPS == 0 and self.now() >= until:
                break
        return self.has_ready

    def fire_due_timers(self) -> None:
        """Make the tasks ready whose timers are due."""
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            _, _, running, ticket = heapq.heappop(self.timers)
            if running.ticket == ticket and not running.over:
                if running.mailbox is not None:
                    running.mailbox.waiting = None
                    running.mailbox = None
                self.make_ready(running)

    def resume(self, running: TaskHandle) -> None:
        """Run a task to its next wait and register what it waits for."""
        try:
            wait = next(running.generator)
        except StopIteration:
            running.over = True
            return
        except Exception as error:
            running.over = True
            self.fault(running.name, error)
            return
        if running.over:
            running.generator.close()
            return
        if wait.mailbox is not None:
            if wait.mailbox.items:
                self.make_ready(running)
                return
            wait.mailbox.waiting = running
            running.mailbox = wait.mailbox
        if wait.until is not None:
            self.sequence += 1
            heapq.heappush(self.timers, (wait.until, self.sequence, running, running.ticket))

    def next_timer(self) -> float | None:
        """When the next beat rings; stale beats at the front are dropped."""
        while self.timers:
            when, _, running, ticket = self.timers[0]
            if running.ticket == ticket and not running.over:
                return when
            heapq.heappop(self.timers)
        return None
