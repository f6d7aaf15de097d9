"""Many machines lost in one moment: nothing acknowledged is lost, and service returns.

What the runs break without (no sync, votes for shorter logs, commits without a majority, no
leases) stands with the other removed mechanisms in tests/project/test_rules.py.
"""

import pytest

from ryelock.testing.cases.mass_losses import closing_disk_loss, mass_failure

SEEDS = range(3, 15)
"""Seeds 1 and 2 are played with every case's in tests/project/test_rules.py."""


@pytest.mark.parametrize("seed", SEEDS)
def test_disks_lost_while_all_other_machines_lose_power_lose_nothing_acknowledged(
    seed: int,
) -> None:
    found = closing_disk_loss(seed)
    assert found.violations == []
    assert found.checked["acknowledged kept"] > 0
    assert found.checked["return"] > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_many_processes_that_go_at_once_lose_nothing_acknowledged(seed: int) -> None:
    found = mass_failure(seed)
    assert found.violations == []
    assert found.checked["end of day"] > 0
    assert found.checked["return"] > 0
