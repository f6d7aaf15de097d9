"""Coroutine tasks on a scheduler with an injected clock.

Tasks are ordinary coroutines (`async def`), named as in asyncio: `Task`, `Queue`, `create_task`,
`sleep`. asyncio itself is not used, for two reasons. The processes run on circuits' poller, whose
tasks stand in a set, which neither repeats in the same order nor scales. And the simulator has to
run the daemons' own code on a seeded clock, so that a seed repeats a run step by step.

Ready tasks run in the order in which they became ready; a queue wakes the one task that reads it;
a timer is an entry on a heap. A coroutine suspends by awaiting a `Wait`. Each wait is a loop that
checks its condition again after it was woken, so a spurious wake-up does no harm.
"""

import heapq
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import Generic, Protocol, TypeVar

Item = TypeVar("Item")
STEPS_BETWEEN_CLOCK_READS = 4
"""`run_ready` reads the clock after so many steps."""
RUN_SECONDS = 0.06
"""Tasks run for so long before connections are polled again."""
RUN_STEPS = 1000
"""Tasks run for so many steps before connections are polled again."""


class Clock(Protocol):
    """What tells the time: the machine's clock or the simulator's."""

    def now(self) -> float:
        """Seconds that only grow; their zero means nothing."""
        ...

    def wall(self) -> float:
        """Seconds since 1970 as this machine believes; may be wrong."""
        ...


class Wait:
    """The awaitable that suspends a task until a queue has an item or a moment has come."""

    __slots__ = ("queue", "until")

    def __init__(self, queue: "Queue[object] | None", until: float | None) -> None:
        """Wait for a queue, until monotonic seconds; None leaves either out."""
        self.queue = queue
        self.until = until

    def __await__(self) -> Generator["Wait", None, None]:
        """Hand this object to the scheduler, which resumes the task later."""
        yield self


TaskCoroutine = Coroutine[Wait, None, Item]
"""What an `async def` on this scheduler returns when it is called."""


class Task:
    """A coroutine that the scheduler runs.

    `ticket` grows each time the task becomes ready; a timer that was set under an older ticket is
    stale and wakes nobody.
    """

    __slots__ = ("coroutine", "done", "name", "queue", "queued", "ticket", "urgent")

    def __init__(self, coroutine: TaskCoroutine[None], name: str, urgent: bool = False) -> None:
        """Create a task that has not run yet; an urgent one goes before all others."""
        self.coroutine = coroutine
        self.name = name
        self.urgent = urgent
        self.queue: Queue[object] | None = None
        self.ticket = 0
        self.done = False
        self.queued = False

    def cancel(self) -> None:
        """End the task; its `finally` blocks run."""
        if self.done:
            return
        self.done = True
        if self.queue is not None:
            self.queue.reader = None
        if not self.coroutine.cr_running:  # type: ignore[attr-defined]
            self.coroutine.close()


class Queue(Generic[Item]):
    """A first-in, first-out queue with at most one task that reads it."""

    __slots__ = ("items", "reader", "scheduler")

    def __init__(self, scheduler: "Scheduler") -> None:
        """Create an empty queue whose reader runs on this scheduler."""
        self.scheduler = scheduler
        self.items: deque[Item] = deque()
        self.reader: Task | None = None

    def put(self, item: Item) -> None:
        """Append an item and wake the reader; never waits."""
        self.items.append(item)
        self.wake()

    def wake(self) -> None:
        """Make the waiting reader ready, if there is one."""
        if self.reader is not None:
            task, self.reader = self.reader, None
            task.queue = None
            self.scheduler.make_ready(task)

    async def get(self, timeout: float | None = None) -> Item | None:
        """Return the next item, or None after `timeout` seconds; without one wait for ever."""
        until = None if timeout is None else self.scheduler.now() + timeout
        while not self.items:
            if until is not None and self.scheduler.now() >= until:
                return None
            await Wait(self, until)  # type: ignore[arg-type]
        return self.items.popleft()

    def __len__(self) -> int:
        """Return how many items are queued."""
        return len(self.items)


class Scheduler:
    """Runs the tasks of one process in a repeatable order."""

    __slots__ = ("clock", "on_task_error", "ready", "sequence", "timers", "urgent")

    def __init__(self, clock: Clock, on_task_error: Callable[[str, BaseException], None]) -> None:
        """Create a scheduler.

        Args:
            clock: the machine's clock or the simulator's.
            on_task_error: called with the name and the exception of a task that raised one.
        """
        self.clock = clock
        self.on_task_error = on_task_error
        self.ready: deque[Task] = deque()
        self.urgent: deque[Task] = deque()
        self.timers: list[tuple[float, int, Task, int]] = []
        self.sequence = 0

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.now()

    def create_task(self, coroutine: TaskCoroutine[None], name: str, urgent: bool = False) -> Task:
        """Schedule a coroutine; the name appears in the report of an error.

        An urgent task goes before all that are not: for the few whose delay under load would
        cost more than a request's, such as the renewal of a lease.
        """
        task = Task(coroutine, name, urgent)
        self.make_ready(task)
        return task

    def make_ready(self, task: Task) -> None:
        """Queue a task to run, once; earlier timers of it become stale."""
        if not task.queued and not task.done:
            task.queued = True
            task.ticket += 1
            (self.urgent if task.urgent else self.ready).append(task)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for so many seconds."""
        until = self.now() + seconds
        while self.now() < until:
            await Wait(None, until)

    @property
    def has_ready(self) -> bool:
        """Whether a task is ready to run."""
        return bool(self.urgent or self.ready)

    def run_ready(self, max_steps: int = RUN_STEPS, max_seconds: float = RUN_SECONDS) -> bool:
        """Run what is ready, at most so many steps or so long; return whether more is ready.

        The bound in seconds lets the caller poll its connections while a crowd keeps tasks ready.
        """
        self.fire_due_timers()
        until = self.now() + max_seconds
        steps_left = max_steps
        while steps_left > 0 and self.has_ready:
            steps_left -= 1
            task = self.urgent.popleft() if self.urgent else self.ready.popleft()
            task.queued = False
            if not task.done:
                self.resume(task)
            if steps_left % STEPS_BETWEEN_CLOCK_READS == 0 and self.now() >= until:
                break
        return self.has_ready

    def fire_due_timers(self) -> None:
        """Make the tasks ready whose timers are due."""
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            _, _, task, ticket = heapq.heappop(self.timers)
            if task.ticket == ticket and not task.done:
                if task.queue is not None:
                    task.queue.reader = None
                    task.queue = None
                self.make_ready(task)

    def resume(self, task: Task) -> None:
        """Run a task to its next wait and register what it waits for."""
        try:
            wait = task.coroutine.send(None)
        except StopIteration:
            task.done = True
            return
        except Exception as error:
            task.done = True
            self.on_task_error(task.name, error)
            return
        if task.done:
            task.coroutine.close()
            return
        if wait.queue is not None:
            if wait.queue.items:
                self.make_ready(task)
                return
            wait.queue.reader = task
            task.queue = wait.queue
        if wait.until is not None:
            self.sequence += 1
            heapq.heappush(self.timers, (wait.until, self.sequence, task, task.ticket))

    def next_timer(self) -> float | None:
        """Return when the next timer is due; stale timers at the front are dropped."""
        while self.timers:
            when, _, task, ticket = self.timers[0]
            if task.ticket == ticket and not task.done:
                return when
            heapq.heappop(self.timers)
        return None
