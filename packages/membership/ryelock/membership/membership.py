"""Membership: a node is a member while it renews its session with a control node.

A node renews its session with the leader; each control node sends its sessions to the others in
heartbeats of the consensus group, as one source with one version. An edge lost without a graceful
shutdown is remembered for a while: probers go on fetching from it, so that a zone that lost all its
edges shows failed fetches instead of disappearing.
"""

from dataclasses import dataclass

from ryelock.membership.session import Session, identity_name
from ryelock.runtime import Scheduler
from ryelock.settings import NodeRole


@dataclass(frozen=True, slots=True)
class LostSession:
    """An edge whose session ended without a graceful shutdown.

    Attributes:
        session: its last session.
        lost_at: monotonic time at which the loss was detected, in seconds.
    """

    session: Session
    lost_at: float


@dataclass(frozen=True, slots=True)
class PeerSessions:
    """The sessions that another control node reported.

    Attributes:
        version: version of that node's sessions.
        received_at: monotonic time of the report, in seconds.
        sessions: the sessions by name.
    """

    version: int
    received_at: float
    sessions: dict[str, Session]


class Membership:
    """All sessions that a control node knows; not safe for concurrent use.

    Attributes:
        source: name under which this node reports its sessions to others.
        version: increases with every change of this node's own sessions.
        sessions: sessions that nodes renew with this node, by name.
        lost_edges: edges lost without a graceful shutdown, by name.
        last_edges: edges that were members at the last check for lost ones, by name.
        departed: monotonic time of each graceful shutdown, by session identity.
        peers: sessions that other control nodes reported, by source.
    """

    __slots__ = (
        "departed",
        "last_edges",
        "lost_edges",
        "peers",
        "retention_seconds",
        "scheduler",
        "sessions",
        "source",
        "timeout_seconds",
        "version",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        source: str,
        timeout_seconds: float,
        retention_seconds: float,
    ) -> None:
        """Create a membership without sessions.

        Args:
            scheduler: the clock.
            source: name under which this node reports its sessions to others.
            timeout_seconds: time without renewal after which a session ends.
            retention_seconds: how long lost edges and graceful shutdowns are remembered.
        """
        self.scheduler = scheduler
        self.source = source
        self.timeout_seconds = timeout_seconds
        self.retention_seconds = retention_seconds
        self.version = 0
        self.sessions: dict[str, Session] = {}
        self.lost_edges: dict[str, LostSession] = {}
        self.last_edges: dict[str, Session] = {}
        self.departed: dict[str, float] = {}
        self.peers: dict[str, PeerSessions] = {}

    def renew(self, session: Session) -> bool:
        """Store a node's session; return True if the node became a member with it."""
        session.renewed_at = self.scheduler.now()
        before = self.sessions.get(session.name)
        joined = before is None or before.incarnation != session.incarnation
        self.sessions[session.name] = session
        self.lost_edges.pop(session.name, None)
        if session.role == NodeRole.EDGE:
            self.last_edges[session.name] = session
        if joined or (before is not None and before.to_wire() != session.to_wire()):
            self.version += 1
        return joined

    def leave(self, name: str, incarnation: str) -> bool:
        """End a session after a graceful shutdown; return False if that run has none here."""
        session = self.sessions.get(name)
        if session is None or session.incarnation != incarnation:
            return False
        del self.sessions[name]
        self.lost_edges.pop(name, None)
        self.departed[session.identity] = self.scheduler.now()
        self.version += 1
        return True

    def expire(self) -> list[Session]:
        """End the sessions with this node that were not renewed in time, and return them."""
        now = self.scheduler.now()
        expired = [
            session
            for session in self.sessions.values()
            if now - session.renewed_at > self.timeout_seconds
        ]
        for session in expired:
            del self.sessions[session.name]
            self.version += 1
        self.detect_lost_edges(now)
        for name, lost in list(self.lost_edges.items()):
            if now - lost.lost_at > self.retention_seconds:
                del self.lost_edges[name]
                self.version += 1
        return expired

    def detect_lost_edges(self, now: float) -> None:
        """Record the edges that are members no more without a graceful shutdown.

        This includes edges that only another control node reported, since the leader that had
        their sessions may be lost together with them.
        """
        present = {
            name: session
            for name, session in self.members().items()
            if session.role == NodeRole.EDGE
        }
        for name, session in self.last_edges.items():
            if name not in present and not self.is_lost_or_departed(session):
                self.lost_edges[name] = LostSession(session, now)
                self.version += 1
        self.last_edges = present
        for identity, departed_at in list(self.departed.items()):
            if now - departed_at > self.retention_seconds:
                del self.departed[identity]

    def is_lost_or_departed(self, session: Session) -> bool:
        """Return True if an edge is recorded as lost, or this run of it shut down gracefully."""
        return session.name in self.lost_edges or session.identity in self.departed

    def to_wire(self) -> dict[str, object]:
        """Return this node's own sessions in wire format; see `merge`."""
        return {
            "source": self.source,
            "version": self.version,
            "sessions": [session.to_wire() for session in self.sessions.values()],
            "gone": [lost.session.to_wire() for lost in self.lost_edges.values()],
            "left": list(self.departed),
        }

    def merge(self, report: dict[str, object]) -> None:
        """Merge another control node's sessions; a report of an older version is ignored.

        Raises:
            MalformedSessionError: a session in the report is malformed.
        """
        source, version = report.get("source"), report.get("version")
        sessions, lost = report.get("sessions"), report.get("gone")
        if not isinstance(source, str) or not isinstance(version, int) or source == self.source:
            return
        before = self.peers.get(source)
        if before is not None and version < before.version:
            return
        if not isinstance(sessions, list) or not isinstance(lost, list):
            return
        present = [Session.from_wire(item) for item in sessions]
        now = self.scheduler.now()
        departed = report.get("left")
        self.merge_departed(departed if isinstance(departed, list) else [], now)
        by_name = {session.name: session for session in present}
        self.peers[source] = PeerSessions(version, now, by_name)
        for item in lost:
            session = Session.from_wire(item)
            if session.name not in self.sessions and not self.is_lost_or_departed(session):
                self.lost_edges[session.name] = LostSession(session, now)
        for session in present:
            self.lost_edges.pop(session.name, None)

    def merge_departed(self, identities: list[object], now: float) -> None:
        """Merge the graceful shutdowns that another control node reported.

        The edges that shut down are not lost.
        """
        for identity in map(str, identities):
            self.departed.setdefault(identity, now)
            name = identity_name(identity)
            lost = self.lost_edges.get(name)
            if lost is not None and lost.session.identity == identity:
                del self.lost_edges[name]

    def members(self) -> dict[str, Session]:
        """Return all members by name; this node's own sessions override reported ones."""
        now = self.scheduler.now()
        found: dict[str, Session] = {}
        for peer in sorted(self.peers.values(), key=lambda peer: peer.received_at):
            if now - peer.received_at <= self.timeout_seconds:
                found.update(peer.sessions)
        found.update(self.sessions)
        return found

    def lost(self) -> dict[str, Session]:
        """Return the lost edges that are not members now, by name."""
        members = self.members()
        return {name: lost.session for name, lost in self.lost_edges.items() if name not in members}
