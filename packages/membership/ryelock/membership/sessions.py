"""Sessions: a node is a member while its session with a control node stands.

A session is renewed with the leader; each control node tells the others its sessions with
every beat of the consensus group, as one source with one version. An edge that was lost without a
goodbye is kept as gone for a while, so that probers go on fetching from it and a zone that
lost all its edges is found by real fetches rather than forgotten.
"""

from dataclasses import dataclass

from ryelock.runtime import Scheduler

Plain = dict[str, object]
TEXT_FIELDS = {
    "name": "name",
    "role": "role",
    "zone": "zone",
    "machine": "machine",
    "rpc_address": "wire",
    "control_address": "control",
    "request_address": "order",
    "incarnation": "incarnation",
    "disk": "disk",
    "probe_secret": "mark",
}
"""Fields of a session that are texts, with their names on the wire, in the order of the wire."""
TEXT_MOST = 200
EDGE = "edge"
ROLES = ("core", EDGE, "prober", "desk")


@dataclass(slots=True, eq=False)
class Session:
    """What one node says of itself, and when it was last heard.

    Attributes:
        name: name of the node.
        role: one of ROLES.
        zone: zone it stands in.
        machine: machine it runs on.
        rpc_address: address where other processes reach it.
        control_address: address of its control API.
        request_address: address where an edge takes requests, empty for others.
        incarnation: tells this run of the node from others.
        disk: identity of a control node's disk, empty for others.
        probe_secret: secret by which edges know the node's probes.
        probes: whether it probes.
        ready: whether it takes traffic.
        served: callers' requests served since its start.
        applied: log index that it has applied.
        heard: monotonic time of its last renewal; not told to others.
        sequence: number of its last renewal; not told to others.
    """

    name: str = ""
    role: str = ""
    zone: str = ""
    machine: str = ""
    rpc_address: str = ""
    control_address: str = ""
    request_address: str = ""
    incarnation: str = ""
    disk: str = ""
    probe_secret: str = ""
    probes: bool = False
    ready: bool = False
    served: int = 0
    applied: int = 0
    heard: float = 0.0
    sequence: int = 0

    @property
    def identity(self) -> str:
        """One run of one node: a node that starts again is another."""
        return f"{self.name}/{self.incarnation}"

    def to_wire(self) -> Plain:
        """Return the session as a map for the wire; see `from_wire`."""
        return {
            **{key: getattr(self, name) for name, key in TEXT_FIELDS.items()},
            "probes": self.probes,
            "ready": self.ready,
            "served": self.served,
            "applied": self.applied,
        }

    @classmethod
    def from_wire(cls, data: object) -> "Session":
        """Return a session from the map that `to_wire` gives; raises ValueError."""
        if not isinstance(data, dict):
            raise ValueError("not a session")
        session = cls()
        for name, key in TEXT_FIELDS.items():
            value = data.get(key, "")
            if not isinstance(value, str) or len(value) > TEXT_MOST:
                raise ValueError(f"session: {key}")
            setattr(session, name, value)
        if not session.name or session.role not in ROLES:
            raise ValueError("session: name or role")
        for key in ("served", "applied"):
            value = data.get(key, 0)
            if isinstance(value, bool) or not isinstance(value, int) or value < 0:
                raise ValueError(f"session: {key}")
            setattr(session, key, value)
        session.probes = data.get("probes") is True
        session.ready = data.get("ready") is True
        return session


@dataclass(frozen=True, slots=True)
class Told:
    """The sessions by name that another control node told, received at monotonic time `at`."""

    version: int
    at: float
    sessions: dict[str, Session]


class Membership:
    """All sessions known to one control node; owned by its desk task."""

    __slots__ = (
        "gone",
        "gone_seconds",
        "left",
        "scheduler",
        "seconds",
        "seen",
        "sessions",
        "source",
        "told",
        "version",
    )

    def __init__(
        self, scheduler: Scheduler, source: str, seconds: float, gone_seconds: float
    ) -> None:
        """Create an empty roster.

        Args:
            scheduler: the clock.
            source: name under which this node tells its sessions to others.
            seconds: silence after which a session ends.
            gone_seconds: how long a lost edge is remembered.
        """
        self.scheduler = scheduler
        self.source = source
        self.seconds = seconds
        self.gone_seconds = gone_seconds
        self.version = 0
        self.sessions: dict[str, Session] = {}
        self.gone: dict[str, tuple[Session, float]] = {}
        self.seen: dict[str, Session] = {}
        self.left: dict[str, float] = {}
        self.told: dict[str, Told] = {}

    def renew(self, fresh: Session) -> bool:
        """Take a node's word of itself; True when it became a member by it."""
        now = self.scheduler.now()
        fresh.heard = now
        before = self.sessions.get(fresh.name)
        joined = before is None or before.incarnation != fresh.incarnation
        self.sessions[fresh.name] = fresh
        self.gone.pop(fresh.name, None)
        if fresh.role == EDGE:
            self.seen[fresh.name] = fresh
        if joined or (before is not None and before.to_wire() != fresh.to_wire()):
            self.version += 1
        return joined

    def leave(self, name: str, incarnation: str) -> bool:
        """A planned goodbye: the node is no member and is not missed."""
        session = self.sessions.get(name)
        if session is None or session.incarnation != incarnation:
            return False
        del self.sessions[name]
        self.gone.pop(name, None)
        self.left[session.identity] = self.scheduler.now()
        self.version += 1
        return True

    def expire(self) -> list[Session]:
        """End sessions that were not renewed."""
        now = self.scheduler.now()
        ended = [
            session for session in self.sessions.values() if now - session.heard > self.seconds
        ]
        for session in ended:
            del self.sessions[session.name]
            self.version += 1
        self.miss(now)
        for name, (_, since) in list(self.gone.items()):
            if now - since > self.gone_seconds:
                del self.gone[name]
                self.version += 1
        return ended

    def miss(self, now: float) -> None:
        """Edges that were members here or by another's telling and are no more, with no goodbye.

        The leader that held their sessions may be gone together with them.
        """
        present = {
            name: session for name, session in self.members().items() if session.role == EDGE
        }
        for name, session in self.seen.items():
            if name not in present and name not in self.gone and session.identity not in self.left:
                self.gone[name] = (session, now)
                self.version += 1
        self.seen = present
        for key, since in list(self.left.items()):
            if now - since > self.gone_seconds:
                del self.left[key]

    def say(self) -> Plain:
        """Return this node's own sessions as a map for the wire; see `hear`."""
        return {
            "source": self.source,
            "version": self.version,
            "sessions": [session.to_wire() for session in self.sessions.values()],
            "gone": [session.to_wire() for session, _ in self.gone.values()],
            "left": list(self.left),
        }

    def hear(self, said: Plain) -> None:
        """Take another control node's sessions; an older version is passed over."""
        source, version = said.get("source"), said.get("version")
        sessions, gone = said.get("sessions"), said.get("gone")
        if not isinstance(source, str) or not isinstance(version, int) or source == self.source:
            return
        before = self.told.get(source)
        if before is not None and version < before.version:
            return
        if not isinstance(sessions, list) or not isinstance(gone, list):
            return
        found = [Session.from_wire(plain) for plain in sessions]
        now = self.scheduler.now()
        left = said.get("left")
        for key in left if isinstance(left, list) else []:
            self.left.setdefault(str(key), now)
            name = str(key).rpartition("/")[0]
            lost_before = self.gone.get(name)
            if lost_before is not None and lost_before[0].identity == key:
                del self.gone[name]
        self.told[source] = Told(version, now, {session.name: session for session in found})
        for plain in gone:
            lost = Session.from_wire(plain)
            if (
                lost.name not in self.sessions
                and lost.name not in self.gone
                and lost.identity not in self.left
            ):
                self.gone[lost.name] = (lost, now)
        for session in found:
            self.gone.pop(session.name, None)

    def members(self) -> dict[str, Session]:
        """Every member by name: own sessions first, then what others told lately."""
        now = self.scheduler.now()
        found: dict[str, Session] = {}
        for told in sorted(self.told.values(), key=lambda told: told.at):
            if now - told.at <= self.seconds:
                found.update(told.sessions)
        found.update(self.sessions)
        return found

    def lost(self) -> dict[str, Session]:
        """Return the edges that ended without a goodbye and are no members now, by name."""
        members = self.members()
        return {name: session for name, (session, _) in self.gone.items() if name not in members}
