"""The memory-bounded store of responses, with collapsed fetches and purges.

A fill is one fetch for all requests that wait for the same key. A matching purge invalidates the
fills in progress: their responses are neither stored nor served to the waiting requests, and later
requests begin a new fill.
"""

from cachetools import LRUCache

from ryelock.cache.stored_response import StoredResponse
from ryelock.cache.storing import vary_key
from ryelock.http import Fields, field
from ryelock.replicated_state import Purge, PurgeKind
from ryelock.runtime import Queue

CacheKey = tuple[str, str, str]
"""Route, host and target."""
MAX_VARIANTS_PER_KEY = 16


class Fill:
    """A fetch for all requests that wait for one key.

    Attributes:
        key: the cache key.
        invalidated: True if a purge or a change of the route since the start of the fill forbids
            storing its response.
        waiting: the result queue of each waiting request.
    """

    __slots__ = ("invalidated", "key", "waiting")

    def __init__(self, key: CacheKey) -> None:
        """Create a fill of one key without waiting requests."""
        self.key = key
        self.invalidated = False
        self.waiting: list[Queue[StoredResponse | None]] = []

    def end(self, response: StoredResponse | None) -> None:
        """Pass the response to the waiting requests; None if there is none to serve."""
        for results in self.waiting:
            results.put(response)
        self.waiting = []


class Variants:
    """The stored responses of one key, selected by their Vary fields (RFC 9111, 4.1)."""

    __slots__ = ("responses",)

    def __init__(self) -> None:
        """Create an empty set of variants."""
        self.responses: list[StoredResponse] = []

    @property
    def size(self) -> int:
        """Return the size in bytes that all responses account for."""
        return sum(response.size for response in self.responses)


def size_of(variants: Variants) -> int:
    """Return the size of a set of variants; the LRU cache's `getsizeof`."""
    return variants.size


class CacheStore:
    """The cache of one edge.

    Attributes:
        max_bytes: capacity in bytes.
        label_field: name of the response field with an object's labels, in lower case; empty if
            labels are not used.
        variants: stored responses by key; the least recently used key is evicted first.
        fills: fills in progress by key.
        last_purge: number of the newest applied purge.
        recent_purges: the latest purges, to check the responses of fills that began before them.
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
        """Store the response of a fill and pass it to the waiting requests, unless invalidated."""
        if self.fills.get(fill.key) is fill:
            del self.fills[fill.key]
        if fill.invalidated:
            response = None
        if response is not None:
            self.add(fill.key, response)
        fill.end(response)

    def add(self, key: CacheKey, response: StoredResponse) -> None:
        """Add a response to the variants of its key, replacing one with the same `vary`."""
        previous = self.variants.pop(key, None)
        variants = Variants()
        if previous is not None:
            others = [other for other in previous.responses if other.vary != response.vary]
            variants.responses = others[-MAX_VARIANTS_PER_KEY + 1 :]
        variants.responses.append(response)
        if variants.size <= self.max_bytes:
            self.variants[key] = variants

    def remove(self, key: CacheKey) -> None:
        """Remove all stored responses of a key."""
        self.variants.pop(key, None)

    def invalidate_routes(self, routes: set[str]) -> None:
        """Remove the responses of routes; fills in progress are neither stored nor shared."""
        for key in [key for key in self.variants if key[0] in routes]:
            self.remove(key)
        for key, fill in self.fills.items():
            if key[0] in routes:
                fill.invalidated = True

    def apply_purges(self, purges: list[Purge], newest: int) -> int:
        """Apply all purges that were not applied yet, in one pass.

        Args:
            purges: the latest purges, ordered by number.
            newest: number of the newest purge. If an unapplied purge is missing from `purges`, all
                responses are removed, as its scope is unknown.

        Returns:
            The number of removed keys.
        """
        if newest <= self.last_purge:
            return 0
        unapplied = [purge for purge in purges if purge.number > self.last_purge]
        is_incomplete = newest - self.last_purge > len(unapplied)
        self.last_purge = newest
        self.recent_purges = purges
        purged = [
            key
            for key, variants in self.variants.items()
            if is_incomplete or self.any_matches(unapplied, key, variants.responses)
        ]
        for key in purged:
            del self.variants[key]
        for key, fill in list(self.fills.items()):
            if is_incomplete or any(matches_key(purge, key) for purge in unapplied):
                fill.invalidated = True
                del self.fills[key]
                fill.end(None)
        return len(purged)

    def any_matches(
        self, purges: list[Purge], key: CacheKey, responses: list[StoredResponse]
    ) -> bool:
        """Return True if a purge matches the key or a label of one of its responses."""
        return any(matches_key(purge, key) or self.has_label(purge, responses) for purge in purges)

    def has_label(self, purge: Purge, responses: list[StoredResponse]) -> bool:
        """Return True if one of the responses has the label of a purge."""
        return (
            purge.kind is PurgeKind.LABEL
            and self.label_field != b""
            and any(
                purge.text.encode() in (field(response.fields, self.label_field) or b"").split()
                for response in responses
            )
        )

    def is_purged_since(self, before: int, key: CacheKey, response: StoredResponse) -> bool:
        """Return True if a purge after number `before` matches a response, or may match it."""
        if self.last_purge == before:
            return False
        later = [purge for purge in self.recent_purges if purge.number > before]
        is_incomplete = self.last_purge - before > len(later)
        return is_incomplete or self.any_matches(later, key, [response])


def matches_key(purge: Purge, key: CacheKey) -> bool:
    """Return True if a purge by route, prefix or path matches a key; labels never do."""
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
