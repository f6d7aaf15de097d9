"""Run one operator's command: a single task on a reactor of its own."""

import sys
from collections.abc import Callable

from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor

Work = Callable[[Reactor], TaskCoroutine[int]]
"""Starts the command's task; its result is the exit code."""
TASK_FAILED = 1


def run_once(work: Work) -> int:
    """Run one task to its end and return its exit code, 1 where it ended by an exception."""
    codes: list[int] = []

    def on_task_error(name: str, error: BaseException) -> None:
        sys.stderr.write(f"{name}: {error!r}\n")
        reactor.stop()

    reactor = Reactor(on_task_error)

    async def run() -> None:
        codes.append(await work(reactor))
        reactor.stop()

    reactor.scheduler.create_task(run(), name="command")
    reactor.run()
    return codes[0] if codes else TASK_FAILED
