"""The platform's listing of servers, as docs/platform.md has it, under a term.

A listing is believed for a while from before it was asked for. A server is told by service,
address and incarnation: when any of the three changes it is another server, and links and
counters of the old one are not used for it.
"""

import hashlib
import json

import cbor2
from expression import Error, Ok, Result

from ryelock.env import address as check_address

SERVERS_MOST = 10_000


class Server:
    """One life of one server; `slots` is how many orders it works on at once, 0 where unknown."""

    __slots__ = ("address", "cold", "incarnation", "leaving", "service", "slots", "zone")

    def __init__(
        self,
        service: str,
        address: str,
        zone: str,
        incarnation: str,
        leaving: bool,
        slots: int = 0,
        cold: bool = False,
    ) -> None:
        """Create a server's record; `cold` says that it is still warming up."""
        self.slots = slots
        self.cold = cold
        self.service = service
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.leaving = leaving

    @property
    def identity(self) -> tuple[str, str, str]:
        """Service, address and incarnation: what tells one life of a server from another."""
        return self.service, self.address, self.incarnation

    def plain(self) -> list[object]:
        """Return the server as a list for the wire; see `servers_from`."""
        return [
            self.service,
            self.address,
            self.zone,
            self.incarnation,
            self.leaving,
            self.slots,
            self.cold,
        ]


class Listing:
    """One source's servers at one version, when they were read, and up to when they are believed.

    The platform was asked not before `since` and had answered at the latest at `seen`. Of two
    readings that overlap nobody can say which is the later one.
    """

    __slots__ = ("seen", "servers", "since", "source", "until", "version")

    def __init__(
        self,
        source: str,
        version: int,
        servers: list[Server],
        until: float,
        since: float = -1e18,
        seen: float = -1e18,
    ) -> None:
        """Create a listing; all times are monotonic seconds."""
        self.source = source
        self.version = version
        self.servers = servers
        self.until = until
        self.since = since
        self.seen = seen

    def follows(self, other: "Listing") -> bool:
        """Whether this was certainly read after the other."""
        return self.since >= other.seen

    def digest(self) -> bytes:
        """Return 16 bytes that tell whether two listings name the same servers."""
        plain = cbor2.dumps([server.plain() for server in self.servers])
        return hashlib.sha256(plain).digest()[:16]


class ListingError(Exception):
    """The platform's answer is no listing, or (`missed`) there was none."""

    def __init__(self, reason: str, missed: bool = False) -> None:
        """Create the error; `missed` says that the platform gave no answer."""
        super().__init__(reason)
        self.missed = missed


def listing_of(body: bytes) -> Result[list[Server], ListingError]:
    """The servers in an answer of the platform; the whole is declined for any fault."""
    try:
        plain = json.loads(body)
    except ValueError:
        return Error(ListingError("not JSON"))
    listed = plain.get("servers") if isinstance(plain, dict) else None
    if not isinstance(listed, list) or len(listed) > SERVERS_MOST:
        return Error(ListingError("no list of servers"))
    servers: list[Server] = []
    places: set[str] = set()
    for position, item in enumerate(listed):
        if not isinstance(item, dict):
            return Error(ListingError(f"servers[{position}]: not an object"))
        texts = [item.get(key) for key in ("service", "address", "zone")]
        incarnation = item.get("incarnation")
        leaving = item.get("leaving", False)
        if not all(isinstance(value, str) and value for value in texts):
            return Error(ListingError(f"servers[{position}]: service, address or zone"))
        if not isinstance(incarnation, str | int) or isinstance(incarnation, bool):
            return Error(ListingError(f"servers[{position}]: incarnation"))
        if not isinstance(leaving, bool):
            return Error(ListingError(f"servers[{position}]: leaving"))
        service, place, zone = (str(value) for value in texts)
        try:
            check_address(place)
        except ValueError as error:
            return Error(ListingError(f"servers[{position}]: address {error}"))
        if place in places:
            return Error(ListingError(f"servers[{position}]: {place} is listed twice"))
        places.add(place)
        servers.append(Server(service, place, zone, str(incarnation), leaving))
    return Ok(servers)


def servers_from(plain: object) -> list[Server]:
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
