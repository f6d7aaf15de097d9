"""Stored responses within bounded memory, one fill a key, and purges that no fill outlives.

A fill is one fetch on behalf of all that wait for a key. A purge that matches invalidates the fills
under way: what they bring is not stored and answers nobody who came to wait for it, and later
requests begin a fill of their own.
"""

from cachetools import LRUCache

from ryelock.cache.stored_response import StoredResponse
from ryelock.cache.storing import vary_key
from ryelock.http import Fields, field
from ryelock.replicated_state import Purge, PurgeKind
from ryelock.runtime import Queue

CacheKey = tuple[str, str, str]
"""Route, host and target."""
VARIANTS_MOST = 16
"""Most variants of one key."""


class Fill:
    """A fetch on behalf of all that wait for one key.

    Attributes:
        key: the key.
        invalidated: whether a purge came since it began, so that what it brings is not stored.
        waiting: one queue for each request that waits.
    """

    __slots__ = ("invalidated", "key", "waiting")

    def __init__(self, key: CacheKey) -> None:
        """Create a fill of one key that nobody waits for yet."""
        self.key = key
        self.invalidated = False
        self.waiting: list[Queue[StoredResponse | None]] = []

    def end(self, response: StoredResponse | None) -> None:
        """Wake everyone who waits; None means that there is no response to serve."""
        for result in self.waiting:
            result.put(response)
        self.waiting = []


class Variants:
    """All stored responses of one key, by what they vary on (RFC 9111, 4.1)."""

    __slots__ = ("responses",)

    def __init__(self) -> None:
        """Create a set without responses."""
        self.responses: list[StoredResponse] = []

    @property
    def size(self) -> int:
        """Bytes that all responses count for."""
        return sum(response.size for response in self.responses)


def size_of(variants: Variants) -> int:
    """Return the size of a set of variants, as the LRU cache asks for it."""
    return variants.size


class CacheStore:
    """The cache of one edge.

    Attributes:
        max_bytes: most bytes of stored responses.
        label_field: name of the response field that holds an object's labels, empty for none.
        variants: stored responses by key, the least recently used first to go.
        fills: fetches under way by key.
        last_purge: number of the newest purge that was applied.
        recent_purges: the purges that are still known, for fills that began before them.
    """

    __slots__ = ("fills", "label_field", "last_purge", "max_bytes", "recent_purges", "variants")

    def __init__(self, max_bytes: int, label_field: bytes = b"") -> None:
        """Create an empty cache; see the attributes."""
        self.max_bytes = max_bytes
        self.label_field = label_field.lower()
        self.recent_purges: list[Purge] = []
        self.variants: LRUCache[CacheKey, Variants] = LRUCache(
            maxsize=max(1, max_bytes), getsizeof=size_of
        )
        self.fills: dict[CacheKey, Fill] = {}
        self.last_purge = 0

    def find(self, key: CacheKey, request: Fields) -> StoredResponse | None:
        """Return the stored response that matches the request's fields, or None."""
        variants = self.variants.get(key)
        if variants is None:
            return None
        for response in variants.responses:
            if vary_key(request, [name for name, _ in response.vary]) == response.vary:
                return response
        return None

    def begin_fill(self, key: CacheKey) -> Fill:
        """Register a new fill of a key."""
        fill = Fill(key)
        self.fills[key] = fill
        return fill

    def end_fill(self, fill: Fill, response: StoredResponse | None) -> None:
        """Store what a fill brought, unless a purge came in between, and wake who waits."""
        if self.fills.get(fill.key) is fill:
            del self.fills[fill.key]
        if fill.invalidated:
            response = None
        if response is not None:
            self.add(fill.key, response)
        fill.end(response)

    def add(self, key: CacheKey, response: StoredResponse) -> None:
        """Add a response beside the other variants of its key, replacing an equal variant."""
        before = self.variants.pop(key, None)
        variants = Variants()
        if before is not None:
            others = [other for other in before.responses if other.vary != response.vary]
            variants.responses = others[-VARIANTS_MOST + 1 :]
        variants.responses.append(response)
        if variants.size <= self.max_bytes:
            self.variants[key] = variants

    def remove(self, key: CacheKey) -> None:
        """Remove all stored responses of a key."""
        self.variants.pop(key, None)

    def invalidate_routes(self, routes: set[str]) -> None:
        """Remove what is stored of routes; fills under way answer who waits and are not stored."""
        for key in [key for key in self.variants if key[0] in routes]:
            self.remove(key)
        for key, fill in self.fills.items():
            if key[0] in routes:
                fill.invalidated = True

    def apply_purges(self, purges: list[Purge], newest: int) -> int:
        """Apply all purges that were not applied yet, in one pass.

        Args:
            purges: the purges that are still known, in the order of their numbers.
            newest: number of the newest purge. Where a purge up to it is known no more, all is
                removed: nobody can say what it named.

        Returns:
            How many keys were removed.
        """
        if newest <= self.last_purge:
            return 0
        fresh = [purge for purge in purges if purge.number > self.last_purge]
        missed = newest - self.last_purge > len(fresh)
        self.last_purge = newest
        self.recent_purges = purges
        purged = [
            key
            for key, variants in self.variants.items()
            if missed or self.any_names(fresh, key, variants.responses)
        ]
        for key in purged:
            del self.variants[key]
        for key, fill in list(self.fills.items()):
            if missed or any(names_key(purge, key) for purge in fresh):
                fill.invalidated = True
                del self.fills[key]
                fill.end(None)
        return len(purged)

    def any_names(
        self, purges: list[Purge], key: CacheKey, responses: list[StoredResponse]
    ) -> bool:
        """Whether one of the purges names a key, or a label of one of its responses."""
        return any(names_key(purge, key) or self.has_label(purge, responses) for purge in purges)

    def has_label(self, purge: Purge, responses: list[StoredResponse]) -> bool:
        """Whether one of the responses has the label of a purge."""
        return (
            purge.kind is PurgeKind.LABEL
            and self.label_field != b""
            and any(
                purge.text.encode() in (field(response.fields, self.label_field) or b"").split()
                for response in responses
            )
        )

    def is_purged_since(self, before: int, key: CacheKey, response: StoredResponse) -> bool:
        """Whether a purge later than number `before` names what a fill brought."""
        if self.last_purge == before:
            return False
        fresh = [purge for purge in self.recent_purges if purge.number > before]
        missed = self.last_purge - before > len(fresh)
        return missed or self.any_names(fresh, key, [response])


def names_key(purge: Purge, key: CacheKey) -> bool:
    """Tell whether a purge names a key by route, prefix or path; labels are matched elsewhere."""
    route, host, target = key
    if purge.kind is PurgeKind.LABEL:
        return False
    if purge.kind is PurgeKind.ROUTE:
        return purge.text == route
    if purge.host and purge.host != host:
        return False
    if purge.kind is PurgeKind.PREFIX:
        return target.startswith(purge.text)
    return target == purge.text or target.partition("?")[0] == purge.text
