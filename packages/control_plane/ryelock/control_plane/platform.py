"""The platform's list of servers as this node knows it: by its own reading or a peer's.

Each control node polls the list. A follower sends the leader what it read, so that any one node's
reading is enough; it sends the servers only where the leader has others. Every reading keeps the
interval in which the platform answered. One replaces another only when it was certainly read later,
so a delayed reading cannot bring a server back.
"""

from collections.abc import Callable

from expression import Error, Result

from ryelock.control_plane.errors import MalformedServerListUpdateError
from ryelock.events import SERVER_LIST_REJECTED, SERVER_LIST_UNAVAILABLE, Log
from ryelock.http import fetch
from ryelock.membership import (
    Server,
    ServerList,
    ServerListError,
    decode_server_list,
    servers_from_wire,
)
from ryelock.rpc import Message
from ryelock.runtime import Network, Scheduler, TaskCoroutine
from ryelock.settings import Settings

STALE_SECONDS = 2.5
"""A node reads the list itself where the one it knows is older than this."""
READ_TIMEOUT_SECONDS = 1.0
MAX_SECONDS = 1e9
Listed = Result[list[Server], ServerListError]
ReadList = Callable[[], TaskCoroutine[Listed]]


class PlatformReader:
    """Polls the platform's list and keeps the newest reading of any control node.

    Attributes:
        listing: the newest reading, None before the first.
        digest: of the servers in it.
        on_change: called when the servers have changed.
        read_listing: reads the list; a deployment may put its platform's own form here.
    """

    __slots__ = (
        "digest",
        "listing",
        "log",
        "network",
        "on_change",
        "peer_digest",
        "read_listing",
        "scheduler",
        "settings",
        "should_read",
        "source",
        "unavailable",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        source: str,
        should_read: Callable[[], bool],
    ) -> None:
        """Create a reader that knows no server yet.

        Args:
            settings: the node's settings.
            scheduler: clock and tasks.
            network: where to connect.
            log: where events are written.
            source: name under which nodes keep the list's version, unique to this run.
            should_read: tells whether this node polls also while it has a recent reading.
        """
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.source = source
        self.listing: ServerList | None = None
        self.digest = b""
        self.should_read = should_read
        self.peer_digest = b""
        self.unavailable = False
        self.on_change: Callable[[], None] = lambda: None
        self.read_listing: ReadList = self.fetch_list

    async def run(self) -> None:
        """Poll the list for the life of the process.

        Where one node reads it for all, another does too while it gets nothing from that node.
        """
        while True:
            listing = self.listing
            is_stale = (
                listing is None or self.scheduler.now() - listing.requested_at > STALE_SECONDS
            )
            if self.should_read() or is_stale:
                await self.read()
            await self.scheduler.sleep(self.settings.listing_seconds)

    async def fetch_list(self) -> Listed:
        """Fetch the list in this project's own form, see docs/platform.md."""
        response = await fetch(
            self.scheduler,
            self.network,
            self.settings.platform_address,
            b"GET",
            b"/servers",
            [],
            b"",
            READ_TIMEOUT_SECONDS,
        )
        if response.is_error():
            return Error(ServerListError("no answer", True))
        head, body = response.ok
        if head.status != 200:
            return Error(ServerListError(f"status {head.status}", True))
        return decode_server_list(body)

    async def read(self) -> None:
        """Read the list once; a failure leaves what is known as it is."""
        asked_at = self.scheduler.now()
        listed = await self.read_listing()
        if listed.is_ok():
            self.unavailable = False
            reading = ServerList(self.source, 0, listed.ok, asked_at, self.scheduler.now())
            self.take(reading)
        elif listed.error.missed:
            self.log_unavailable(str(listed.error))
        else:
            self.log.write(SERVER_LIST_REJECTED, fault=str(listed.error))

    def log_unavailable(self, reason: str) -> None:
        """Write an event when the platform stops answering, not for each failed reading."""
        if not self.unavailable:
            self.unavailable = True
            self.log.write(SERVER_LIST_UNAVAILABLE, reason=reason)

    def take(self, reading: ServerList) -> None:
        """Follow a reading, this node's own or a peer's, if it is certainly the later one."""
        listing = self.listing
        if listing is not None and not reading.follows(listing):
            return
        digest = reading.digest()
        has_changed = digest != self.digest
        reading.version = (listing.version if listing is not None else 0) + has_changed
        self.listing, self.digest = reading, digest
        if has_changed:
            self.on_change()

    def current_list(self, now: float) -> ServerList | None:
        """Return the newest reading; None where it is too old to be relied on."""
        listing = self.listing
        if listing is None or now - listing.requested_at > self.settings.listing_term:
            return None
        return listing

    # Between control nodes.

    def update_for_peer(self) -> Message | None:
        """Return the reading for another control node, its servers only where the peer has others.

        `age` and `fresh` are the seconds since the platform was asked and since it had answered.
        """
        now = self.scheduler.now()
        listing = self.current_list(now)
        if listing is None:
            return None
        update: Message = {
            "digest": self.digest,
            "age": now - listing.requested_at,
            "fresh": now - listing.answered_at,
        }
        if self.peer_digest != self.digest:
            update["servers"] = [server.to_wire() for server in listing.servers]
        return update

    def receive_from_peer(self, update: object, sent_at: float | None) -> None:
        """Take a peer's reading.

        Args:
            update: what the peer sent; None where it has no recent reading.
            sent_at: a monotonic time certainly before the peer sent it. Without one (None) the
                reading's age has no bound, and only the digest is taken.

        Raises:
            MalformedServerListUpdateError: an age is no number of seconds.
            ValueError: a server is malformed.
        """
        if not isinstance(update, dict):
            self.peer_digest = b""
            return
        digest, servers = update.get("digest"), update.get("servers")
        self.peer_digest = digest if isinstance(digest, bytes) else b""
        if sent_at is None:
            return
        age, fresh = parse_seconds(update.get("age")), parse_seconds(update.get("fresh"))
        if isinstance(servers, list):
            known = servers_from_wire(servers)
        elif self.listing is not None and digest == self.digest:
            known = self.listing.servers
        else:
            return
        answered_at = self.scheduler.now() - fresh
        self.take(ServerList(self.source, 0, known, sent_at - age, answered_at))

    # To edges and probers.

    def update_for_node(self, versions: dict[str, int], now: float) -> Message | None:
        """Return the reading's age for a node, with the servers where it has another version."""
        listing = self.current_list(now)
        if listing is None:
            return None
        update: Message = {
            "source": self.source,
            "version": listing.version,
            "age": now - listing.requested_at,
            "fresh": now - listing.answered_at,
        }
        if versions.get(self.source) != listing.version:
            update["servers"] = [server.to_wire() for server in listing.servers]
        return update


def parse_seconds(value: object) -> float:
    """Return a number of seconds; raises MalformedServerListUpdateError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedServerListUpdateError(value)
    if not 0 <= value < MAX_SECONDS:
        raise MalformedServerListUpdateError(value)
    return float(value)
