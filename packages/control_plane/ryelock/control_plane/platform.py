"""The servers that the platform lists, as this node knows them: by its own reading or another's.

Each control node reads the listing over and over. A follower tells the leader what it read, so
that any one node's reading is enough; it tells the servers only where the leader has others.
Every reading keeps the span in which the platform gave it. One replaces another only when it was
certainly read later, so a reading that was long on its way cannot bring a server back.
"""

from collections.abc import Callable

from expression import Error, Result

from ryelock.events import SERVER_LIST_REJECTED, SERVER_LIST_UNAVAILABLE, Log
from ryelock.http import fetch
from ryelock.membership import (
    Server,
    ServerList,
    ServerListError,
    decode_server_list,
    servers_from_wire,
)
from ryelock.runtime import Network, Scheduler, TaskCoroutine
from ryelock.settings import Settings

Plain = dict[str, object]
DUTY = "reader"
MISSED_SECONDS = 2.5
Listed = Result[list[Server], ServerListError]
Read = Callable[[], TaskCoroutine[Listed]]


class PlatformReader:
    __slots__ = (
        "digest",
        "heard",
        "listing",
        "log",
        "missed",
        "network",
        "on_duty",
        "on_news",
        "read_listing",
        "scheduler",
        "settings",
        "source",
    )

    def __init__(
        self, settings: Settings, scheduler: Scheduler, network: Network, log: Log, source: str
    ) -> None:
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.source = source
        self.listing: ServerList | None = None
        self.digest = b""
        self.heard = b""
        self.missed = False
        self.on_duty: Callable[[], bool] = lambda: True
        self.on_news: Callable[[], None] = lambda: None
        self.read_listing: Read = self.read_own

    async def work(self) -> None:
        """Read over and over; by duty where there is one, and where its holder tells nothing."""
        while True:
            held = self.listing
            silent = held is None or self.scheduler.now() - held.requested_at > MISSED_SECONDS
            if self.on_duty() or silent:
                await self.read()
            await self.scheduler.sleep(self.settings.listing_seconds)

    async def read_own(self) -> Listed:
        """The listing in this project's own form, see docs/platform.md."""
        found = await fetch(
            self.scheduler,
            self.network,
            self.settings.platform_address,
            b"GET",
            b"/servers",
            [],
            b"",
            1.0,
        )
        if found.is_error() or found.ok[0].status != 200:
            return Error(
                ServerListError(
                    "no answer" if found.is_error() else f"status {found.ok[0].status}", True
                )
            )
        return decode_server_list(found.ok[1])

    async def read(self) -> None:
        asked = self.scheduler.now()
        listed = await self.read_listing()
        if listed.is_error():
            if listed.error.missed:
                self.miss(str(listed.error))
            else:
                self.log.write(SERVER_LIST_REJECTED, fault=str(listed.error))
            return
        self.missed = False
        self.take(ServerList(self.source, 0, listed.ok, asked, self.scheduler.now()))

    def take(self, fresh: ServerList) -> None:
        """Follow a reading, this node's own or another's, if it is certainly the later one."""
        held = self.listing
        if held is not None and not fresh.follows(held):
            return
        digest = fresh.digest()
        fresh.version = held.version if held is not None else 0
        changed = digest != self.digest
        fresh.version += changed
        self.listing, self.digest = fresh, digest
        if changed:
            self.on_news()

    def miss(self, reason: str) -> None:
        if not self.missed:
            self.missed = True
            self.log.write(SERVER_LIST_UNAVAILABLE, reason=reason)

    def believed(self, now: float) -> ServerList | None:
        held = self.listing
        return (
            held
            if held is not None and now - held.requested_at <= self.settings.listing_term
            else None
        )

    # Between control nodes.

    def say(self) -> Plain | None:
        """What this node knows, for another control node, and how long ago it was read."""
        now = self.scheduler.now()
        held = self.believed(now)
        if held is None:
            return None
        found: Plain = {
            "digest": self.digest,
            "age": now - held.requested_at,
            "fresh": now - held.answered_at,
        }
        if self.heard != self.digest:
            found["servers"] = [server.to_wire() for server in held.servers]
        return found

    def hear(self, said: object, since: float | None) -> None:
        """What another knows; `since` is a moment before it was said, where there is one."""
        if not isinstance(said, dict):
            self.heard = b""
            return
        digest, servers = said.get("digest"), said.get("servers")
        self.heard = digest if isinstance(digest, bytes) else b""
        if since is None:
            return
        age, fresh = seconds_of(said.get("age")), seconds_of(said.get("fresh"))
        if isinstance(servers, list):
            found = servers_from_wire(servers)
        elif self.listing is not None and digest == self.digest:
            found = self.listing.servers
        else:
            return
        self.take(ServerList(self.source, 0, found, since - age, self.scheduler.now() - fresh))

    # To edges.

    def said(self, vector: dict[str, int], now: float) -> Plain | None:
        """The listing for a node with a vector: its age, and its servers where they are news."""
        held = self.believed(now)
        if held is None:
            return None
        found: Plain = {
            "source": self.source,
            "version": held.version,
            "age": now - held.requested_at,
            "fresh": now - held.answered_at,
        }
        if vector.get(self.source) != held.version:
            found["servers"] = [server.to_wire() for server in held.servers]
        return found


def seconds_of(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e9:
        raise ValueError("not seconds")
    return float(value)
