"""The status of a member, and of every disk as the leader sees it, for operators."""

from dataclasses import dataclass
from enum import StrEnum

from ryelock.consensus.node import Consensus
from ryelock.consensus.state import Role


class MemberRole(StrEnum):
    """What a member does at the moment."""

    LEADER = "leader"
    FOLLOWER = "follower"
    LEARNER = "learner"
    ISOLATED = "isolated"
    LEAVING = "leaving"


class ReplicaState(StrEnum):
    """How the leader sees one disk."""

    LEADER = "leader"
    UP_TO_DATE = "level"
    CATCHING_UP = "catching up"
    LOST = "lost"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member: its state, seconds since it heard its leader (None: never), entries to apply."""

    state: MemberRole
    leader_heard_seconds: float | None
    behind: int

    def to_wire(self) -> dict[str, object]:
        """The form in which it is shown."""
        return {
            "state": str(self.state),
            "leader_heard_seconds": self.leader_heard_seconds,
            "behind": self.behind,
        }


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """One disk as its leader sees it; `behind` counts entries, `heard_seconds` None: never."""

    disk: str
    address: str
    voter: bool
    state: ReplicaState
    behind: int
    heard_seconds: float | None

    def to_wire(self) -> dict[str, object]:
        """The form in which it is shown."""
        return {
            "disk": self.disk,
            "address": self.address,
            "voter": self.voter,
            "state": str(self.state),
            "behind": self.behind,
            "heard_seconds": self.heard_seconds,
        }


def member_status(consensus: Consensus) -> MemberStatus:
    """Return the state of this member."""
    behind = consensus.commit_index - consensus.applied_index
    heard = rounded_seconds_since(consensus, consensus.state.last_leader_contact_at)
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
    return MemberStatus(state, heard, behind)


def replica_statuses(
    consensus: Consensus, lost: frozenset[str], leaving: frozenset[str]
) -> list[ReplicaStatus]:
    """Return every disk that a leader replicates to, and its own, in the order of names."""
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
    """Return one disk as its leader sees it."""
    behind = max(0, consensus.commit_index - consensus.match_index_of(disk))
    follower = consensus.peers.get(disk)
    heard = 0.0 if disk == consensus.disk else None
    if follower is not None:
        heard = rounded_seconds_since(consensus, follower.last_contact_at)
    if disk == consensus.disk:
        state = ReplicaState.LEADER
    elif disk in leaving:
        state = ReplicaState.LEAVING
    elif disk in lost:
        state = ReplicaState.LOST
    elif behind:
        state = ReplicaState.CATCHING_UP
    else:
        state = ReplicaState.UP_TO_DATE
    return ReplicaStatus(disk, address, disk in consensus.voters, state, behind, heard)


def rounded_seconds_since(consensus: Consensus, moment: float | None) -> float | None:
    """Return seconds since a moment of the member's clock; None where it never came."""
    return None if moment is None else round(consensus.scheduler.now() - moment, 3)
