"""Interface through which a session reads a node's state and delivers updates to it."""

from ryelock.membership import ServerList
from ryelock.rate_limit import Grant


class SessionDelegate:
    """Reports nothing and ignores all updates.

    Used by nodes that serve no client traffic (probers, control APIs); others override it.
    """

    __slots__ = ()

    def demand(self) -> dict[str, float]:
        """Return the recent request rate in requests per second, by service."""
        return {}

    def held_shares(self) -> dict[str, float]:
        """Return the quota shares held, in requests per second by service."""
        return {}

    def quorum_lease_shares(self) -> dict[str, float]:
        """Return the quota shares that may be used under a quorum lease, by service."""
        return {}

    def wanted(self) -> dict[str, int]:
        """Return the number of requests waiting for a grant, by service."""
        return {}

    def take_failed_callers(self) -> list[bytes]:
        """Return and clear the callers whose requests failed since the last report."""
        return []

    def recent_objects(self) -> list[list[str]]:
        """Return route, host and target of recently served objects."""
        return []

    def on_configuration(self) -> None:
        """Apply the replicated state after it has changed."""

    def on_server_list(self, server_list: ServerList) -> None:
        """Apply a new list of upstream servers."""

    def on_failed_callers(self, callers: list[bytes]) -> None:
        """Record callers whose requests failed at other edges."""

    def on_shares(self, shares: dict[str, float], expires_at: float, edges: int) -> None:
        """Use quota shares (requests per second, by service) until a monotonic time."""

    def on_grants(self, grants: dict[str, Grant], requested_at: float) -> None:
        """Add granted requests of narrow services, requested at a monotonic time."""
