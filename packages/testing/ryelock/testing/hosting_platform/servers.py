"""Servers of the platform: incarnations at an address, with slots, a queue and misbehavior.

A server works on so many requests at once, queues a few, rejects what it cannot take and says so;
by its manner it loses, cuts, doubles or garbles answers. Whatever reaches a server stands in one
history, with whether it was run; checkers believe nothing else.
"""

from collections import deque
from enum import Enum, StrEnum, auto
from random import Random

from ryelock.events import Log
from ryelock.http import Fields, HttpExchange, HttpServer, Limits, field
from ryelock.http.errors import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Connection, Network, Queue, Scheduler
from ryelock.testing.hosting_platform.format import PlatformFormat
from ryelock.testing.hosting_platform.services import ServiceStandIn


class Manner(StrEnum):
    """How a server treats a request."""

    WHOLE = "whole"
    """It runs it and answers whole, as a sound server does."""
    FULL = "full"
    """It says 503 and that it did not run it."""
    LIMITED = "limited"
    """It says 429 and that it did not run it."""
    LOST = "lost"
    """It runs it and ends the connection without an answer."""
    HANGING = "hanging"
    """It says nothing, nor anything further on that connection."""
    CUT = "cut"
    """It ends the connection in the middle of its answer."""
    BEHIND = "behind"
    """It sends bytes behind its answer that belong to nothing."""
    TWIN = "twin"
    """It answers twice; the second answer comes where the next one is due."""
    UNSEALED = "unsealed"
    """Its success lacks the server's mark."""
    WRONG = "wrong"
    """It sends bytes that are no answer."""
    FAILING = "failing"
    """It says 500."""
    VAGUE = "vague"
    """It says 503 and not whether it ran it."""
    CLOSING = "closing"
    """It answers whole and says that the connection closes."""


class SlotOutcome(Enum):
    """What became of asking for a slot."""

    ACQUIRED = auto()
    QUEUE_FULL = auto()
    TIMED_OUT = auto()


TAIL = b"HTTP/1.1 200 OK\r\nbytes that belong to nothing"
WARM_UP_FACTOR = 4.0
"""How many times longer a request takes at a server that is warming up."""
NEVER_SECONDS = 3600.0


class Arrival:
    """One request as it reached a server, and whether the server ran it."""

    __slots__ = (
        "at",
        "body",
        "connection",
        "deadline",
        "expected",
        "host",
        "identifier",
        "identity",
        "method",
        "ran",
        "service",
        "status",
        "target",
    )

    def __init__(
        self, at: float, instance: "ServerInstance", exchange: HttpExchange, body: bytes
    ) -> None:
        """Note a request as it reached a server."""
        head = exchange.head
        profile = instance.format.profile
        self.at = at
        self.service = instance.service.name
        self.identifier = instance.identifier
        self.method = head.method.decode("latin-1")
        self.target = head.target.decode("latin-1")
        self.host = (field(head.fields, b"host") or b"").decode("latin-1")
        self.identity = (field(head.fields, profile.identity.lower()) or b"").decode("latin-1")
        self.expected = (field(head.fields, profile.expected.lower()) or b"").decode("latin-1")
        text = field(head.fields, profile.deadline.lower()) or b""
        self.deadline = int(text) / 1000 if text.isdigit() else NEVER_SECONDS
        self.body = body
        self.connection = exchange.connection.peer
        self.ran = False
        self.status = 0


class StandInHttpServer(HttpServer):
    """Connections above the limit are reset, not answered."""

    __slots__ = ()

    def accept(self, connection: Connection) -> None:
        """Accept a connection, or reset it where there are too many."""
        if len(self.connections) >= self.limits.max_connections:
            connection.abort()
            return
        super().accept(connection)


class ServerInstance:
    """One incarnation of a server at an address."""

    __slots__ = (
        "address",
        "draining",
        "ended",
        "format",
        "history",
        "identifier",
        "late_answers",
        "listener",
        "manner",
        "manners",
        "random",
        "scheduler",
        "service",
        "slot_queue",
        "speed",
        "version",
        "warming_until",
        "working",
        "zone",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        format: PlatformFormat,
        service: ServiceStandIn,
        zone: str,
        identifier: str,
        address: str,
        history: list[Arrival],
        warm_up_seconds: float = 0.0,
    ) -> None:
        """Start a server at an address; it is slow for so many seconds."""
        self.scheduler = scheduler
        self.format = format
        self.service = service
        self.zone = zone
        self.identifier = identifier
        self.address = address
        self.history = history
        self.version = "v1"
        self.random = Random(f"server {identifier}")
        self.manner = Manner.WHOLE
        self.manners: deque[Manner] = deque()
        self.speed = 1.0
        self.warming_until = scheduler.now() + warm_up_seconds
        self.draining = False
        self.ended = False
        self.working = 0
        self.slot_queue: deque[Queue[bool]] = deque()
        self.late_answers: dict[Connection, bytes] = {}
        self.listener = StandInHttpServer(
            scheduler,
            network,
            log,
            address,
            Limits(
                body_bytes=1 << 26,
                max_connections=service.max_connections,
                idle_seconds=float(service.idle_seconds),
                request_seconds=60.0,
            ),
            self.serve,
        )

    def close(self) -> None:
        """Crash at once: every connection is reset."""
        self.ended = True
        self.listener.stop_accepting()
        for connection, running in list(self.listener.connections.items()):
            running.cancel()
            connection.abort()

    # One request.

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request as the manner says."""
        try:
            body = await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        late = self.late_answers.pop(exchange.connection, None)
        if late is not None:
            exchange.connection.write(late)
        arrival = Arrival(self.scheduler.now(), self, exchange, body)
        until = self.scheduler.now() + arrival.deadline
        if arrival.method == "GET" and arrival.target == self.service.health_path:
            await self.answer_health_check(exchange, until)
            return
        self.history.append(arrival)
        manner = self.manners.popleft() if self.manners else self.manner
        status = self.rejection_status(arrival, manner)
        if status:
            await self.reject(exchange, arrival, status)
            return
        if manner == Manner.HANGING:
            await self.scheduler.sleep(NEVER_SECONDS)
            return
        slot = await self.acquire_slot(until)
        if slot is SlotOutcome.QUEUE_FULL and self.service.hangs:
            await self.scheduler.sleep(NEVER_SECONDS)
            return
        if slot is not SlotOutcome.ACQUIRED:
            await self.reject(exchange, arrival, 503)
            return
        try:
            await self.run(exchange, arrival, manner, until)
        finally:
            self.release_slot()

    def rejection_status(self, arrival: Arrival, manner: Manner) -> int:
        """Return the status with which a request is rejected, or 0 where it may run."""
        if arrival.expected and arrival.expected != self.identifier:
            return 421
        if not arrival.identity and arrival.method != "GET":
            return 400
        if manner == Manner.LIMITED or self.service.over_rate(self.scheduler.now()):
            return 429
        return 503 if manner == Manner.FULL else 0

    async def reject(self, exchange: HttpExchange, arrival: Arrival, status: int) -> None:
        """Answer that a request was not run."""
        profile = self.format.profile
        arrival.status = status
        fields = self.common_fields(arrival)
        fields.append((profile.not_run, b"1"))
        if status == 421:
            fields.append((self.format.instance_field, self.identifier.encode()))
        if status in (429, 503):
            fields.append((b"Retry-After", b"0.05"))
        if self.draining:
            exchange.keep_alive = False
        await exchange.respond(status, fields, b"")

    def common_fields(self, arrival: Arrival) -> Fields:
        """Fields of every answer: whose it is, and how long the link is kept."""
        fields: Fields = [(b"Keep-Alive", b"timeout=%d" % self.service.idle_seconds)]
        if arrival.identity and self.service.echoes_identity(arrival.identity):
            fields.append((self.format.profile.identity, arrival.identity.encode("latin-1")))
        return fields

    async def answer_health_check(self, exchange: HttpExchange, until: float) -> None:
        """Answer a health check; it needs a slot as a request does."""
        slot = await self.acquire_slot(min(until, self.scheduler.now() + 1.0))
        if slot is SlotOutcome.ACQUIRED:
            self.release_slot()
        healthy = slot is SlotOutcome.ACQUIRED and not self.draining
        await exchange.respond(
            200 if healthy else 503, [(self.format.instance_field, self.identifier.encode())], b""
        )

    # Slots.

    async def acquire_slot(self, until: float) -> SlotOutcome:
        """Take a slot, or wait for one in the queue until a monotonic time."""
        if self.working < self.service.slots:
            self.working += 1
            return SlotOutcome.ACQUIRED
        if len(self.slot_queue) >= self.service.queue:
            return SlotOutcome.QUEUE_FULL
        grant: Queue[bool] = Queue(self.scheduler)
        self.slot_queue.append(grant)
        try:
            granted = await grant.get(max(0.0, until - self.scheduler.now()))
        finally:
            if grant in self.slot_queue:
                self.slot_queue.remove(grant)
        return SlotOutcome.ACQUIRED if granted else SlotOutcome.TIMED_OUT

    def release_slot(self) -> None:
        """Hand the slot to the next request in the queue, or free it."""
        if self.slot_queue:
            self.slot_queue.popleft().put(True)
        else:
            self.working -= 1

    # Running.

    async def run(
        self, exchange: HttpExchange, arrival: Arrival, manner: Manner, until: float
    ) -> None:
        """Run one request, and answer as the manner says."""
        arrival.ran = True
        now = self.scheduler.now()
        cold = WARM_UP_FACTOR if now < self.warming_until else 1.0
        end = now + self.service.work_seconds * self.speed * cold * (
            0.7 + 0.6 * self.random.random()
        )
        while self.scheduler.now() < end:
            await self.scheduler.sleep(min(0.05, end - self.scheduler.now() + 1e-6))
            if exchange.client_disconnected:
                return
            if self.scheduler.now() >= until:
                arrival.status = 504
                await exchange.respond(504, self.common_fields(arrival), b"too late\n")
                return
        if manner == Manner.LOST:
            exchange.abort()
            return
        if manner == Manner.WRONG:
            exchange.connection.write(b"\x16\x03\x01 not an answer\r\n\r\n")
            await exchange.connection.drain(0, 5.0)
            exchange.abort()
            return
        if manner in (Manner.FAILING, Manner.VAGUE):
            arrival.status = 500 if manner == Manner.FAILING else 503
            await exchange.respond(arrival.status, self.common_fields(arrival), b"broken\n")
            return
        await self.send_object(exchange, arrival, manner)

    async def send_object(self, exchange: HttpExchange, arrival: Arrival, manner: Manner) -> None:
        """The object, as it now is."""
        status, fields, body = self.object_for(exchange, arrival)
        if manner != Manner.UNSEALED:
            revision = self.service.objects.revision(arrival.target)
            fields.append((self.format.profile.seal, self.service.seal(arrival.target, revision)))
        arrival.status = status
        if manner == Manner.CLOSING or self.draining:
            exchange.keep_alive = False
        if manner == Manner.TWIN:
            self.late_answers[exchange.connection] = raw_answer(status, fields, body)
        exchange.send_head(status, b"", fields, None if status == 304 else len(body))
        sent = body[: len(body) // 2] if manner == Manner.CUT else body
        if manner == Manner.BEHIND:
            sent += TAIL
        await self.send_parts(exchange, sent)
        if manner == Manner.CUT:
            await exchange.connection.drain(0, 5.0)
            exchange.abort()
        else:
            exchange.finish()

    async def send_parts(self, exchange: HttpExchange, body: bytes) -> None:
        """Send a body, in parts where the service says so, until the client disconnects."""
        part_bytes = self.service.part_bytes or len(body) or 1
        next_at = self.scheduler.now()
        for start in range(0, len(body), part_bytes):
            while self.scheduler.now() < next_at and not exchange.client_disconnected:
                await self.scheduler.sleep(min(0.05, next_at - self.scheduler.now() + 1e-6))
            if exchange.client_disconnected:
                return
            await exchange.send(body[start : start + part_bytes], 30.0)
            next_at = self.scheduler.now() + self.service.part_interval_seconds

    def object_for(self, exchange: HttpExchange, arrival: Arrival) -> tuple[int, Fields, bytes]:
        """Status, fields and body of an object: whole, one range of it, or not changed."""
        revision = self.service.objects.revision(arrival.target)
        body = self.service.body(arrival.target, revision)
        tag = b'"r%d"' % revision
        fields = [
            *self.common_fields(arrival),
            (b"ETag", tag),
            (self.format.profile.labels, labels_of(arrival.target).encode()),
        ]
        given = exchange.head.fields
        if field(given, b"if-none-match") == tag:
            return 304, fields, b""
        asked = field(given, b"range") or b""
        first, dash, last = asked.removeprefix(b"bytes=").partition(b"-")
        if not asked.startswith(b"bytes=") or not dash or not first.isdigit():
            return 200, fields, body
        start = int(first)
        if start >= len(body):
            return 416, [*fields, (b"Content-Range", b"bytes */%d" % len(body))], b""
        end = min(len(body), int(last) + 1) if last.isdigit() else len(body)
        fields.append((b"Content-Range", b"bytes %d-%d/%d" % (start, end - 1, len(body))))
        return 206, fields, body[start:end]


def labels_of(target: str) -> str:
    """The labels of an object: its shelf, which several share, and its own."""
    parts = target.partition("?")[0].split("/")
    return f"shelf-{parts[1] if len(parts) > 1 else ''} own{target.replace('/', '-')}"


def raw_answer(status: int, fields: Fields, body: bytes) -> bytes:
    """Return a whole answer as bytes."""
    lines = [
        b"HTTP/1.1 %d OK" % status,
        *(name + b": " + value for name, value in fields),
        b"Content-Length: %d" % len(body),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
