"""Heads of requests and responses: first line and fields, kept as the bytes that came.

circuits.web's HttpParser reads request lines and its table of status codes names them. The rest
of it is not used: it upper-cases methods and opens compressed bodies, and its reading of responses
rejects reasons with a hyphen in them. See also `fields`.
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
    """circuits.web's parser, of which only the reading of the request line is used."""

    __slots__ = ()

    def read(self, line: str) -> None:
        """Check a request line; raises InvalidRequestLine or ValueError."""
        self._parse_request_line(line)


class RequestHead:
    """The head of a request.

    Attributes:
        method: as it came; methods are case-sensitive (RFC 9110, section 9.1).
        target: the request target, not decoded.
        minor: the minor version, 0 or 1.
        fields: the field lines in their order.
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
        reason: the reason phrase, perhaps empty.
        minor: the minor version, 0 or 1.
        fields: the field lines in their order.
    """

    __slots__ = ("fields", "minor", "reason", "status")

    def __init__(self, status: int, reason: bytes, minor: int, fields: Fields) -> None:
        """Create a head; see the attributes."""
        self.status = status
        self.reason = reason
        self.minor = minor
        self.fields = fields


def parse_request_head(head: bytes) -> RequestHead:
    """Return the head of a request from its bytes without the last empty line.

    Raises:
        FramingError: the head is malformed (RFC 9112, sections 3 and 5), its version or method
            is not served, or it has not exactly one Host (RFC 9112, section 3.2).
    """
    lines = split_lines(head)
    method, target, minor = parse_request_line(lines[0])
    fields = parse_fields(lines[1:])
    check_host(minor, fields)
    check_target(method, target)
    return RequestHead(method, target, minor, fields)


def parse_response_head(head: bytes) -> ResponseHead:
    """Return the head of a response from its bytes without the last empty line.

    Raises:
        FramingError: the head is malformed (RFC 9112, sections 4 and 5).
    """
    lines = split_lines(head)
    found = STATUS_LINE.fullmatch(lines[0])
    if found is None:
        raise MalformedStatusLineError
    minor, status, reason = found.groups()
    return ResponseHead(int(status), reason or b"", int(minor), parse_fields(lines[1:]))


def split_lines(head: bytes) -> list[bytes]:
    """Return the lines of a head.

    Raises:
        MalformedMessageError: a CR or LF stands alone. RFC 9112, section 2.2, lets a recipient
            take an LF alone for a line's end; another one on the way may not, and both would see
            different fields (request smuggling).
    """
    lines = head.split(b"\r\n")
    if any(b"\r" in line or b"\n" in line for line in lines):
        raise MalformedMessageError("bare CR or LF")
    return lines


def parse_request_line(line: bytes) -> tuple[bytes, bytes, int]:
    """Return method, target and minor version of a request line (RFC 9112, section 3).

    Raises:
        FramingError: the line is malformed, or its version or method is not served.
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
        RequestLineParser(0, False).read(line.decode("latin-1"))
    except (InvalidRequestLine, ValueError) as error:
        raise MalformedMessageError("malformed first line") from error
    return method, target, 1 if version == b"HTTP/1.1" else 0


def check_host(minor: int, fields: Fields) -> None:
    """Check that a request has one Host, or in HTTP/1.0 perhaps none (RFC 9112, section 3.2).

    Raises:
        MalformedMessageError: it has several, or none in HTTP/1.1.
    """
    hosts = sum(1 for name, _ in fields if name.lower() == b"host")
    if hosts > 1 or (minor == 1 and not hosts):
        raise MalformedMessageError("not exactly one Host")


def check_target(method: bytes, target: bytes) -> None:
    """Check that a target is in origin, absolute or asterisk form (RFC 9112, section 3.2).

    Raises:
        MalformedMessageError: it is in none of them.
    """
    if target.startswith(b"/") or (target == b"*" and method == b"OPTIONS"):
        return
    if not target[:8].lower().startswith((b"http://", b"https://")):
        raise MalformedMessageError("malformed target")


def reason_of(status: int) -> bytes:
    """Return the usual reason phrase of a status; empty for an unknown one."""
    return str(HTTP_STATUS_CODES.get(status, "")).encode()
