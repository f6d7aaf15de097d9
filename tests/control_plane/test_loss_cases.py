"""Losses of two nodes in sequence are tolerated, but not without voter replacement."""

from typing import Any
from unittest import mock

import pytest
import testtools

from ryelock.control_plane.voters import VoterManager
from ryelock.testing.cases import losses as loss_cases
from ryelock.testing.cases.losses import all_losses, leaving_member, run_losses, second_loss

LEAVING_SEEDS = range(12)


@pytest.mark.parametrize("disks", [3, 4, 5])
@pytest.mark.parametrize("first", all_losses(), ids=lambda loss: f"{loss.kind}-{loss.role}")
def test_any_two_losses_in_sequence_are_tolerated(first: Any, disks: int) -> None:
    for seed, second in enumerate(all_losses()):
        found = run_losses(seed, disks, [[first], [second]])
        assert found.violations == [], second


@pytest.mark.parametrize("first", all_losses(), ids=lambda loss: f"{loss.kind}-{loss.role}")
def test_eight_disks_tolerate_two_simultaneous_losses_twice(first: Any) -> None:
    losses = all_losses()
    for seed, second in enumerate(losses):
        third = losses[(seed * 5 + 3) % len(losses)]
        found = run_losses(seed, 8, [[first, second], [third, first]])
        assert found.violations == [], (second, third)


class LossTests(testtools.TestCase):
    def test_random_losses_are_tolerated(self) -> None:
        for seed in range(16):
            self.assertEqual([], second_loss(seed).violations)

    def test_a_leaving_voter_is_replaced_by_a_standby(self) -> None:
        for seed in LEAVING_SEEDS:
            self.assertEqual([], leaving_member(seed).violations)

    def test_a_voter_that_ends_without_release_costs_the_majority(self) -> None:
        with mock.patch.object(VoterManager, "on_release_request", lambda *_: {"may_end": True}):
            found = [text for seed in LEAVING_SEEDS for text in leaving_member(seed).violations]
        self.assertTrue([text for text in found if text.startswith("majority kept")], found)

    def test_without_standbys_second_losses_are_not_tolerated(self) -> None:
        with mock.patch.object(VoterManager, "ready_standbys", lambda _: []):
            found = [text for seed in range(8) for text in second_loss(seed).violations]
        self.assertTrue([text for text in found if text.startswith("majority kept")], found)

    def test_late_replacement_of_voters_costs_the_majority(self) -> None:
        late = {**loss_cases.LOSS_SETTINGS, "replace_seconds": 30.0}
        with mock.patch.object(loss_cases, "LOSS_SETTINGS", late):
            found = [text for seed in range(16) for text in second_loss(seed).violations]
        self.assertTrue([text for text in found if text.startswith("majority kept")], found)
