"""The edges of a region: which of them owns an object, and the idle connections to them.

Each object has two owners: one in each zone, and one in the region. The region's owner alone
fetches the object from servers, as an origin shield does. Owners are found by rendezvous hashing of
the ready edges, so all edges with the same membership find the same owners without a message, and a
change of membership moves only the objects of the edge that joined or left.

An edge that misses an object in its cache asks the owner in its zone; that one asks the owner in
the region. Each of them joins concurrent requests for an object into one fetch. An owner that does
not respond is suspected: for a time its objects are fetched without it.

The owner in the zone keeps traffic between zones low, and keeps the network link of the region's
owner from being saturated by a popular large object. The owner in the region keeps each zone from
fetching every object again, which an origin with a low rate limit does not allow: with owners in
the zones only, four zones of a region sent 219 fetches a second where 105 do. With an owner in the
region only, the bytes between zones rise by two thirds. A list of owners from the leader would be
one message more for what every edge can compute.
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
"""Doubles with each further timeout, up to MAX_SUSPICION_SECONDS."""
MAX_SUSPICION_SECONDS = 8.0
MAX_IDLE_CONNECTIONS = 8
"""Limit for each edge."""
MAX_IDLE_SECONDS = 4.0
"""Longest idle time of a connection that is reused."""
OWNER_CACHE_SIZE = 10_000
"""Number of objects whose owners are cached; a miss costs one hash for each edge."""
HASH_BYTES = 8


def owner_of(key: tuple[str, ...], names: list[str]) -> str:
    """Return the owner of a key among edge names, by rendezvous hashing."""
    key_hash = hashlib.blake2b("\n".join(key).encode(), digest_size=HASH_BYTES)

    def weight(name: str) -> bytes:
        name_hash = key_hash.copy()
        name_hash.update(name.encode())
        return name_hash.digest()

    return max(names, key=weight)


class Owners(NamedTuple):
    """Names of the owners of an object in this zone and in the region."""

    zone_owner: str
    region_owner: str


class Peers:
    """One edge's view of the edges of its region.

    Attributes:
        members: the membership from which the view was built.
        sessions: sessions of the region's ready edges by name.
        names_by_zone: names of those edges by zone, this edge first in its own zone.
        owners_by_key: cache of objects' owners.
        last_response_at: monotonic time of the last response, by name.
        requests_in_flight: number of requests without a response yet, by name.
        suspected_until: monotonic time at which a suspicion ends, by name.
        suspicion_seconds: length of the last suspicion, by the identity of the edge's incarnation.
        idle_connections: idle connections by request address.
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
        """Create the view of one edge.

        Args:
            scheduler: the edge's scheduler.
            name: name of the edge.
            zone: zone of the edge.
            regions: region of each zone; a zone that is missing is its own region.
        """
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
        """Rebuild the view if the membership has changed."""
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
        """Return True if a member is a ready edge of the region that accepts requests."""
        return bool(
            session.role == "edge"
            and self.regions.get(session.zone, session.zone) == self.region
            and session.request_address
            and (session.ready or name == self.name)
        )

    @property
    def zone_edge_names(self) -> list[str]:
        """Names of the ready edges of this zone, including this edge."""
        return self.names_by_zone[self.zone]

    def owners_of(self, key: tuple[str, ...]) -> Owners:
        """Return the owners of an object; the key also selects the zone of the region's owner."""
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
        """Return the edge to request an object from; None if this edge fetches it from a server.

        A request crosses zones at most once: one that came from another zone goes no further.

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
        """Return True if an edge gets no requests for now."""
        return self.suspected_until.get(name, 0.0) > self.scheduler.now()

    def suspect(self, session: Session) -> None:
        """Suspect an edge, for twice as long as before unless it responded or restarted since."""
        previous = self.suspicion_seconds.get(session.identity, INITIAL_SUSPICION_SECONDS / 2)
        # Drops the entries of earlier incarnations of the edge.
        self.suspicion_seconds = {
            identity: seconds
            for identity, seconds in self.suspicion_seconds.items()
            if identity.partition("/")[0] != session.name
        }
        seconds = min(MAX_SUSPICION_SECONDS, 2 * previous)
        self.suspicion_seconds[session.identity] = seconds
        self.suspected_until[session.name] = self.scheduler.now() + seconds

    def record_response(self, session: Session) -> None:
        """Record a response of an edge, which resets the length of its next suspicion."""
        self.suspicion_seconds.pop(session.identity, None)
        self.last_response_at[session.name] = self.scheduler.now()

    def responded_since(self, session: Session, since: float) -> bool:
        """Return True if an edge has responded to any request since a monotonic time."""
        last_response_at = self.last_response_at.get(session.name)
        return last_response_at is not None and last_response_at >= since

    def take_idle_connection(self, address: str) -> IdleConnection | None:
        """Return an idle connection to an address, or None."""
        return take_idle(self.idle_connections.get(address, []), self.scheduler.now())

    def keep_idle_connection(self, address: str, connection: Connection, reader: Reader) -> None:
        """Keep a connection for reuse, or close it."""
        idle_connections = self.idle_connections.setdefault(address, [])
        if is_clean(connection, reader) and len(idle_connections) < MAX_IDLE_CONNECTIONS:
            expires_at = self.scheduler.now() + MAX_IDLE_SECONDS
            idle_connections.append(IdleConnection(connection, reader, expires_at))
        else:
            connection.close()
