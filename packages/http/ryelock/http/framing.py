"""Message framing and connection persistence (RFC 9112, sections 6 and 9).

Framing that two recipients could interpret differently is rejected: such ambiguity allows request
smuggling (RFC 9112, section 11.2).
"""

import re

from ryelock.http.errors import MalformedMessageError, NotImplementedByServerError
from ryelock.http.fields import Fields, field, tokens

CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")


def content_length(fields: Fields) -> int | None:
    """Return the value of Content-Length in bytes; None without the field.

    Raises:
        MalformedMessageError: the value is not a number, or several values differ (RFC 9112,
            section 6.3).
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
    """Return True if a body has the chunked transfer coding (RFC 9112, section 6.1).

    Raises:
        MalformedMessageError: the message has a transfer coding in HTTP/1.0 or together with a
            Content-Length.
        NotImplementedByServerError: the transfer coding is not exactly "chunked".
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


def is_persistent(fields: Fields, minor: int) -> bool:
    """Return True if the sender keeps the connection open (RFC 9112, section 9.3)."""
    options = tokens(fields, b"connection")
    if b"close" in options:
        return False
    return minor == 1 or b"keep-alive" in options
