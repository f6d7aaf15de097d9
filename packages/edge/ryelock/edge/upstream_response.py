"""An upstream server's response, of which a short body is read before it is passed on."""

from dataclasses import dataclass

from ryelock.edge.servers import ServerState
from ryelock.http import Reader, Response, ResponseHead
from ryelock.runtime import Connection

MAX_PREFIX_BYTES = 65_536
"""Longest body that is read whole before its head goes to the caller."""


@dataclass(slots=True, eq=False)
class UpstreamResponse:
    """A server's response that may go to the caller.

    Attributes:
        head: status line and fields.
        prefix: what was read of the body.
        complete: whether that is the whole body.
        response: the rest, to be read.
        connection: the server's connection.
        reader: the bytes of that connection.
        server: the server.
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
    """Read a short or storable body whole, and nothing of a longer one.

    Args:
        response: the response whose head was read.
        deadline: monotonic time up to which the body is waited for.
        storable_bytes: longest body that is read for the cache; None where it is not to be stored.

    Returns:
        What was read, and whether it is the whole body.
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
