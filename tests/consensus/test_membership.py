"""Voter changes: one voter at a time, terminating, never reducing the tolerated losses."""

from itertools import product

import testtools

from ryelock.consensus import majority_of
from ryelock.consensus.entries import Voters
from ryelock.consensus.membership import MAX_VOTERS, Standby, VoterSet, next_voters

MAX_STEPS = 20


def tolerated_losses(voters: Voters, alive: set[str]) -> int:
    """Return how many more losses leave a majority; negative if there is none already."""
    return len(alive & set(voters)) - majority_of(len(voters))


def disks(count: int, prefix: str) -> list[str]:
    return [f"{prefix}{number}" for number in range(count)]


def all_voter_sets() -> list[VoterSet]:
    """Return all mixes of running, lost and leaving voters with up to four standbys."""
    found: list[VoterSet] = []
    for count in range(1, MAX_VOTERS + 2):
        voters = disks(count, "voter")
        for states in product(("live", "lost", "leaving"), repeat=count - 1):
            state = dict(zip(voters[1:], states, strict=True))
            for standbys in range(5):
                found.append(
                    VoterSet(
                        {disk: disk for disk in voters},
                        voters[0],
                        frozenset(disk for disk in state if state[disk] == "lost"),
                        frozenset(disk for disk in state if state[disk] == "leaving"),
                        tuple(Standby(disk, disk) for disk in disks(standbys, "standby")),
                    )
                )
    return found


def after_step(voter_set: VoterSet, voters: Voters) -> VoterSet:
    return VoterSet(
        voters,
        voter_set.own_disk,
        voter_set.lost,
        voter_set.leaving,
        tuple(standby for standby in voter_set.standbys if standby.disk not in voters),
    )


class StepTests(testtools.TestCase):
    def alive(self, voter_set: VoterSet) -> set[str]:
        known = {*voter_set.voters, *(standby.disk for standby in voter_set.standbys)}
        return known - voter_set.lost

    def test_each_step_is_one_voter_and_keeps_the_leader(self) -> None:
        for voter_set in all_voter_sets():
            voters = next_voters(voter_set)
            if voters is None:
                continue
            self.assertEqual(1, len(set(voters) ^ set(voter_set.voters)), str(voter_set))
            self.assertIn(voter_set.own_disk, voters)
            self.assertTrue(len(voters) <= MAX_VOTERS + 1)

    def test_no_step_reduces_the_tolerated_losses(self) -> None:
        for voter_set in all_voter_sets():
            alive = self.alive(voter_set)
            voters = next_voters(voter_set)
            if voters is None or tolerated_losses(voter_set.voters, alive) < 0:
                continue
            now, then = tolerated_losses(voter_set.voters, alive), tolerated_losses(voters, alive)
            self.assertTrue(then >= now, (voter_set, voters))

    def test_committed_entries_are_never_left_on_a_single_disk(self) -> None:
        for voter_set in all_voter_sets():
            voters = next_voters(voter_set)
            if voters is not None and len(voter_set.voters) > 1:
                self.assertTrue(len(voters) > 1, voter_set)

    def test_steps_terminate_and_tolerate_the_most_losses_possible(self) -> None:
        for voter_set in all_voter_sets():
            if tolerated_losses(voter_set.voters, self.alive(voter_set)) < 0:
                continue
            step = voter_set
            for _ in range(MAX_STEPS):
                voters = next_voters(step)
                if voters is None:
                    break
                step = after_step(step, voters)
            else:
                self.fail(f"no end from {voter_set}")
            self.assert_final_set(voter_set, step)

    def assert_final_set(self, first: VoterSet, last: VoterSet) -> None:
        alive = self.alive(first)
        staying = alive - first.leaving
        if len(staying) >= MAX_VOTERS:
            self.assertTrue(tolerated_losses(last.voters, alive) >= 2, (first, last))
        elif len(staying) >= 3:
            self.assertTrue(tolerated_losses(last.voters, alive) >= 1, (first, last))
        if first.standbys and len(staying) >= 3:
            self.assertEqual(set(), set(last.voters) & first.lost, str((first, last)))
            remaining = set(last.voters) & first.leaving
            without_standby = len(first.leaving_voters) - len(first.standbys)
            self.assertTrue(len(remaining) <= max(0, without_standby), (first, last))
