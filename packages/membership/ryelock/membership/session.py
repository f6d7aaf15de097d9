"""Session of a node: its report of itself with each heartbeat."""

from dataclasses import dataclass

from ryelock.membership.errors import MalformedSessionError
from ryelock.settings import NodeRole

MAX_TEXT_CHARACTERS = 200
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
"""String fields of a session with their names on the wire, in wire order."""
COUNTER_FIELDS = ("served", "applied")
ROLES = tuple(role.value for role in NodeRole)


@dataclass(slots=True, eq=False)
class Session:
    """A node's report of itself, and the time of its last renewal.

    Attributes:
        name: name of the node.
        role: one of ROLES; empty until the node has set it.
        zone: name of its zone.
        machine: name of its machine.
        rpc_address: address for messages of other processes.
        control_address: address of its control API.
        request_address: address for callers' requests to an edge; empty for other nodes.
        incarnation: identifies this run of the node.
        disk: identity of a control node's disk; empty for other nodes.
        probe_secret: secret by which edges recognize the node's probes.
        probes: True if it sends probes.
        ready: True if it accepts traffic.
        served: number of callers' requests served since its start.
        applied: log index that it has applied.
        renewed_at: monotonic time of its last renewal at this node, in seconds; not on the wire.
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
        """Identity of one run of the node; a restart changes it."""
        return f"{self.name}/{self.incarnation}"

    def to_wire(self) -> dict[str, object]:
        """Return the session in wire format; see `from_wire`."""
        return {
            **{key: getattr(self, name) for name, key in TEXT_FIELDS.items()},
            "probes": self.probes,
            "ready": self.ready,
            "served": self.served,
            "applied": self.applied,
        }

    @classmethod
    def from_wire(cls, data: object) -> "Session":
        """Return a session from its wire format; a missing field gets its default.

        Raises:
            MalformedSessionError: the data is not a map, a field is malformed, or the name or the
                role is missing.
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
    """Return the node's name in a session identity."""
    return identity.rpartition("/")[0]


def text_field(data: dict[object, object], key: str) -> str:
    """Return a string of at most MAX_TEXT_CHARACTERS; raises MalformedSessionError."""
    value = data.get(key, "")
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise MalformedSessionError(key)
    return value


def counter_field(data: dict[object, object], key: str) -> int:
    """Return a non-negative integer; raises MalformedSessionError."""
    value = data.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise MalformedSessionError(key)
    return value
