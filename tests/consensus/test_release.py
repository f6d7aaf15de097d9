"""A released control node stops taking part in consensus before its process ends."""

from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import testtools

from ryelock.control_plane.departure import ConsensusDeparture
from ryelock.rpc import Message
from ryelock.testing.cases.losses import LOSS_SETTINGS
from ryelock.testing.scenario import Scenario


class ReleaseTests(testtools.TestCase):
    def last_index_after_a_change(self) -> tuple[int, int]:
        """Return the last index of a released follower: on release and after a later change."""
        scenario = Scenario(5, cores=3, edges=1, probers=0, settings=LOSS_SETTINGS)
        scenario.set_up()
        scenario.world.run(4)
        leader = scenario.leader()
        name = next(core for core in scenario.cores if core != leader)
        node = scenario.node(name)
        released: list[float] = []

        async def leave() -> None:
            await node.core.departure.leave(node.scheduler.now() + 3)
            released.append(scenario.world.time)

        node.scheduler.create_task(leave(), name="stop")
        self.assertTrue(scenario.world.run_until(lambda: bool(released), 3))
        before = node.core.consensus.last_index
        changed = scenario.world.task(scenario.operators, scenario.add_route("later", 1, leader), 5)
        self.assertEqual(200, changed.status)
        return before, node.core.consensus.last_index

    def test_a_released_node_stores_no_further_entry(self) -> None:
        before, after = self.last_index_after_a_change()
        self.assertEqual(before, after)

    def test_without_leaving_a_released_node_stores_further_entries(self) -> None:
        async def leave(departure: ConsensusDeparture, until: float) -> None:
            await departure.wait_for_release(until)

        with mock.patch.object(ConsensusDeparture, "leave", leave):
            before, after = self.last_index_after_a_change()
        self.assertGreater(after, before)

    def test_a_release_by_an_older_leader_does_not_count(self) -> None:
        """Between the reply and its arrival, the node may have stored a newer leader's entries."""
        node = cast(Any, SimpleNamespace(consensus=SimpleNamespace(term=7)))
        cases: tuple[tuple[Message, bool], ...] = (
            ({"may_end": True, "epoch": 7}, True),
            ({"may_end": True, "epoch": 6}, False),
            ({"may_end": False, "epoch": 7}, False),
            ({"may_end": True}, True),
            ({}, False),
        )
        for answer, wanted in cases:
            self.assertEqual(wanted, ConsensusDeparture.is_released(node, answer), str(answer))
