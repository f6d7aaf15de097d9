"""Stand-ins for the outside: servers, the platform, callers. They keep their own histories.

A server answers by what it is told to be: whole, slow, cutting, lying about lengths, losing
answers. What it ran stands in its history, which checkers read; the system's own word is not
asked. Bodies follow from the service, the target and a revision, so that any byte can be
checked by whoever holds the answer.
"""

import hashlib
import json

from ryelock.events import Log
from ryelock.http import Fields, HttpExchange, HttpServer, Limits, field, http_date
from ryelock.http.reader import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Network, Scheduler

WHOLE, SLOW, CUT, SHORT, LONG, WRONG, LOST, FAILING, DEAF = (
    "whole",
    "slow",
    "cut",
    "short",
    "long",
    "wrong",
    "lost",
    "failing",
    "deaf",
)
MANNERS = (WHOLE, SLOW, CUT, SHORT, LONG, WRONG, LOST, FAILING, DEAF)


def body_for(service: str, target: str, revision: int, size: int) -> bytes:
    """The one right body of an object at a revision."""
    seed = hashlib.sha256(f"{service} {target} {revision}".encode()).hexdigest()
    start = f"OBJECT {service} {target} {revision} {seed} ".encode()
    return (start + seed.encode() * (size // len(seed) + 1))[: max(size, len(start))]


class Ran:
    """One order as a server saw it."""

    __slots__ = (
        "address",
        "at",
        "identity",
        "key",
        "method",
        "probe",
        "retry",
        "revision",
        "service",
        "target",
    )

    def __init__(
        self,
        at: float,
        service: str,
        address: str,
        method: str,
        target: str,
        identity: str,
        key: str,
        probe: bool,
        revision: int,
    ) -> None:
        """Note a request that a server ran, with the revision it answered."""
        self.at = at
        self.service = service
        self.address = address
        self.method = method
        self.target = target
        self.identity = identity
        self.key = key
        self.probe = probe
        self.retry = False
        self.revision = revision


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
        "clock_error",
        "dated",
        "delay",
        "history",
        "lifetime",
        "listener",
        "manner",
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
        history: list[Ran],
    ) -> None:
        """Start a server at an address; what it runs is added to the history."""
        self.scheduler = scheduler
        self.service = service
        self.objects = objects
        self.history = history
        self.manner = WHOLE
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
        """Serve one request as the manner says."""
        head = exchange.head
        try:
            await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        if self.manner == DEAF:
            await self.scheduler.sleep(3600)
            return
        target = head.target.decode("latin-1")
        revision = self.objects.revision(target)
        if self.delay:
            await self.scheduler.sleep(self.delay)
        ran = Ran(
            self.scheduler.now(),
            self.service,
            self.address,
            head.method.decode(),
            target,
            (field(head.fields, b"x-order-identity") or b"").decode(),
            (field(head.fields, b"idempotency-key") or b"").decode(),
            field(head.fields, b"x-ryelock-probe") is not None,
            revision,
        )
        ran.retry = field(head.fields, b"x-retry-count") is not None
        self.history.append(ran)
        if self.manner == SLOW:
            await self.scheduler.sleep(3.0)
        if self.manner == LOST:
            exchange.abort()
            return
        if self.manner == FAILING:
            await exchange.respond(500, [], b"broken\n")
            return
        body = body_for(self.service, target, revision, self.objects.size)
        fields = self.fields(target, revision)
        status = 200
        asked = field(head.fields, b"range")
        tag = field(fields, b"etag")
        if tag is not None and field(head.fields, b"if-none-match") == tag:
            await exchange.respond(304, fields, b"")
            return
        if asked == b"bytes=0-1023" and len(body) > 1024:
            status = 206
            fields.append((b"Content-Range", b"bytes 0-1023/%d" % len(body)))
            body = body[:1024]
        if self.manner == WRONG:
            exchange.connection.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 12\r\n\r\n" + body
            )
            exchange.abort()
            return
        length = len(body)
        if self.manner == LONG:
            body += b"tail that belongs to nothing"
        exchange.send_head(status, b"", fields, length + (50 if self.manner == SHORT else 0))
        if self.manner == CUT:
            body = body[: length // 2]
        await exchange.send(body, 30.0)
        if self.manner in (CUT, SHORT):
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
