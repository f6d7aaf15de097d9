"""Idle connections to servers and peers, and the conditions for their reuse."""

from typing import NamedTuple

from ryelock.http import Reader
from ryelock.runtime import Connection


class IdleConnection(NamedTuple):
    """A connection that may be reused until `expires_at`, in monotonic seconds."""

    connection: Connection
    reader: Reader
    expires_at: float


def is_clean(connection: Connection, reader: Reader) -> bool:
    """Return True if a connection is open and no unread bytes have arrived on it."""
    return not (connection.closed or reader.buffer or connection.received.items)


def take_idle(idle_connections: list[IdleConnection], now: float) -> IdleConnection | None:
    """Return the most recently used connection that may be reused; close those that may not.

    Bytes that arrived on an idle connection belong to no request, so it must not be reused.
    """
    while idle_connections:
        idle = idle_connections.pop()
        if is_clean(idle.connection, idle.reader) and now <= idle.expires_at:
            return idle
        idle.connection.close()
    return None
