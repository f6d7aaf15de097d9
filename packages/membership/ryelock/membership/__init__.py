"""Who is there: sessions of nodes and listings of servers, soft and under terms, never logged.

sessions.py keeps the sessions that stand with this control node and those that others told;
servers.py reads the platform's listing and holds one by its source's version and its age.
"""

from ryelock.membership.servers import Server, ServerList, decode_server_list
from ryelock.membership.sessions import Membership, Session

__all__ = ["Membership", "Server", "ServerList", "Session", "decode_server_list"]
