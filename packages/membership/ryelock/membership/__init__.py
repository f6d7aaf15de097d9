"""Who is there: sessions of nodes and lists of servers, kept in memory and never in the log.

`session` is what one node reports of itself, `membership` all sessions that a control node knows;
`servers` reads the platform's list of servers and holds one with its version and age.
"""

from ryelock.membership.errors import (
    MalformedServerError,
    MalformedSessionError,
    MembershipError,
    ServerListError,
)
from ryelock.membership.membership import Membership
from ryelock.membership.servers import Server, ServerList, decode_server_list, servers_from_wire
from ryelock.membership.session import Session

__all__ = [
    "MalformedServerError",
    "MalformedSessionError",
    "Membership",
    "MembershipError",
    "Server",
    "ServerList",
    "ServerListError",
    "Session",
    "decode_server_list",
    "servers_from_wire",
]
