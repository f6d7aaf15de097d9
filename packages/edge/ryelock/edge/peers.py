"""Which edges keep an object for the others, and the connections to them.

Each object has an owner in each zone and a home, the zone of its region whose owner alone fetches
it from servers. All are owners by rendezvous hashing among the edges that are ready, so every edge
finds the same ones from the members it knows, and an edge that comes or goes moves only its own
objects. An edge that misses an object asks the owner of its zone; that one, unless its zone is the
home, asks the home's owner. Each joins all who ask into one fetch. An owner that gave no response
is suspected for a moment: its objects are fetched directly until it answers or is no member any
more.

Weighed:

- owners in each zone and no home, which was so at first: each zone then fetches every object for
  itself, and where the origin's rate is narrow that takes several times of it (four zones of one
  region: 219 fetches a second where 105 do);
- one owner for a whole region, asked by all: the bytes between zones rise by two thirds, and the
  owner of a popular large object fills its network link;
- a home for all regions (a round trip between regions for every fetch);
- a list of owners sent by the leader (a message more for what all can work out);
- stored responses pushed to all (bytes for objects that nobody asks for there).
"""

import hashlib
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from cachetools import LRUCache

from ryelock.edge.idle_connections import IdleConnection, is_clean, take_idle
from ryelock.http import Reader
from ryelock.membership import Session
from ryelock.runtime import Connection, Scheduler

INITIAL_SUSPICION_SECONDS = 1.0
"""How long an edge is suspected at first; it doubles with each further silence."""
MAX_SUSPICION_SECONDS = 8.0
MAX_IDLE_CONNECTIONS = 8
"""Most idle connections to one edge."""
MAX_IDLE_SECONDS = 4.0
"""How long a connection may be idle before it is used again."""
OWNER_CACHE_SIZE = 10_000
"""Owners of so many objects are remembered, which saves a hash for each name."""
HASH_BYTES = 8


def owner_of(key: tuple[str, ...], names: list[str]) -> str:
    """Return the owner of a key among names; the same wherever the same names are known."""
    key_hash = hashlib.blake2b("\n".join(key).encode(), digest_size=HASH_BYTES)

    def weight(name: str) -> bytes:
        name_hash = key_hash.copy()
        name_hash.update(name.encode())
        return name_hash.digest()

    return max(names, key=weight)


class Owners(NamedTuple):
    """Names of the edges that keep an object: for this zone, and for the region."""

    zone_owner: str
    region_owner: str


class Peers:
    """The edges of one region as one of them sees them.

    Attributes:
        members: the membership that the rest was worked out from.
        sessions: ready edges of the region by name.
        names_by_zone: names of those edges by zone, this edge first in its own.
        requests_in_flight: requests to each edge that wait for its response.
    """

    __slots__ = (
        "idle_connections",
        "last_response_at",
        "members",
        "name",
        "names_by_zone",
        "owners_by_key",
        "region",
        "regions",
        "requests_in_flight",
        "scheduler",
        "sessions",
        "suspected_until",
        "suspicion_seconds",
        "zone",
    )

    def __init__(
        self, scheduler: Scheduler, name: str, zone: str, regions: Mapping[str, str]
    ) -> None:
        """Create the view of an edge of a zone; a zone that `regions` lacks is its own region."""
        self.scheduler = scheduler
        self.name = name
        self.regions = regions
        self.zone = zone
        self.region = regions.get(zone, zone)
        self.names_by_zone: dict[str, list[str]] = {zone: [name]}
        self.owners_by_key: LRUCache[tuple[str, ...], Owners] = LRUCache(OWNER_CACHE_SIZE)
        self.members: dict[str, Session] | None = None
        self.sessions: dict[str, Session] = {}
        self.last_response_at: dict[str, float] = {}
        self.requests_in_flight: Counter[str] = Counter()
        self.suspected_until: dict[str, float] = {}
        self.suspicion_seconds: dict[str, float] = {}
        self.idle_connections: dict[str, list[IdleConnection]] = {}

    def update_members(self, members: dict[str, Session]) -> None:
        """Follow the membership; the same table again costs nothing."""
        if members is self.members:
            return
        self.members = members
        self.sessions = {
            name: session for name, session in members.items() if self.is_peer(name, session)
        }
        zones: dict[str, list[str]] = {self.zone: [self.name]}
        for name, session in sorted(self.sessions.items()):
            if name != self.name:
                zones.setdefault(session.zone, []).append(name)
        if zones != self.names_by_zone:
            self.names_by_zone = zones
            self.owners_by_key.clear()
        addresses = {session.request_address for session in self.sessions.values()}
        for address in [address for address in self.idle_connections if address not in addresses]:
            for idle in self.idle_connections.pop(address):
                idle.connection.close()

    def is_peer(self, name: str, session: Session) -> bool:
        """Whether a member is a ready edge of the region that takes requests."""
        return bool(
            session.role == "edge"
            and self.regions.get(session.zone, session.zone) == self.region
            and session.request_address
            and (session.ready or name == self.name)
        )

    @property
    def zone_edge_names(self) -> list[str]:
        """The edges of this zone, this one among them."""
        return self.names_by_zone[self.zone]

    def owners_of(self, key: tuple[str, ...]) -> Owners:
        """Return the owners of an object in this zone and in its home."""
        owners = self.owners_by_key.get(key)
        if owners is None:
            fetching_zone = owner_of(key, list(self.names_by_zone))
            owners = Owners(
                owner_of(key, self.names_by_zone[self.zone]),
                owner_of(key, self.names_by_zone[fetching_zone]),
            )
            self.owners_by_key[key] = owners
        return owners

    def owner_to_ask(self, key: tuple[str, ...], requesting_zone: str = "") -> Session | None:
        """Return the other edge to be asked for an object; None where this one fetches it itself.

        Args:
            key: host and target of the object.
            requesting_zone: zone of the edge that sent the request; empty for a client's.
        """
        owners = self.owners_of(key)
        if requesting_zone and requesting_zone != self.zone:
            return None
        if (
            not requesting_zone
            and owners.zone_owner != self.name
            and not self.is_suspected(owners.zone_owner)
        ):
            return self.sessions[owners.zone_owner]
        if owners.region_owner == self.name or self.is_suspected(owners.region_owner):
            return None
        return (
            self.sessions[owners.region_owner] if owners.region_owner != owners.zone_owner else None
        )

    def is_suspected(self, name: str) -> bool:
        """Whether an edge is passed by for now."""
        return self.suspected_until.get(name, 0.0) > self.scheduler.now()

    def suspect(self, session: Session) -> None:
        """Pass an edge by for a while that doubles until it answers or starts anew."""
        previous = self.suspicion_seconds.get(session.identity, INITIAL_SUSPICION_SECONDS / 2)
        # Earlier incarnations of the edge are forgotten.
        self.suspicion_seconds = {
            identity: seconds
            for identity, seconds in self.suspicion_seconds.items()
            if identity.partition("/")[0] != session.name
        }
        seconds = min(MAX_SUSPICION_SECONDS, 2 * previous)
        self.suspicion_seconds[session.identity] = seconds
        self.suspected_until[session.name] = self.scheduler.now() + seconds

    def record_response(self, session: Session) -> None:
        """An edge answered: its next silence is taken for the first again."""
        self.suspicion_seconds.pop(session.identity, None)
        self.last_response_at[session.name] = self.scheduler.now()

    def responded_since(self, session: Session, since: float) -> bool:
        """Whether an edge answered anything since a monotonic time: it is slow then, not gone."""
        last_response_at = self.last_response_at.get(session.name)
        return last_response_at is not None and last_response_at >= since

    def take_idle_connection(self, address: str) -> IdleConnection | None:
        """Return an idle connection to an edge, or None."""
        return take_idle(self.idle_connections.get(address, []), self.scheduler.now())

    def keep_idle_connection(self, address: str, connection: Connection, reader: Reader) -> None:
        """Keep a connection for another request, or close it."""
        idle_connections = self.idle_connections.setdefault(address, [])
        if is_clean(connection, reader) and len(idle_connections) < MAX_IDLE_CONNECTIONS:
            expires_at = self.scheduler.now() + MAX_IDLE_SECONDS
            idle_connections.append(IdleConnection(connection, reader, expires_at))
        else:
            connection.close()
