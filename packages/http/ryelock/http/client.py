"""The side that sends orders: to servers, to probed edges, and for the operator's tools.

An answer is read piece by piece. Its end is either proved by its own framing or it is an
error; an answer that carries neither length nor chunks is declined, since a server that died
in the middle would look the same as one that finished.
"""

from expression import Error, Ok, Result

from ryelock.http.heads import (
    Fields,
    FramingError,
    ResponseHead,
    content_length,
    is_chunked,
    keeps_open,
    parse_response_head,
)
from ryelock.http.reader import Body, IncompleteMessageError, Reader, ReadTimeoutError
from ryelock.runtime import Connection, Network, Scheduler

PROCESSING = 102
"""Status of the interim answer that a request arrived and is worked on (RFC 2518, 10.1)."""


class ClientError(Exception):
    """Why there is no whole answer; `declined` is the status by which a server said "not run"."""

    def __init__(self, reason: str, sent: bool, rejected: int = 0) -> None:
        super().__init__(reason)
        self.rejected = rejected
        self.reason = reason
        self.sent = sent


class ResponseTimeoutError(ClientError):
    """The server may have got the request, but its response did not come in time."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no answer in time", True)


class Response:
    """An answer whose head was read and whose body is still to come."""

    __slots__ = ("body", "head", "keep_alive", "length")

    def __init__(
        self, head: ResponseHead, body: Body, length: int | None, keep_alive: bool
    ) -> None:
        self.head = head
        self.body = body
        self.length = length
        self.keep_alive = keep_alive


def send_request(
    connection: Connection, method: bytes, target: bytes, fields: Fields, body: bytes
) -> None:
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [name + b": " + value for name, value in fields]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"):
        lines.append(b"Content-Length: %d" % len(body))
    connection.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


async def read_response(
    reader: Reader, method: bytes, head_bytes: int, until: float, working_until: float = 0.0
) -> Result[Response, ClientError]:
    """The head of the final answer; interim ones are passed over.

    Args:
        reader: bytes of the connection.
        method: the request's method.
        head_bytes: longest head that is taken.
        until: moment up to which the head is waited for.
        working_until: the moment that takes its place once 102 says that the request is worked on.
    """
    try:
        while True:
            head = parse_response_head(await reader.read_head(head_bytes, until))
            if head.status == PROCESSING:
                until = max(until, working_until)
            if head.status >= 200:
                break
            if head.status == 101:
                return Error(ClientError("protocol switched unasked", True))
        bare = method == b"HEAD" or head.status in (204, 304)
        chunked = is_chunked(head.fields, head.minor)
        length = content_length(head.fields)
        if bare:
            return Ok(
                Response(head, Body(reader, False, 0), length, keeps_open(head.fields, head.minor))
            )
        if not chunked and length is None:
            return Error(ClientError("answer without a provable end", True))
        return Ok(
            Response(
                head,
                Body(reader, chunked, length or 0),
                length,
                keeps_open(head.fields, head.minor),
            )
        )
    except FramingError as error:
        return Error(ClientError(error.reason, True))
    except IncompleteMessageError:
        return Error(ClientError("link ended before the answer", True))
    except ReadTimeoutError:
        return Error(ResponseTimeoutError())


async def fetch(
    scheduler: Scheduler,
    network: Network,
    address: str,
    method: bytes,
    target: bytes,
    fields: Fields,
    body: bytes,
    seconds: float,
    most: int = 16_777_216,
) -> Result[tuple[ResponseHead, bytes], ClientError]:
    """One order on a link of its own, its whole answer read."""
    until = scheduler.now() + seconds
    connection = network.connect(address)
    try:
        if not await connection.wait_connected(seconds):
            return Error(ClientError("no link", False))
        given = {name.lower() for name, _ in fields}
        head: Fields = [] if b"host" in given else [(b"Host", address.encode())]
        send_request(connection, method, target, [*head, *fields, (b"Connection", b"close")], body)
        reader = Reader(scheduler, connection)
        found = await read_response(reader, method, 65_536, until)
        if found.is_error():
            return Error(found.error)
        answer = found.ok
        try:
            whole = await answer.body.read_all(most, until)
        except FramingError as error:
            return Error(ClientError(error.reason, True))
        except IncompleteMessageError:
            return Error(ClientError("answer cut", True))
        except ReadTimeoutError:
            return Error(ClientError("no whole answer in time", True))
        return Ok((answer.head, whole))
    finally:
        connection.close()
