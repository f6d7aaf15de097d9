"""Status of a member, and of all replicas as seen by the leader, for operators."""

from dataclasses import dataclass
from enum import StrEnum

from ryelock.consensus.node import Consensus
from ryelock.consensus.state import Role


class MemberRole(StrEnum):
    """The role of a member as shown to operators."""

    LEADER = "leader"
    FOLLOWER = "follower"
    LEARNER = "learner"
    ISOLATED = "isolated"
    LEAVING = "leaving"


class ReplicaState(StrEnum):
    """The state of a replica as seen by the leader."""

    LEADER = "leader"
    UP_TO_DATE = "level"
    CATCHING_UP = "catching up"
    LOST = "lost"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of a member.

    Attributes:
        leader_contact_seconds: Seconds since the last leader contact; None if there was none.
        unapplied_entries: The number of committed entries that it has not applied.
    """

    state: MemberRole
    leader_contact_seconds: float | None
    unapplied_entries: int

    def to_wire(self) -> dict[str, object]:
        """Encode the status for the control API."""
        return {
            "state": str(self.state),
            "leader_heard_seconds": self.leader_contact_seconds,
            "behind": self.unapplied_entries,
        }


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status of a replica as seen by the leader.

    Attributes:
        missing_entries: The number of committed entries that it is not known to store.
        last_contact_seconds: Seconds since its last contact; None if there was none.
    """

    disk: str
    address: str
    voter: bool
    state: ReplicaState
    missing_entries: int
    last_contact_seconds: float | None

    def to_wire(self) -> dict[str, object]:
        """Encode the status for the control API."""
        return {
            "disk": self.disk,
            "address": self.address,
            "voter": self.voter,
            "state": str(self.state),
            "behind": self.missing_entries,
            "heard_seconds": self.last_contact_seconds,
        }


def member_status(consensus: Consensus) -> MemberStatus:
    """Return the status of this member."""
    unapplied = consensus.commit_index - consensus.applied_index
    leader_contact = rounded_seconds_since(consensus, consensus.state.last_leader_contact_at)
    if consensus.leaving:
        state = MemberRole.LEAVING
    elif consensus.role is Role.LEADER:
        state = MemberRole.LEADER
    elif not consensus.knows_leader():
        state = MemberRole.ISOLATED
    elif consensus.disk in consensus.voters:
        state = MemberRole.FOLLOWER
    else:
        state = MemberRole.LEARNER
    return MemberStatus(state, leader_contact, unapplied)


def replica_statuses(
    consensus: Consensus, lost: frozenset[str], leaving: frozenset[str]
) -> list[ReplicaStatus]:
    """Return the status of the leader and of all its voters and learners, ordered by disk ID."""
    addresses = {
        consensus.disk: consensus.address,
        **{disk: follower.address for disk, follower in consensus.peers.items()},
        **consensus.voters,
    }
    return [
        replica_status(consensus, disk, addresses[disk], lost, leaving)
        for disk in sorted(addresses)
    ]


def replica_status(
    consensus: Consensus, disk: str, address: str, lost: frozenset[str], leaving: frozenset[str]
) -> ReplicaStatus:
    """Return the status of a replica as seen by the leader."""
    missing = max(0, consensus.commit_index - consensus.match_index_of(disk))
    follower = consensus.peers.get(disk)
    last_contact = 0.0 if disk == consensus.disk else None
    if follower is not None:
        last_contact = rounded_seconds_since(consensus, follower.last_contact_at)
    if disk == consensus.disk:
        state = ReplicaState.LEADER
    elif disk in leaving:
        state = ReplicaState.LEAVING
    elif disk in lost:
        state = ReplicaState.LOST
    elif missing:
        state = ReplicaState.CATCHING_UP
    else:
        state = ReplicaState.UP_TO_DATE
    return ReplicaStatus(disk, address, disk in consensus.voters, state, missing, last_contact)


def rounded_seconds_since(consensus: Consensus, moment: float | None) -> float | None:
    """Return the seconds since `moment`, in milliseconds precision; None if it is None."""
    return None if moment is None else round(consensus.scheduler.now() - moment, 3)
