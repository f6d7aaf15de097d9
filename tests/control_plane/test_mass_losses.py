"""Many machines lost at once: nothing acknowledged is lost, and service returns.

Runs without the guarding mechanisms (no sync, votes for shorter logs, commits without a majority,
no leases) are in tests/project/test_rules.py.
"""

import pytest

from ryelock.testing.cases.mass_losses import closing_disk_loss, mass_failure

SEEDS = range(3, 15)
"""Seeds 1 and 2 run in tests/project/test_rules.py."""


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_disks_and_a_power_loss_lose_nothing_acknowledged(
    seed: int,
) -> None:
    found = closing_disk_loss(seed)
    assert found.violations == []
    assert found.checked["acknowledged kept"] > 0
    assert found.checked["return"] > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_many_processes_lost_at_once_lose_nothing_acknowledged(seed: int) -> None:
    found = mass_failure(seed)
    assert found.violations == []
    assert found.checked["end of day"] > 0
    assert found.checked["return"] > 0
