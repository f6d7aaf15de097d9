"""The step from one set of voters to the next: bounded, one at a time, never less bearable."""

from itertools import product

import testtools

from ryelock.consensus import majority_of
from ryelock.consensus.entries import Voters
from ryelock.consensus.membership import MAX_VOTERS, Standby, VoterSet, next_voters

STEPS_MOST = 20


def bearable(voters: Voters, alive: set[str]) -> int:
    """How many more losses leave a majority; below 0 there is none already."""
    return len(alive & set(voters)) - majority_of(len(voters))


def disks(count: int, prefix: str) -> list[str]:
    return [f"{prefix}{number}" for number in range(count)]


def every_membership() -> list[VoterSet]:
    """Each mix of live, lost and leaving voters with up to four spares; the leader is alive."""
    found: list[VoterSet] = []
    for count in range(1, MAX_VOTERS + 2):
        voters = disks(count, "voter")
        for states in product(("live", "lost", "leaving"), repeat=count - 1):
            state = dict(zip(voters[1:], states, strict=True))
            for spares in range(5):
                found.append(
                    VoterSet(
                        {disk: disk for disk in voters},
                        voters[0],
                        frozenset(disk for disk in state if state[disk] == "lost"),
                        frozenset(disk for disk in state if state[disk] == "leaving"),
                        tuple(Standby(disk, disk) for disk in disks(spares, "spare")),
                    )
                )
    return found


def after(membership: VoterSet, voters: Voters) -> VoterSet:
    return VoterSet(
        voters,
        membership.own_disk,
        membership.lost,
        membership.leaving,
        tuple(spare for spare in membership.standbys if spare.disk not in voters),
    )


class StepTests(testtools.TestCase):
    def alive(self, membership: VoterSet) -> set[str]:
        known = {*membership.voters, *(spare.disk for spare in membership.standbys)}
        return known - membership.lost

    def test_each_step_is_one_voter_and_keeps_the_leader(self) -> None:
        for membership in every_membership():
            voters = next_voters(membership)
            if voters is None:
                continue
            self.assertEqual(1, len(set(voters) ^ set(membership.voters)), str(membership))
            self.assertIn(membership.own_disk, voters)
            self.assertTrue(len(voters) <= MAX_VOTERS + 1)

    def test_no_step_bears_fewer_losses_than_the_one_before(self) -> None:
        for membership in every_membership():
            alive = self.alive(membership)
            voters = next_voters(membership)
            if voters is None or bearable(membership.voters, alive) < 0:
                continue
            now, then = bearable(membership.voters, alive), bearable(voters, alive)
            self.assertTrue(then >= now, (membership, voters))

    def test_what_was_agreed_never_comes_to_stand_on_one_disk(self) -> None:
        for membership in every_membership():
            voters = next_voters(membership)
            if voters is not None and len(membership.voters) > 1:
                self.assertTrue(len(voters) > 1, membership)

    def test_the_steps_end_and_bear_all_that_the_disks_allow(self) -> None:
        for membership in every_membership():
            if bearable(membership.voters, self.alive(membership)) < 0:
                continue
            step = membership
            for _ in range(STEPS_MOST):
                voters = next_voters(step)
                if voters is None:
                    break
                step = after(step, voters)
            else:
                self.fail(f"no end from {membership}")
            self.assert_ended_well(membership, step)

    def assert_ended_well(self, first: VoterSet, last: VoterSet) -> None:
        alive = self.alive(first)
        staying = alive - first.leaving
        if len(staying) >= MAX_VOTERS:
            self.assertTrue(bearable(last.voters, alive) >= 2, (first, last))
        elif len(staying) >= 3:
            self.assertTrue(bearable(last.voters, alive) >= 1, (first, last))
        if first.standbys and len(staying) >= 3:
            self.assertEqual(set(), set(last.voters) & first.lost, str((first, last)))
            remaining = set(last.voters) & first.leaving
            without_spare = len(first.leaving_voters) - len(first.standbys)
            self.assertTrue(len(remaining) <= max(0, without_spare), (first, last))
