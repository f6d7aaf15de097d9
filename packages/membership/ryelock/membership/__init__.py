"""Sessions of nodes and lists of upstream servers; soft state, never in the replicated log.

`session` has a node's report of itself, `membership` all sessions that a control node knows, and
`servers` the platform's server list with its version and age.
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
