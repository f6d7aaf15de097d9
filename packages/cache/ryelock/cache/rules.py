"""What of RFC 9111 a shared cache here does: storing, freshness, reuse, ranges, conditions.

Ages rest on the monotonic clock and on what the server said (Age, Expires against its own
Date), never on this machine's wall clock, which may be wrong by minutes. Stale copies are
never served, whatever max-stale asks.
"""

import re
from dataclasses import dataclass
from typing import NamedTuple

from ryelock.http import (
    Fields,
    RequestHead,
    ResponseHead,
    end_to_end,
    field,
    parse_http_date,
    tokens,
)
from ryelock.replicated_state import Route

KEPT_STATUSES = frozenset([200, 203, 300, 301, 308, 404, 410])
CONDITIONAL_FIELDS = frozenset(
    [
        b"range",
        b"if-range",
        b"if-none-match",
        b"if-modified-since",
        b"if-match",
        b"if-unmodified-since",
    ]
)
"""Request fields that are the caller's alone (RFC 9110, 13.1 and 14.2), in lower case."""
ONE_RANGE = re.compile(rb"bytes=(\d*)-(\d*)")
NOT_MODIFIED_FIELDS = frozenset(
    [
        b"etag",
        b"date",
        b"cache-control",
        b"expires",
        b"vary",
        b"last-modified",
        b"content-location",
        b"age",
    ]
)


class StoredResponse:
    """One stored answer."""

    __slots__ = (
        "age_then",
        "at",
        "body",
        "etag",
        "fields",
        "lifetime",
        "modified",
        "reason",
        "revalidate",
        "status",
        "vary",
    )

    def __init__(
        self,
        head: ResponseHead,
        fields: Fields,
        body: bytes,
        at: float,
        age_then: float,
        lifetime: float | None,
        vary: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Store an answer.

        Args:
            head: status line of the answer.
            fields: header fields to serve, without Age.
            body: the whole body.
            at: monotonic time at which the answer was complete.
            age_then: age of the answer in seconds at that moment.
            lifetime: freshness lifetime by the server in seconds, None where it gave none.
            vary: request fields that selected this answer, with their values.
        """
        self.status = head.status
        self.reason = head.reason
        self.fields = fields
        self.body = body
        self.at = at
        self.age_then = age_then
        self.lifetime = lifetime
        self.vary = vary
        self.etag = field(fields, b"etag")
        self.modified = field(fields, b"last-modified")
        self.revalidate = "no-cache" in directives(fields)

    def age(self, now: float) -> float:
        """Return the current age in seconds (RFC 9111, 4.2.3)."""
        return self.age_then + (now - self.at)

    @property
    def size(self) -> int:
        """Bytes that the copy counts for in the cache, with a flat charge for its objects."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.fields) + 500


def directives(fields: Fields) -> dict[str, str]:
    """Parse Cache-Control into directives; the first of two with one name counts."""
    found: dict[str, str] = {}
    for part in tokens(fields, b"cache-control"):
        name, _, value = part.decode("latin-1").partition("=")
        found.setdefault(name.strip(), value.strip().strip('"'))
    return found


def seconds_of(found: dict[str, str], name: str) -> float | None:
    """Return a directive's seconds: None where absent, 0 where malformed."""
    value = found.get(name)
    if value is None:
        return None
    return float(value) if value.isdigit() and len(value) < 12 else 0.0


def freshness(fields: Fields) -> float | None:
    """How long the server says an answer is fresh; None where it says nothing."""
    found = directives(fields)
    for name in ("s-maxage", "max-age"):
        seconds = seconds_of(found, name)
        if seconds is not None:
            return seconds
    expires = field(fields, b"expires")
    if expires is not None:
        until, dated = parse_http_date(expires), parse_http_date(field(fields, b"date"))
        return max(0.0, until - dated) if until is not None and dated is not None else 0.0
    return None


def vary_key(fields: Fields, names: list[bytes]) -> tuple[tuple[bytes, bytes], ...]:
    """Return the named request fields with their values, in a fixed order."""
    return tuple((name, field(fields, name) or b"") for name in sorted(set(names)))


def copy_of(
    request: RequestHead,
    route: Route,
    head: ResponseHead,
    fields: Fields,
    body: bytes,
    sent: float,
    now: float,
) -> StoredResponse | None:
    """The copy that may be kept of an answer, or None."""
    if not route.cached or request.method != b"GET" or head.status not in KEPT_STATUSES:
        return None
    said = directives(fields)
    if "no-store" in said or "private" in said or "no-store" in directives(request.fields):
        return None
    if field(fields, b"set-cookie") is not None:
        return None
    if field(request.fields, b"authorization") is not None and not (
        "public" in said or "s-maxage" in said or "must-revalidate" in said
    ):
        return None
    names = tokens(fields, b"vary")
    if b"*" in names:
        return None
    lifetime = freshness(fields)
    if lifetime is None and head.status not in (200, 203):
        return None
    given_age = field(fields, b"age")
    age = float(given_age) if given_age is not None and given_age.isdigit() else 0.0
    kept = [(name, value) for name, value in fields if name.lower() != b"age"]
    short = (lifetime is None and route.lifetime_seconds <= 0) or lifetime == 0.0
    if short and field(fields, b"etag") is None:
        return None
    return StoredResponse(
        head, kept, body, now, age + (now - sent), lifetime, vary_key(request.fields, names)
    )


def freshen(stored: StoredResponse, head: ResponseHead, sent: float, now: float) -> StoredResponse:
    """Return a stored response with the newer fields of a 304 (RFC 9111, 4.3.4).

    Args:
        stored: the response that its server says is unchanged.
        head: head of the 304.
        sent: monotonic time at which the validation was sent.
        now: monotonic time.
    """
    updated = {name.lower() for name, _ in head.fields}
    fields = [(name, value) for name, value in stored.fields if name.lower() not in updated]
    fields += [pair for pair in end_to_end(head.fields) if pair[0].lower() != b"age"]
    given_age = field(head.fields, b"age")
    age = float(given_age) if given_age is not None and given_age.isdigit() else 0.0
    lifetime = freshness(fields)
    return StoredResponse(
        ResponseHead(stored.status, stored.reason, 1, fields),
        fields,
        stored.body,
        now,
        age + (now - sent),
        stored.lifetime if lifetime is None else lifetime,
        stored.vary,
    )


def lifetime_under(copy: StoredResponse, route: Route) -> float:
    """The lifetime of a copy: the server's, but never above the route's."""
    if copy.lifetime is None:
        return route.lifetime_seconds
    if route.lifetime_seconds > 0:
        return min(copy.lifetime, route.lifetime_seconds)
    return copy.lifetime


def may_use(copy: StoredResponse, route: Route, request: Fields, now: float) -> bool:
    """Whether a copy may answer an order without asking the server."""
    asked = directives(request)
    if "no-cache" in asked or copy.revalidate:
        return False
    if not asked and field(request, b"pragma") == b"no-cache":
        return False
    left = lifetime_under(copy, route) - copy.age(now)
    most = seconds_of(asked, "max-age")
    least = seconds_of(asked, "min-fresh") or 0.0
    return left > least and (most is None or copy.age(now) <= most)


def same_etag(one: bytes, other: bytes) -> bool:
    """Compare two entity tags weakly (RFC 9110, 8.8.3.2)."""
    return one.removeprefix(b"W/") == other.removeprefix(b"W/")


def not_modified(copy: StoredResponse, request: Fields) -> bool:
    """Tell whether the request's conditions allow 304 (RFC 9110, 13.1.2 and 13.1.3)."""
    wanted = field(request, b"if-none-match")
    if wanted is not None:
        if wanted.strip() == b"*":
            return True
        return copy.etag is not None and any(
            same_etag(part.strip(), copy.etag) for part in wanted.split(b",")
        )
    since = parse_http_date(field(request, b"if-modified-since"))
    modified = parse_http_date(copy.modified)
    return since is not None and modified is not None and modified <= since


@dataclass(frozen=True, slots=True)
class Part:
    """A range of a body: from byte `start` up to before byte `end`; empty where unsatisfiable."""

    start: int
    end: int

    @property
    def satisfiable(self) -> bool:
        """Whether the range holds at least one byte (RFC 9110, 14.1.1)."""
        return self.start < self.end


UNSATISFIABLE = Part(0, 0)


def one_range(copy: StoredResponse, request: Fields) -> Part | None:
    """Return the range that is asked for; None for the whole body."""
    asked = field(request, b"range")
    found = ONE_RANGE.fullmatch(asked) if asked is not None else None
    if found is None or copy.status != 200 or (not found[1] and not found[2]):
        return None
    condition = field(request, b"if-range")
    if condition is not None and (
        condition.startswith(b"W/") or condition not in (copy.etag, copy.modified)
    ):
        return None
    size = len(copy.body)
    if not found[1]:
        return Part(max(0, size - int(found[2])), size)
    start = int(found[1])
    if found[2] and int(found[2]) < start:
        return None
    end = min(size, int(found[2]) + 1) if found[2] else size
    return Part(start, end) if start < size else UNSATISFIABLE


class CopyAnswer(NamedTuple):
    """What a copy answers to a request."""

    status: int
    reason: bytes
    fields: Fields
    body: bytes


def answer_from(copy: StoredResponse, request: RequestHead, now: float) -> CopyAnswer:
    """Return what a copy answers at monotonic time `now`: whole, in part, or not modified."""
    fields = [*copy.fields, (b"Age", b"%d" % int(copy.age(now)))]
    if copy.status == 200 and not_modified(copy, request.fields):
        kept = [pair for pair in fields if pair[0].lower() in NOT_MODIFIED_FIELDS]
        return CopyAnswer(304, b"", kept, b"")
    part = one_range(copy, request.fields)
    if part is None:
        return CopyAnswer(copy.status, copy.reason, fields, copy.body)
    size = len(copy.body)
    if not part.satisfiable:
        return CopyAnswer(416, b"", [(b"Content-Range", b"bytes */%d" % size)], b"")
    place = b"bytes %d-%d/%d" % (part.start, part.end - 1, size)
    body = copy.body[part.start : part.end]
    return CopyAnswer(206, b"", [*fields, (b"Content-Range", place)], body)
