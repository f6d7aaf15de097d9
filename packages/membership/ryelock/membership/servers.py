"""The platform's list of servers, as docs/platform.md has it, believed for a limited time.

A list is believed for a while from before it was asked for. A server is identified by service,
address and incarnation: when any of the three changes it is another server, and connections and
counters of the old one are not used for it.
"""

import hashlib
import json
from dataclasses import dataclass

import cbor2
from expression import Error, Ok, Result

from ryelock.membership.errors import MalformedServerError, ServerListError
from ryelock.settings import parse_address

MAX_SERVERS = 10_000
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Server:
    """One incarnation of one upstream server.

    Attributes:
        service: name of the service it belongs to.
        address: host:port where it takes requests.
        zone: zone it stands in.
        incarnation: tells this run from others at the same address.
        leaving: whether it takes no new requests.
        slots: requests it works on at once, 0 where unknown.
        cold: whether it is still warming up (slow start).
    """

    service: str
    address: str
    zone: str
    incarnation: str
    leaving: bool
    slots: int = 0
    cold: bool = False

    @property
    def identity(self) -> tuple[str, str, str]:
        """Service, address and incarnation: what tells one run of a server from another."""
        return self.service, self.address, self.incarnation

    def to_wire(self) -> list[object]:
        """Return the server as a list for the wire; see `servers_from_wire`."""
        return [
            self.service,
            self.address,
            self.zone,
            self.incarnation,
            self.leaving,
            self.slots,
            self.cold,
        ]


@dataclass(slots=True, eq=False)
class ServerList:
    """One source's servers at one version, when they were read, and until when they are believed.

    Of two readings that overlap nobody can say which is the later one. All times are monotonic, in
    seconds.

    Attributes:
        source: the control node that read it.
        version: version of that node's list.
        servers: the servers.
        requested_at: the platform was not asked before this time.
        answered_at: the platform had answered at the latest at this time.
        valid_until: when an edge stops believing it; control nodes leave it 0.
    """

    source: str
    version: int
    servers: list[Server]
    requested_at: float
    answered_at: float
    valid_until: float = 0.0

    def follows(self, other: "ServerList") -> bool:
        """Whether this was certainly read after the other."""
        return self.requested_at >= other.answered_at

    def confirm(self, requested_at: float, answered_at: float, validity_seconds: float) -> None:
        """Take another reading that gave the same list; an older one changes nothing."""
        self.requested_at = max(self.requested_at, requested_at)
        self.answered_at = max(self.answered_at, answered_at)
        self.valid_until = max(self.valid_until, requested_at + validity_seconds)

    def digest(self) -> bytes:
        """Return DIGEST_BYTES that tell whether two lists name the same servers."""
        data = cbor2.dumps([server.to_wire() for server in self.servers])
        return hashlib.sha256(data).digest()[:DIGEST_BYTES]


def decode_server_list(body: bytes) -> Result[list[Server], ServerListError]:
    """Return the servers in an answer of the platform; the whole is rejected for any fault."""
    try:
        data = json.loads(body)
    except ValueError:
        return Error(ServerListError("not JSON"))
    items = data.get("servers") if isinstance(data, dict) else None
    if not isinstance(items, list) or len(items) > MAX_SERVERS:
        return Error(ServerListError("no list of servers"))
    servers: list[Server] = []
    addresses: set[str] = set()
    for position, item in enumerate(items):
        try:
            server = decode_server(item)
        except MalformedServerError as error:
            return Error(ServerListError(f"servers[{position}]: {error}"))
        if server.address in addresses:
            return Error(ServerListError(f"servers[{position}]: {server.address} is listed twice"))
        addresses.add(server.address)
        servers.append(server)
    return Ok(servers)


def decode_server(item: object) -> Server:
    """Return one server of the platform's list.

    Raises:
        MalformedServerError: a field is malformed; the text names it.
    """
    if not isinstance(item, dict):
        raise MalformedServerError("not an object")
    texts = [item.get(key) for key in ("service", "address", "zone")]
    incarnation = item.get("incarnation")
    leaving = item.get("leaving", False)
    if not all(isinstance(value, str) and value for value in texts):
        raise MalformedServerError("service, address or zone")
    if not isinstance(incarnation, str | int) or isinstance(incarnation, bool):
        raise MalformedServerError("incarnation")
    if not isinstance(leaving, bool):
        raise MalformedServerError("leaving")
    service, address, zone = (str(value) for value in texts)
    try:
        parse_address(address)
    except ValueError as error:
        raise MalformedServerError(f"address {error}") from None
    return Server(service, address, zone, str(incarnation), leaving)


def servers_from_wire(data: object) -> list[Server]:
    """Return servers from the lists that `Server.to_wire` gives.

    Raises:
        MalformedServerError: it is no list, or an item is malformed.
    """
    if not isinstance(data, list):
        raise MalformedServerError("not a list")
    return [server_from_wire(item) for item in data]


def server_from_wire(data: object) -> Server:
    """Return a server from the list that `Server.to_wire` gives; raises MalformedServerError."""
    match data:
        case [
            str(service),
            str(address),
            str(zone),
            str(incarnation),
            bool(leaving),
            int(slots),
            bool(cold),
        ]:
            return Server(service, address, zone, incarnation, leaving, slots, cold)
        case _:
            raise MalformedServerError("not a server")
