"""Versions of the membership, and incremental updates between them."""

from collections import deque
from dataclasses import dataclass

from ryelock.membership import Membership, Session
from ryelock.rpc import Message

MAX_CHANGES = 1000
"""Number of versions kept; a node that is further behind gets all members."""
VersionedFields = tuple[object, ...]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The names of the members that joined, left or changed in one version."""

    version: int
    names: frozenset[str]


def versioned_fields(session: Session) -> VersionedFields:
    """Return the fields that other nodes depend on; a change of one makes a new version."""
    return (
        session.incarnation,
        session.zone,
        session.request_address,
        session.rpc_address,
        session.ready,
    )


class MembershipChanges:
    """Numbers the versions of the membership and keeps the latest changes."""

    __slots__ = ("changes", "last_lost", "last_members", "membership", "source", "version")

    def __init__(self, membership: Membership, source: str) -> None:
        """Create version 0, without members.

        Args:
            membership: the members.
            source: key of this version among those that a node keeps; unique to this run.
        """
        self.membership = membership
        self.source = source
        self.version = 0
        self.last_members: dict[str, VersionedFields] = {}
        self.last_lost: set[str] = set()
        self.changes: deque[MembershipChange] = deque(maxlen=MAX_CHANGES)

    def refresh(self) -> int:
        """Return the version of the current members, a new one if they have changed.

        A new version does not end the hold of a renewal: it is sent with the next response. So if
        many nodes join together, each node gets a few responses, not one for each other node.
        """
        members = {
            name: versioned_fields(session) for name, session in self.membership.members().items()
        }
        lost = set(self.membership.lost())
        if members != self.last_members or lost != self.last_lost:
            changed = frozenset(
                name
                for name in {*members, *self.last_members}
                if members.get(name) != self.last_members.get(name)
            )
            self.last_members, self.last_lost = members, lost
            self.version += 1
            self.changes.append(MembershipChange(self.version, changed))
        return self.version

    def update_since(self, version: int | None) -> Message:
        """Return the changes since a node's version, or all members if those are not kept.

        Args:
            version: the version that the node has of this source; None if it has none.
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
        """Return the names of the members that changed since a version; None if not kept."""
        if version is None:
            return None
        changes = [change.names for change in self.changes if change.version > version]
        if self.version - version != len(changes):
            return None
        return frozenset().union(*changes)
