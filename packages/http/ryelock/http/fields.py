"""Field lines of HTTP messages (RFC 9110, section 5), preserved byte for byte.

Names keep their case and order, so that fields are forwarded as received; they are compared in
lower case. circuits.web's parser of fields is not used: it decodes `unicode_escape`, which turns a
backslash followed by n in a value into a line feed, and it joins folded lines.
"""

import re
from email.utils import formatdate, parsedate_to_datetime

from ryelock.http.errors import MalformedMessageError

Fields = list[tuple[bytes, bytes]]
"""Pairs of name and value in the order in which they are received or sent."""

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
"""A token (RFC 9110, section 5.6.2)."""
FIELD_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
"""A field value: no control characters except tab (RFC 9110, section 5.5)."""
HOP_BY_HOP_FIELDS = frozenset(
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
"""Fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1)."""
ALWAYS_FORWARDED_FIELDS = frozenset([b"host", b"content-type", b"cache-control", b"authorization"])
"""Fields that are forwarded even if Connection lists them.

Otherwise a client could make this proxy strip fields that routing, caching and authorization
depend on.
"""


def field(fields: Fields, name: bytes) -> bytes | None:
    """Return the values of a field, joined by commas (RFC 9110, section 5.3); None if absent.

    Args:
        fields: the fields of a message.
        name: the field's name in lower case.
    """
    # Hot path: comparing lengths first avoids lower-casing most names.
    length = len(name)
    values = [value for key, value in fields if len(key) == length and key.lower() == name]
    return b", ".join(values) if values else None


def tokens(fields: Fields, name: bytes) -> list[bytes]:
    """Return the non-empty members of a comma-separated field in lower case."""
    value = field(fields, name)
    if value is None:
        return []
    return [part.strip().lower() for part in value.split(b",") if part.strip()]


def parse_fields(lines: list[bytes]) -> Fields:
    """Parse the field lines of a head (RFC 9112, section 5).

    Raises:
        MalformedMessageError: a line is folded, or its name or value is malformed.
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
    """Return the fields that a proxy forwards (RFC 9110, section 7.6.1).

    Hop-by-hop fields, fields listed by Connection, and Content-Length are omitted: the forwarded
    message gets its own framing.
    """
    listed = set(tokens(fields, b"connection"))
    dropped = HOP_BY_HOP_FIELDS | listed | {b"content-length"}
    forwarded = listed & ALWAYS_FORWARDED_FIELDS
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in dropped or name.lower() in forwarded
    ]


def http_date(wall_time: float) -> bytes:
    """Format Unix time in seconds as an HTTP date (IMF-fixdate, RFC 9110, section 5.6.7)."""
    return formatdate(wall_time, usegmt=True).encode()


def parse_http_date(value: bytes | None) -> float | None:
    """Parse an HTTP date to Unix time in seconds; return None if absent or malformed."""
    if value is None:
        return None
    try:
        return parsedate_to_datetime(value.decode("latin-1")).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
