"""An upstream server's response; a short body is read before the head is forwarded."""

from dataclasses import dataclass

from ryelock.edge.servers import ServerState
from ryelock.http import Reader, Response, ResponseHead
from ryelock.runtime import Connection

MAX_PREFIX_BYTES = 65_536
"""Longest body that is read to its end before the head is forwarded to the client."""


@dataclass(slots=True, eq=False)
class UpstreamResponse:
    """A server's response that may be forwarded to the client.

    Attributes:
        head: status line and fields.
        prefix: the part of the body that was read.
        complete: whether `prefix` is the complete body.
        response: the response, for the rest of the body.
        connection: connection to the server.
        reader: reader of that connection.
        server: state of the server.
        sent_at: monotonic time at which the request was sent.
    """

    head: ResponseHead
    prefix: bytes
    complete: bool
    response: Response
    connection: Connection
    reader: Reader
    server: ServerState
    sent_at: float


async def read_prefix(
    response: Response, deadline: float, storable_bytes: int | None
) -> tuple[bytes, bool]:
    """Read a body to its end if it is short or storable.

    Nothing is read of a body whose declared length exceeds the limit. A chunked body is read only
    for the cache, up to the limit.

    Args:
        response: the response, of which the head was read.
        deadline: monotonic time by which the body must arrive.
        storable_bytes: longest body to read for the cache; None if it is not to be stored.

    Returns:
        The bytes that were read, and whether they are the complete body.
    """
    max_bytes = MAX_PREFIX_BYTES if storable_bytes is None else storable_bytes
    body = response.body
    if body.complete:
        return b"", True
    if body.chunked and storable_bytes is None:
        return b"", False
    if not body.chunked and body.bytes_left > max_bytes:
        return b"", False
    chunks: list[bytes] = []
    total = 0
    while total <= max_bytes:
        chunk = await body.read_chunk(deadline)
        if not chunk and body.complete:
            return b"".join(chunks), True
        chunks.append(chunk)
        total += len(chunk)
        if body.complete and not body.chunked:
            return b"".join(chunks), True
    return b"".join(chunks), False
