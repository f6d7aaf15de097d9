"""Votes for a quorum lease, and the rule that decides when they form a quorum.

A voter that grants its vote promises to follow no leader for the lease period. An edge without a
leader may keep serving once a majority of voters has granted votes, counted in the newest voter
configuration that any of them has in its log.

Why this is safe: a newer configuration committed before the votes was stored by a majority that
intersects the granting one, so a granting voter knows it. A configuration not committed by then
cannot be committed while the votes hold, and neither can any other entry. See docs/consensus.md.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ryelock.consensus import majority_of
from ryelock.rpc import Message


@dataclass(frozen=True, slots=True)
class QuorumLeaseVote:
    """A granted vote.

    Attributes:
        disk: identity of the voter's disk.
        last_index: index of the last entry in the voter's log.
        voters: disks of the voters in the newest configuration of the voter's log.
        configuration: term and index of the log position up to which these voters are current.
    """

    disk: str
    last_index: int
    voters: frozenset[str]
    configuration: tuple[int, int]


def decode_vote(response: Message) -> QuorumLeaseVote | None:
    """Return the vote in a voter's response; None where it was not granted or is malformed."""
    match response:
        case {
            "granted": True,
            "disk": str(disk),
            "last": int(last_index),
            "voters": list(voters),
            "configuration": [int(term), int(index)],
        }:
            return QuorumLeaseVote(disk, last_index, frozenset(map(str, voters)), (term, index))
        case _:
            return None


def is_quorum(votes: Collection[QuorumLeaseVote]) -> bool:
    """Return True if a majority of the newest voter configuration has granted its vote."""
    if not votes:
        return False
    newest = max(votes, key=lambda vote: vote.configuration)
    granting = {vote.disk for vote in votes} & newest.voters
    return len(granting) >= majority_of(len(newest.voters))
