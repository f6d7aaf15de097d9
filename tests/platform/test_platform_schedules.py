"""Random schedules of faults on a simulated deployment of the platform; no rule may be violated."""

from collections.abc import Callable
from typing import Any

import testtools
from platform_schedules import RATE_PER_SECOND, Schedule

from ryelock.testing.hosting_platform.checks import rate_violations, retry_violations


class ScheduleTests(testtools.TestCase):
    def assert_rules_hold(self, seed: int) -> None:
        """Run a schedule, then check all rules and that requests are served after the faults."""
        schedule = Schedule(seed)
        schedule.run()
        deployment = schedule.deployment
        since = deployment.world.time
        deployment.world.run(4)
        deployment.clients_running = False
        deployment.world.run(3)
        run = f"seed {seed}: {schedule.fault_log}"
        last = {
            record.request_name: record
            for record in deployment.records
            if since < record.sent_at < since + 4
        }
        self.assertEqual([], deployment.violations(schedule.allowed_services), run)
        for name in deployment.services:
            self.assertEqual(
                [],
                retry_violations(
                    deployment.records, deployment.history, name, schedule.allowed_services
                ),
                run,
            )
        self.assertEqual([], rate_violations(deployment.history, "desks", RATE_PER_SECOND), run)
        self.assertNotIn(412, [status for _, status in schedule.outcomes], run)
        self.assertNotIn(400, [status for _, status in schedule.outcomes], run)
        configuration: Any = deployment.read()
        self.assertGreaterEqual(
            int(configuration["version"][1:]), int(schedule.base_version[1:]), run
        )
        sent = {item["version"]: item for item in schedule.sent_configurations}
        expected = sent[configuration["version"]]
        for section in ("routes", "services"):
            self.assertEqual(
                {item["name"]: item for item in expected[section]},
                {item["name"]: item for item in configuration[section]},
                run,
            )
        self.assertGreater(sum(record.served for record in last.values()), 0.9 * len(last), run)


def rules_test(seed: int) -> Callable[[ScheduleTests], None]:
    def test(case: ScheduleTests) -> None:
        case.assert_rules_hold(seed)

    return test


for seed in range(1, 7):
    setattr(ScheduleTests, f"test_schedule_{seed}_holds", rules_test(seed))
