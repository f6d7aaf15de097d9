"""Votes for a lease without a leader, and when there are enough of them to serve on.

A voter that grants one promises to follow no leader for a while. An edge that has no leader may
serve on while a majority of the voters of the newest configuration that any of them knows has
granted its vote. Argument: a newer configuration that was committed before the votes stands on a
majority that meets the granting one, so one of the granting voters knows it; one that was not
cannot be committed, nor anything else be acknowledged, while they hold. See docs/consensus.md.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ryelock.consensus import majority_of
from ryelock.rpc import Message


@dataclass(frozen=True, slots=True)
class QuorumLeaseVote:
    """One granted vote.

    Attributes:
        disk: identity of the voter.
        last_index: index of the last entry in the voter's log.
        voters: the voters by the voter's newest configuration.
        configuration: term and index up to which the voter's log names those voters.
    """

    disk: str
    last_index: int
    voters: frozenset[str]
    configuration: tuple[int, int]


def decode_vote(answer: Message) -> QuorumLeaseVote | None:
    """Return the vote in a voter's answer; None where it was not granted or cannot be read."""
    match answer:
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
    """Whether a majority of the newest known voters is among those that granted their vote."""
    if not votes:
        return False
    newest = max(votes, key=lambda vote: vote.configuration)
    granting = {vote.disk for vote in votes} & newest.voters
    return len(granting) >= majority_of(len(newest.voters))
