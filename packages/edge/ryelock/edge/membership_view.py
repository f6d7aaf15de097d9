"""The membership as last reported by the control leader."""

from ryelock.edge.session_messages import MembershipUpdate
from ryelock.membership import Session

CONTROL_ROLE = "core"


class MembershipView:
    """Members and lost edges by name, and the control nodes' addresses."""

    __slots__ = ("control_addresses", "lost", "members", "source", "version")

    def __init__(self) -> None:
        """Create an empty view."""
        self.source = ""
        self.version = 0
        self.members: dict[str, Session] = {}
        self.lost: dict[str, Session] = {}
        self.control_addresses: list[str] = []

    def apply(self, update: MembershipUpdate) -> None:
        """Apply an update.

        Raises:
            ValueError: a session is malformed.
        """
        self.apply_sessions(update)
        lost = [Session.from_wire(wire) for wire in update.lost]
        self.lost = {session.name: session for session in lost}
        self.control_addresses = [
            session.rpc_address for session in self.members.values() if session.role == CONTROL_ROLE
        ]

    def apply_sessions(self, update: MembershipUpdate) -> None:
        """Replace the members, or merge changes if they apply to the current version."""
        sessions = {session.name: session for session in map(Session.from_wire, update.sessions)}
        if update.since is not None:
            if (update.source, update.since) != (self.source, self.version):
                # The changes apply to another version. The next report states the version held
                # here, and the leader then sends all members.
                return
            kept = {
                name: session
                for name, session in self.members.items()
                if name not in update.removed
            }
            sessions = {**kept, **sessions}
        self.source = update.source
        self.version = update.version
        self.members = sessions
