"""The platform's server list in the format of docs/platform.md, valid for a limited time.

The validity of a list counts from before the request for it. A server is identified by service,
address and incarnation; if one of them changes it is another server, which gets new connections and
counters.
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
    """One incarnation of an upstream server.

    Attributes:
        service: name of the service it belongs to.
        address: host:port where it accepts requests.
        zone: name of its zone.
        incarnation: identifies this run of the server among others at the same address.
        leaving: True if it accepts no new requests.
        slots: maximum number of concurrent requests; 0 if unknown.
        cold: True while it warms up (slow start).
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
        """Service, address and incarnation, which identify one run of a server."""
        return self.service, self.address, self.incarnation

    def to_wire(self) -> list[object]:
        """Return the server in wire format; see `servers_from_wire`."""
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
    """A reading of the server list by one control node.

    The order of two readings whose time intervals overlap is unknown. All times are monotonic, in
    seconds.

    Attributes:
        source: identity of the control node that made the reading.
        version: version of that node's list.
        servers: the servers.
        requested_at: lower bound of the time of the request to the platform.
        answered_at: upper bound of the time of the platform's answer.
        valid_until: time until which an edge uses the list; 0 on control nodes.
    """

    source: str
    version: int
    servers: list[Server]
    requested_at: float
    answered_at: float
    valid_until: float = 0.0

    def follows(self, other: "ServerList") -> bool:
        """Return True if this reading was certainly made after the other."""
        return self.requested_at >= other.answered_at

    def confirm(self, requested_at: float, answered_at: float, validity_seconds: float) -> None:
        """Extend the validity by another reading of the same list; an older one changes nothing."""
        self.requested_at = max(self.requested_at, requested_at)
        self.answered_at = max(self.answered_at, answered_at)
        self.valid_until = max(self.valid_until, requested_at + validity_seconds)

    def digest(self) -> bytes:
        """Return a digest of DIGEST_BYTES for the comparison of lists."""
        data = cbor2.dumps([server.to_wire() for server in self.servers])
        return hashlib.sha256(data).digest()[:DIGEST_BYTES]


def decode_server_list(body: bytes) -> Result[list[Server], ServerListError]:
    """Return the servers in an answer of the platform; one malformed item rejects all."""
    try:
        data = json.loads(body)
    except ValueError:
        return Error(ServerListError("answer is not JSON"))
    items = data.get("servers") if isinstance(data, dict) else None
    if not isinstance(items, list) or len(items) > MAX_SERVERS:
        return Error(ServerListError(f"servers: not a list of at most {MAX_SERVERS} items"))
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
        raise MalformedServerError("service, address or zone is not a non-empty string")
    if not isinstance(incarnation, str | int) or isinstance(incarnation, bool):
        raise MalformedServerError(
            f"incarnation is {type(incarnation).__name__}, expected a string or an integer"
        )
    if not isinstance(leaving, bool):
        raise MalformedServerError(f"leaving is {type(leaving).__name__}, expected a boolean")
    service, address, zone = (str(value) for value in texts)
    try:
        parse_address(address)
    except ValueError as error:
        raise MalformedServerError(f"address {error}") from None
    return Server(service, address, zone, str(incarnation), leaving)


def servers_from_wire(data: object) -> list[Server]:
    """Return the servers in a list in wire format; see `Server.to_wire`.

    Raises:
        MalformedServerError: the data is not a list, or an item is malformed.
    """
    if not isinstance(data, list):
        raise MalformedServerError("servers: not a list")
    return [server_from_wire(item) for item in data]


def server_from_wire(data: object) -> Server:
    """Return a server in wire format; raises MalformedServerError."""
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
            raise MalformedServerError("server: expected a list of seven fields")
