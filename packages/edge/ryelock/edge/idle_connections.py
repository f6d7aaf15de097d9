"""Idle connections to a server or a peer, and which of them may be used again."""

from typing import NamedTuple

from ryelock.http import Reader
from ryelock.runtime import Connection


class IdleConnection(NamedTuple):
    """A connection that may be used again up to a monotonic time in seconds."""

    connection: Connection
    reader: Reader
    expires_at: float


def is_clean(connection: Connection, reader: Reader) -> bool:
    """Whether a connection is open and no byte stands on it that nothing asked for."""
    return not (connection.closed or reader.buffer or connection.received.items)


def take_idle(idle_connections: list[IdleConnection], now: float) -> IdleConnection | None:
    """Return the connection that was used last and may be used again; close those that may not.

    Bytes that came while it was idle answer no request, so such a connection is never reused.
    """
    while idle_connections:
        idle = idle_connections.pop()
        if is_clean(idle.connection, idle.reader) and now <= idle.expires_at:
            return idle
        idle.connection.close()
    return None
