"""Random schedules of faults on a deployment in the platform's words; every rule is held after.

Servers crash, leave, come up at others' addresses and misbehave; the list falls silent; processes
are killed and started, machines lose power and are cut off; operators change, amend and purge.
"""

from collections.abc import Callable
from typing import Any

import testtools
from platform_schedules import RATE, Schedule

from ryelock.testing.hosting_platform.checks import rate_violations, retry_violations


class ScheduleTests(testtools.TestCase):
    def hold(self, seed: int) -> None:
        schedule = Schedule(seed)
        schedule.run()
        deployment = schedule.deployment
        since = deployment.world.time
        deployment.world.run(4)
        deployment.callers_on = False
        deployment.world.run(3)
        told = f"seed {seed}: {schedule.happened}"
        last = {
            note.request_name: note for note in deployment.notes if since < note.sent_at < since + 4
        }
        self.assertEqual([], deployment.broken(schedule.allowed), told)
        for name in deployment.services:
            self.assertEqual(
                [],
                retry_violations(deployment.notes, deployment.history, name, schedule.allowed),
                told,
            )
        self.assertEqual([], rate_violations(deployment.history, "desks", RATE), told)
        self.assertNotIn(412, [status for _, status in schedule.told], told)
        self.assertNotIn(400, [status for _, status in schedule.told], told)
        found: Any = deployment.read()
        self.assertGreaterEqual(int(found["version"][1:]), int(schedule.base[1:]), told)
        sent = {plain["version"]: plain for plain in schedule.ever}
        expected = sent[found["version"]]
        for part in ("routes", "services"):
            self.assertEqual(
                {item["name"]: item for item in expected[part]},
                {item["name"]: item for item in found[part]},
                told,
            )
        self.assertGreater(sum(note.served for note in last.values()), 0.9 * len(last), told)


def schedule_holds(seed: int) -> Callable[[ScheduleTests], None]:
    def test(case: ScheduleTests) -> None:
        case.hold(seed)

    return test


for seed in range(1, 7):
    setattr(ScheduleTests, f"test_schedule_{seed}_holds", schedule_holds(seed))
