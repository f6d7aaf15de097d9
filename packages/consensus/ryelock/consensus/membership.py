"""Which voter to add or remove next: a pure decision, one voter at a time (Raft, section 6).

A set of n voters with m of them alive tolerates the loss of m - majority(n) more. The decision
raises that number where it can and never lowers it, also not between two steps:

- A lost voter is removed before its replacement is added, since adding one first would make
  progress depend on a standby that may be about to fail; but of two voters neither is removed, as
  all that was committed would then stand on a single disk.
- A voter that is leaving in order is alive, so its replacement is added before it is removed.
- Without a standby a lost voter is removed where that lowers the majority that is needed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelock.consensus.entries import Voters, majority_of

MAX_VOTERS = 5
DEFAULT_VOTERS = 3
"""The number of voters with enough disks for five, and otherwise."""


@dataclass(frozen=True, slots=True)
class Standby:
    """A disk that holds the log and is no voter."""

    disk: str
    address: str


@dataclass(frozen=True, slots=True)
class VoterSet:
    """What the leader knows of voters and standbys.

    Attributes:
        voters: The present voters.
        own_disk: The leader's disk.
        lost: Disks that stored nothing for too long.
        leaving: Disks whose process asked to leave.
        standbys: Disks that hold the log and are no voters, best first.
        voters_in_zone: The number of other voters in the zone of each voter.
    """

    voters: Voters
    own_disk: str
    lost: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    standbys: tuple[Standby, ...] = ()
    voters_in_zone: Mapping[str, int] = field(default_factory=dict)

    @property
    def lost_voters(self) -> list[str]:
        """The voters that are lost, but for the leader itself."""
        return sorted(disk for disk in self.voters if disk in self.lost and disk != self.own_disk)

    @property
    def leaving_voters(self) -> list[str]:
        """The voters that leave and are not lost, but for the leader itself."""
        return sorted(
            disk
            for disk in self.voters
            if disk in self.leaving and disk not in self.lost and disk != self.own_disk
        )

    @property
    def target_size(self) -> int:
        """The number of voters target_size with the disks that stay."""
        away = {*self.lost_voters, *self.leaving_voters}
        staying = len(self.voters) - len(away) + len(self.standbys)
        return MAX_VOTERS if staying >= MAX_VOTERS else DEFAULT_VOTERS

    @property
    def is_even(self) -> bool:
        """Whether the number of voters is even."""
        return len(self.voters) % 2 == 0


def next_voters(membership: VoterSet) -> Voters | None:
    """Return the voters after the next step, one more or fewer; None where none is needed."""
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
    """Remove a lost voter, or add a standby first where only two voters are left."""
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
    """Add a standby for a voter that is leaving, then remove that voter.

    An odd number of voters tolerates one loss more than the even number below it, so a voter is
    removed from an even number only.
    """
    count = len(membership.voters)
    if membership.is_even and count > 2:
        return without(membership, membership.leaving_voters[0])
    if membership.standbys:
        return with_standby(membership)
    return None


def with_standby(membership: VoterSet) -> Voters:
    """Return the voters and the best standby."""
    standby = membership.standbys[0]
    return {**membership.voters, standby.disk: standby.address}


def without(membership: VoterSet, disk: str) -> Voters:
    """Return the voters but for one."""
    return {other: address for other, address in membership.voters.items() if other != disk}


def voter_in_fullest_zone(membership: VoterSet) -> str:
    """Return the voter in the zone with the most other voters, but never the leader itself."""
    others = [disk for disk in membership.voters if disk != membership.own_disk]
    return max(others, key=lambda disk: (membership.voters_in_zone.get(disk, 0), disk))
