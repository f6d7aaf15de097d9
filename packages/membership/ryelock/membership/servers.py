"""The platform's listing of servers, as docs/platform.md has it, under a term.

A listing is believed for a while from before it was asked for. A server is told by service,
address and incarnation: when any of the three changes it is another server, and links and
counters of the old one are not used for it.
"""

import hashlib
import json
from dataclasses import dataclass

import cbor2
from expression import Error, Ok, Result

from ryelock.settings import parse_address

SERVERS_MOST = 10_000
NEVER = -1e18


@dataclass(frozen=True, slots=True)
class Server:
    """One life of one upstream server.

    Attributes:
        service: name of the service it belongs to.
        address: host:port where it takes requests.
        zone: zone it stands in.
        incarnation: tells this life from others at the same address.
        leaving: whether it takes no new requests.
        slots: requests it works on at once, 0 where unknown.
        cold: whether it is still warming up.
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
        """Service, address and incarnation: what tells one life of a server from another."""
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
    """One source's servers at one version, when they were read, and up to when they are believed.

    The platform was asked not before `since` and had answered at the latest at `seen`. Of two
    readings that overlap nobody can say which is the later one. All times are monotonic seconds.
    """

    source: str
    version: int
    servers: list[Server]
    until: float
    since: float = NEVER
    seen: float = NEVER

    def follows(self, other: "ServerList") -> bool:
        """Whether this was certainly read after the other."""
        return self.since >= other.seen

    def digest(self) -> bytes:
        """Return 16 bytes that tell whether two listings name the same servers."""
        plain = cbor2.dumps([server.to_wire() for server in self.servers])
        return hashlib.sha256(plain).digest()[:16]


class ServerListError(Exception):
    """The platform's answer is no listing, or (`missed`) there was none."""

    def __init__(self, reason: str, missed: bool = False) -> None:
        """Create the error; `missed` says that the platform gave no answer."""
        super().__init__(reason)
        self.missed = missed


def decode_server_list(body: bytes) -> Result[list[Server], ServerListError]:
    """Return the servers in an answer of the platform; the whole is rejected for any fault."""
    try:
        plain = json.loads(body)
    except ValueError:
        return Error(ServerListError("not JSON"))
    listed = plain.get("servers") if isinstance(plain, dict) else None
    if not isinstance(listed, list) or len(listed) > SERVERS_MOST:
        return Error(ServerListError("no list of servers"))
    servers: list[Server] = []
    addresses: set[str] = set()
    for position, item in enumerate(listed):
        try:
            server = listed_server(item)
        except ValueError as error:
            return Error(ServerListError(f"servers[{position}]: {error}"))
        if server.address in addresses:
            return Error(ServerListError(f"servers[{position}]: {server.address} is listed twice"))
        addresses.add(server.address)
        servers.append(server)
    return Ok(servers)


def listed_server(item: object) -> Server:
    """Return one server of the platform's list; raises ValueError with the faulty field."""
    if not isinstance(item, dict):
        raise ValueError("not an object")
    texts = [item.get(key) for key in ("service", "address", "zone")]
    incarnation = item.get("incarnation")
    leaving = item.get("leaving", False)
    if not all(isinstance(value, str) and value for value in texts):
        raise ValueError("service, address or zone")
    if not isinstance(incarnation, str | int) or isinstance(incarnation, bool):
        raise ValueError("incarnation")
    if not isinstance(leaving, bool):
        raise ValueError("leaving")
    service, address, zone = (str(value) for value in texts)
    try:
        parse_address(address)
    except ValueError as error:
        raise ValueError(f"address {error}") from None
    return Server(service, address, zone, str(incarnation), leaving)


def servers_from_wire(plain: object) -> list[Server]:
    """Servers as they came over the wire; raises ValueError."""
    if not isinstance(plain, list):
        raise ValueError("not servers")
    found: list[Server] = []
    for item in plain:
        match item:
            case [
                str(service),
                str(address),
                str(zone),
                str(incarnation),
                bool(leaving),
                int(slots),
                bool(cold),
            ]:
                found.append(Server(service, address, zone, incarnation, leaving, slots, cold))
            case _:
                raise ValueError("not a server")
    return found
