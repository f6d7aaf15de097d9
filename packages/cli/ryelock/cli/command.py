"""Run of one operator command: a single task on a new reactor."""

import sys
from collections.abc import Callable

from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor

Command = Callable[[Reactor], TaskCoroutine[int]]
"""A command as a coroutine function that returns the exit code."""
TASK_FAILED_EXIT_CODE = 1


def run_command(command: Command) -> int:
    """Run a command to completion; return its exit code, or 1 if it raised an exception."""
    codes: list[int] = []

    def on_task_error(name: str, error: BaseException) -> None:
        sys.stderr.write(f"{name}: {error!r}\n")
        reactor.stop()

    reactor = Reactor(on_task_error)

    async def run() -> None:
        codes.append(await command(reactor))
        reactor.stop()

    reactor.scheduler.create_task(run(), name="command")
    reactor.run()
    return codes[0] if codes else TASK_FAILED_EXIT_CODE
