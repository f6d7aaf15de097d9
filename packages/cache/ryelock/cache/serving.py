"""What a stored response answers: whole, in part, or not modified (RFC 9110, 13 and 14)."""

import re
from dataclasses import dataclass
from typing import NamedTuple

from ryelock.cache.stored_response import StoredResponse
from ryelock.http import Fields, RequestHead, field, parse_http_date

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
"""Request fields that concern one caller alone (RFC 9110, 13.1 and 14.2), in lower case."""
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
"""Fields that go with 304 (RFC 9110, 15.4.5), in lower case."""
SINGLE_RANGE = re.compile(rb"bytes=(\d*)-(\d*)")
"""A request for several ranges gets the whole body (RFC 9110, 14.2)."""


def same_etag(one: bytes, other: bytes) -> bool:
    """Compare two entity tags weakly (RFC 9110, 8.8.3.2)."""
    return one.removeprefix(b"W/") == other.removeprefix(b"W/")


def not_modified(stored: StoredResponse, request: Fields) -> bool:
    """Tell whether the request's conditions allow 304 (RFC 9110, 13.1.2 and 13.1.3)."""
    wanted = field(request, b"if-none-match")
    if wanted is not None:
        if wanted.strip() == b"*":
            return True
        return stored.etag is not None and any(
            same_etag(tag.strip(), stored.etag) for tag in wanted.split(b",")
        )
    since = parse_http_date(field(request, b"if-modified-since"))
    modified = parse_http_date(stored.last_modified)
    return since is not None and modified is not None and modified <= since


@dataclass(frozen=True, slots=True)
class ByteRange:
    """A range of a body: from byte `start` up to before byte `end`; empty where unsatisfiable."""

    start: int
    end: int

    @property
    def satisfiable(self) -> bool:
        """Whether the range holds at least one byte (RFC 9110, 14.1.1)."""
        return self.start < self.end


UNSATISFIABLE = ByteRange(0, 0)


def requested_range(stored: StoredResponse, request: Fields) -> ByteRange | None:
    """Return the range that is asked for (RFC 9110, 14.2); None for the whole body."""
    asked = field(request, b"range")
    found = SINGLE_RANGE.fullmatch(asked) if asked is not None else None
    if found is None or stored.status != 200 or (not found[1] and not found[2]):
        return None
    condition = field(request, b"if-range")
    # If-Range compares strongly (RFC 9110, 13.1.5).
    if condition is not None and (
        condition.startswith(b"W/") or condition not in (stored.etag, stored.last_modified)
    ):
        return None
    size = len(stored.body)
    if not found[1]:
        return ByteRange(max(0, size - int(found[2])), size)
    start = int(found[1])
    if found[2] and int(found[2]) < start:
        return None
    end = min(size, int(found[2]) + 1) if found[2] else size
    return ByteRange(start, end) if start < size else UNSATISFIABLE


class StoredAnswer(NamedTuple):
    """What a stored response answers to a request."""

    status: int
    reason: bytes
    fields: Fields
    body: bytes


def answer_from(stored: StoredResponse, request: RequestHead, now: float) -> StoredAnswer:
    """Return what a stored response answers at monotonic time `now` in seconds."""
    fields = [*stored.fields, (b"Age", b"%d" % int(stored.age(now)))]
    if stored.status == 200 and not_modified(stored, request.fields):
        kept = [pair for pair in fields if pair[0].lower() in NOT_MODIFIED_FIELDS]
        return StoredAnswer(304, b"", kept, b"")
    wanted = requested_range(stored, request.fields)
    if wanted is None:
        return StoredAnswer(stored.status, stored.reason, fields, stored.body)
    size = len(stored.body)
    if not wanted.satisfiable:
        return StoredAnswer(416, b"", [(b"Content-Range", b"bytes */%d" % size)], b"")
    content_range = b"bytes %d-%d/%d" % (wanted.start, wanted.end - 1, size)
    body = stored.body[wanted.start : wanted.end]
    return StoredAnswer(206, b"", [*fields, (b"Content-Range", content_range)], body)
