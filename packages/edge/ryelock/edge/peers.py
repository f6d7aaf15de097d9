"""Which edges keep an object for the others, and the connections to them.

Each object has an owner in each zone and a home, the zone of its region whose owner alone fetches
it from servers. All are found by rendezvous hashing among the edges that are ready, so every edge
finds the same ones from the members it knows, and an edge that comes or goes moves only its own
objects. An edge that misses a copy asks the owner of its zone; that one, unless its zone is the
home, asks the home's owner. Each joins all who ask into one fetch. An owner that gave no answer is
passed by for a moment: its objects are fetched directly until it answers or is no member any more.

Weighed:

- owners in each zone and no home, which was so at first: each zone then fetches every object for
  itself, and where the origin's rate is narrow that takes several times of it (four zones of one
  region: 219 fetches a second where 105 do);
- one owner for a whole region, asked by all: the bytes between zones rise by two thirds, and the
  owner of a popular large object fills its link;
- a home for all regions (a round trip between regions for every fetch);
- a list of owners told by the leader (a message more for what all can work out);
- copies pushed to all (bytes for objects that nobody asks for there).
"""

import hashlib
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from cachetools import LRUCache

from ryelock.http import Reader
from ryelock.membership import Session
from ryelock.runtime import Connection, Scheduler

DOUBT_SECONDS = 1.0
DOUBT_MOST = 8.0
KEPT_CONNECTIONS = 8
IDLE_SECONDS = 4.0
OWNERS_KEPT = 10_000
"""Owners of so many objects are remembered, which saves a hash for each name."""


def owner_of(key: tuple[str, ...], names: list[str]) -> str:
    """The owner of a key among names; the same wherever the same names are known."""
    stem = hashlib.blake2b("\n".join(key).encode(), digest_size=8)

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
    """The edges of one region as one of them sees them."""

    __slots__ = (
        "answered",
        "asked",
        "doubted",
        "kept",
        "known",
        "name",
        "owners",
        "region",
        "regions",
        "scheduler",
        "sessions",
        "waits",
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
        self.owners: LRUCache[tuple[str, ...], Owners] = LRUCache(OWNERS_KEPT)
        self.known: dict[str, Session] | None = None
        self.sessions: dict[str, Session] = {}
        self.answered: dict[str, float] = {}
        self.asked: Counter[str] = Counter()
        self.doubted: dict[str, float] = {}
        self.waits: dict[str, float] = {}
        self.kept: dict[str, list[tuple[Connection, Reader, float]]] = {}

    def follow(self, members: dict[str, Session]) -> None:
        """Take the members as they are known now; the same table again costs nothing."""
        if members is self.known:
            return
        self.known = members
        self.sessions = {
            name: session
            for name, session in members.items()
            if session.role == "edge"
            and self.regions.get(session.zone, session.zone) == self.region
            and session.request_address
            and (session.ready or name == self.name)
        }
        zones: dict[str, list[str]] = {self.zone: [self.name]}
        for name, session in sorted(self.sessions.items()):
            if name != self.name:
                zones.setdefault(session.zone, []).append(name)
        if zones != self.zones:
            self.zones = zones
            self.owners.clear()
        addresses = {session.request_address for session in self.sessions.values()}
        for address in [address for address in self.kept if address not in addresses]:
            for connection, _, _ in self.kept.pop(address):
                connection.close()

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
        """The other edge to be asked for an object; None where this one fetches it itself.

        Args:
            key: host and target of the object.
            asked_from: zone of the edge that asks this one; empty where it is a client's request.
        """
        owners = self.owners_of(key)
        if asked_from and asked_from != self.zone:
            return None
        if not asked_from and owners.local != self.name and not self.is_doubted(owners.local):
            return self.sessions[owners.local]
        if owners.home == self.name or self.is_doubted(owners.home):
            return None
        return self.sessions[owners.home] if owners.home != owners.local else None

    def is_doubted(self, name: str) -> bool:
        """Whether an edge is passed by for now."""
        return self.doubted.get(name, 0.0) > self.scheduler.now()

    def doubt(self, session: Session) -> None:
        """Pass an edge by for a while that doubles until it answers or starts anew."""
        before = self.waits.get(session.identity, DOUBT_SECONDS / 2)
        self.waits = {
            key: wait for key, wait in self.waits.items() if key.partition("/")[0] != session.name
        }
        self.waits[session.identity] = min(DOUBT_MOST, 2 * before)
        self.doubted[session.name] = self.scheduler.now() + self.waits[session.identity]

    def trust(self, session: Session) -> None:
        """It answered: no wait is remembered, and asks that are open still have hope."""
        self.waits.pop(session.identity, None)
        self.answered[session.name] = self.scheduler.now()

    def heard(self, session: Session) -> float:
        """When an edge last answered anything; one that answers others is slow, not gone."""
        return self.answered.get(session.name, -1e18)

    def kept_connection(self, address: str) -> tuple[Connection, Reader] | None:
        kept = self.kept.get(address, [])
        while kept:
            connection, reader, until = kept.pop()
            if (
                connection.closed
                or connection.received.items
                or reader.buffer
                or self.scheduler.now() > until
            ):
                connection.close()
                continue
            return connection, reader
        return None

    def keep_connection(self, address: str, connection: Connection, reader: Reader) -> None:
        kept = self.kept.setdefault(address, [])
        if (
            connection.closed
            or reader.buffer
            or connection.received.items
            or len(kept) >= KEPT_CONNECTIONS
        ):
            connection.close()
        else:
            kept.append((connection, reader, self.scheduler.now() + IDLE_SECONDS))
