"""A session: what one node reports of itself with each heartbeat."""

from dataclasses import dataclass

from ryelock.membership.errors import MalformedSessionError
from ryelock.settings import NodeRole

MAX_TEXT_LENGTH = 200
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
COUNTER_FIELDS = ("served", "applied")


ROLES = tuple(role.value for role in NodeRole)


@dataclass(slots=True, eq=False)
class Session:
    """What one node reports of itself, and when it was last renewed.

    Attributes:
        name: name of the node.
        role: one of ROLES; empty until the node has set it.
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
        renewed_at: monotonic time of its last renewal here, in seconds; not on the wire.
        sequence: number of its last renewal; not on the wire.
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
    renewed_at: float = 0.0
    sequence: int = 0

    @property
    def identity(self) -> str:
        """Name of one run of one node: a node that starts again has another."""
        return f"{self.name}/{self.incarnation}"

    def to_wire(self) -> dict[str, object]:
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
        """Return a session from the map that `to_wire` gives; a missing field has its default.

        Raises:
            MalformedSessionError: it is no map, a field is malformed, or it has no name or role.
        """
        if not isinstance(data, dict):
            raise MalformedSessionError
        session = cls(probes=data.get("probes") is True, ready=data.get("ready") is True)
        for name, key in TEXT_FIELDS.items():
            setattr(session, name, text_field(data, key))
        if not session.name or session.role not in ROLES:
            raise MalformedSessionError("name or role")
        for name in COUNTER_FIELDS:
            setattr(session, name, counter_field(data, name))
        return session


def identity_name(identity: str) -> str:
    """Return the name of the node in a session's identity."""
    return identity.rpartition("/")[0]


def text_field(data: dict[object, object], key: str) -> str:
    """Return a text of at most MAX_TEXT_LENGTH; raises MalformedSessionError."""
    value = data.get(key, "")
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise MalformedSessionError(key)
    return value


def counter_field(data: dict[object, object], key: str) -> int:
    """Return an integer from 0 on; raises MalformedSessionError."""
    value = data.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise MalformedSessionError(key)
    return value
