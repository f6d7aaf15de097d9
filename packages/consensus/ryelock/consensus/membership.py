"""Choice of the next voter to add or remove, one voter at a time (Raft, section 6).

A set of n voters of which m are running tolerates the loss of m - majority(n) more. The choice
increases that number where possible and never lowers it, not even between two steps:

- A lost voter is removed before its replacement is added, because adding first would make progress
  depend on a standby that may be about to fail. A set of two voters is not reduced, because all
  committed entries would then be on a single disk.
- A leaving voter is still running, so its replacement is added before it is removed.
- Without a standby, a lost voter is removed if that reduces the majority.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelock.consensus.entries import Voters, majority_of

MAX_VOTERS = 5
"""Target number of voters if there are enough disks."""
DEFAULT_VOTERS = 3
"""Target number of voters otherwise."""


@dataclass(frozen=True, slots=True)
class Standby:
    """A disk that has the log but is not a voter."""

    disk: str
    address: str


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters and standbys as seen by the leader.

    Attributes:
        voters: The current voters.
        own_disk: The leader's disk ID.
        lost: Disk IDs of members that stored no entry for too long.
        leaving: Disk IDs of members that asked to leave.
        standbys: The standbys, best first.
        voters_in_zone: The number of other voters in the zone of each voter, by disk ID.
    """

    voters: Voters
    own_disk: str
    lost: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    standbys: tuple[Standby, ...] = ()
    voters_in_zone: Mapping[str, int] = field(default_factory=dict)

    @property
    def lost_voters(self) -> list[str]:
        """The lost voters, except the leader itself."""
        return sorted(disk for disk in self.voters if disk in self.lost and disk != self.own_disk)

    @property
    def leaving_voters(self) -> list[str]:
        """The leaving voters that are not lost, except the leader itself."""
        return sorted(
            disk
            for disk in self.voters
            if disk in self.leaving and disk not in self.lost and disk != self.own_disk
        )

    @property
    def target_size(self) -> int:
        """The target number of voters, given the disks that remain."""
        away = {*self.lost_voters, *self.leaving_voters}
        staying = len(self.voters) - len(away) + len(self.standbys)
        return MAX_VOTERS if staying >= MAX_VOTERS else DEFAULT_VOTERS

    @property
    def is_even(self) -> bool:
        """True if the number of voters is even."""
        return len(self.voters) % 2 == 0


def next_voters(membership: VoterSet) -> Voters | None:
    """Return the voter set with the next voter added or removed; None if no change is needed."""
    if membership.lost_voters:
        return replace_lost(membership)
    if membership.leaving_voters:
        return replace_leaving(membership)
    count = len(membership.voters)
    if membership.standbys and count < membership.target_size:
        return with_standby(membership)
    if membership.is_even and count > membership.target_size:
        return without(membership, voter_in_fullest_zone(membership))
    return None


def replace_lost(membership: VoterSet) -> Voters | None:
    """Remove a lost voter, or first add a standby if only two voters are left."""
    count = len(membership.voters)
    lost = membership.lost_voters
    if count <= 2:
        return with_standby(membership) if membership.standbys else None
    if count - len(lost) < majority_of(count - 1):
        return None
    if membership.standbys or membership.is_even or len(lost) > 1:
        return without(membership, lost[0])
    return None


def replace_leaving(membership: VoterSet) -> Voters | None:
    """Add a standby for a leaving voter, then remove that voter.

    Removing a voter from an odd set would reduce the number of tolerated losses, so a voter is
    removed only from an even set.
    """
    count = len(membership.voters)
    if membership.is_even and count > 2:
        return without(membership, membership.leaving_voters[0])
    if membership.standbys:
        return with_standby(membership)
    return None


def with_standby(membership: VoterSet) -> Voters:
    """Return the voter set with the best standby added."""
    standby = membership.standbys[0]
    return {**membership.voters, standby.disk: standby.address}


def without(membership: VoterSet, disk: str) -> Voters:
    """Return the voter set with one voter removed."""
    return {other: address for other, address in membership.voters.items() if other != disk}


def voter_in_fullest_zone(membership: VoterSet) -> str:
    """Return the voter whose zone has the most other voters, excluding the leader."""
    candidates = [disk for disk in membership.voters if disk != membership.own_disk]
    return max(candidates, key=lambda disk: (membership.voters_in_zone.get(disk, 0), disk))
