"""The client side: requests to servers, to probed edges, and from the operator's tools.

A response is read piece by piece. Its end is either proved by its own framing or it is an error;
a response with neither length nor chunks is rejected, since a server that died in the middle
would look the same as one that finished.
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
from ryelock.http.framing import content_length, is_chunked, keeps_open
from ryelock.http.heads import ResponseHead, parse_response_head
from ryelock.http.reader import Reader
from ryelock.http.statuses import NO_CONTENT, NOT_MODIFIED, OK, PROCESSING, SWITCHING_PROTOCOLS
from ryelock.runtime import Connection, Network, Scheduler

MAX_HEAD_BYTES = 65_536
"""The longest head that `fetch` takes."""
MAX_BODY_BYTES = 16_777_216
"""The longest body that `fetch` takes unless told otherwise."""
METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE")
"""Methods whose empty body needs no Content-Length (RFC 9110, section 8.6)."""


class Response:
    """A response whose head was read and whose body is still to come.

    Attributes:
        head: the head.
        body: the body, empty where the response has none.
        length: what Content-Length says; for HEAD and 304 the length of a body that is not sent.
        keep_alive: whether the connection can be used again once the body was read.
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
    """Write a request; its framing is added to the fields."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [name + b": " + value for name, value in fields]
    if body or method not in METHODS_WITHOUT_BODY:
        lines.append(b"Content-Length: %d" % len(body))
    connection.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


async def read_response(
    reader: Reader, method: bytes, max_head_bytes: int, until: float, working_until: float = 0.0
) -> Result[Response, ClientError]:
    """Read up to the end of the final response's head; interim responses are skipped.

    Args:
        reader: bytes of the connection.
        method: the request's method.
        max_head_bytes: longest head that is taken.
        until: deadline of the head, in monotonic seconds.
        working_until: the deadline that takes its place, where it is later, once 102 says that
            the request is worked on.
    """
    try:
        head = await read_final_head(reader, max_head_bytes, until, working_until)
        if head.status == SWITCHING_PROTOCOLS:
            return Error(UnusableResponseError("protocol switched unasked"))
        return response_of(reader, method, head)
    except FramingError as error:
        return Error(UnusableResponseError(error.reason))
    except IncompleteMessageError:
        return Error(ResponseCutError("link ended before the answer"))
    except ReadTimeoutError:
        return Error(ResponseTimeoutError("no answer in time"))


async def read_final_head(
    reader: Reader, max_head_bytes: int, until: float, working_until: float
) -> ResponseHead:
    """Return the first head that is not interim, or 101; see `read_response`.

    102 is of RFC 2518, section 10.1: the request arrived and is worked on.
    """
    while True:
        head = parse_response_head(await reader.read_head(max_head_bytes, until))
        if head.status == PROCESSING:
            until = max(until, working_until)
        if head.status >= OK or head.status == SWITCHING_PROTOCOLS:
            return head


def response_of(reader: Reader, method: bytes, head: ResponseHead) -> Result[Response, ClientError]:
    """Return the response of a head, its body framed by RFC 9112, section 6.3.

    Raises:
        FramingError: length or transfer coding are malformed.
    """
    has_no_body = method == b"HEAD" or head.status in (NO_CONTENT, NOT_MODIFIED)
    chunked = is_chunked(head.fields, head.minor)
    length = content_length(head.fields)
    keep_alive = keeps_open(head.fields, head.minor)
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
    """Send one request on a connection of its own and read its complete response.

    Args:
        scheduler: runs the calling task.
        network: opens the connection.
        address: host:port of the server.
        method: the request's method.
        target: the request's target.
        fields: the request's fields; Host is added where it is missing.
        body: the request's body.
        timeout: seconds for everything together.
        max_body_bytes: longest body that is taken.

    Returns:
        Head and body, or why there is no complete response.
    """
    until = scheduler.now() + timeout
    connection = network.connect(address)
    try:
        if not await connection.wait_connected(timeout):
            return Error(NotConnectedError())
        names = {name.lower() for name, _ in fields}
        host: Fields = [] if b"host" in names else [(b"Host", address.encode())]
        send_request(connection, method, target, [*host, *fields, (b"Connection", b"close")], body)
        reader = Reader(scheduler, connection)
        found = await read_response(reader, method, MAX_HEAD_BYTES, until)
        if found.is_error():
            return Error(found.error)
        return await read_whole(found.ok, max_body_bytes, until)
    finally:
        connection.close()


async def read_whole(
    response: Response, max_body_bytes: int, until: float
) -> Result[tuple[ResponseHead, bytes], ClientError]:
    """Return a response's head with its complete body; `until` in monotonic seconds."""
    try:
        return Ok((response.head, await response.body.read_all(max_body_bytes, until)))
    except FramingError as error:
        return Error(UnusableResponseError(error.reason))
    except IncompleteMessageError:
        return Error(ResponseCutError("answer cut"))
    except ReadTimeoutError:
        return Error(ResponseTimeoutError("no whole answer in time"))
