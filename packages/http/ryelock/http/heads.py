"""Parsing of message heads: the start line and the field lines, preserved byte for byte.

Only request lines are parsed by circuits.web's HttpParser, and reason phrases come from its table
of status codes. The rest of its parser is not used: it upper-cases methods, decompresses bodies,
and rejects responses whose reason phrase contains a hyphen. See also `fields`.
"""

import re

from circuits.web.constants import HTTP_STATUS_CODES
from circuits.web.parsers.http import HttpParser, InvalidRequestLine

from ryelock.http.errors import (
    MalformedMessageError,
    MalformedStatusLineError,
    NotImplementedByServerError,
    UnknownVersionError,
)
from ryelock.http.fields import TOKEN, Fields, parse_fields

REQUEST_TARGET = re.compile(rb"[\x21-\x7e\x80-\xff]+")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")


class RequestLineParser(HttpParser):  # type: ignore[misc]
    """Exposes circuits.web's parser of request lines."""

    __slots__ = ()

    def check(self, line: str) -> None:
        """Check a request line.

        Raises:
            InvalidRequestLine: the line is malformed.
            ValueError: its target is not a valid URL.
        """
        self._parse_request_line(line)


class RequestHead:
    """The head of a request.

    Attributes:
        method: the method as received; methods are case-sensitive (RFC 9110, section 9.1).
        target: the request target, not percent-decoded.
        minor: the minor HTTP version, 0 or 1.
        fields: the field lines in the order received.
    """

    __slots__ = ("fields", "method", "minor", "target")

    def __init__(self, method: bytes, target: bytes, minor: int, fields: Fields) -> None:
        """Create a head; see the attributes."""
        self.method = method
        self.target = target
        self.minor = minor
        self.fields = fields


class ResponseHead:
    """The head of a response.

    Attributes:
        status: the status code, 100 to 999.
        reason: the reason phrase; may be empty.
        minor: the minor HTTP version, 0 or 1.
        fields: the field lines in the order received.
    """

    __slots__ = ("fields", "minor", "reason", "status")

    def __init__(self, status: int, reason: bytes, minor: int, fields: Fields) -> None:
        """Create a head; see the attributes."""
        self.status = status
        self.reason = reason
        self.minor = minor
        self.fields = fields


def parse_request_head(head: bytes) -> RequestHead:
    """Parse the head of a request.

    Args:
        head: the bytes up to, but not including, the terminating empty line.

    Raises:
        FramingError: the head is malformed (RFC 9112, sections 3 and 5), its version or method
            is not supported, or it has several Host fields, or none in HTTP/1.1 (RFC 9112,
            section 3.2).
    """
    lines = split_lines(head)
    method, target, minor = parse_request_line(lines[0])
    fields = parse_fields(lines[1:])
    check_host(minor, fields)
    check_target(method, target)
    return RequestHead(method, target, minor, fields)


def parse_response_head(head: bytes) -> ResponseHead:
    """Parse the head of a response.

    Args:
        head: the bytes up to, but not including, the terminating empty line.

    Raises:
        FramingError: the head is malformed (RFC 9112, sections 4 and 5).
    """
    lines = split_lines(head)
    match = STATUS_LINE.fullmatch(lines[0])
    if match is None:
        raise MalformedStatusLineError
    minor, status, reason = match.groups()
    return ResponseHead(int(status), reason or b"", int(minor), parse_fields(lines[1:]))


def split_lines(head: bytes) -> list[bytes]:
    """Split a head into its lines.

    Raises:
        MalformedMessageError: the head contains a bare CR or LF. RFC 9112, section 2.2, lets a
            recipient accept a bare LF as a line terminator. A recipient that accepts it and one
            that does not would parse different fields, which allows request smuggling.
    """
    lines = head.split(b"\r\n")
    if any(b"\r" in line or b"\n" in line for line in lines):
        raise MalformedMessageError("bare CR or LF")
    return lines


def parse_request_line(line: bytes) -> tuple[bytes, bytes, int]:
    """Return the method, target and minor version of a request line (RFC 9112, section 3).

    Raises:
        FramingError: the line is malformed, or its version or method is not supported.
    """
    parts = line.split(b" ")
    if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not REQUEST_TARGET.fullmatch(parts[1]):
        raise MalformedMessageError("malformed first line")
    method, target, version = parts
    if version not in (b"HTTP/1.1", b"HTTP/1.0"):
        if version.startswith(b"HTTP/"):
            raise UnknownVersionError
        raise MalformedMessageError("unknown version")
    if method == b"CONNECT":
        raise NotImplementedByServerError("CONNECT is not served")
    try:
        RequestLineParser(0, False).check(line.decode("latin-1"))
    except (InvalidRequestLine, ValueError) as error:
        raise MalformedMessageError("malformed first line") from error
    return method, target, 1 if version == b"HTTP/1.1" else 0


def check_host(minor: int, fields: Fields) -> None:
    """Check that a request has one Host field, optional in HTTP/1.0 (RFC 9112, section 3.2).

    Raises:
        MalformedMessageError: the request has several Host fields, or none in HTTP/1.1.
    """
    host_count = sum(1 for name, _ in fields if name.lower() == b"host")
    if host_count > 1 or (minor == 1 and not host_count):
        raise MalformedMessageError("not exactly one Host")


def check_target(method: bytes, target: bytes) -> None:
    """Check that a target is in origin, absolute or asterisk form (RFC 9112, section 3.2).

    Raises:
        MalformedMessageError: the target is in none of these forms.
    """
    if target.startswith(b"/") or (target == b"*" and method == b"OPTIONS"):
        return
    if not target[:8].lower().startswith((b"http://", b"https://")):
        raise MalformedMessageError("malformed target")


def reason_phrase(status: int) -> bytes:
    """Return the registered reason phrase of a status code; empty for an unknown code."""
    return str(HTTP_STATUS_CODES.get(status, "")).encode()
