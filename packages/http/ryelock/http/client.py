"""The HTTP client, for requests to servers and probed edges, and for the operator's tools.

A response with neither a Content-Length nor the chunked coding is rejected: a server that crashed
in the middle of its body could not be distinguished from one that finished.
"""

from expression import Error, Ok, Result

from ryelock.http.body import Body
from ryelock.http.errors import (
    ClientError,
    FramingError,
    IncompleteMessageError,
    NotConnectedError,
    ReadTimeoutError,
    ResponseCutError,
    ResponseTimeoutError,
    UnusableResponseError,
)
from ryelock.http.fields import Fields
from ryelock.http.framing import content_length, is_chunked, is_persistent
from ryelock.http.heads import ResponseHead, parse_response_head
from ryelock.http.reader import Reader
from ryelock.http.statuses import NO_CONTENT, NOT_MODIFIED, OK, PROCESSING, SWITCHING_PROTOCOLS
from ryelock.runtime import Connection, Network, Scheduler

MAX_HEAD_BYTES = 65_536
"""Limit of a response head read by `fetch`."""
MAX_BODY_BYTES = 16_777_216
"""Default limit of a response body read by `fetch`."""
METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE")
"""Methods that need no Content-Length if the body is empty (RFC 9110, section 8.6)."""


class Response:
    """A response whose body is still unread.

    Attributes:
        head: the head of the response.
        body: the unread body; empty if the response has none.
        length: the value of Content-Length; for HEAD and 304, of a body that is not sent.
        keep_alive: True if the connection can be reused after the body was read.
    """

    __slots__ = ("body", "head", "keep_alive", "length")

    def __init__(
        self, head: ResponseHead, body: Body, length: int | None, keep_alive: bool
    ) -> None:
        """Create a response; see the attributes."""
        self.head = head
        self.body = body
        self.length = length
        self.keep_alive = keep_alive


def send_request(
    connection: Connection, method: bytes, target: bytes, fields: Fields, body: bytes
) -> None:
    """Write a request; Content-Length is added to the fields where needed."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [name + b": " + value for name, value in fields]
    if body or method not in METHODS_WITHOUT_BODY:
        lines.append(b"Content-Length: %d" % len(body))
    connection.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


async def read_response(
    reader: Reader,
    method: bytes,
    max_head_bytes: int,
    deadline: float,
    processing_deadline: float = 0.0,
) -> Result[Response, ClientError]:
    """Read the head of the final response, skipping interim responses.

    Args:
        reader: reads from the connection.
        method: the method of the request.
        max_head_bytes: limit of the head.
        deadline: for receiving the head, in monotonic seconds.
        processing_deadline: replaces an earlier `deadline` once 102 reports that the request is
            being processed.
    """
    try:
        head = await read_final_head(reader, max_head_bytes, deadline, processing_deadline)
        if head.status == SWITCHING_PROTOCOLS:
            return Error(UnusableResponseError("protocol switched unasked"))
        return new_response(reader, method, head)
    except FramingError as error:
        return Error(UnusableResponseError(error.reason))
    except IncompleteMessageError:
        return Error(ResponseCutError("link ended before the answer"))
    except ReadTimeoutError:
        return Error(ResponseTimeoutError("no answer in time"))


async def read_final_head(
    reader: Reader, max_head_bytes: int, deadline: float, processing_deadline: float
) -> ResponseHead:
    """Return the first head that is final or 101; see `read_response` for the arguments.

    102 means that the request was received and is being processed (RFC 2518, section 10.1).
    """
    while True:
        head = parse_response_head(await reader.read_head(max_head_bytes, deadline))
        if head.status == PROCESSING:
            deadline = max(deadline, processing_deadline)
        if head.status >= OK or head.status == SWITCHING_PROTOCOLS:
            return head


def new_response(
    reader: Reader, method: bytes, head: ResponseHead
) -> Result[Response, ClientError]:
    """Create the response of a head; the body is framed by RFC 9112, section 6.3.

    Raises:
        FramingError: the length or the transfer coding is malformed.
    """
    has_no_body = method == b"HEAD" or head.status in (NO_CONTENT, NOT_MODIFIED)
    chunked = is_chunked(head.fields, head.minor)
    length = content_length(head.fields)
    keep_alive = is_persistent(head.fields, head.minor)
    if has_no_body:
        return Ok(Response(head, Body(reader, False, 0), length, keep_alive))
    if not chunked and length is None:
        return Error(UnusableResponseError("answer without a provable end"))
    return Ok(Response(head, Body(reader, chunked, length or 0), length, keep_alive))


async def fetch(
    scheduler: Scheduler,
    network: Network,
    address: str,
    method: bytes,
    target: bytes,
    fields: Fields,
    body: bytes,
    timeout: float,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Result[tuple[ResponseHead, bytes], ClientError]:
    """Send one request on a new connection and read the complete response.

    Args:
        scheduler: runs the calling task.
        network: opens the connection.
        address: host:port of the server.
        method: the method of the request.
        target: the target of the request.
        fields: the fields of the request; Host is added if absent.
        body: the body of the request.
        timeout: in seconds, for the whole exchange.
        max_body_bytes: limit of the response body.

    Returns:
        The head and the body, or the error that prevented a complete response.
    """
    deadline = scheduler.now() + timeout
    connection = network.connect(address)
    try:
        if not await connection.wait_connected(timeout):
            return Error(NotConnectedError())
        names = {name.lower() for name, _ in fields}
        host: Fields = [] if b"host" in names else [(b"Host", address.encode())]
        send_request(connection, method, target, [*host, *fields, (b"Connection", b"close")], body)
        reader = Reader(scheduler, connection)
        found = await read_response(reader, method, MAX_HEAD_BYTES, deadline)
        if found.is_error():
            return Error(found.error)
        return await read_complete(found.ok, max_body_bytes, deadline)
    finally:
        connection.close()


async def read_complete(
    response: Response, max_body_bytes: int, deadline: float
) -> Result[tuple[ResponseHead, bytes], ClientError]:
    """Return the head of a response and its complete body; `deadline` in monotonic seconds."""
    try:
        return Ok((response.head, await response.body.read_all(max_body_bytes, deadline)))
    except FramingError as error:
        return Error(UnusableResponseError(error.reason))
    except IncompleteMessageError:
        return Error(ResponseCutError("answer cut"))
    except ReadTimeoutError:
        return Error(ResponseTimeoutError("no whole answer in time"))
