"""Polling of the platform's server list, and exchange of readings between control nodes.

A control node polls the list and takes the readings of its peers, so that the reading of any one
node reaches the leader; the servers are sent only if the receiver has others. Every reading has the
time interval in which the platform answered. It replaces the current one only if it was certainly
made later, so a delayed reading cannot restore a removed server.
"""

from collections.abc import Callable

from expression import Error, Result

from ryelock.control_plane.errors import MalformedServerListUpdateError
from ryelock.control_plane.reader_role import ReaderDuty, ReaderRole
from ryelock.events import (
    SERVER_LIST_REJECTED,
    SERVER_LIST_TAKEOVER,
    SERVER_LIST_UNAVAILABLE,
    Log,
)
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

READ_TIMEOUT_SECONDS = 1.0
AGE_CHECK_SECONDS = 0.1
"""How often a node that reads in another's place looks whether it has to."""
MAX_AGE_SECONDS = 1e9
ServerListResult = Result[list[Server], ServerListError]
ReadServerList = Callable[[], TaskCoroutine[ServerListResult]]


class PlatformReader:
    """Polls the server list and keeps the newest reading of all control nodes.

    Attributes:
        server_list: the newest reading; None before the first.
        digest: digest of its servers.
        peer_digest: digest of the servers that a peer last reported; empty if it had none.
        on_change: called when the servers have changed.
        read_server_list: reads the list; a deployment may set a reader for its platform's format.
        role: decides when this node reads the list.
        substituting: True while this node reads since the readings of the role's owner are overdue.
        unavailable: True while the platform does not answer.
    """

    __slots__ = (
        "digest",
        "log",
        "network",
        "on_change",
        "peer_digest",
        "read_server_list",
        "role",
        "scheduler",
        "server_list",
        "settings",
        "source",
        "substituting",
        "unavailable",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        source: str,
        role: ReaderRole,
    ) -> None:
        """Create a reader without a reading.

        Args:
            settings: the node's settings.
            scheduler: clock and tasks.
            network: opens connections.
            log: the event log.
            source: key of the list's version among those that a node keeps; unique to this run.
            role: decides when this node reads the list.
        """
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.source = source
        self.server_list: ServerList | None = None
        self.digest = b""
        self.role = role
        self.peer_digest = b""
        self.substituting = False
        self.unavailable = False
        self.on_change: Callable[[], None] = lambda: None
        self.read_server_list: ReadServerList = self.fetch_list

    async def run(self) -> None:
        """Read the list whenever the newest reading is older than this node's duty allows."""
        while True:
            duty = self.role.duty()
            if not self.is_due(duty):
                await self.scheduler.sleep(AGE_CHECK_SECONDS)
                continue
            self.log_takeover(duty)
            started_at = self.scheduler.now()
            if await self.read():
                await self.scheduler.sleep(self.settings.listing_seconds)
            else:
                # A read that timed out must not lengthen the time without a reading further.
                elapsed = self.scheduler.now() - started_at
                await self.scheduler.sleep(max(0.0, self.settings.listing_seconds - elapsed))

    def is_due(self, duty: ReaderDuty) -> bool:
        """Return True if the newest reading is too old for a node with this duty."""
        age = self.reading_age()
        return age is None or age >= self.role.max_reading_age(duty)

    def log_takeover(self, duty: ReaderDuty) -> None:
        """Write an event when this node begins to read in place of the role's owner."""
        if duty is not ReaderDuty.SUBSTITUTE:
            self.substituting = False
        elif not self.substituting and self.server_list is not None and self.role.owner:
            self.substituting = True
            self.log.write(SERVER_LIST_TAKEOVER, owner=self.role.owner, age=self.reading_age())

    async def fetch_list(self) -> ServerListResult:
        """Fetch the list in the format of docs/platform.md."""
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

    async def read(self) -> bool:
        """Read the list once; return False after a failure, by which the last reading stays."""
        requested_at = self.scheduler.now()
        listed = await self.read_server_list()
        if listed.is_ok():
            self.unavailable = False
            reading = ServerList(self.source, 0, listed.ok, requested_at, self.scheduler.now())
            self.adopt_if_later(reading)
            return True
        if listed.error.no_answer:
            self.log_unavailable(str(listed.error))
        else:
            self.log.write(SERVER_LIST_REJECTED, fault=str(listed.error))
        return False

    def log_unavailable(self, reason: str) -> None:
        """Write an event when the platform stops answering, not for each failed reading."""
        if not self.unavailable:
            self.unavailable = True
            self.log.write(SERVER_LIST_UNAVAILABLE, reason=reason)

    def adopt_if_later(self, reading: ServerList) -> bool:
        """Replace the current reading by one that was certainly made later; return True if so."""
        server_list = self.server_list
        if server_list is not None and not reading.follows(server_list):
            return False
        digest = reading.digest()
        has_changed = digest != self.digest
        reading.version = (server_list.version if server_list is not None else 0) + has_changed
        self.server_list, self.digest = reading, digest
        if has_changed:
            self.on_change()
        return True

    def reading_age(self) -> float | None:
        """Return the seconds since the newest reading was requested; None before the first."""
        if self.server_list is None:
            return None
        return self.scheduler.now() - self.server_list.requested_at

    def current_list(self, now: float) -> ServerList | None:
        """Return the newest reading; None if it has expired or there is none."""
        server_list = self.server_list
        if server_list is None or now - server_list.requested_at > self.settings.listing_term:
            return None
        return server_list

    # Exchange between control nodes.

    def update_for_peer(self) -> Message | None:
        """Return the newest reading for a peer, with its servers only if the peer has others.

        `age` and `fresh` are the seconds since the request to the platform and since its answer.
        """
        now = self.scheduler.now()
        server_list = self.current_list(now)
        if server_list is None:
            return None
        update: Message = {
            "digest": self.digest,
            "age": now - server_list.requested_at,
            "fresh": now - server_list.answered_at,
        }
        if self.peer_digest != self.digest:
            update["servers"] = [server.to_wire() for server in server_list.servers]
        return update

    def receive_from_peer(self, update: object, sent_at: float | None) -> None:
        """Adopt a peer's reading if it is later.

        Args:
            update: the peer's update; None if it has no recent reading.
            sent_at: a monotonic time certainly before the peer sent the update, from which its
                age counts. If None, the age has no bound, and only the digest is recorded.

        Raises:
            MalformedServerListUpdateError: an age is not a number of seconds.
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
            peer_servers = servers_from_wire(servers)
        elif self.server_list is not None and digest == self.digest:
            peer_servers = self.server_list.servers
        else:
            return
        answered_at = self.scheduler.now() - fresh
        reading = ServerList(self.source, 0, peer_servers, sent_at - age, answered_at)
        if self.adopt_if_later(reading):
            self.substituting = False

    # Updates for edges and probers.

    def update_for_node(self, versions: dict[str, int], now: float) -> Message | None:
        """Return the newest reading for a node, with its servers only if its version differs."""
        server_list = self.current_list(now)
        if server_list is None:
            return None
        update: Message = {
            "source": self.source,
            "version": server_list.version,
            "age": now - server_list.requested_at,
            "fresh": now - server_list.answered_at,
        }
        if versions.get(self.source) != server_list.version:
            update["servers"] = [server.to_wire() for server in server_list.servers]
        return update


def parse_seconds(value: object) -> float:
    """Return a number of seconds; raises MalformedServerListUpdateError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedServerListUpdateError(value)
    if not 0 <= value < MAX_AGE_SECONDS:
        raise MalformedServerListUpdateError(value)
    return float(value)
