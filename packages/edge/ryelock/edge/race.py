"""Concurrent coroutines of one request, whose results are taken in the order they finish.

Used for hedged requests: an attempt that is overdue goes on while another one is made.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

from ryelock.runtime import Queue, Scheduler, Task, TaskCoroutine

Item = TypeVar("Item")


class Race(Generic[Item]):
    """Runs coroutines as tasks until the caller cancels those that are still running."""

    __slots__ = ("discard", "results", "running", "scheduler")

    def __init__(self, scheduler: Scheduler, discard: Callable[[Item], None]) -> None:
        """Create a race without coroutines.

        Args:
            scheduler: runs the coroutines.
            discard: releases a result that was not taken before the race was cancelled.
        """
        self.scheduler = scheduler
        self.discard = discard
        self.running: list[Task] = []
        self.results: Queue[Item | None] = Queue(scheduler)

    def start(self, coroutine: TaskCoroutine[Item | None], name: str) -> None:
        """Run a coroutine; `name` identifies it in error reports."""
        self.running.append(self.scheduler.create_task(self.run(coroutine), name))

    async def run(self, coroutine: TaskCoroutine[Item | None]) -> None:
        """Await a coroutine and queue its result; None if it raised an exception."""
        result: Item | None = None
        try:
            result = await coroutine
        finally:
            self.results.put(result)

    async def next_result(self) -> Item | None:
        """Return the next result; each coroutine that was started gives one."""
        return await self.results.get()

    def cancel(self) -> None:
        """Cancel the coroutines that are still running and discard results that were not taken."""
        for task in self.running:
            task.cancel()
        while self.results.items:
            result = self.results.items.popleft()
            if result is not None:
                self.discard(result)
