"""Heads of orders and answers, kept as the bytes that came.

circuits.web's HttpParser reads first lines of orders and its table of status codes names
them. Its field reading is not used: it decodes `unicode_escape`, which turns a backslash and
an n in a value into a line feed, folds continuation lines, upper-cases methods and opens
compressed bodies; its reading of answers declines reasons with a hyphen in them. Bytes go
before the house style here.
"""

import re
from email.utils import formatdate, parsedate_to_datetime

from circuits.web.constants import HTTP_STATUS_CODES
from circuits.web.parsers.http import HttpParser, InvalidRequestLine

Fields = list[tuple[bytes, bytes]]

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
TARGET = re.compile(rb"[\x21-\x7e\x80-\xff]+")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
HOP = frozenset(
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


class FramingError(Exception):
    """A message whose bounds or head are not beyond doubt."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class FirstLine(HttpParser):  # type: ignore[misc]
    """circuits.web's reading of the first line of an order."""

    __slots__ = ()

    def read(self, line: str) -> None:
        self._parse_request_line(line)


class RequestHead:
    __slots__ = ("fields", "method", "minor", "target")

    def __init__(self, method: bytes, target: bytes, minor: int, fields: Fields) -> None:
        self.method = method
        self.target = target
        self.minor = minor
        self.fields = fields


class ResponseHead:
    __slots__ = ("fields", "minor", "reason", "status")

    def __init__(self, status: int, reason: bytes, minor: int, fields: Fields) -> None:
        self.status = status
        self.reason = reason
        self.minor = minor
        self.fields = fields


def field(fields: Fields, name: bytes) -> bytes | None:
    """All values under a name, joined as RFC 9110 allows; None when there is none."""
    found = [value for key, value in fields if key.lower() == name]
    return b", ".join(found) if found else None


def tokens(fields: Fields, name: bytes) -> list[bytes]:
    found = field(fields, name)
    if found is None:
        return []
    return [part.strip().lower() for part in found.split(b",") if part.strip()]


def read_fields(lines: list[bytes]) -> Fields:
    fields: Fields = []
    for line in lines:
        if line[:1] in (b" ", b"\t"):
            raise FramingError(400, "folded field line")
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            raise FramingError(400, "malformed field name")
        value = value.strip(b" \t")
        if not VALUE.fullmatch(value):
            raise FramingError(400, "control character in a field")
        fields.append((name, value))
    return fields


def split_lines(head: bytes) -> list[bytes]:
    lines = head.split(b"\r\n")
    if any(b"\r" in line or b"\n" in line for line in lines):
        raise FramingError(400, "bare CR or LF")
    return lines


def parse_request_head(head: bytes) -> RequestHead:
    """The head of an order without its last empty line; raises FramingError."""
    lines = split_lines(head)
    parts = lines[0].split(b" ")
    if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
        raise FramingError(400, "malformed first line")
    method, target, version = parts
    if version not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise FramingError(505 if version.startswith(b"HTTP/") else 400, "unknown version")
    if method == b"CONNECT":
        raise FramingError(501, "CONNECT is not served")
    try:
        FirstLine(0, False).read(lines[0].decode("latin-1"))
    except (InvalidRequestLine, ValueError) as error:
        raise FramingError(400, "malformed first line") from error
    fields = read_fields(lines[1:])
    minor = 1 if version == b"HTTP/1.1" else 0
    hosts = [value for name, value in fields if name.lower() == b"host"]
    if len(hosts) > 1 or (minor == 1 and not hosts):
        raise FramingError(400, "not exactly one Host")
    if not target.startswith(b"/") and not (target == b"*" and method == b"OPTIONS"):
        lowered = target[:8].lower()
        if not lowered.startswith((b"http://", b"https://")):
            raise FramingError(400, "malformed target")
    return RequestHead(method, target, minor, fields)


def parse_response_head(head: bytes) -> ResponseHead:
    lines = split_lines(head)
    found = STATUS_LINE.fullmatch(lines[0])
    if found is None:
        raise FramingError(502, "malformed status line")
    return ResponseHead(int(found[2]), found[3] or b"", int(found[1]), read_fields(lines[1:]))


def content_length(fields: Fields) -> int | None:
    found = field(fields, b"content-length")
    if found is None:
        return None
    parts = {part.strip() for part in found.split(b",")}
    if len(parts) != 1:
        raise FramingError(400, "differing lengths")
    (only,) = parts
    if not re.fullmatch(rb"[0-9]{1,18}", only):
        raise FramingError(400, "malformed length")
    return int(only)


def is_chunked(fields: Fields, minor: int) -> bool:
    codings = tokens(fields, b"transfer-encoding")
    if field(fields, b"transfer-encoding") is None:
        return False
    if minor == 0:
        raise FramingError(400, "transfer coding in HTTP/1.0")
    if field(fields, b"content-length") is not None:
        raise FramingError(400, "both a length and a transfer coding")
    if codings != [b"chunked"]:
        raise FramingError(501, "unknown transfer coding")
    return True


def keeps_open(fields: Fields, minor: int) -> bool:
    said = tokens(fields, b"connection")
    if b"close" in said:
        return False
    return minor == 1 or b"keep-alive" in said


def end_to_end(fields: Fields) -> Fields:
    """Fields that are passed on: no hop-by-hop ones, no framing."""
    named = set(tokens(fields, b"connection"))
    dropped = HOP | named | {b"content-length"}
    kept = {b"host", b"content-type", b"cache-control", b"authorization"}
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in dropped or (name.lower() in named & kept)
    ]


def reason_of(status: int) -> bytes:
    return str(HTTP_STATUS_CODES.get(status, "")).encode()


def http_date(wall: float) -> bytes:
    return formatdate(wall, usegmt=True).encode()


def parse_http_date(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return parsedate_to_datetime(value.decode("latin-1")).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
