"""What a node's session asks of the node, and notifies it of."""

from ryelock.membership import ServerList
from ryelock.rate_limit import Grant


class SessionDelegate:
    """Reports for renewals, and the updates that they bring; this one does nothing.

    Nodes that carry no callers' requests (probers, control APIs) use it as it is.
    """

    __slots__ = ()

    def demand(self) -> dict[str, float]:
        """Return the requests a second that lately came, by service."""
        return {}

    def held_shares(self) -> dict[str, float]:
        """Return the quota shares held, in requests a second by service."""
        return {}

    def quorum_lease_shares(self) -> dict[str, float]:
        """Return the shares that may be spent under a quorum lease, by service."""
        return {}

    def wanted(self) -> dict[str, int]:
        """Return the requests that wait for a grant, by service."""
        return {}

    def take_failed_callers(self) -> list[bytes]:
        """Return callers whose requests failed since the last report."""
        return []

    def recent_objects(self) -> list[list[str]]:
        """Return route, host and target of objects lately served."""
        return []

    def on_configuration(self) -> None:
        """Follow the replicated state, which has changed."""

    def on_server_list(self, server_list: ServerList) -> None:
        """Follow a new list of upstream servers."""

    def on_failed_callers(self, callers: list[bytes]) -> None:
        """Take note of callers whose requests failed at other edges."""

    def on_shares(self, shares: dict[str, float], expires_at: float, edges: int) -> None:
        """Spend quota shares (requests a second by service) until a monotonic time."""

    def on_grants(self, grants: dict[str, Grant], requested_at: float) -> None:
        """Spend granted requests of narrow services, requested at a monotonic time."""
