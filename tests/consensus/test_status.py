"""Status and events of control nodes while one is isolated, lost or leaving."""

from typing import Any

import testtools

from ryelock.events import LEADER_FOUND, LEADER_LOST, VOTER_LEAVING, VOTER_LOST
from ryelock.testing.cases.losses import LOSS_SETTINGS
from ryelock.testing.scenario import Scenario


def running_scenario(cores: int) -> Scenario:
    scenario = Scenario(5, cores=cores, edges=1, probers=0, settings=LOSS_SETTINGS)
    scenario.set_up()
    scenario.world.run(4)
    return scenario


def event_count(scenario: Scenario, name: str, number: int) -> int:
    return sum(event == number for event, _ in scenario.node(name).log.records)


class StatusTests(testtools.TestCase):
    def report(self, scenario: Scenario, name: str) -> dict[str, Any]:
        return scenario.node(name).core.readiness.report()

    def replicas(self, scenario: Scenario) -> dict[str, dict[str, Any]]:
        """Return the replicas as shown to operators, by node name."""
        status, answer = scenario.ask_now("GET", "/members")
        self.assertEqual(200, status)
        names = {scenario.node(name).core.session.rpc_address: name for name in scenario.cores}
        found: Any = answer["replicas"]
        return {names[replica["address"]]: replica for replica in found}

    def test_an_isolated_follower_logs_its_isolation_once_and_its_end(self) -> None:
        scenario = running_scenario(3)
        leader = scenario.leader()
        name = next(core for core in scenario.cores if core != leader)
        self.assertEqual("follower", self.report(scenario, name)["state"])
        for other in scenario.cores:
            if other != name:
                scenario.world.cut(name, other)
        scenario.world.run(5)
        state = self.report(scenario, name)
        self.assertEqual("isolated", state["state"])
        self.assertTrue(4 < state["leader_heard_seconds"] < 6, state)
        self.assertEqual(1, event_count(scenario, name, LEADER_LOST.number))
        scenario.world.heal()
        scenario.world.run(2)
        self.assertEqual("follower", self.report(scenario, name)["state"])
        self.assertEqual(1, event_count(scenario, name, LEADER_FOUND.number))

    def test_no_member_is_isolated_after_a_start_without_faults(self) -> None:
        scenario = running_scenario(4)
        self.assertEqual([0] * 4, [event_count(scenario, name, 1407) for name in scenario.cores])
        states = sorted(self.report(scenario, name)["state"] for name in scenario.cores)
        self.assertEqual(["follower", "follower", "leader", "learner"], states)
        replicas = self.replicas(scenario)
        self.assertEqual(3, sum(replica["voter"] for replica in replicas.values()))
        self.assertEqual({"leader", "level"}, {found["state"] for found in replicas.values()})

    def test_a_lost_voter_is_logged_and_replaced(self) -> None:
        scenario = running_scenario(4)
        leader = scenario.leader()
        replicas = self.replicas(scenario)
        lost = next(name for name in replicas if name != leader and replicas[name]["voter"])
        scenario.world.kill(lost, True)
        scenario.world.run(3)
        self.assertEqual(1, event_count(scenario, leader, VOTER_LOST.number))
        replicas = self.replicas(scenario)
        self.assertNotIn(lost, replicas)
        self.assertEqual(3, sum(replica["voter"] for replica in replicas.values()))

    def test_a_lost_voter_without_a_spare_is_shown_as_lost(self) -> None:
        scenario = running_scenario(3)
        leader = scenario.leader()
        lost = next(name for name in scenario.cores if name != leader)
        scenario.world.kill(lost, True)
        scenario.world.run(3)
        self.assertEqual("lost", self.replicas(scenario)[lost]["state"])

    def test_a_leaving_voter_is_shown_while_it_stops(self) -> None:
        scenario = running_scenario(3)
        leader = scenario.leader()
        name = next(core for core in scenario.cores if core != leader)
        node = scenario.node(name)
        node.scheduler.create_task(node.core.departure.leave(node.scheduler.now() + 3), name="stop")
        scenario.world.run(0.3)
        self.assertEqual("leaving", self.report(scenario, name)["state"])
        self.assertEqual("leaving", self.replicas(scenario)[name]["state"])
        self.assertEqual(1, event_count(scenario, name, VOTER_LEAVING.number))
