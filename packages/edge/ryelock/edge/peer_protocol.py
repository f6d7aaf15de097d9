"""Header fields by which edges ask one another for objects, and how their values are read."""

from ryelock.edge.request import Request
from ryelock.http import Fields

PEER_FIELD = b"X-Ryelock-Peer"
"""Name, mark, newest purge and configuration version of the edge that asks."""
SERVERS_FIELD = b"X-Ryelock-Servers"
"""In a request: how many servers it may be sent to; in a response: how many it reached."""
RELAYED_FIELD = b"X-Ryelock-Relayed"
"""Marks a server's response that is relayed and not stored."""
AGE_FIELD = b"X-Ryelock-Age"
"""Age in seconds of a stored response, more precise than Age (RFC 9111, 5.1)."""
CAPACITY_FIELD = b"X-Ryelock-Room-In"
"""Seconds until the owner expects room in the service's rate."""
PEER_FIELDS = frozenset(
    name.lower() for name in (PEER_FIELD, SERVERS_FIELD, RELAYED_FIELD, AGE_FIELD, CAPACITY_FIELD)
)
"""Fields that never go to a server or a client, in lower case."""
LOOKUP = 0
"""The number of servers by which a peer asks only for a stored response."""


def parse_count(value: bytes | None) -> int | None:
    """Return a number of up to three digits; None where the field holds none."""
    return int(value) if value is not None and value.isdigit() and len(value) < 4 else None


def parse_seconds(value: bytes | None) -> float | None:
    """Return seconds from 0 up to 1e9; None where the field holds none."""
    try:
        seconds = float(value or b"none")
    except ValueError:
        return None
    return seconds if 0 <= seconds < 1e9 else None


def peer_fields(request: Request) -> Fields:
    """Return what a peer that asks is told: how many servers its request reached from here."""
    if request.peer is None:
        return []
    return [(SERVERS_FIELD, b"%d" % request.servers_reached)]
