"""Incremental updates between versions of the membership."""

from types import SimpleNamespace
from typing import Any, cast

import testtools

from ryelock.control_plane import membership_changes
from ryelock.control_plane.membership_changes import MembershipChanges
from ryelock.membership import Session


class MembershipChangesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sessions: dict[str, Session] = {}
        membership = SimpleNamespace(members=lambda: self.sessions, lost=dict)
        self.changes = MembershipChanges(cast(Any, membership), "members@core-0/1")

    def join(self, name: str) -> int:
        self.sessions[name] = Session(name=name, role="edge", incarnation="1")
        return self.changes.refresh()

    def names(self, update: dict[str, Any]) -> list[str]:
        return [session["name"] for session in update["sessions"]]

    def test_the_version_stays_while_nothing_changes(self) -> None:
        version = self.join("a")
        self.assertEqual(version, self.changes.refresh())

    def test_a_node_without_a_version_gets_all_members(self) -> None:
        self.join("a")
        self.join("b")
        update = self.changes.update_since(None)
        self.assertEqual(["a", "b"], self.names(update))
        self.assertNotIn("since", update)

    def test_a_node_with_a_version_gets_what_changed_since(self) -> None:
        self.join("a")
        version = self.join("b")
        self.join("c")
        del self.sessions["a"]
        self.changes.refresh()
        update = self.changes.update_since(version)
        self.assertEqual(version, update["since"])
        self.assertEqual(["c"], self.names(update))
        self.assertEqual(["a"], update["removed"])

    def test_a_node_that_is_too_far_behind_gets_all_members(self) -> None:
        version = self.join("first")
        for number in range(membership_changes.MAX_CHANGES + 1):
            self.join(f"edge-{number}")
        self.assertNotIn("since", self.changes.update_since(version))
