"""Duties that one node does: holder, epoch, and the successor its holder named.

A duty is a word agreed by the consensus group, so a majority always knows who holds it. The epoch
grows with every hand-over; whoever takes the duty's word compares epochs and declines an
older one. Who should hold it next is decided here, from what is told; nothing is kept.
"""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SingletonRole:
    """Who does one thing for the whole network.

    Attributes:
        name: name of the duty.
        holder: the node that does it.
        epoch: grows with every hand-over.
        successor: the node that takes over next, empty where there is none.
    """

    name: str
    owner: str
    fencing_token: int
    successor: str

    def to_wire(self) -> dict[str, object]:
        """Return the duty as plain data, for the log of decisions and the wire."""
        return {
            "name": self.name,
            "holder": self.owner,
            "epoch": self.fencing_token,
            "successor": self.successor,
        }

    def fences(self, holder: str, epoch: int) -> bool:
        """Whether word from this holder and epoch must be declined."""
        return holder != self.owner or epoch != self.fencing_token


def next_assignment(
    duty: SingletonRole | None, name: str, present: Collection[str], leaving: Collection[str] = ()
) -> SingletonRole | None:
    """The duty as it should be agreed next; None when it may stay as it is.

    The holder keeps it while it is present. Where it is gone or leaving, the successor it
    named takes over; where that one is gone too, the first present node does. The successor
    is kept while it is present.
    """
    able = sorted(set(present) - set(leaving))
    if not able:
        return None
    if duty is not None and duty.owner in able:
        if duty.successor in able and duty.successor != duty.owner:
            return None
        others = [node for node in able if node != duty.owner]
        successor = others[0] if others else ""
        if successor == duty.successor:
            return None
        return SingletonRole(name, duty.owner, duty.fencing_token, successor)
    if duty is not None and duty.successor in able:
        holder = duty.successor
    else:
        holder = able[0]
    others = [node for node in able if node != holder]
    return SingletonRole(
        name, holder, (duty.fencing_token if duty else 0) + 1, others[0] if others else ""
    )
