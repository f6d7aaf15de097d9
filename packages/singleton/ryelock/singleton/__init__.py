"""Singleton roles: work that one node does for the whole network, with a fencing token.

An assignment is a command in the replicated log, so a majority always knows the owner. The fencing
token increases with every hand-over; receivers of an owner's commands reject older tokens. This
module decides on the next assignment and keeps no state.
"""

from collections.abc import Collection
from dataclasses import dataclass


class MalformedRoleError(ValueError):
    """Stored data is not a singleton role."""


@dataclass(frozen=True, slots=True)
class SingletonRole:
    """The assignment of a singleton role.

    Attributes:
        name: name of the role.
        owner: name of the node that has the role.
        fencing_token: increases with every hand-over.
        successor: name of the node that takes over next; empty if there is none.
    """

    name: str
    owner: str
    fencing_token: int
    successor: str

    def to_wire(self) -> dict[str, object]:
        """Return the role in the format of commands and snapshots; see `from_wire`."""
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
            MalformedRoleError: a field is missing or has another type.
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
                raise MalformedRoleError(f"singleton role: malformed data {data!r}")

    def fences(self, owner: str, fencing_token: int) -> bool:
        """Return True if a command of this owner under this token must be rejected."""
        return owner != self.owner or fencing_token != self.fencing_token

    def can_become(self, owner: str, fencing_token: int) -> bool:
        """Return True if an assignment may replace this one.

        It needs a newer fencing token, or the same token and the same owner.
        """
        if fencing_token == self.fencing_token:
            return owner == self.owner
        return fencing_token > self.fencing_token


def next_assignment(
    current: SingletonRole | None,
    name: str,
    members: Collection[str],
    leaving: Collection[str] = (),
) -> SingletonRole | None:
    """Return the next assignment to commit; None if the current one stays.

    The owner keeps the role while it is a member and not leaving. Otherwise the successor takes
    over or, if that is gone too, the first member by name. A successor also stays while it is a
    member and not leaving.

    Args:
        current: the current assignment; None before the first.
        name: name of the role.
        members: names of the nodes that may own the role.
        leaving: names of the members that shut down.
    """
    candidates = sorted(set(members) - set(leaving))
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
    """Return the assignment with a new successor; None if the current one stays."""
    if current.successor in candidates and current.successor != current.owner:
        return None
    successor = first_other(candidates, current.owner)
    if successor == current.successor:
        return None
    return SingletonRole(current.name, current.owner, current.fencing_token, successor)


def first_other(candidates: list[str], owner: str) -> str:
    """Return the first candidate that is not the owner; empty if there is none."""
    return next((node for node in candidates if node != owner), "")
