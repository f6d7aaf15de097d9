"""Complete, partial and not-modified responses from a stored response (RFC 9110, 13 and 14)."""

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
"""Conditional and range request fields (RFC 9110, 13.1 and 14.2), in lower case.

They apply to a single client's request and must not affect a shared fetch.
"""
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
"""Fields of a 304 response (RFC 9110, 15.4.5), in lower case."""
SINGLE_RANGE = re.compile(rb"bytes=(\d*)-(\d*)")
"""Several ranges are not supported; such a request gets the complete body (RFC 9110, 14.2)."""


def weakly_equal(one: bytes, other: bytes) -> bool:
    """Return True if two entity tags match by weak comparison (RFC 9110, 8.8.3.2)."""
    return one.removeprefix(b"W/") == other.removeprefix(b"W/")


def is_not_modified(stored: StoredResponse, request: Fields) -> bool:
    """Return True if the request's conditions call for 304 (RFC 9110, 13.1.2 and 13.1.3)."""
    if_none_match = field(request, b"if-none-match")
    if if_none_match is not None:
        if if_none_match.strip() == b"*":
            return True
        return stored.etag is not None and any(
            weakly_equal(tag.strip(), stored.etag) for tag in if_none_match.split(b",")
        )
    modified_since = parse_http_date(field(request, b"if-modified-since"))
    modified_at = parse_http_date(stored.last_modified)
    return modified_since is not None and modified_at is not None and modified_at <= modified_since


@dataclass(frozen=True, slots=True)
class ByteRange:
    """A half-open range of bytes from `start` to `end`; empty if unsatisfiable."""

    start: int
    end: int

    @property
    def satisfiable(self) -> bool:
        """Return True if the range contains at least one byte (RFC 9110, 14.1.1)."""
        return self.start < self.end


UNSATISFIABLE = ByteRange(0, 0)


def requested_range(stored: StoredResponse, request: Fields) -> ByteRange | None:
    """Return the requested range (RFC 9110, 14.2); None for the complete body."""
    value = field(request, b"range")
    match = SINGLE_RANGE.fullmatch(value) if value is not None else None
    if match is None or stored.status != 200 or (not match[1] and not match[2]):
        return None
    if_range = field(request, b"if-range")
    # If-Range requires strong comparison (RFC 9110, 13.1.5).
    if if_range is not None and (
        if_range.startswith(b"W/") or if_range not in (stored.etag, stored.last_modified)
    ):
        return None
    size = len(stored.body)
    if not match[1]:
        return ByteRange(max(0, size - int(match[2])), size)
    start = int(match[1])
    if match[2] and int(match[2]) < start:
        return None
    end = min(size, int(match[2]) + 1) if match[2] else size
    return ByteRange(start, end) if start < size else UNSATISFIABLE


class ServedResponse(NamedTuple):
    """A response built from a stored one."""

    status: int
    reason: bytes
    fields: Fields
    body: bytes


def answer_from(stored: StoredResponse, request: RequestHead, now: float) -> ServedResponse:
    """Build the response to a request from a stored one; `now` in monotonic seconds."""
    fields = [*stored.fields, (b"Age", b"%d" % int(stored.age(now)))]
    if stored.status == 200 and is_not_modified(stored, request.fields):
        fields_of_304 = [pair for pair in fields if pair[0].lower() in NOT_MODIFIED_FIELDS]
        return ServedResponse(304, b"", fields_of_304, b"")
    byte_range = requested_range(stored, request.fields)
    if byte_range is None:
        return ServedResponse(stored.status, stored.reason, fields, stored.body)
    size = len(stored.body)
    if not byte_range.satisfiable:
        return ServedResponse(416, b"", [(b"Content-Range", b"bytes */%d" % size)], b"")
    content_range = b"bytes %d-%d/%d" % (byte_range.start, byte_range.end - 1, size)
    body = stored.body[byte_range.start : byte_range.end]
    return ServedResponse(206, b"", [*fields, (b"Content-Range", content_range)], body)
