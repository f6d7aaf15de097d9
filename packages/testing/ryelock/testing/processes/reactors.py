"""One piece of work on a reactor of its own, from its start to its end."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Ended(Generic[Result]):
    """How a piece of work ended.

    Attributes:
        result: what the work returned; None where a fault ended it.
        faults: one line for each task that failed; the first one ends the work.
    """

    result: Result | None
    faults: list[str]


def run_to_end(work: Callable[[Reactor], TaskCoroutine[Result]]) -> Ended[Result]:
    """Run a task until it returns or any task fails.

    Args:
        work: called once with the new reactor; returns the task to run.
    """
    results: list[Result] = []
    faults: list[str] = []

    def fault(task: str, error: BaseException) -> None:
        faults.append(f"{task}: {error!r}")
        reactor.stop()

    reactor = Reactor(fault)
    task = work(reactor)

    async def whole() -> None:
        results.append(await task)
        reactor.stop()

    reactor.scheduler.create_task(whole(), name="run")
    reactor.run()
    return Ended(results[0] if results else None, faults)
