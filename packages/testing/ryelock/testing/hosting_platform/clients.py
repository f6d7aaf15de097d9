"""Callers at a platform's edges, and its operators.

A caller keeps a record of each attempt; the checkers hold these against the servers' histories.
"""

from random import Random

from ryelock.http import Fields, Reader, fetch, read_response, send_request
from ryelock.http.errors import FramingError, IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Network, Scheduler
from ryelock.testing.hosting_platform.attempts import NOT_RUN_STATUSES, UNSAFE, AttemptRecord
from ryelock.testing.hosting_platform.entrance import Entrance
from ryelock.testing.hosting_platform.format import PlatformFormat
from ryelock.testing.stand_ins.callers import COMPLETE, NO_CONNECTION
from ryelock.testing.stand_ins.persistent_connection import PersistentConnection

FINAL_STATUSES = (400, 401, 404, 413, 431)
"""Statuses below 500 after which a request is not retried; successes and redirects aside."""
OPERATOR_FINAL_STATUSES = (200, 400, 409, 412, 413, 422)
ATTEMPTS_MOST = 4
CONNECT_SECONDS = 1.0
HEAD_BYTES_MOST = 65_536
BODY_BYTES_MOST = 1 << 24


class Client:
    """One caller; an attempt goes over its persistent connection where that is open."""

    __slots__ = (
        "connection",
        "count",
        "entrance",
        "format",
        "name",
        "notes",
        "random",
        "scheduler",
        "zone",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        format: PlatformFormat,
        entrance: Entrance,
        name: str,
        zone: str,
        notes: list[AttemptRecord],
        seed: int = 0,
    ) -> None:
        """Create a caller of a zone; its attempts are appended to `notes`."""
        self.scheduler = scheduler
        self.format = format
        self.entrance = entrance
        self.name = name
        self.zone = zone
        self.notes = notes
        self.random = Random(f"client {seed} {name}")
        self.count = 0
        self.connection = PersistentConnection(scheduler, network)

    def close(self) -> None:
        """Close the persistent connection."""
        self.connection.close()

    async def request(
        self,
        kind: str,
        method: str,
        host: str,
        target: str,
        body: bytes = b"",
        deadline: float = 1.0,
        fields: Fields | None = None,
        attempts_most: int = ATTEMPTS_MOST,
        edge: str = "",
    ) -> AttemptRecord:
        """Send one request and retry it by the rules; return the record of the last attempt."""
        self.count += 1
        request = f"{self.name}.{self.count}"
        until = self.scheduler.now() + deadline
        number = 0
        while True:
            number += 1
            now = self.scheduler.now()
            name = edge or self.random.choice(self.entrance.candidates(self.zone))
            record = AttemptRecord(
                now, name, kind, method, host, target, f"{request}-{number}", body, until - now
            )
            self.notes.append(record)
            await self.send_attempt(record, until, fields or [])
            record.seconds = self.scheduler.now() - now
            left = until - self.scheduler.now()
            if number >= attempts_most or left <= 0.01 or not self.may_retry(record):
                return record
            retry_after = float(record.field(b"retry-after") or b"0.01")
            await self.scheduler.sleep(min(retry_after, left / 3))

    def may_retry(self, record: AttemptRecord) -> bool:
        """Tell whether the rules let the caller send the request again."""
        if record.complete and (200 <= record.status < 400 or record.status in FINAL_STATUSES):
            return False
        if record.kind == UNSAFE:
            return (
                record.complete and record.status in NOT_RUN_STATUSES
            ) or record.ending == NO_CONNECTION
        return True

    async def send_attempt(self, record: AttemptRecord, until: float, given: Fields) -> None:
        """Send one attempt and fill in its record."""
        left = max(0.0, until - self.scheduler.now())
        front = self.entrance.fronts[record.edge]
        opened = await self.connection.open(front, min(CONNECT_SECONDS, left))
        if opened is None:
            record.ending = NO_CONNECTION
            return
        connection, reader = opened
        fields = self.fields_of(record, until, given)
        send_request(
            connection, record.method.encode(), record.target.encode(), fields, record.body
        )
        try:
            keep = await self.take_answer(reader, record, until)
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            record.ending = type(error).__name__
            keep = False
        if not keep:
            self.close()

    def fields_of(self, record: AttemptRecord, until: float, given: Fields) -> Fields:
        """Return the header fields of an attempt: identity, deadline, and the given ones."""
        profile = self.format.profile
        left = max(1, int((until - self.scheduler.now()) * 1000))
        return [
            (b"Host", record.host.encode()),
            (profile.identity, record.identity.encode()),
            (profile.deadline, b"%d" % left),
            *given,
        ]

    async def take_answer(self, reader: Reader, record: AttemptRecord, until: float) -> bool:
        """Read the answer into the record; return whether the connection may be kept."""
        found = await read_response(reader, record.method.encode(), HEAD_BYTES_MOST, until)
        if found.is_error():
            record.ending = found.error.reason
            return False
        answer = found.ok
        record.status, record.fields = answer.head.status, answer.head.fields
        record.response_body = await answer.body.read_all(BODY_BYTES_MOST, until)
        record.complete = True
        record.ending = COMPLETE
        return answer.keep_alive and 200 <= record.status < 300


class OperatorCaller:
    """Sends what it sends unchanged, to any node, until it gets a clear answer."""

    __slots__ = ("network", "nodes", "random", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network, seed: int = 0) -> None:
        """Create an operator that knows no node yet."""
        self.scheduler = scheduler
        self.network = network
        self.nodes: list[str] = []
        self.random = Random(f"operator {seed}")

    async def send_once(
        self, node: str, method: bytes, path: bytes, fields: Fields, body: bytes
    ) -> tuple[int, bytes]:
        """Send one request to a node; status 0 where no answer came."""
        found = await fetch(self.scheduler, self.network, node, method, path, fields, body, 5.0)
        return (found.ok[0].status, found.ok[1]) if found.is_ok() else (0, b"")

    async def send(
        self, method: bytes, path: bytes, fields: Fields, body: bytes = b"", seconds: float = 20.0
    ) -> tuple[int, bytes]:
        """Send until a final answer comes; return the last status and body.

        Retries go to any node, after a pause that doubles up to a second.
        """
        until = self.scheduler.now() + seconds
        backoff = 0.1
        status, answer = 0, b""
        while self.scheduler.now() < until:
            node = self.random.choice(self.nodes)
            status, answer = await self.send_once(node, method, path, fields, body)
            if status in OPERATOR_FINAL_STATUSES:
                break
            await self.scheduler.sleep(backoff)
            backoff = min(1.0, backoff * 2)
        return status, answer
