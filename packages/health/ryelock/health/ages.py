"""How old a served object is, by the server's own clock where it dates its objects.

The no-cache answer's Date says what time the server has, so neither the prober's nor the edge's
clock can make an object look old. A Date alone does not outweigh an ETag that is the newest one's,
since servers of one service may have clocks that differ. Where nothing dates the object, the prober
may count on its own monotonic clock how long a newer one has been out. Otherwise the age is
unknown, which is no failure.
"""

from dataclasses import dataclass

from ryelock.http import Fields, field, parse_http_date
from ryelock.replicated_state import Watch


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """What one fetch of a probe brought.

    Attributes:
        status: HTTP status.
        fields: header fields.
        body_start: the body's first MARKED_BYTES bytes, or more.
        received_at: monotonic time at which the head had come, in seconds.
    """

    status: int
    fields: Fields
    body_start: bytes
    received_at: float


class OutdatedTagTimer:
    """For one target and watch: since when a newer object than the one served has been out."""

    __slots__ = ("outdated_since",)

    def __init__(self) -> None:
        """Start with no newer object known."""
        self.outdated_since: float | None = None

    def age(self, fresh: bytes | None, served: bytes | None, now: float) -> float | None:
        """Return for how long the served ETag has been outdated; None without both ETags."""
        if fresh is None or served is None:
            return None
        if fresh == served:
            self.outdated_since = None
            return 0.0
        if self.outdated_since is None:
            self.outdated_since = now
        return now - self.outdated_since


def object_age(
    watch: Watch,
    manifest: FetchedResponse,
    served: FetchedResponse,
    timer: OutdatedTagTimer,
    now: float,
) -> float | None:
    """Return how old the served object is, in seconds; None where that is unknown.

    Args:
        watch: how its age is judged.
        manifest: the answer to the request with no-cache.
        served: the answer that any reader would get.
        timer: since when a newer object has been out, for this target and watch.
        now: monotonic time in seconds.
    """
    if watch.dating == "none":
        return None
    is_same_object = not watch.manifest or watch.manifest == watch.object
    fresh_tag, served_tag = field(manifest.fields, b"etag"), field(served.fields, b"etag")
    modified = None
    if watch.dating == "last-modified":
        modified = parse_http_date(field(served.fields, b"last-modified"))
    if modified is None and watch.dating != "etag":
        if is_same_object and fresh_tag is not None and fresh_tag == served_tag:
            return 0.0
        modified = parse_http_date(field(served.fields, b"date"))
    server_time = parse_http_date(field(manifest.fields, b"date"))
    if modified is not None and server_time is not None:
        since_manifest = served.received_at - manifest.received_at
        return round(max(0.0, server_time + since_manifest - modified), 1)
    if not is_same_object:
        return None
    age = timer.age(fresh_tag, served_tag, now)
    return None if age is None else round(age, 1)
