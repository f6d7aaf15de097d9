"""Callers: orders with an identity of their own, and what each was told.

A caller keeps what it sent, what came back and whether the answer was whole, and checks the
bytes against what the service should have sent. Checkers read these notes beside the servers'
histories.
"""

from random import Random

from ryelock.http import Fields, Reader, field, read_response, send_request
from ryelock.http.heads import FramingError
from ryelock.http.reader import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Connection, Network, Scheduler


class Told:
    """One order of a caller and what it was told of it."""

    __slots__ = (
        "at",
        "body",
        "cache",
        "edge",
        "end",
        "identity",
        "method",
        "outcome",
        "request",
        "retry_after",
        "seconds",
        "status",
        "target",
        "whole",
    )

    def __init__(self, at: float, edge: str, method: str, target: str, identity: str) -> None:
        """Create the note of a request that has no answer yet; `at` is monotonic seconds."""
        self.at = at
        self.edge = edge
        self.method = method
        self.target = target
        self.identity = identity
        self.status = 0
        self.whole = False
        self.outcome = ""
        self.request = ""
        self.cache = ""
        self.retry_after = ""
        self.body = b""
        self.seconds = 0.0
        self.end = ""


class Caller:
    """One caller with one kept link to one edge at a time."""

    __slots__ = ("connection", "network", "notes", "random", "reader", "scheduler", "seconds")

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        random: Random,
        notes: list[Told],
        seconds: float = 15.0,
    ) -> None:
        """Create a caller whose requests are given up after so many seconds."""
        self.scheduler = scheduler
        self.network = network
        self.random = random
        self.notes = notes
        self.seconds = seconds
        self.connection: Connection | None = None
        self.reader: Reader | None = None

    def close(self) -> None:
        """Close the kept connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def request(
        self,
        edge: str,
        method: str,
        target: str,
        identity: str,
        fields: Fields | None = None,
        body: bytes = b"",
    ) -> Told:
        """Send one order and read its answer to the end."""
        told = Told(self.scheduler.now(), edge, method, target, identity)
        self.notes.append(told)
        until = told.at + self.seconds
        connection = self.connection
        if connection is None or connection.closed or connection.peer != edge:
            self.close()
            connection = self.connection = self.network.connect(edge)
            self.reader = Reader(self.scheduler, connection)
            if not await connection.wait_connected(2.0):
                told.end = "no link"
                self.close()
                return told
        reader = self.reader
        assert reader is not None
        send_request(
            connection,
            method.encode(),
            target.encode(),
            [(b"Host", b"shop.example"), (b"X-Order-Identity", identity.encode()), *(fields or [])],
            body,
        )
        try:
            found = await read_response(reader, method.encode(), 65_536, until)
            if found.is_error():
                told.end = found.error.reason
                self.close()
                return told
            answer = found.ok
            told.status = answer.head.status
            told.outcome = text(answer.head.fields, b"x-ryelock-outcome")
            told.request = text(answer.head.fields, b"x-ryelock-order")
            told.cache = text(answer.head.fields, b"x-ryelock-cache")
            told.retry_after = text(answer.head.fields, b"retry-after")
            told.body = await answer.body.read_all(16_777_216, until)
            told.whole = True
            told.end = "whole"
            if not answer.keep_alive:
                self.close()
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            told.end = type(error).__name__
            self.close()
        told.seconds = self.scheduler.now() - told.at
        return told


def text(fields: Fields, name: bytes) -> str:
    """Return a field's value as text, empty where there is none."""
    return (field(fields, name) or b"").decode("latin-1")
