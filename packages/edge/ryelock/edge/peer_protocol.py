"""Header fields of the requests and responses between edges, and parsers of their values."""

from ryelock.edge.request import Request
from ryelock.http import Fields

PEER_FIELD = b"X-Ryelock-Peer"
"""Name, probe secret, newest purge and configuration version of the requesting edge."""
SERVERS_FIELD = b"X-Ryelock-Servers"
"""In a request: maximum number of servers it may be sent to; in a response: number reached."""
RELAYED_FIELD = b"X-Ryelock-Relayed"
"""Marks a server's response that is relayed and must not be stored."""
AGE_FIELD = b"X-Ryelock-Age"
"""Age in seconds of a stored response, more precise than Age (RFC 9111, 5.1)."""
CAPACITY_FIELD = b"X-Ryelock-Room-In"
"""Seconds until the owner expects the service's rate limit to allow a request."""
PEER_FIELDS = frozenset(
    name.lower() for name in (PEER_FIELD, SERVERS_FIELD, RELAYED_FIELD, AGE_FIELD, CAPACITY_FIELD)
)
"""Fields that are never forwarded to a server or a client, in lower case."""
LOOKUP = 0
"""Value of SERVERS_FIELD in a request for a stored response only."""


def parse_count(value: bytes | None) -> int | None:
    """Return a count of up to three digits; None if the value is missing or invalid."""
    return int(value) if value is not None and value.isdigit() and len(value) < 4 else None


def parse_seconds(value: bytes | None) -> float | None:
    """Return a duration from 0 to below 1e9 seconds; None if it is missing or invalid."""
    try:
        seconds = float(value or b"none")
    except ValueError:
        return None
    return seconds if 0 <= seconds < 1e9 else None


def peer_fields(request: Request) -> Fields:
    """Return the field that tells a peer how many servers its request reached; empty for others."""
    if request.peer is None:
        return []
    return [(SERVERS_FIELD, b"%d" % request.servers_reached)]
