"""A clock that tests move by hand, and a task's error that fails the test."""


class SteppedClock:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time


def raise_fault(name: str, error: BaseException) -> None:
    raise AssertionError(name) from error
