"""A platform that lets out servers: its list of them, and the servers, in words of its own.

Which bytes stand for what is told by whoever builds it (`Words`), so that a platform's page can
be spelled out beside the tests that hold an edge to it. A server does as that page has it: it
works on so many orders at once, queues a few, declines what it cannot take and says so, and by
manners it loses, cuts, doubles or garbles answers. Whatever reaches a server stands in one
history, with whether it was run; checkers believe nothing else.
"""

import hashlib
import json
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from random import Random
from urllib.parse import parse_qs

from ryelock.events import Log
from ryelock.http import Fields, HttpExchange, HttpServer, Limits, ProtocolProfile, field
from ryelock.http.errors import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Connection, Network, Queue, Scheduler
from ryelock.testing.stand_ins.servers import Objects, body_for


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


TAIL = b"HTTP/1.1 200 OK\r\nbytes that belong to nothing"
COLD_FACTOR = 4.0
FOREVER = 3600.0
Plain = dict[str, object]
Describe = Callable[["ServerLife", bool, float], Plain]
Table = Callable[[dict[str, Plain], str | None], Plain]


class Words:
    """How this platform spells things: in heads, and in its list.

    `life` is the field by which a server says which life it is; `listing` the list's path and
    `page` the name of a page's token in its query; `describe` writes a list entry of a server,
    its leaving and the milliseconds it stays slow, `table` a page of such entries.
    """

    __slots__ = ("describe", "dialect", "life", "listing", "page", "table")

    def __init__(
        self,
        dialect: ProtocolProfile,
        life: bytes,
        listing: str,
        page: str,
        describe: Describe,
        table: Table,
    ) -> None:
        """Set how the platform spells things."""
        self.dialect = dialect
        self.life = life
        self.listing = listing
        self.page = page
        self.describe = describe
        self.table = table


class ServiceStandIn:
    """What all servers of a service have in common.

    `repeats` tells which orders' names its answers bear: those that callers sent, and no others.
    """

    __slots__ = (
        "connections_most",
        "fitness_path",
        "hangs",
        "idle_seconds",
        "name",
        "objects",
        "queue",
        "rate",
        "repeats",
        "slots",
        "taken",
        "work_seconds",
    )

    def __init__(
        self,
        name: str,
        rate: float = 1e9,
        slots: int = 8,
        queue: int = 4,
        hangs: bool = False,
        work_seconds: float = 0.02,
        size: int = 600,
    ) -> None:
        """Create a service.

        Args:
            name: name of the service.
            rate: requests a second above which a server answers 429.
            slots: requests that a server runs at once.
            queue: requests that wait at a server for a slot.
            hangs: whether a full server says nothing instead of 503.
            work_seconds: how long a request runs.
            size: bytes of an object.
        """
        self.name = name
        self.rate = rate
        self.slots = slots
        self.queue = queue
        self.hangs = hangs
        self.work_seconds = work_seconds
        self.connections_most = 110
        self.idle_seconds = 5
        self.fitness_path = "/health"
        self.objects = Objects(size)
        self.taken: deque[float] = deque()
        self.repeats: Callable[[str], bool] = lambda _identity: True

    def over_rate(self, now: float) -> bool:
        """Count one more order of this second; those above the rate are counted as well."""
        while self.taken and self.taken[0] <= now - 1.0:
            self.taken.popleft()
        self.taken.append(now)
        return len(self.taken) > self.rate

    def body(self, target: str, revision: int) -> bytes:
        """Return the body of an object at a revision."""
        return body_for(self.name, target, revision, self.objects.size)

    def seal(self, target: str, revision: int) -> bytes:
        """The mark of an object, the same for the whole and for its parts."""
        told = f"seal {self.name} {target} {revision}".encode()
        return b"%d." % revision + hashlib.sha256(told).hexdigest()[:24].encode()


class Arrival:
    """One order as it reached a server, and whether the server ran it."""

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

    def __init__(self, at: float, life: "ServerLife", exchange: HttpExchange, body: bytes) -> None:
        """Note a request as it reached a server."""
        head = exchange.head
        dialect = life.words.dialect
        self.at = at
        self.service = life.service.name
        self.identifier = life.identifier
        self.method = head.method.decode("latin-1")
        self.target = head.target.decode("latin-1")
        self.host = (field(head.fields, b"host") or b"").decode("latin-1")
        self.identity = (field(head.fields, dialect.identity.lower()) or b"").decode("latin-1")
        self.expected = (field(head.fields, dialect.expected.lower()) or b"").decode("latin-1")
        said = field(head.fields, dialect.deadline.lower()) or b""
        self.deadline = int(said) / 1000 if said.isdigit() else FOREVER
        self.body = body
        self.connection = exchange.connection.peer
        self.ran = False
        self.status = 0


class StandInHttpServer(HttpServer):
    """Links above the most are reset, not answered."""

    __slots__ = ()

    def accept(self, connection: Connection) -> None:
        """Accept a connection, or reset it where there are too many."""
        if len(self.connections) >= self.limits.max_connections:
            connection.abort()
            return
        super().accept(connection)


class ServerLife:
    """One life of a server at an address."""

    __slots__ = (
        "address",
        "cold_until",
        "draining",
        "ended",
        "history",
        "identifier",
        "late",
        "listener",
        "manner",
        "manners",
        "random",
        "scheduler",
        "service",
        "speed",
        "version",
        "waiting",
        "words",
        "working",
        "zone",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        words: Words,
        service: ServiceStandIn,
        zone: str,
        identifier: str,
        address: str,
        history: list[Arrival],
        cold_seconds: float = 0.0,
    ) -> None:
        """Start a server at an address; it is slow for so many seconds."""
        self.scheduler = scheduler
        self.words = words
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
        self.cold_until = scheduler.now() + cold_seconds
        self.draining = False
        self.ended = False
        self.working = 0
        self.waiting: deque[Queue[bool]] = deque()
        self.late: dict[Connection, bytes] = {}
        self.listener = StandInHttpServer(
            scheduler,
            network,
            log,
            address,
            Limits(
                body_bytes=1 << 26,
                max_connections=service.connections_most,
                idle_seconds=float(service.idle_seconds),
                request_seconds=60.0,
            ),
            self.serve,
        )

    def close(self) -> None:
        """Gone at once: every link is reset where it is."""
        self.ended = True
        self.listener.stop_accepting()
        for connection, running in list(self.listener.connections.items()):
            running.cancel()
            connection.abort()

    # One order.

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request as the manner says."""
        try:
            body = await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        late = self.late.pop(exchange.connection, None)
        if late is not None:
            exchange.connection.write(late)
        arrival = Arrival(self.scheduler.now(), self, exchange, body)
        until = self.scheduler.now() + arrival.deadline
        if arrival.method == "GET" and arrival.target == self.service.fitness_path:
            await self.tell_fitness(exchange, until)
            return
        self.history.append(arrival)
        manner = self.manners.popleft() if self.manners else self.manner
        status = self.declines(arrival, manner)
        if status:
            await self.decline(exchange, arrival, status)
            return
        why = "hanging" if manner == Manner.HANGING else (await self.enter(until))
        if why == "hanging" or (why == "full" and self.service.hangs):
            await self.scheduler.sleep(FOREVER)
            return
        if why:
            await self.decline(exchange, arrival, 503)
            return
        try:
            await self.run(exchange, arrival, manner, until)
        finally:
            self.leave()

    def declines(self, arrival: Arrival, manner: Manner) -> int:
        """The status with which an order is turned away unrun, or 0."""
        if arrival.expected and arrival.expected != self.identifier:
            return 421
        if not arrival.identity and arrival.method != "GET":
            return 400
        if manner == Manner.LIMITED or self.service.over_rate(self.scheduler.now()):
            return 429
        return 503 if manner == Manner.FULL else 0

    async def decline(self, exchange: HttpExchange, arrival: Arrival, status: int) -> None:
        """Answer that a request was not run."""
        dialect = self.words.dialect
        arrival.status = status
        fields = self.named(arrival)
        fields.append((dialect.not_run, b"1"))
        if status == 421:
            fields.append((self.words.life, self.identifier.encode()))
        if status in (429, 503):
            fields.append((b"Retry-After", b"0.05"))
        if self.draining:
            exchange.keep_alive = False
        await exchange.respond(status, fields, b"")

    def named(self, arrival: Arrival) -> Fields:
        """Fields of every answer: whose it is, and how long the link is kept."""
        fields: Fields = [(b"Keep-Alive", b"timeout=%d" % self.service.idle_seconds)]
        if arrival.identity and self.service.repeats(arrival.identity):
            fields.append((self.words.dialect.identity, arrival.identity.encode("latin-1")))
        return fields

    async def tell_fitness(self, exchange: HttpExchange, until: float) -> None:
        """Answer a readiness check; it needs a slot as a request does."""
        why = await self.enter(min(until, self.scheduler.now() + 1.0))
        if not why:
            self.leave()
        fine = not why and not self.draining
        await exchange.respond(
            200 if fine else 503, [(self.words.life, self.identifier.encode())], b""
        )

    # Slots.

    async def enter(self, until: float) -> str:
        """Empty once a slot is had; else why none was."""
        if self.working < self.service.slots:
            self.working += 1
            return ""
        if len(self.waiting) >= self.service.queue:
            return "full"
        box: Queue[bool] = Queue(self.scheduler)
        self.waiting.append(box)
        try:
            found = await box.get(max(0.0, until - self.scheduler.now()))
        finally:
            if box in self.waiting:
                self.waiting.remove(box)
        return "" if found else "late"

    def leave(self) -> None:
        """Give the slot to the next request that waits, or free it."""
        if self.waiting:
            self.waiting.popleft().put(True)
        else:
            self.working -= 1

    # Running.

    async def run(
        self, exchange: HttpExchange, arrival: Arrival, manner: Manner, until: float
    ) -> None:
        """Run one request, and answer as the manner says."""
        arrival.ran = True
        now = self.scheduler.now()
        cold = COLD_FACTOR if now < self.cold_until else 1.0
        end = now + self.service.work_seconds * self.speed * cold * (
            0.7 + 0.6 * self.random.random()
        )
        while self.scheduler.now() < end:
            await self.scheduler.sleep(min(0.05, end - self.scheduler.now() + 1e-6))
            if exchange.client_disconnected:
                return
            if self.scheduler.now() >= until:
                arrival.status = 504
                await exchange.respond(504, self.named(arrival), b"too late\n")
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
            await exchange.respond(arrival.status, self.named(arrival), b"broken\n")
            return
        await self.give(exchange, arrival, manner)

    async def give(self, exchange: HttpExchange, arrival: Arrival, manner: Manner) -> None:
        """The object, as it now is."""
        status, fields, body = self.object_for(exchange, arrival)
        if manner != Manner.UNSEALED:
            revision = self.service.objects.revision(arrival.target)
            fields.append((self.words.dialect.seal, self.service.seal(arrival.target, revision)))
        arrival.status = status
        if manner == Manner.CLOSING or self.draining:
            exchange.keep_alive = False
        if manner == Manner.TWIN:
            self.late[exchange.connection] = raw_answer(status, fields, body)
        exchange.send_head(status, b"", fields, None if status == 304 else len(body))
        sent = body[: len(body) // 2] if manner == Manner.CUT else body
        if manner == Manner.BEHIND:
            sent += TAIL
        await exchange.send(sent, 30.0)
        if manner == Manner.CUT:
            await exchange.connection.drain(0, 5.0)
            exchange.abort()
        else:
            exchange.finish()

    def object_for(self, exchange: HttpExchange, arrival: Arrival) -> tuple[int, Fields, bytes]:
        """Status, fields and body of an object: whole, one range of it, or not changed."""
        revision = self.service.objects.revision(arrival.target)
        body = self.service.body(arrival.target, revision)
        tag = b'"r%d"' % revision
        fields = [
            *self.named(arrival),
            (b"ETag", tag),
            (self.words.dialect.labels, labels_of(arrival.target).encode()),
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


class HostingPlatform:
    """The platform's list: pages, a rate for all who call together, and a lag."""

    __slots__ = (
        "address",
        "calls",
        "cut_pages",
        "declined",
        "lag",
        "listener",
        "lives",
        "page_size",
        "rate",
        "raw",
        "scheduler",
        "shown",
        "silent",
        "taken",
        "words",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        words: Words,
        address: str,
        lag: float = 0.8,
        rate: float = 50.0,
        page_size: int = 50,
    ) -> None:
        """Start the list's listener.

        Args:
            scheduler: clock and timers.
            network: where to listen.
            log: event log.
            words: how the platform spells things.
            address: host:port to listen at.
            lag: seconds by which the list is behind.
            rate: requests a second above which it answers 429.
            page_size: servers on a page.
        """
        self.scheduler = scheduler
        self.words = words
        self.lag = lag
        self.rate = rate
        self.page_size = page_size
        self.lives: dict[str, ServerLife] = {}
        self.shown: list[tuple[float, str, str]] = []
        self.taken: deque[float] = deque()
        self.calls = 0
        self.declined = 0
        self.silent = False
        self.cut_pages: set[int] = set()
        self.raw: bytes | None = None
        self.listener = HttpServer(
            scheduler, network, log, address, Limits(max_connections=2000), self.serve
        )
        self.address = self.listener.address

    # What happens to servers; the list shows it later.

    def show(self, life: ServerLife) -> None:
        """List a server as ready."""
        self.lives[life.identifier] = life
        self.shown.append((self.scheduler.now(), life.identifier, "ready"))

    def drain(self, life: ServerLife) -> None:
        """A server is told to leave; it goes on serving what comes."""
        life.draining = True
        self.shown.append((self.scheduler.now(), life.identifier, "draining"))

    def end(self, life: ServerLife) -> None:
        """A server ends in order."""
        life.close()
        self.shown.append((self.scheduler.now(), life.identifier, ""))

    def crash(self, life: ServerLife, listed_seconds: float = 3.0) -> None:
        """A server ends of itself and stays on the list for a while."""
        life.close()
        self.shown.append((self.scheduler.now() + listed_seconds, life.identifier, ""))

    # What is shown.

    def states(self) -> dict[str, str]:
        """The state of each server as the list has it now, which is as it was a while ago."""
        then = self.scheduler.now() - self.lag
        found: dict[str, str] = {}
        for when, identifier, state in sorted(self.shown, key=lambda change: change[0]):
            if when <= then:
                found.pop(identifier, None)
                if state:
                    found[identifier] = state
        return found

    def over_rate(self) -> bool:
        """Count one more request of this second and tell whether it is too much."""
        now = self.scheduler.now()
        while self.taken and self.taken[0] <= now - 1.0:
            self.taken.popleft()
        self.taken.append(now)
        return len(self.taken) > self.rate

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request for a page of the list."""
        self.calls += 1
        if self.silent:
            await self.scheduler.sleep(FOREVER)
            return
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        if path != self.words.listing:
            await exchange.respond(404, [], b"")
            return
        if self.over_rate():
            self.declined += 1
            await exchange.respond(429, [(b"Retry-After", b"0.5")], b"")
            return
        asked = parse_qs(query)
        token = asked.get(self.words.page, [""])[0]
        start = int(token.removeprefix("p-")) if token else 0
        if start // self.page_size in self.cut_pages:
            exchange.abort()
            return
        body = self.raw if self.raw is not None else self.page(start, asked.get("zone", [""])[0])
        await exchange.respond(200, [(b"Content-Type", b"application/json")], body)

    def page(self, start: int, zone: str) -> bytes:
        """Return the page that begins at a position, of one zone or of all."""
        now = self.scheduler.now()
        states = {
            identifier: state
            for identifier, state in sorted(self.states().items())
            if not zone or self.lives[identifier].zone == zone
        }
        names = list(states)[start : start + self.page_size]
        entries: dict[str, Plain] = {}
        for identifier in names:
            life = self.lives[identifier]
            cold = max(0.0, life.cold_until - now) * 1000
            entries[identifier] = self.words.describe(life, states[identifier] != "ready", cold)
        following = start + self.page_size
        token = f"p-{following}" if following < len(states) else None
        return json.dumps(self.words.table(entries, token)).encode()
