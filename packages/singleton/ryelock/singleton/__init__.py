"""Singleton roles: work that one node does for the whole network, with a fencing token.

An assignment is a command of the consensus group's log, so a majority always knows the owner. The
fencing token grows with every hand-over; whoever takes commands of an owner rejects an older token.
Who should own a role next is decided here, from what is passed in; nothing is kept.
"""

from collections.abc import Collection
from dataclasses import dataclass


class MalformedRoleError(ValueError):
    """Stored data is no singleton role."""


@dataclass(frozen=True, slots=True)
class SingletonRole:
    """Which node does one thing for the whole network.

    Attributes:
        name: name of the role.
        owner: the node that does it.
        fencing_token: grows with every hand-over.
        successor: the node that takes over next, empty where there is none.
    """

    name: str
    owner: str
    fencing_token: int
    successor: str

    def to_wire(self) -> dict[str, object]:
        """Return the form in which commands and snapshots have it; see `from_wire`."""
        return {
            "name": self.name,
            "holder": self.owner,
            "epoch": self.fencing_token,
            "successor": self.successor,
        }

    @classmethod
    def from_wire(cls, data: object) -> "SingletonRole":
        """Return a role from a snapshot.

        Raises:
            MalformedRoleError: it has another form.
        """
        match data:
            case {
                "name": str(name),
                "holder": str(owner),
                "epoch": int(fencing_token),
                "successor": str(successor),
            }:
                return cls(name, owner, fencing_token, successor)
            case _:
                raise MalformedRoleError(f"not a role: {data!r}")

    def fences(self, owner: str, fencing_token: int) -> bool:
        """Whether a command from this node under this token must be rejected."""
        return owner != self.owner or fencing_token != self.fencing_token

    def can_become(self, owner: str, fencing_token: int) -> bool:
        """Whether an assignment may follow this one: a newer token, or the same owner's own."""
        if fencing_token == self.fencing_token:
            return owner == self.owner
        return fencing_token > self.fencing_token


def next_assignment(
    current: SingletonRole | None,
    name: str,
    present: Collection[str],
    leaving: Collection[str] = (),
) -> SingletonRole | None:
    """Return the assignment that should be agreed next; None when the current one may stay.

    The owner keeps the role while it is present. Where it is gone or leaving, the successor it
    named takes over; where that one is gone too, the first present node does. The successor
    is kept while it is present.

    Args:
        current: the present assignment, None before the first.
        name: name of the role.
        present: nodes that are members.
        leaving: nodes of these that shut down gracefully.
    """
    candidates = sorted(set(present) - set(leaving))
    if not candidates:
        return None
    if current is not None and current.owner in candidates:
        return with_successor(current, candidates)
    if current is not None and current.successor in candidates:
        owner = current.successor
    else:
        owner = candidates[0]
    fencing_token = (current.fencing_token if current else 0) + 1
    return SingletonRole(name, owner, fencing_token, first_other(candidates, owner))


def with_successor(current: SingletonRole, candidates: list[str]) -> SingletonRole | None:
    """Return the assignment with another successor; None when the present one may stay."""
    if current.successor in candidates and current.successor != current.owner:
        return None
    successor = first_other(candidates, current.owner)
    if successor == current.successor:
        return None
    return SingletonRole(current.name, current.owner, current.fencing_token, successor)


def first_other(candidates: list[str], owner: str) -> str:
    """Return the first candidate that is not the owner; empty where there is none."""
    return next((node for node in candidates if node != owner), "")
