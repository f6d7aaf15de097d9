"""Versions of the membership, and the difference between two of them for a node that has one."""

from collections import deque
from dataclasses import dataclass

from ryelock.membership import Membership, Session
from ryelock.rpc import Message

MAX_CHANGES = 1000
"""A node that is further behind than so many versions is sent all members."""
MemberState = tuple[object, ...]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The names of the members that joined, left or changed with one version."""

    version: int
    names: frozenset[str]


def state_of(session: Session) -> MemberState:
    """Return what of a session other nodes act on; a change of it makes a new version."""
    return (
        session.incarnation,
        session.zone,
        session.request_address,
        session.rpc_address,
        session.ready,
    )


class MembershipChanges:
    """Numbers the states of the membership and keeps the latest differences."""

    __slots__ = ("changes", "known", "known_lost", "membership", "source", "version")

    def __init__(self, membership: Membership, source: str) -> None:
        """Create the first version, without members.

        Args:
            membership: the members.
            source: name under which nodes keep the version, unique to this run of the leader.
        """
        self.membership = membership
        self.source = source
        self.version = 0
        self.known: dict[str, MemberState] = {}
        self.known_lost: set[str] = set()
        self.changes: deque[MembershipChange] = deque(maxlen=MAX_CHANGES)

    def refresh(self) -> int:
        """Return the version of the present members, a new one where they have changed.

        A new version wakes no waiting renewal: it comes with the next response, so that many
        nodes that join together cost each node a few responses, not one for each other node.
        """
        members = {name: state_of(session) for name, session in self.membership.members().items()}
        lost = set(self.membership.lost())
        if members != self.known or lost != self.known_lost:
            changed = frozenset(
                name
                for name in {*members, *self.known}
                if members.get(name) != self.known.get(name)
            )
            self.known, self.known_lost = members, lost
            self.version += 1
            self.changes.append(MembershipChange(self.version, changed))
        return self.version

    def update_since(self, version: int | None) -> Message:
        """Return what a node with a version lacks: the changes since, or all members.

        Args:
            version: the version that the node has of this source; None where it has none.
        """
        members = self.membership.members()
        update: Message = {
            "source": self.source,
            "version": self.version,
            "gone": [lost.to_wire() for lost in self.membership.lost().values()],
        }
        names = self.names_changed_since(version)
        if names is None:
            return {**update, "sessions": [member.to_wire() for member in members.values()]}
        return {
            **update,
            "since": version,
            "sessions": [members[name].to_wire() for name in sorted(names) if name in members],
            "removed": sorted(name for name in names if name not in members),
        }

    def names_changed_since(self, version: int | None) -> frozenset[str] | None:
        """Return the members that changed since a version; None where that is forgotten."""
        if version is None:
            return None
        changes = [change.names for change in self.changes if change.version > version]
        if self.version - version != len(changes):
            return None
        return frozenset().union(*changes)
