"""Stand-ins for servers and for the platform's list of them; they keep their own histories.

A server answers by its behavior: sound, slow, cutting, lying about lengths, losing answers. What
it ran stands in its history, which checkers read in place of what the system says of itself.
Bodies follow from the service, the target and a revision, so that any byte can be checked.
"""

import hashlib
import json
from dataclasses import dataclass
from enum import StrEnum

from ryelock.events import Log
from ryelock.http import Fields, HttpExchange, HttpServer, Limits, RequestHead, field, http_date
from ryelock.http.errors import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Network, Scheduler


class ServerBehavior(StrEnum):
    """How a server answers."""

    SOUND = "whole"
    """It answers at once, completely."""
    SLOW = "slow"
    """It answers after 3 s."""
    CUT = "cut"
    """It ends the connection in the middle of the body."""
    SHORT = "short"
    """It declares more bytes than it sends."""
    LONG = "long"
    """It sends more bytes than it declares."""
    WRONG = "wrong"
    """It declares two lengths that contradict each other."""
    LOST = "lost"
    """It runs the request and ends the connection without an answer."""
    FAILING = "failing"
    """It answers 500."""
    DEAF = "deaf"
    """It reads the request, does not run it and never answers."""


SLOW_SECONDS = 3.0
NEVER_SECONDS = 3600.0


def body_for(service: str, target: str, revision: int, size: int) -> bytes:
    """The one right body of an object at a revision."""
    seed = hashlib.sha256(f"{service} {target} {revision}".encode()).hexdigest()
    start = f"OBJECT {service} {target} {revision} {seed} ".encode()
    return (start + seed.encode() * (size // len(seed) + 1))[: max(size, len(start))]


@dataclass(slots=True, eq=False)
class ServedRequest:
    """One request as the server that ran it saw it.

    Attributes:
        at: monotonic seconds at which it was run.
        service: name of the server's service.
        address: host:port of the server.
        method: HTTP method.
        target: path with query.
        identity: the caller's name for the request; empty where it has none.
        key: the Idempotency-Key field; empty without one.
        probe: whether a prober sent it.
        revision: revision of the object that the answer bears.
        retry: whether its sender marked it as a retry.
    """

    at: float
    service: str
    address: str
    method: str
    target: str
    identity: str
    key: str
    probe: bool
    revision: int
    retry: bool = False


class Objects:
    """The revisions of objects that all servers of a service share."""

    __slots__ = ("changed_at", "revisions", "size")

    def __init__(self, size: int = 2000) -> None:
        """Create objects of so many bytes, all at revision 0."""
        self.size = size
        self.revisions: dict[str, int] = {}
        self.changed_at: dict[str, float] = {}

    def revision(self, target: str) -> int:
        """Return the present revision of an object."""
        return self.revisions.get(target, 0)

    def change(self, target: str, wall: float) -> None:
        """Give an object its next revision; `wall` is seconds since 1970."""
        self.revisions[target] = self.revision(target) + 1
        self.changed_at[target] = wall


class ServerStandIn:
    """One server of a service."""

    __slots__ = (
        "address",
        "behavior",
        "clock_error",
        "dated",
        "delay",
        "history",
        "lifetime",
        "listener",
        "modified",
        "objects",
        "scheduler",
        "service",
        "tagged",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        service: str,
        address: str,
        objects: Objects,
        history: list[ServedRequest],
    ) -> None:
        """Start a server at an address; what it runs is added to the history."""
        self.scheduler = scheduler
        self.service = service
        self.objects = objects
        self.history = history
        self.behavior = ServerBehavior.SOUND
        self.delay = 0.0
        self.lifetime = ""
        self.modified = False
        self.tagged = True
        self.dated = True
        self.clock_error = 0.0
        self.listener = HttpServer(
            scheduler,
            network,
            log,
            address,
            Limits(max_connections=20_000, idle_seconds=60.0, request_seconds=60.0),
            self.serve,
        )
        self.address = self.listener.address

    def close(self) -> None:
        """Gone at once: every link ends where it is."""
        self.listener.stop_accepting()
        for connection, running in list(self.listener.connections.items()):
            running.cancel()
            connection.abort()

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request as the behavior has it."""
        try:
            await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        if self.behavior == ServerBehavior.DEAF:
            await self.scheduler.sleep(NEVER_SECONDS)
            return
        target = exchange.head.target.decode("latin-1")
        revision = self.objects.revision(target)
        if self.delay:
            await self.scheduler.sleep(self.delay)
        self.history.append(self.served_request(exchange.head, target, revision))
        if self.behavior == ServerBehavior.SLOW:
            await self.scheduler.sleep(SLOW_SECONDS)
        if self.behavior == ServerBehavior.LOST:
            exchange.abort()
            return
        if self.behavior == ServerBehavior.FAILING:
            await exchange.respond(500, [], b"broken\n")
            return
        await self.answer(exchange, target, revision)

    def served_request(self, head: RequestHead, target: str, revision: int) -> ServedRequest:
        """Return the record of a request that runs now."""
        return ServedRequest(
            self.scheduler.now(),
            self.service,
            self.address,
            head.method.decode(),
            target,
            (field(head.fields, b"x-order-identity") or b"").decode(),
            (field(head.fields, b"idempotency-key") or b"").decode(),
            field(head.fields, b"x-ryelock-probe") is not None,
            revision,
            field(head.fields, b"x-retry-count") is not None,
        )

    async def answer(self, exchange: HttpExchange, target: str, revision: int) -> None:
        """Answer with the object, a range of it, or that it has not changed."""
        asked = exchange.head.fields
        body = body_for(self.service, target, revision, self.objects.size)
        fields = self.fields(target, revision)
        status = 200
        tag = field(fields, b"etag")
        if tag is not None and field(asked, b"if-none-match") == tag:
            await exchange.respond(304, fields, b"")
            return
        if field(asked, b"range") == b"bytes=0-1023" and len(body) > 1024:
            status = 206
            fields.append((b"Content-Range", b"bytes 0-1023/%d" % len(body)))
            body = body[:1024]
        if self.behavior == ServerBehavior.WRONG:
            exchange.connection.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 12\r\n\r\n" + body
            )
            exchange.abort()
            return
        await self.send_body(exchange, status, fields, body)

    async def send_body(
        self, exchange: HttpExchange, status: int, fields: Fields, body: bytes
    ) -> None:
        """Send head and body; the behavior may make them disagree or end too soon."""
        length = len(body)
        if self.behavior == ServerBehavior.LONG:
            body += b"tail that belongs to nothing"
        excess = 50 if self.behavior == ServerBehavior.SHORT else 0
        exchange.send_head(status, b"", fields, length + excess)
        if self.behavior == ServerBehavior.CUT:
            body = body[: length // 2]
        await exchange.send(body, 30.0)
        # The behavior may have changed while the body was sent.
        if self.behavior in (ServerBehavior.CUT, ServerBehavior.SHORT):
            await exchange.connection.drain(0, 5.0)
            exchange.abort()
        else:
            exchange.finish()

    def fields(self, target: str, revision: int) -> Fields:
        """Return the header fields of an object's answer."""
        wall = self.scheduler.clock.wall() + self.clock_error
        fields: Fields = [(b"Content-Type", b"application/octet-stream")]
        if self.dated:
            fields.append((b"Date", http_date(wall)))
        if self.tagged:
            fields.append((b"ETag", b'"%d"' % revision))
        if self.lifetime:
            fields.append((b"Cache-Control", self.lifetime.encode()))
        if self.modified:
            changed = self.objects.changed_at.get(target, 0.0)
            fields.append((b"Last-Modified", http_date(changed + self.clock_error)))
        return fields


class PlatformStandIn:
    """Lists servers over HTTP, as docs/platform.md has it."""

    __slots__ = ("address", "listener", "scheduler", "servers", "shown_since", "silent")

    def __init__(self, scheduler: Scheduler, network: Network, log: Log, address: str) -> None:
        """Start the list's listener at an address."""
        self.scheduler = scheduler
        self.servers: dict[str, dict[str, object]] = {}
        self.shown_since: list[tuple[float, str, str, bool]] = []
        self.silent = False
        self.listener = HttpServer(
            scheduler, network, log, address, Limits(max_connections=2000), self.serve
        )
        self.address = self.listener.address

    def show(
        self, service: str, address: str, zone: str, incarnation: int, leaving: bool = False
    ) -> None:
        """List a server, or change how it is listed."""
        self.servers[address] = {
            "service": service,
            "address": address,
            "zone": zone,
            "incarnation": incarnation,
            "leaving": leaving,
        }
        self.shown_since.append((self.scheduler.now(), service, address, leaving))

    def hide(self, address: str) -> None:
        """Take a server off the list."""
        if self.servers.pop(address, None) is not None:
            self.shown_since.append((self.scheduler.now(), "", address, True))

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request for the list."""
        if self.silent:
            exchange.abort()
            return
        if exchange.head.target != b"/servers":
            await exchange.respond(404, [], b"")
            return
        body = json.dumps({"servers": list(self.servers.values())}).encode()
        await exchange.respond(200, [(b"Content-Type", b"application/json")], body)
