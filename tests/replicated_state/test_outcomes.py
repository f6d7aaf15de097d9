"""The outcome of the current change is never evicted, so that a retry of it is recognized."""

import testtools

from ryelock.replicated_state import MalformedSnapshotError, ReplicatedState, encode_command
from ryelock.replicated_state.outcomes import MAX_OUTCOMES_PER_KIND, Outcomes

PURGE = [{"path": "/covers/1"}]
SERVICE = {"pages": {"rate": 10, "answer_seconds": 2}}


def change_command(identity: str, base: int) -> bytes:
    return encode_command(
        "change", id=identity, change={"id": identity, "base": base, "put": {"services": SERVICE}}
    )


class OutcomeTests(testtools.TestCase):
    def replicated_state_with_change(self) -> ReplicatedState:
        replicated_state = ReplicatedState()
        outcome = replicated_state.apply(1, change_command("the change", 0))
        self.assertEqual("accepted", outcome["status"])
        return replicated_state

    def assert_retry_recognized(self, replicated_state: ReplicatedState, index: int) -> None:
        outcome = replicated_state.apply(index, change_command("the change", 0))
        self.assertEqual(
            ("accepted", 1, True), (outcome["status"], outcome["version"], outcome.get("again"))
        )

    def test_purges_do_not_evict_the_current_change(self) -> None:
        replicated_state = self.replicated_state_with_change()
        for number in range(MAX_OUTCOMES_PER_KIND + 1):
            replicated_state.apply(
                2 + number, encode_command("purge", id=f"purge {number}", scopes=PURGE)
            )
        self.assert_retry_recognized(replicated_state, 3 + MAX_OUTCOMES_PER_KIND)

    def test_conflicting_changes_do_not_evict_the_current_change(self) -> None:
        replicated_state = self.replicated_state_with_change()
        for number in range(MAX_OUTCOMES_PER_KIND + 1):
            outcome = replicated_state.apply(2 + number, change_command(f"late {number}", 0))
            self.assertEqual("conflict", outcome["status"])
        self.assert_retry_recognized(replicated_state, 3 + MAX_OUTCOMES_PER_KIND)

    def test_a_restored_snapshot_does_not_evict_the_current_change(self) -> None:
        replicated_state = self.replicated_state_with_change()
        restored = ReplicatedState()
        restored.restore(replicated_state.snapshot())
        for number in range(MAX_OUTCOMES_PER_KIND + 1):
            restored.apply(2 + number, change_command(f"late {number}", 0))
        self.assert_retry_recognized(restored, 3 + MAX_OUTCOMES_PER_KIND)

    def test_outcomes_of_an_older_snapshot_are_read(self) -> None:
        outcomes = Outcomes.from_wire([["change:one", {"status": "accepted"}], ["purge:two", {}]])
        self.assertEqual({"status": "accepted"}, outcomes.find("change", "one"))
        self.assertEqual({}, outcomes.find("purge", "two"))

    def test_malformed_outcomes_are_rejected(self) -> None:
        self.assertRaises(MalformedSnapshotError, Outcomes.from_wire, {"change": 1})

    def test_the_number_of_outcomes_is_limited_for_each_kind(self) -> None:
        replicated_state = self.replicated_state_with_change()
        for number in range(MAX_OUTCOMES_PER_KIND + 10):
            replicated_state.apply(2 + number, change_command(f"late {number}", 0))
        self.assertEqual(MAX_OUTCOMES_PER_KIND, len(replicated_state.outcomes.by_kind["change"]))
