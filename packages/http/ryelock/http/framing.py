"""How the body of a message is delimited and whether its connection stays open (RFC 9112, 6, 9).

Whatever two recipients on the way could read differently is an error: request smuggling rests on
such messages (RFC 9112, section 11.2).
"""

import re

from ryelock.http.errors import MalformedMessageError, NotImplementedByServerError
from ryelock.http.fields import Fields, field, tokens

CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")


def content_length(fields: Fields) -> int | None:
    """Return the length in bytes that Content-Length gives; None without the field.

    Raises:
        MalformedMessageError: it is no number, or several differ (RFC 9112, section 6.3).
    """
    value = field(fields, b"content-length")
    if value is None:
        return None
    lengths = {part.strip() for part in value.split(b",")}
    if len(lengths) != 1:
        raise MalformedMessageError("differing lengths")
    (length,) = lengths
    if not CONTENT_LENGTH.fullmatch(length):
        raise MalformedMessageError("malformed length")
    return int(length)


def is_chunked(fields: Fields, minor: int) -> bool:
    """Return whether a body comes in chunks (RFC 9112, section 6.1).

    Raises:
        MalformedMessageError: a transfer coding in HTTP/1.0, or beside a length.
        NotImplementedByServerError: another transfer coding than chunked alone.
    """
    if field(fields, b"transfer-encoding") is None:
        return False
    if minor == 0:
        raise MalformedMessageError("transfer coding in HTTP/1.0")
    if field(fields, b"content-length") is not None:
        raise MalformedMessageError("both a length and a transfer coding")
    if tokens(fields, b"transfer-encoding") != [b"chunked"]:
        raise NotImplementedByServerError("unknown transfer coding")
    return True


def keeps_open(fields: Fields, minor: int) -> bool:
    """Return whether the sender keeps the connection open (RFC 9112, section 9.3)."""
    options = tokens(fields, b"connection")
    if b"close" in options:
        return False
    return minor == 1 or b"keep-alive" in options
