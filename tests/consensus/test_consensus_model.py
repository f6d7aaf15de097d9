"""Model tests of consensus, journal and replicated state under adversarial schedules."""

import pytest
import testtools
from consensus_takeouts import TAKE_OUTS, TakeOut
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ryelock.testing.model.invariants import LIVENESS
from ryelock.testing.model.linearizability import (
    ACCEPTED,
    CHANGE,
    CONFLICT,
    READ,
    Operation,
    linearizable,
)
from ryelock.testing.model.schedule import (
    MAX_ARGUMENT,
    MOTIFS,
    STEP_KINDS,
    Schedule,
    Step,
    decode_schedule,
    draw,
    run_schedule,
    shrink,
)
from ryelock.testing.model.search import exhaustive_schedules

CHUNKS = 4
CHUNK_SEEDS = 400
HYPOTHESIS_EXAMPLES = 600
EXHAUSTIVE_LENGTH = 3

SCHEDULES_UNTIL_FOUND: dict[str, tuple[str, int]] = {
    "any log elected": ("", 7),
    "base unchecked": ("", 6),
    "disk names ignored": ("a lost disk and a change of leader", 10),
    "entries not synced": ("", 1),
    "failed write left": ("", 108),
    "failed write refuses": ("", 153),
    "few promises": ("a change of voters and promises", 17),
    "half is enough": ("", 1),
    "image drops tail": ("a disk fails while entries come", 233),
    "leaves at once": ("a voter leaves and another is lost", 2),
    "released members go on": ("a voter leaves and another is lost", 328),
    "older epochs counted": ("an old entry counted late", 469),
    "outcomes forgotten": ("", 6),
    "promises forgotten": ("promises and a restart", 1),
    "promises ignored": ("", 15),
    "torn tail kept": ("", 1),
    "unchecked voters": ("two changes of voters", 1),
    "unconfirmed reads": ("stale read", 28),
    "unsynced opening": ("killed before a sync", 41),
    "vote not synced": ("", 1),
    "votes twice": ("", 4),
}
"""By mutation: the motif of its schedules ("" for any), and the number of seeds from 0 on until a
schedule breaks an invariant only with the mutation."""

MIN_SCHEDULES = 60
"""Minimum schedules per mutation; changes to the product shift the seed that finds a violation."""

ALPHABET: tuple[Step, ...] = (
    ("change", 0, 1, 0),
    ("read", 1, 0, 0),
    ("isolate", 2, 0, 0),
    ("heal", 0, 0, 0),
    ("election", 0, 0, 0),
    ("power", 2, 2, 0),
    ("start", 0, 0, 0),
    ("wipe", 0, 0, 0),
    ("hand_over", 0, 0, 0),
)


def find_violation(take_out: TakeOut, motif: str, max_schedules: int) -> tuple[int, str]:
    """Run schedules until one breaks a safety invariant only with the mutation.

    Returns:
        The number of schedules run and the invariant; 0 and an empty string if none broke one.
    """
    for seed in range(max_schedules):
        schedule = draw(seed, motif=motif)
        with take_out():
            violation = run_schedule(schedule)
        if violation is None or violation.invariant == LIVENESS:
            continue
        if run_schedule(schedule) is None:
            return seed + 1, violation.invariant
    return 0, ""


class ScheduleTests(testtools.TestCase):
    def test_all_short_schedules_break_no_invariant(self) -> None:
        """Runs all sequences of a few steps, with the seed as the only randomness."""
        for schedule in exhaustive_schedules(ALPHABET, EXHAUSTIVE_LENGTH, machines=3):
            violation = run_schedule(schedule)
            self.assertIsNone(violation, f"{schedule.encode()}: {violation}")

    def test_a_schedule_runs_the_same_again(self) -> None:
        schedule = draw(17)
        self.assertEqual(schedule, decode_schedule(schedule.encode()))
        with TAKE_OUTS["votes twice"]():
            broken = next(seed for seed in range(100) if run_schedule(draw(seed)) is not None)
            first, second = run_schedule(draw(broken)), run_schedule(draw(broken))
            self.assertEqual(str(first), str(second))

    def test_shrinking_keeps_the_broken_invariant(self) -> None:
        with TAKE_OUTS["base unchecked"]():
            seed = next(seed for seed in range(100) if run_schedule(draw(seed)) is not None)
            violation = run_schedule(draw(seed))
            assert violation is not None
            shrunk = shrink(draw(seed), violation.invariant)
            again = run_schedule(shrunk)
            assert again is not None
            self.assertEqual(violation.invariant, again.invariant)
            self.assertLess(len(shrunk.steps), len(draw(seed).steps))


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_random_schedules_break_no_invariant(chunk: int) -> None:
    for seed in range(chunk * CHUNK_SEEDS, (chunk + 1) * CHUNK_SEEDS):
        violation = run_schedule(draw(seed))
        assert violation is None, f"seed {seed}: {violation}"


ARGUMENT = st.integers(0, MAX_ARGUMENT)
STEPS = st.lists(st.tuples(st.sampled_from(STEP_KINDS), ARGUMENT, ARGUMENT, ARGUMENT), max_size=20)


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=HYPOTHESIS_EXAMPLES,
    suppress_health_check=list(HealthCheck),
)
@given(
    seed=st.integers(0, 1 << 20),
    machines=st.integers(2, 5),
    snapshot_records=st.sampled_from((8, 30, 1000)),
    steps=STEPS,
)
def test_drawn_steps_break_no_invariant(
    seed: int, machines: int, snapshot_records: int, steps: list[Step]
) -> None:
    violation = run_schedule(Schedule(seed, machines, snapshot_records, tuple(steps)))
    assert violation is None, violation


@pytest.mark.parametrize("name", sorted(TAKE_OUTS))
def test_a_taken_out_mechanism_is_missed(name: str) -> None:
    motif, schedules = SCHEDULES_UNTIL_FOUND[name]
    max_schedules = max(MIN_SCHEDULES, 3 * schedules)
    found, _ = find_violation(TAKE_OUTS[name], motif, max_schedules)
    assert found, f"{name}: none of {max_schedules} schedules broke an invariant"


def test_every_take_out_has_schedules() -> None:
    assert sorted(SCHEDULES_UNTIL_FOUND) == sorted(TAKE_OUTS)
    assert {motif for motif, _ in SCHEDULES_UNTIL_FOUND.values()} <= {"", *MOTIFS}


class LinearizabilityTests(testtools.TestCase):
    def change(self, name: str, base: int, began: int, ended: int, status: str) -> Operation:
        operation = Operation(CHANGE, name, base, base + 1, began)
        operation.ended = ended
        operation.status = status
        return operation

    def read(self, version: int, name: str, began: int, ended: int) -> Operation:
        operation = Operation(READ, "", 0, 0, began)
        operation.ended = ended
        operation.status = ACCEPTED
        operation.result = (version, name)
        return operation

    def test_a_read_behind_an_acknowledgement_must_see_it(self) -> None:
        change = self.change("a", 0, 1, 2, ACCEPTED)
        self.assertTrue(linearizable([change, self.read(1, "a", 3, 4)]))
        self.assertFalse(linearizable([change, self.read(0, "", 3, 4)]))

    def test_a_read_beside_a_change_may_see_either(self) -> None:
        change = self.change("a", 0, 1, 4, ACCEPTED)
        self.assertTrue(linearizable([change, self.read(0, "", 2, 3)]))
        self.assertTrue(linearizable([change, self.read(1, "a", 2, 3)]))

    def test_reads_do_not_go_back(self) -> None:
        change = self.change("a", 0, 1, 0, "unknown")
        seen, unseen = self.read(1, "a", 2, 3), self.read(0, "", 4, 5)
        self.assertFalse(linearizable([change, seen, unseen]))

    def test_an_unknown_change_may_be_taken_late_or_never(self) -> None:
        change = self.change("a", 0, 1, 0, "unknown")
        self.assertTrue(linearizable([change, self.read(0, "", 2, 3), self.read(1, "a", 4, 5)]))
        self.assertTrue(linearizable([change, self.read(0, "", 2, 3)]))

    def test_one_change_to_a_base(self) -> None:
        one, other = self.change("a", 0, 1, 4, ACCEPTED), self.change("b", 0, 2, 3, ACCEPTED)
        self.assertFalse(linearizable([one, other]))
        other.status = CONFLICT
        self.assertTrue(linearizable([one, other]))

    def test_a_conflict_needs_a_cause(self) -> None:
        self.assertFalse(linearizable([self.change("a", 0, 1, 2, CONFLICT)]))

    def test_a_change_sent_again_is_acknowledged_while_it_stands(self) -> None:
        first, again = self.change("a", 0, 1, 2, ACCEPTED), self.change("a", 0, 3, 4, CONFLICT)
        self.assertFalse(linearizable([first, again]))
        between = self.change("b", 1, 3, 4, ACCEPTED)
        again.began, again.ended = 5, 6
        self.assertTrue(linearizable([first, between, again]))
