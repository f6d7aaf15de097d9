"""Callers: requests with an identity of their own, and the answer to each.

A caller records what it sent, what came back and whether the answer was complete. Checkers read
these records beside the servers' histories.
"""

from dataclasses import dataclass
from random import Random

from ryelock.http import Fields, Reader, field, read_response, send_request
from ryelock.http.errors import FramingError, IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Network, Scheduler
from ryelock.testing.stand_ins.persistent_connection import PersistentConnection

CONNECT_SECONDS = 2.0
HEAD_BYTES_MOST = 65_536
BODY_BYTES_MOST = 16_777_216
COMPLETE = "whole"
"""Ending of a request whose answer came to its end; the word stands in reports of runs."""
NO_CONNECTION = "no link"
"""Ending of a request for which no connection was opened; the word stands in reports of runs."""


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request of a caller and what came back.

    Attributes:
        sent_at: monotonic seconds at which it was sent.
        edge: host:port that it was sent to.
        method: HTTP method.
        target: path with query.
        identity: the caller's name for the request; the same when it is sent again.
        status: status of the answer; 0 where no head came.
        complete: whether the answer came to its end.
        outcome: what the edge says of an answer of its own.
        request_id: the edge's name for the request.
        cache: how the answer relates to the edge's cache.
        retry_after: the Retry-After field as text; empty without one.
        body: body of the answer.
        seconds: how long the request took.
        ending: COMPLETE, NO_CONNECTION or the error that ended it; empty while it runs.
    """

    sent_at: float
    edge: str
    method: str
    target: str
    identity: str
    status: int = 0
    complete: bool = False
    outcome: str = ""
    request_id: str = ""
    cache: str = ""
    retry_after: str = ""
    body: bytes = b""
    seconds: float = 0.0
    ending: str = ""


class Caller:
    """One caller with one persistent connection to one edge at a time."""

    __slots__ = ("connection", "notes", "random", "scheduler", "seconds")

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        random: Random,
        notes: list[RequestRecord],
        seconds: float = 15.0,
    ) -> None:
        """Create a caller whose requests time out after so many seconds."""
        self.scheduler = scheduler
        self.random = random
        self.notes = notes
        self.seconds = seconds
        self.connection = PersistentConnection(scheduler, network)

    def close(self) -> None:
        """Close the persistent connection."""
        self.connection.close()

    async def request(
        self,
        edge: str,
        method: str,
        target: str,
        identity: str,
        fields: Fields | None = None,
        body: bytes = b"",
    ) -> RequestRecord:
        """Send one request and read its answer to the end."""
        record = RequestRecord(self.scheduler.now(), edge, method, target, identity)
        self.notes.append(record)
        until = record.sent_at + self.seconds
        opened = await self.connection.open(edge, CONNECT_SECONDS)
        if opened is None:
            record.ending = NO_CONNECTION
            return record
        connection, reader = opened
        send_request(
            connection,
            method.encode(),
            target.encode(),
            [(b"Host", b"shop.example"), (b"X-Order-Identity", identity.encode()), *(fields or [])],
            body,
        )
        try:
            if not await self.read_answer(reader, record, until):
                return record
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            record.ending = type(error).__name__
            self.close()
        record.seconds = self.scheduler.now() - record.sent_at
        return record

    async def read_answer(self, reader: Reader, record: RequestRecord, until: float) -> bool:
        """Read the answer into the record; False where not even its head came."""
        found = await read_response(reader, record.method.encode(), HEAD_BYTES_MOST, until)
        if found.is_error():
            record.ending = found.error.reason
            self.close()
            return False
        answer = found.ok
        record.status = answer.head.status
        record.outcome = text(answer.head.fields, b"x-ryelock-outcome")
        record.request_id = text(answer.head.fields, b"x-ryelock-order")
        record.cache = text(answer.head.fields, b"x-ryelock-cache")
        record.retry_after = text(answer.head.fields, b"retry-after")
        record.body = await answer.body.read_all(BODY_BYTES_MOST, until)
        record.complete = True
        record.ending = COMPLETE
        if not answer.keep_alive:
            self.close()
        return True


def text(fields: Fields, name: bytes) -> str:
    """Return a field's value as text, empty where there is none."""
    return (field(fields, name) or b"").decode("latin-1")
