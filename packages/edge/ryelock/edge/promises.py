"""Promises of voters to follow no leader for a while, and when they are enough to serve on.

An edge that has no leader may serve on while a majority of the voters of the newest configuration
that any of them knows has promised. Argument: a newer configuration that was agreed before the
promises stands on a majority that meets the promising one, so one of the promising voters knows
it; one that was not cannot be agreed on, nor anything else be acknowledged, while they hold.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ryelock.consensus import majority_of
from ryelock.rpc import Message


@dataclass(frozen=True, slots=True)
class QuorumLeaseVote:
    """One granted promise: `last` is the last word in the voter's log, `configuration` the epoch
    and index up to which its log names the voters."""

    disk: str
    last: int
    voters: frozenset[str]
    configuration: tuple[int, int]


def decode_vote(answer: Message) -> QuorumLeaseVote | None:
    """A promise from a voter's answer; None where it was not granted or cannot be read."""
    match answer:
        case {
            "granted": True,
            "disk": str(disk),
            "last": int(last),
            "voters": list(voters),
            "configuration": [int(epoch), int(index)],
        }:
            return QuorumLeaseVote(disk, last, frozenset(map(str, voters)), (epoch, index))
        case _:
            return None


def are_enough(promises: Collection[QuorumLeaseVote]) -> bool:
    """Whether a majority of the newest known voters is among them."""
    if not promises:
        return False
    newest = max(promises, key=lambda promise: promise.configuration)
    promised = {promise.disk for promise in promises} & newest.voters
    return len(promised) >= majority_of(len(newest.voters))
