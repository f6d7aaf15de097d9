"""One stored response."""

from ryelock.cache.cache_control import directives
from ryelock.http import Fields, ResponseHead, field

OBJECT_OVERHEAD_BYTES = 500
"""What a stored response counts for beside its body and fields."""


class StoredResponse:
    """A response that may answer further requests.

    Attributes:
        status: its status.
        reason: its reason phrase.
        fields: header fields to send, without Age.
        body: the whole body.
        stored_at: monotonic time in seconds at which the response was complete.
        initial_age: its age in seconds at that moment.
        lifetime: freshness lifetime by the server in seconds, None where it gave none.
        vary: request fields that selected this response, with their values.
        etag: its entity tag, if it has one.
        last_modified: its Last-Modified field, if it has one.
        needs_validation: whether no-cache demands a validation for each use.
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
        """Store a response; see the attributes."""
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
        """Bytes that the response counts for in the cache."""
        field_bytes = sum(len(name) + len(value) for name, value in self.fields)
        return len(self.body) + field_bytes + OBJECT_OVERHEAD_BYTES
