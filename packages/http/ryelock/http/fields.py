"""Field lines of HTTP messages (RFC 9110, section 5), kept as the bytes that came.

Names keep their case and order, so that what is forwarded is what arrived; they are compared in
lower case. circuits.web's field reading is not used: it decodes `unicode_escape`, which turns a
backslash and an n in a value into a line feed, and folds continuation lines.
"""

import re
from email.utils import formatdate, parsedate_to_datetime

from ryelock.http.errors import MalformedMessageError

Fields = list[tuple[bytes, bytes]]
"""Names and values in the order in which they came or are sent."""

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
"""A token (RFC 9110, section 5.6.2)."""
FIELD_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
"""A field value: no control characters but the tab (RFC 9110, section 5.5)."""
HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
"""Fields that belong to one connection and are not forwarded (RFC 9110, section 7.6.1)."""
FORWARDED_THOUGH_NAMED = frozenset([b"host", b"content-type", b"cache-control", b"authorization"])
"""Fields that are forwarded even where Connection names them.

A sender that names them there would have an intermediary strip what routing, caching and
authorization rest on.
"""


def field(fields: Fields, name: bytes) -> bytes | None:
    """Return all values of a field, joined by commas (RFC 9110, section 5.3); None without one.

    Args:
        fields: the fields of a message.
        name: the field's name in lower case.
    """
    # Comparing lengths first spares most names the copy in lower case: a hot path.
    length = len(name)
    values = [value for key, value in fields if len(key) == length and key.lower() == name]
    return b", ".join(values) if values else None


def tokens(fields: Fields, name: bytes) -> list[bytes]:
    """Return the members of a field that is a comma-separated list, in lower case."""
    value = field(fields, name)
    if value is None:
        return []
    return [part.strip().lower() for part in value.split(b",") if part.strip()]


def parse_fields(lines: list[bytes]) -> Fields:
    """Return the fields of a head's lines after the first (RFC 9112, section 5).

    Raises:
        MalformedMessageError: a line is folded, or its name or value breaks the grammar.
    """
    fields: Fields = []
    for line in lines:
        if line[:1] in (b" ", b"\t"):
            raise MalformedMessageError("folded field line")
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            raise MalformedMessageError("malformed field name")
        value = value.strip(b" \t")
        if not FIELD_VALUE.fullmatch(value):
            raise MalformedMessageError("control character in a field")
        fields.append((name, value))
    return fields


def end_to_end(fields: Fields) -> Fields:
    """Return the fields that are forwarded (RFC 9110, section 7.6.1).

    Hop-by-hop fields, those that Connection names, and Content-Length are left out: the sender of
    the forwarded message frames it anew.
    """
    named = set(tokens(fields, b"connection"))
    dropped = HOP_BY_HOP | named | {b"content-length"}
    forwarded = named & FORWARDED_THOUGH_NAMED
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in dropped or name.lower() in forwarded
    ]


def http_date(wall: float) -> bytes:
    """Return seconds since 1970 as a date of HTTP (IMF-fixdate, RFC 9110, section 5.6.7)."""
    return formatdate(wall, usegmt=True).encode()


def parse_http_date(value: bytes | None) -> float | None:
    """Return a date as seconds since 1970; None where there is none or it cannot be read."""
    if value is None:
        return None
    try:
        return parsedate_to_datetime(value.decode("latin-1")).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
