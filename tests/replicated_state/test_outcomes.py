"""What came of a change is known as long as that change stands, whatever else was agreed on."""

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

    def assert_known(self, replicated_state: ReplicatedState, index: int) -> None:
        again = replicated_state.apply(index, change_command("the change", 0))
        self.assertEqual(
            ("accepted", 1, True), (again["status"], again["version"], again.get("again"))
        )

    def test_a_stream_of_purges_does_not_push_out_the_standing_change(self) -> None:
        replicated_state = self.replicated_state_with_change()
        for number in range(MAX_OUTCOMES_PER_KIND + 1):
            replicated_state.apply(
                2 + number, encode_command("purge", id=f"purge {number}", scopes=PURGE)
            )
        self.assert_known(replicated_state, 3 + MAX_OUTCOMES_PER_KIND)

    def test_refused_changes_do_not_push_it_out_either(self) -> None:
        replicated_state = self.replicated_state_with_change()
        for number in range(MAX_OUTCOMES_PER_KIND + 1):
            outcome = replicated_state.apply(2 + number, change_command(f"late {number}", 0))
            self.assertEqual("conflict", outcome["status"])
        self.assert_known(replicated_state, 3 + MAX_OUTCOMES_PER_KIND)

    def test_a_snapshot_keeps_it(self) -> None:
        replicated_state = self.replicated_state_with_change()
        copy = ReplicatedState()
        copy.restore(replicated_state.snapshot())
        for number in range(MAX_OUTCOMES_PER_KIND + 1):
            copy.apply(2 + number, change_command(f"late {number}", 0))
        self.assert_known(copy, 3 + MAX_OUTCOMES_PER_KIND)

    def test_outcomes_of_a_snapshot_written_before_are_read(self) -> None:
        outcomes = Outcomes.from_wire([["change:one", {"status": "accepted"}], ["purge:two", {}]])
        self.assertEqual({"status": "accepted"}, outcomes.find("change", "one"))
        self.assertEqual({}, outcomes.find("purge", "two"))

    def test_what_is_no_list_of_outcomes_is_refused(self) -> None:
        self.assertRaises(MalformedSnapshotError, Outcomes.from_wire, {"change": 1})

    def test_room_is_bounded_for_each_kind(self) -> None:
        replicated_state = self.replicated_state_with_change()
        for number in range(MAX_OUTCOMES_PER_KIND + 10):
            replicated_state.apply(2 + number, change_command(f"late {number}", 0))
        self.assertEqual(MAX_OUTCOMES_PER_KIND, len(replicated_state.outcomes.by_kind["change"]))
