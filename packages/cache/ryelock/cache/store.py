"""Copies within bounded room, one fill a key, and purges that no fill outlives.

A fill remembers under which purges it began. A purge that matches spoils the fills under
way: what they bring is not kept and answers nobody who came to wait for it, and later orders
begin a fill of their own.
"""

from cachetools import LRUCache

from ryelock.cache.rules import StoredResponse, vary_key
from ryelock.http import Fields, field
from ryelock.replicated_state import Purge
from ryelock.runtime import Queue

Key = tuple[str, str, str]


class Fill:
    """A dispatch on behalf of all that wait for one key."""

    __slots__ = ("key", "spoiled", "waiting")

    def __init__(self, key: Key) -> None:
        """Create a fill of one key that nobody waits for yet."""
        self.key = key
        self.spoiled = False
        self.waiting: list[Queue[StoredResponse | None]] = []

    def end(self, copy: StoredResponse | None) -> None:
        """Wake everyone who waits; None means that there is no copy to serve."""
        for box in self.waiting:
            box.put(copy)
        self.waiting = []


class Variants:
    """All copies of one key, by what the answers vary on."""

    __slots__ = ("copies",)

    def __init__(self) -> None:
        """Create a set without copies."""
        self.copies: list[StoredResponse] = []

    @property
    def size(self) -> int:
        """Bytes that all copies count for."""
        return sum(copy.size for copy in self.copies)


def size_of(variants: Variants) -> int:
    """Return the size of a set of copies, as the LRU cache asks for it."""
    return variants.size


VARIANTS_MOST = 16


class CacheStore:
    """The cache of one edge: copies, fills under way, and the purges done so far."""

    __slots__ = ("fills", "labels", "purged", "recent", "responses", "room")

    def __init__(self, room: int, labels: bytes = b"") -> None:
        """Create an empty cache.

        Args:
            room: most bytes of copies.
            labels: name of the response field that holds an object's labels, empty for none.
        """
        self.room = room
        self.labels = labels.lower()
        self.recent: list[Purge] = []
        self.responses: LRUCache[Key, Variants] = LRUCache(maxsize=max(1, room), getsizeof=size_of)
        self.fills: dict[Key, Fill] = {}
        self.purged = 0

    def find(self, key: Key, request: Fields) -> StoredResponse | None:
        """Return the copy that matches the request's fields, or None."""
        variants = self.responses.get(key)
        if variants is None:
            return None
        for copy in variants.copies:
            if vary_key(request, [name for name, _ in copy.vary]) == copy.vary:
                return copy
        return None

    def begin(self, key: Key) -> Fill:
        """Register a new fill of a key."""
        fill = Fill(key)
        self.fills[key] = fill
        return fill

    def end(self, fill: Fill, copy: StoredResponse | None) -> None:
        """Keep what a fill brought, unless a purge came in between, and wake who waits."""
        if self.fills.get(fill.key) is fill:
            del self.fills[fill.key]
        if fill.spoiled:
            copy = None
        if copy is not None:
            self.keep(fill.key, copy)
        fill.end(copy)

    def keep(self, key: Key, copy: StoredResponse) -> None:
        """Add a copy beside the other variants of its key, replacing an equal variant."""
        before = self.responses.pop(key, None)
        variants = Variants()
        if before is not None:
            variants.copies = [other for other in before.copies if other.vary != copy.vary][
                -VARIANTS_MOST + 1 :
            ]
        variants.copies.append(copy)
        if variants.size <= self.room:
            self.responses[key] = variants

    def drop(self, key: Key) -> None:
        """Remove all copies of a key."""
        self.responses.pop(key, None)

    def take_purges(self, purges: list[Purge], newest: int) -> int:
        """Do all purges that were not done yet, in one pass; says how many copies went."""
        fresh = [purge for purge in purges if purge.number > self.purged]
        if newest <= self.purged:
            return 0
        missed = newest - self.purged > len(fresh)
        self.purged = newest
        self.recent = purges
        gone = 0
        for key, variants in list(self.responses.items()):
            if missed or any(
                matches(purge, key) or self.bears(purge, variants.copies) for purge in fresh
            ):
                del self.responses[key]
                gone += 1
        for key, fill in list(self.fills.items()):
            if missed or any(matches(purge, key) for purge in fresh):
                fill.spoiled = True
                del self.fills[key]
                fill.end(None)
        return gone

    def bears(self, purge: Purge, copies: list[StoredResponse]) -> bool:
        """Whether one of the copies bears the label of a purge."""
        return (
            purge.kind == "label"
            and self.labels != b""
            and any(
                purge.text.encode() in (field(copy.fields, self.labels) or b"").split()
                for copy in copies
            )
        )

    def purged_since(self, before: int, key: Key, copy: StoredResponse) -> bool:
        """Whether a purge later than a number names what a fill begun at that number brought."""
        if self.purged == before:
            return False
        fresh = [purge for purge in self.recent if purge.number > before]
        return self.purged - before > len(fresh) or any(
            matches(purge, key) or self.bears(purge, [copy]) for purge in fresh
        )


def matches(purge: Purge, key: Key) -> bool:
    """Tell whether a purge names a key by route, prefix or path; labels are matched elsewhere."""
    route, host, target = key
    if purge.kind == "label":
        return False
    if purge.kind == "route":
        return purge.text == route
    if purge.host and purge.host != host:
        return False
    if purge.kind == "prefix":
        return target.startswith(purge.text)
    return target == purge.text or target.partition("?")[0] == purge.text
