"""A response in the cache."""

from ryelock.cache.cache_control import directives
from ryelock.http import Fields, ResponseHead, field

RESPONSE_OVERHEAD_BYTES = 500
"""Size accounted for a stored response in addition to its body and fields."""


class StoredResponse:
    """A response stored for reuse.

    Attributes:
        status: the status code.
        reason: the reason phrase.
        fields: the fields to send, without Age.
        body: the complete body.
        stored_at: monotonic time in seconds at which the response was complete.
        initial_age: the age in seconds at `stored_at`.
        lifetime: the server's freshness lifetime in seconds; None if it gave none.
        vary: the request fields listed by Vary, with their values.
        etag: the entity tag, or None.
        last_modified: the value of Last-Modified, or None.
        needs_validation: True if no-cache requires validation before each use.
    """

    __slots__ = (
        "body",
        "etag",
        "fields",
        "initial_age",
        "last_modified",
        "lifetime",
        "needs_validation",
        "reason",
        "status",
        "stored_at",
        "vary",
    )

    def __init__(
        self,
        head: ResponseHead,
        fields: Fields,
        body: bytes,
        stored_at: float,
        initial_age: float,
        lifetime: float | None,
        vary: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Create a stored response; see the attributes."""
        self.status = head.status
        self.reason = head.reason
        self.fields = fields
        self.body = body
        self.stored_at = stored_at
        self.initial_age = initial_age
        self.lifetime = lifetime
        self.vary = vary
        self.etag = field(fields, b"etag")
        self.last_modified = field(fields, b"last-modified")
        self.needs_validation = "no-cache" in directives(fields)

    def age(self, now: float) -> float:
        """Return the current age in seconds (RFC 9111, 4.2.3)."""
        return self.initial_age + (now - self.stored_at)

    @property
    def size(self) -> int:
        """Return the size in bytes that the response accounts for in the cache."""
        field_bytes = sum(len(name) + len(value) for name, value in self.fields)
        return len(self.body) + field_bytes + RESPONSE_OVERHEAD_BYTES
