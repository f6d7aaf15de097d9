"""Scheduling order: urgent tasks run first, and many ready tasks do not delay polling."""

import testtools

from ryelock.runtime import Queue, Scheduler
from ryelock.runtime.tasks import MAX_RUN_SECONDS, STEPS_BETWEEN_CLOCK_READS


class SteppedClock:
    """Clock that tests advance by hand."""

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

    async def work(self, name: str, run_seconds: float = 0.0) -> None:
        self.clock.seconds += run_seconds
        self.done.append(name)

    def test_an_urgent_task_runs_before_all_others(self) -> None:
        for number in range(100):
            self.scheduler.create_task(self.work(f"request {number}"), name="request")
        self.scheduler.create_task(self.work("renewal"), name="renewal", urgent=True)
        self.scheduler.run_ready()
        self.assertEqual(["renewal", "request 0", "request 1"], self.done[:3])
        self.assertEqual(101, len(self.done))

    def test_many_ready_tasks_yield_to_the_poll_after_a_bounded_time(self) -> None:
        run_seconds = MAX_RUN_SECONDS / 10
        for number in range(100):
            self.scheduler.create_task(self.work(f"request {number}", run_seconds), name="request")
        self.assertTrue(self.scheduler.run_ready())
        self.assertTrue(10 <= len(self.done) < 10 + STEPS_BETWEEN_CLOCK_READS, len(self.done))
        while self.scheduler.run_ready():
            pass
        self.assertEqual(100, len(self.done))

    def test_an_item_for_an_urgent_task_is_handled_before_other_ready_tasks(self) -> None:
        responses: Queue[str] = Queue(self.scheduler)

        async def renew() -> None:
            self.done.append(str(await responses.get(1.0)))

        self.scheduler.create_task(renew(), name="renewal", urgent=True)
        for number in range(100):
            self.scheduler.create_task(
                self.work(f"request {number}", MAX_RUN_SECONDS / 10), name="request"
            )
        self.scheduler.run_ready()
        before = len(self.done)
        responses.put("answer")
        self.scheduler.run_ready()
        self.assertEqual("answer", self.done[before])
        self.assertEqual([], self.faults)
