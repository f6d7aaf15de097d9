"""Fault-injection cases, seeded simulated runs that aim at one invariant or one fault each.

Tests run a case with the mechanism that guards the invariant, and with it disabled.
`python -m ryelock.testing case NAME` runs one over many seeds.
"""

from collections.abc import Callable

from ryelock.testing.cases.answers import foreign_answer, silent_server
from ryelock.testing.cases.catch_up import many_changes
from ryelock.testing.cases.cluster_faults import (
    all_power,
    cut_edges,
    deposed_leader,
    lost_disk,
    rolling,
    scattered,
)
from ryelock.testing.cases.control import CONTROL_CASES
from ryelock.testing.cases.crash_points import (
    crash_claim,
    crash_drain,
    crash_edge,
    crash_follower,
    crash_points,
    crash_purge,
    crash_snapshot,
    crash_voters,
)
from ryelock.testing.cases.losses import LOSS_CASES
from ryelock.testing.cases.mass_losses import MASS_LOSS_CASES
from ryelock.testing.cases.traffic import (
    lifetimes,
    low_rate_service,
    misbehaving_servers,
    overload,
    purge_flood,
    repeated_keys,
    reused_address,
    unmarked_repeats,
)
from ryelock.testing.checks import Findings

Case = Callable[[int], Findings]

CASES: dict[str, Case] = {
    "unmarked-repeats": unmarked_repeats,
    "narrow-desks": low_rate_service,
    "repeated-keys": repeated_keys,
    "crowd": overload,
    "mean-servers": misbehaving_servers,
    "cut-edges": cut_edges,
    "handed-address": reused_address,
    "purge-flood": purge_flood,
    "all-power": all_power,
    "deposed-leader": deposed_leader,
    "scattered": scattered,
    "lost-disk": lost_disk,
    "lifetimes": lifetimes,
    "rolling": rolling,
    "crash-points": crash_points,
    "crash-follower": crash_follower,
    "crash-edge": crash_edge,
    "crash-purge": crash_purge,
    "crash-drain": crash_drain,
    "crash-claim": crash_claim,
    "crash-image": crash_snapshot,
    "crash-voters": crash_voters,
    "many-changes": many_changes,
    "foreign-answer": foreign_answer,
    "silent-server": silent_server,
    **CONTROL_CASES,
    **LOSS_CASES,
    **MASS_LOSS_CASES,
}
"""Every case, by its name on the command line."""
