"""The list of upstream servers that a node goes by, and how long it is believed."""

from ryelock.edge.session_messages import ServerListUpdate
from ryelock.membership import ServerList, servers_from_wire
from ryelock.runtime import Scheduler


class ServerListView:
    """The current server list, and one of another source that may not be the later one.

    Two control nodes read the platform independently. Of two readings that overlap nobody can say
    which is the later, so a list of another source is adopted only once it was certainly read
    after the current one, or the current one has expired.
    """

    __slots__ = ("current", "pending", "scheduler", "validity_seconds")

    def __init__(self, scheduler: Scheduler, validity_seconds: float) -> None:
        """Create a view without a list.

        Args:
            scheduler: the clock.
            validity_seconds: how long a list is believed after the platform was asked for it.
        """
        self.scheduler = scheduler
        self.validity_seconds = validity_seconds
        self.current: ServerList | None = None
        self.pending: ServerList | None = None

    def versions(self) -> dict[str, int]:
        """Return the versions known here, by source."""
        return {
            known.source: known.version
            for known in (self.current, self.pending)
            if known is not None
        }

    def apply(self, update: ServerListUpdate, requested_at: float) -> ServerList | None:
        """Take an update; return the list where it becomes the current one by it.

        Args:
            update: the list, or the confirmation of a known one.
            requested_at: monotonic time before the request that brought it, from which its age
                is counted: the list may be older than that, never younger.

        Raises:
            ValueError: the servers are malformed.
        """
        now = self.scheduler.now()
        platform_requested_at = requested_at - update.since_age
        platform_answered_at = now - update.seen_age
        found = self.known(update.source, update.version)
        if update.servers is not None:
            servers = servers_from_wire(update.servers)
            found = ServerList(
                update.source, update.version, servers, platform_requested_at, platform_answered_at
            )
        if found is None:
            return None
        found.confirm(platform_requested_at, platform_answered_at, self.validity_seconds)
        if found is self.current:
            return None
        if not self.supersedes_current(found, now):
            self.pending = found
            return None
        self.current, self.pending = found, None
        return found

    def known(self, source: str, version: int) -> ServerList | None:
        """Return the list of a source and version where it is held here."""
        for known in (self.current, self.pending):
            if known is not None and (known.source, known.version) == (source, version):
                return known
        return None

    def supersedes_current(self, found: ServerList, now: float) -> bool:
        """Return whether a list is to replace the current one."""
        current = self.current
        return (
            current is None
            or current.source == found.source
            or now >= current.valid_until
            or found.follows(current)
        )
