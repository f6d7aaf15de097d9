"""Coroutine tasks on a scheduler with an injected clock.

Tasks are ordinary coroutines (`async def`), and the names follow asyncio: `Task`, `Queue`,
`create_task`, `sleep`. Neither asyncio nor circuits' own tasks are used. The processes run on
circuits' poller; circuits keeps its tasks in a set, whose order is not reproducible and which does
not scale. The simulator runs the daemons' code on a seeded clock, and a run with the same seed must
execute the same steps.

Ready tasks run in the order in which they became ready. A queue resumes the one task that reads it.
Timers are kept in a heap. A coroutine suspends by awaiting a `Wait`, always in a loop that checks
its condition again, so spurious wakeups are harmless.
"""

import heapq
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import Generic, Protocol, TypeVar

Item = TypeVar("Item")
STEPS_BETWEEN_CLOCK_READS = 4
"""Steps that `run_ready` executes between two reads of the clock."""
MAX_RUN_SECONDS = 0.06
"""Maximum time that tasks run before connections are polled again."""
MAX_RUN_STEPS = 1000
"""Maximum number of steps before connections are polled again."""


class Clock(Protocol):
    """Source of time: the machine's clock or the simulator's."""

    def now(self) -> float:
        """Return monotonic time in seconds, from an arbitrary origin."""
        ...

    def wall(self) -> float:
        """Return wall-clock time in seconds since 1970; may be off or jump."""
        ...


class Wait:
    """Awaitable that suspends a task until a queue has an item or a deadline passes."""

    __slots__ = ("queue", "until")

    def __init__(self, queue: "Queue[object] | None", until: float | None) -> None:
        """Wait for a queue, up to a time in monotonic seconds; each may be None."""
        self.queue = queue
        self.until = until

    def __await__(self) -> Generator["Wait", None, None]:
        """Yield this object to the scheduler, which resumes the task later."""
        yield self


TaskCoroutine = Coroutine[Wait, None, Item]
"""Type of the coroutines that the scheduler runs."""


class Task:
    """A coroutine that the scheduler runs.

    `generation` is incremented each time the task becomes ready. A timer set in an older generation
    is stale and is ignored.
    """

    __slots__ = ("coroutine", "done", "generation", "name", "queue", "queued", "urgent")

    def __init__(self, coroutine: TaskCoroutine[None], name: str, urgent: bool = False) -> None:
        """Create a task; an urgent one runs before all that are not."""
        self.coroutine = coroutine
        self.name = name
        self.urgent = urgent
        self.queue: Queue[object] | None = None
        self.generation = 0
        self.done = False
        self.queued = False

    def cancel(self) -> None:
        """Cancel the task; its `finally` blocks run."""
        if self.done:
            return
        self.done = True
        if self.queue is not None:
            self.queue.reader = None
        if not self.coroutine.cr_running:  # type: ignore[attr-defined]
            self.coroutine.close()


class Queue(Generic[Item]):
    """Unbounded FIFO queue with at most one reading task."""

    __slots__ = ("items", "reader", "scheduler")

    def __init__(self, scheduler: "Scheduler") -> None:
        """Create an empty queue; its reader runs on `scheduler`."""
        self.scheduler = scheduler
        self.items: deque[Item] = deque()
        self.reader: Task | None = None

    def put(self, item: Item) -> None:
        """Append an item and resume the reader; never blocks."""
        self.items.append(item)
        self.resume_reader()

    def resume_reader(self) -> None:
        """Make the waiting reader, if any, ready to run."""
        if self.reader is not None:
            task, self.reader = self.reader, None
            task.queue = None
            self.scheduler.make_ready(task)

    async def get(self, timeout: float | None = None) -> Item | None:
        """Return the next item, or None after `timeout` seconds; None waits indefinitely."""
        until = None if timeout is None else self.scheduler.now() + timeout
        while not self.items:
            if until is not None and self.scheduler.now() >= until:
                return None
            await Wait(self, until)  # type: ignore[arg-type]
        return self.items.popleft()

    def __len__(self) -> int:
        """Return the number of queued items."""
        return len(self.items)


class Scheduler:
    """Runs the tasks of one process in a deterministic order."""

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
        """Start a coroutine as a task; `name` identifies it in error reports.

        An urgent task runs before all that are not. It is meant for the few whose delay under load
        costs more than that of a request, such as the renewal of a lease.
        """
        task = Task(coroutine, name, urgent)
        self.make_ready(task)
        return task

    def make_ready(self, task: Task) -> None:
        """Queue a task to run unless it is queued already; its earlier timers become stale."""
        if not task.queued and not task.done:
            task.queued = True
            task.generation += 1
            (self.urgent if task.urgent else self.ready).append(task)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""
        until = self.now() + seconds
        while self.now() < until:
            await Wait(None, until)

    @property
    def has_ready(self) -> bool:
        """True if a task is ready to run."""
        return bool(self.urgent or self.ready)

    def run_ready(
        self, max_steps: int = MAX_RUN_STEPS, max_seconds: float = MAX_RUN_SECONDS
    ) -> bool:
        """Run ready tasks up to both limits; return True if more are ready.

        The time limit lets the caller poll its connections although tasks stay ready under load.
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
        """Make the tasks whose timers are due ready to run."""
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            _, _, task, generation = heapq.heappop(self.timers)
            if task.generation == generation and not task.done:
                if task.queue is not None:
                    task.queue.reader = None
                    task.queue = None
                self.make_ready(task)

    def resume(self, task: Task) -> None:
        """Run a task to its next `Wait` and register the queue and the timer it waits for."""
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
            heapq.heappush(self.timers, (wait.until, self.sequence, task, task.generation))

    def next_timer(self) -> float | None:
        """Return when the next timer is due, or None; discards stale timers before it."""
        while self.timers:
            when, _, task, generation = self.timers[0]
            if task.generation == generation and not task.done:
                return when
            heapq.heappop(self.timers)
        return None
