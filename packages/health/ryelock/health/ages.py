"""Age of a served object, by the server's own clock where the response carries a date.

The Date of the no-cache response gives the server's current time, so a wrong clock of the prober or
the edge cannot make an object look old. A current ETag takes precedence over Date, since the clocks
of a service's servers may differ. Without a date, the prober measures on its monotonic clock how
long a newer ETag has been available. Otherwise the age is unknown, which is not a failure.
"""

from dataclasses import dataclass

from ryelock.http import Fields, field, parse_http_date
from ryelock.replicated_state import Watch


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """Response to one fetch of a probe.

    Attributes:
        status: HTTP status.
        fields: header fields.
        body_start: the first MARKED_BYTES bytes of the body, or more.
        received_at: monotonic time in seconds at which the head was received.
    """

    status: int
    fields: Fields
    body_start: bytes
    received_at: float


class OutdatedTagTimer:
    """Measures how long a target has served an outdated ETag."""

    __slots__ = ("outdated_since",)

    def __init__(self) -> None:
        """Create a timer that is not running."""
        self.outdated_since: float | None = None

    def age(self, fresh: bytes | None, served: bytes | None, now: float) -> float | None:
        """Return how many seconds the served ETag has been outdated; None without both ETags."""
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
    """Return the age of the served object in seconds, None if unknown.

    Args:
        watch: the watch, whose `dating` selects the method.
        manifest: response to the request with Cache-Control: no-cache.
        served: response to the plain request for the object.
        timer: ETag timer of this target and watch.
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
