"""The side that sends orders: to servers, to probed edges, and for the operator's tools.

An answer is read piece by piece. Its end is either proved by its own framing or it is an
error; an answer that carries neither length nor chunks is declined, since a server that died
in the middle would look the same as one that finished.
"""

from expression import Error, Ok, Result

from ryelock.http.heads import (
    AnswerHead,
    Fields,
    FramingError,
    content_length,
    is_chunked,
    keeps_open,
    parse_answer_head,
)
from ryelock.http.reader import Body, Cut, Late, Reader
from ryelock.runtime import Link, Network, Scheduler

PROCESSING = 102
"""Status of the interim answer that a request arrived and is worked on (RFC 2518, 10.1)."""


class CallError(Exception):
    """Why there is no whole answer; `declined` is the status by which a server said "not run"."""

    def __init__(self, reason: str, sent: bool, declined: int = 0) -> None:
        super().__init__(reason)
        self.declined = declined
        self.reason = reason
        self.sent = sent


class Answer:
    """An answer whose head was read and whose body is still to come."""

    __slots__ = ("body", "head", "keep", "length")

    def __init__(self, head: AnswerHead, body: Body, length: int | None, keep: bool) -> None:
        self.head = head
        self.body = body
        self.length = length
        self.keep = keep


def send_order(link: Link, method: bytes, target: bytes, fields: Fields, body: bytes) -> None:
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [name + b": " + value for name, value in fields]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"):
        lines.append(b"Content-Length: %d" % len(body))
    link.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


async def read_answer(
    reader: Reader, method: bytes, head_bytes: int, until: float, working_until: float = 0.0
) -> Result[Answer, CallError]:
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
            head = parse_answer_head(await reader.head(head_bytes, until))
            if head.status == PROCESSING:
                until = max(until, working_until)
            if head.status >= 200:
                break
            if head.status == 101:
                return Error(CallError("protocol switched unasked", True))
        bare = method == b"HEAD" or head.status in (204, 304)
        chunked = is_chunked(head.fields, head.minor)
        length = content_length(head.fields)
        if bare:
            return Ok(
                Answer(head, Body(reader, False, 0), length, keeps_open(head.fields, head.minor))
            )
        if not chunked and length is None:
            return Error(CallError("answer without a provable end", True))
        return Ok(
            Answer(
                head,
                Body(reader, chunked, length or 0),
                length,
                keeps_open(head.fields, head.minor),
            )
        )
    except FramingError as error:
        return Error(CallError(error.reason, True))
    except Cut:
        return Error(CallError("link ended before the answer", True))
    except Late:
        return Error(CallError("no answer in time", True))


async def call(
    scheduler: Scheduler,
    network: Network,
    address: str,
    method: bytes,
    target: bytes,
    fields: Fields,
    body: bytes,
    seconds: float,
    most: int = 16_777_216,
) -> Result[tuple[AnswerHead, bytes], CallError]:
    """One order on a link of its own, its whole answer read."""
    until = scheduler.now() + seconds
    link = network.connect(address)
    try:
        if not await link.open(seconds):
            return Error(CallError("no link", False))
        given = {name.lower() for name, _ in fields}
        head: Fields = [] if b"host" in given else [(b"Host", address.encode())]
        send_order(link, method, target, [*head, *fields, (b"Connection", b"close")], body)
        reader = Reader(scheduler, link)
        found = await read_answer(reader, method, 65_536, until)
        if found.is_error():
            return Error(found.error)
        answer = found.ok
        try:
            whole = await answer.body.whole(most, until)
        except FramingError as error:
            return Error(CallError(error.reason, True))
        except Cut:
            return Error(CallError("answer cut", True))
        except Late:
            return Error(CallError("no whole answer in time", True))
        return Ok((answer.head, whole))
    finally:
        link.close()
