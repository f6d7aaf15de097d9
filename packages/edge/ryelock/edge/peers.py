"""Which edges keep an object for the others, and the connections to them.

Each object has an owner in each zone and a home, the zone of its region whose owner alone fetches
it from servers. All are found by rendezvous hashing among the edges that are ready, so every edge
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

SUSPICION_SECONDS = 1.0
"""How long an edge is suspected at first; it doubles with each further silence."""
SUSPICION_SECONDS_MOST = 8.0
IDLE_CONNECTIONS_MOST = 8
"""Most idle connections to one edge."""
IDLE_SECONDS = 4.0
"""How long a connection may be idle before it is used again."""
CACHED_OWNERS = 10_000
"""Owners of so many objects are remembered, which saves a hash for each name."""
HASH_BYTES = 8


def owner_of(key: tuple[str, ...], names: list[str]) -> str:
    """Return the owner of a key among names; the same wherever the same names are known."""
    stem = hashlib.blake2b("\n".join(key).encode(), digest_size=HASH_BYTES)

    def weight(name: str) -> bytes:
        mixed = stem.copy()
        mixed.update(name.encode())
        return mixed.digest()

    return max(names, key=weight)


class Owners(NamedTuple):
    """Names of the edges that keep an object: for this zone, and for the region."""

    local: str
    home: str


class Peers:
    """The edges of one region as one of them sees them.

    Attributes:
        members: the membership that the rest was worked out from.
        sessions: ready edges of the region by name.
        zones: names of those edges by zone, this edge first in its own.
        requests_in_flight: requests to each edge that wait for its response.
    """

    __slots__ = (
        "answered_at",
        "idle_connections",
        "members",
        "name",
        "owners",
        "region",
        "regions",
        "requests_in_flight",
        "scheduler",
        "sessions",
        "suspected_until",
        "suspicion_seconds",
        "zone",
        "zones",
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
        self.zones: dict[str, list[str]] = {zone: [name]}
        self.owners: LRUCache[tuple[str, ...], Owners] = LRUCache(CACHED_OWNERS)
        self.members: dict[str, Session] | None = None
        self.sessions: dict[str, Session] = {}
        self.answered_at: dict[str, float] = {}
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
        if zones != self.zones:
            self.zones = zones
            self.owners.clear()
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
    def names(self) -> list[str]:
        """The edges of this zone, this one among them."""
        return self.zones[self.zone]

    def owners_of(self, key: tuple[str, ...]) -> Owners:
        """Return the owners of an object in this zone and in its home."""
        found = self.owners.get(key)
        if found is None:
            home = owner_of(key, list(self.zones))
            found = Owners(owner_of(key, self.zones[self.zone]), owner_of(key, self.zones[home]))
            self.owners[key] = found
        return found

    def owner(self, key: tuple[str, ...], asked_from: str = "") -> Session | None:
        """Return the other edge to be asked for an object; None where this one fetches it itself.

        Args:
            key: host and target of the object.
            asked_from: zone of the edge that asks this one; empty where it is a client's request.
        """
        owners = self.owners_of(key)
        if asked_from and asked_from != self.zone:
            return None
        if not asked_from and owners.local != self.name and not self.is_suspected(owners.local):
            return self.sessions[owners.local]
        if owners.home == self.name or self.is_suspected(owners.home):
            return None
        return self.sessions[owners.home] if owners.home != owners.local else None

    def is_suspected(self, name: str) -> bool:
        """Whether an edge is passed by for now."""
        return self.suspected_until.get(name, 0.0) > self.scheduler.now()

    def suspect(self, session: Session) -> None:
        """Pass an edge by for a while that doubles until it answers or starts anew."""
        before = self.suspicion_seconds.get(session.identity, SUSPICION_SECONDS / 2)
        # Earlier incarnations of the edge are forgotten.
        self.suspicion_seconds = {
            identity: seconds
            for identity, seconds in self.suspicion_seconds.items()
            if identity.partition("/")[0] != session.name
        }
        seconds = min(SUSPICION_SECONDS_MOST, 2 * before)
        self.suspicion_seconds[session.identity] = seconds
        self.suspected_until[session.name] = self.scheduler.now() + seconds

    def record_answer(self, session: Session) -> None:
        """An edge answered: its next silence is taken for the first again."""
        self.suspicion_seconds.pop(session.identity, None)
        self.answered_at[session.name] = self.scheduler.now()

    def answered_since(self, session: Session, since: float) -> bool:
        """Whether an edge answered anything since a monotonic time: it is slow then, not gone."""
        answered_at = self.answered_at.get(session.name)
        return answered_at is not None and answered_at >= since

    def take_connection(self, address: str) -> IdleConnection | None:
        """Return an idle connection to an edge, or None."""
        return take_idle(self.idle_connections.get(address, []), self.scheduler.now())

    def keep_connection(self, address: str, connection: Connection, reader: Reader) -> None:
        """Keep a connection for another request, or close it."""
        idle_connections = self.idle_connections.setdefault(address, [])
        if is_clean(connection, reader) and len(idle_connections) < IDLE_CONNECTIONS_MOST:
            until = self.scheduler.now() + IDLE_SECONDS
            idle_connections.append(IdleConnection(connection, reader, until))
        else:
            connection.close()
