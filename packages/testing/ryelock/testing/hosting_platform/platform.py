"""The platform's list of servers: pages, a rate for all who call together, and a lag."""

import json
from collections import deque
from urllib.parse import parse_qs

from ryelock.events import Log
from ryelock.http import HttpExchange, HttpServer, Limits
from ryelock.runtime import Network, Scheduler
from ryelock.testing.hosting_platform.format import JsonObject, PlatformFormat
from ryelock.testing.hosting_platform.servers import NEVER_SECONDS, ServerInstance


class HostingPlatform:
    """The platform's list: pages, a rate for all who call together, and a lag."""

    __slots__ = (
        "address",
        "calls",
        "cut_pages",
        "format",
        "instances",
        "lag",
        "listener",
        "page_size",
        "rate",
        "raw_page",
        "recent_requests",
        "rejected",
        "scheduler",
        "shown",
        "silent",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        format: PlatformFormat,
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
            format: how the platform spells things.
            address: host:port to listen at.
            lag: seconds by which the list is behind.
            rate: requests a second above which it answers 429.
            page_size: servers on a page.
        """
        self.scheduler = scheduler
        self.format = format
        self.lag = lag
        self.rate = rate
        self.page_size = page_size
        self.instances: dict[str, ServerInstance] = {}
        self.shown: list[tuple[float, str, str]] = []
        self.recent_requests: deque[float] = deque()
        self.calls = 0
        self.rejected = 0
        self.silent = False
        self.cut_pages: set[int] = set()
        self.raw_page: bytes | None = None
        self.listener = HttpServer(
            scheduler, network, log, address, Limits(max_connections=2000), self.serve
        )
        self.address = self.listener.address

    # What happens to servers; the list shows it later.

    def show(self, instance: ServerInstance) -> None:
        """List a server as ready."""
        self.instances[instance.identifier] = instance
        self.shown.append((self.scheduler.now(), instance.identifier, "ready"))

    def drain(self, instance: ServerInstance) -> None:
        """Let a server drain; it goes on serving what comes."""
        instance.draining = True
        self.shown.append((self.scheduler.now(), instance.identifier, "draining"))

    def end(self, instance: ServerInstance) -> None:
        """End a server after its drain."""
        instance.close()
        self.shown.append((self.scheduler.now(), instance.identifier, ""))

    def crash(self, instance: ServerInstance, listed_seconds: float = 3.0) -> None:
        """A server ends of itself and stays on the list for a while."""
        instance.close()
        self.shown.append((self.scheduler.now() + listed_seconds, instance.identifier, ""))

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
        while self.recent_requests and self.recent_requests[0] <= now - 1.0:
            self.recent_requests.popleft()
        self.recent_requests.append(now)
        return len(self.recent_requests) > self.rate

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one request for a page of the list."""
        self.calls += 1
        if self.silent:
            await self.scheduler.sleep(NEVER_SECONDS)
            return
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        if path != self.format.list_path:
            await exchange.respond(404, [], b"")
            return
        if self.over_rate():
            self.rejected += 1
            await exchange.respond(429, [(b"Retry-After", b"0.5")], b"")
            return
        asked = parse_qs(query)
        token = asked.get(self.format.page_parameter, [""])[0]
        start = int(token.removeprefix("p-")) if token else 0
        if start // self.page_size in self.cut_pages:
            exchange.abort()
            return
        body = (
            self.raw_page
            if self.raw_page is not None
            else self.page(start, asked.get("zone", [""])[0])
        )
        await exchange.respond(200, [(b"Content-Type", b"application/json")], body)

    def page(self, start: int, zone: str) -> bytes:
        """Return the page that begins at a position, of one zone or of all."""
        now = self.scheduler.now()
        states = {
            identifier: state
            for identifier, state in sorted(self.states().items())
            if not zone or self.instances[identifier].zone == zone
        }
        names = list(states)[start : start + self.page_size]
        entries: dict[str, JsonObject] = {}
        for identifier in names:
            instance = self.instances[identifier]
            warming = max(0.0, instance.warming_until - now) * 1000
            entries[identifier] = self.format.encode_instance(
                instance, states[identifier] != "ready", warming
            )
        following = start + self.page_size
        token = f"p-{following}" if following < len(states) else None
        return json.dumps(self.format.encode_page(entries, token)).encode()
