"""The order of tasks: urgent ones go first, and a crowd of others does not hold the poll up."""

from collections.abc import Generator
from typing import Any

import testtools

from ryelock.loop import Mailbox, Scheduler
from ryelock.loop.tasks import CLOCK_STEPS, RUN_SECONDS


class SteppedClock:
    """A clock that only moves when it is told to."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds


class TaskTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = SteppedClock()
        self.faults: list[BaseException] = []
        self.scheduler = Scheduler(self.clock, lambda _, error: self.faults.append(error))
        self.done: list[str] = []

    def work(self, name: str, cost: float = 0.0) -> Generator[Any, None, None]:
        self.clock.seconds += cost
        self.done.append(name)
        return
        yield

    def test_an_urgent_task_goes_before_a_crowd(self) -> None:
        for number in range(100):
            self.scheduler.spawn("request", self.work(f"request {number}"))
        self.scheduler.spawn("renewal", self.work("renewal"), urgent=True)
        self.scheduler.run_ready()
        self.assertEqual(["renewal", "request 0", "request 1"], self.done[:3])
        self.assertEqual(101, len(self.done))

    def test_a_crowd_is_left_for_the_poll_after_a_bounded_time(self) -> None:
        cost = RUN_SECONDS / 10
        for number in range(100):
            self.scheduler.spawn("request", self.work(f"request {number}", cost))
        self.assertTrue(self.scheduler.run_ready())
        self.assertTrue(10 <= len(self.done) < 10 + CLOCK_STEPS, len(self.done))
        while self.scheduler.run_ready():
            pass
        self.assertEqual(100, len(self.done))

    def test_an_answer_for_an_urgent_task_is_taken_before_the_crowd_goes_on(self) -> None:
        box: Mailbox[str] = Mailbox(self.scheduler)

        def renew() -> Generator[Any, None, None]:
            self.done.append(str((yield from box.take(1.0))))

        self.scheduler.spawn("renewal", renew(), urgent=True)
        for number in range(100):
            self.scheduler.spawn("request", self.work(f"request {number}", RUN_SECONDS / 10))
        self.scheduler.run_ready()
        before = len(self.done)
        box.put("answer")
        self.scheduler.run_ready()
        self.assertEqual("answer", self.done[before])
        self.assertEqual([], self.faults)
