"""Objections of the drain policy to drains and recoveries."""

from types import SimpleNamespace
from typing import Any, cast

import testtools

from ryelock.control_plane.drain_policy import DrainPolicy

HEALTHY, DOWN = {"verdict": "healthy"}, {"verdict": "down"}


def policy(
    edges: dict[str, str], zones: dict[str, dict[str, str]], drains: tuple[str, ...] = ()
) -> DrainPolicy:
    """Return the policy of a network with these edges, zone statuses and drained targets."""
    state = SimpleNamespace(verdict={"zones": zones}, drains=dict.fromkeys(drains))
    members = {name: SimpleNamespace(role="edge", zone=zone) for name, zone in edges.items()}
    return DrainPolicy(cast(Any, state), cast(Any, SimpleNamespace(members=lambda: members)))


class DrainTests(testtools.TestCase):
    def test_an_edge_beside_another_of_its_zone_may_be_drained(self) -> None:
        self.assertEqual("", policy({"a": "z0", "b": "z0"}, {}).objection("a", True))

    def test_the_last_edge_of_the_only_healthy_zone_is_needed(self) -> None:
        network = policy({"a": "z0", "b": "z1"}, {"z0": HEALTHY, "z1": DOWN})
        self.assertIn("zone z0 is needed", network.objection("a", True))
        self.assertEqual("", network.objection("b", True))

    def test_a_drained_zone_cannot_take_over(self) -> None:
        zones = {"z0": HEALTHY, "z1": HEALTHY}
        edges = {"a": "z0", "b": "z1"}
        self.assertEqual("", policy(edges, zones).objection("zone:z0", True))
        drained = policy(edges, zones, ("zone:z1",))
        self.assertIn("zone z0 is needed", drained.objection("zone:z0", True))

    def test_an_unknown_target_cannot_be_drained(self) -> None:
        network = policy({"a": "z0"}, {})
        self.assertEqual("there is no edge b", network.objection("b", True))
        self.assertEqual("there is no zone z1", network.objection("zone:z1", True))


class RecoveryTests(testtools.TestCase):
    def test_only_a_drained_target_can_recover(self) -> None:
        network = policy({"a": "z0"}, {}, ("a",))
        self.assertEqual("", network.objection("a", False))
        self.assertEqual("b is not drained", network.objection("b", False))

    def test_a_zone_that_is_down_stays_drained(self) -> None:
        network = policy({"a": "z0"}, {"z0": DOWN}, ("zone:z0",))
        self.assertEqual("zone z0 is down by its verdict", network.objection("zone:z0", False))
