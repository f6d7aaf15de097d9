"""The node's current list of upstream servers, and when it expires."""

from ryelock.edge.session_messages import ServerListUpdate
from ryelock.membership import ServerList, servers_from_wire
from ryelock.runtime import Scheduler


class ServerListView:
    """The current server list, and a pending one of another source.

    Control nodes read the platform independently of each other. When two reads overlap in time,
    their order is undefined. A list of another source is therefore pending until it was certainly
    read after the current one, or the current one has expired.
    """

    __slots__ = ("current", "pending", "scheduler", "validity_seconds")

    def __init__(self, scheduler: Scheduler, validity_seconds: float) -> None:
        """Create a view without a list.

        Args:
            scheduler: the clock.
            validity_seconds: validity period of a list, counted from the request to the platform.
        """
        self.scheduler = scheduler
        self.validity_seconds = validity_seconds
        self.current: ServerList | None = None
        self.pending: ServerList | None = None

    def versions(self) -> dict[str, int]:
        """Return the versions of the current and the pending list, by source."""
        return {
            server_list.source: server_list.version
            for server_list in (self.current, self.pending)
            if server_list is not None
        }

    def age(self) -> float | None:
        """Return the seconds since the current list was requested; None without a list."""
        if self.current is None:
            return None
        return self.scheduler.now() - self.current.requested_at

    def apply(self, update: ServerListUpdate, requested_at: float) -> ServerList | None:
        """Apply an update; return the list if it becomes the current one.

        Args:
            update: a list, or the confirmation of a known version.
            requested_at: monotonic time before the request whose response carried the update. The
                list's age counts from it, so that the list is never taken for newer than it is.

        Raises:
            ValueError: the servers are malformed.
        """
        now = self.scheduler.now()
        platform_requested_at = requested_at - update.request_age
        platform_answered_at = now - update.response_age
        server_list = self.find(update.source, update.version)
        if update.servers is not None:
            servers = servers_from_wire(update.servers)
            server_list = ServerList(
                update.source, update.version, servers, platform_requested_at, platform_answered_at
            )
        if server_list is None:
            return None
        server_list.confirm(platform_requested_at, platform_answered_at, self.validity_seconds)
        if server_list is self.current:
            return None
        if not self.supersedes_current(server_list, now):
            self.pending = server_list
            return None
        self.current, self.pending = server_list, None
        return server_list

    def find(self, source: str, version: int) -> ServerList | None:
        """Return the current or pending list if it has this source and version."""
        for server_list in (self.current, self.pending):
            if server_list is not None and (server_list.source, server_list.version) == (
                source,
                version,
            ):
                return server_list
        return None

    def supersedes_current(self, server_list: ServerList, now: float) -> bool:
        """Return True if a list should replace the current one."""
        current = self.current
        return (
            current is None
            or current.source == server_list.source
            or now >= current.valid_until
            or server_list.follows(current)
        )
