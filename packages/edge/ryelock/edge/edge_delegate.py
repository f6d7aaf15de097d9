"""Connects an edge's session to its request path, for reports and updates."""

from ryelock.edge.configuration_rollout import ConfigurationRollout
from ryelock.edge.handler import RequestHandler
from ryelock.edge.quota_shares import QuotaShares
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.membership import ServerList
from ryelock.rate_limit import Grant
from ryelock.runtime import Scheduler


class EdgeDelegate(SessionDelegate):
    """Passes reports and updates between a session and an edge's request path."""

    __slots__ = ("handler", "quota", "rollout", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        handler: RequestHandler,
        quota: QuotaShares,
        rollout: ConfigurationRollout,
    ) -> None:
        """Create the delegate of an edge."""
        self.scheduler = scheduler
        self.handler = handler
        self.quota = quota
        self.rollout = rollout

    def demand(self) -> dict[str, float]:
        """Return the recent request rate in requests per second, by service."""
        return self.quota.demand()

    def held_shares(self) -> dict[str, float]:
        """Return the quota shares held, in requests per second by service."""
        return self.quota.held()

    def quorum_lease_shares(self) -> dict[str, float]:
        """Return the quota shares that may be used under a quorum lease, by service."""
        return self.quota.leaderless()

    def wanted(self) -> dict[str, int]:
        """Return the number of requests waiting for a grant, by service."""
        return self.quota.wanted()

    def take_failed_callers(self) -> list[bytes]:
        """Return and clear the callers whose requests failed here since the last report."""
        return self.handler.context.retry_detector.take_new_reports()

    def recent_objects(self) -> list[list[str]]:
        """Return route, host and target of recently served objects."""
        return self.handler.served_objects.report()

    def on_configuration(self) -> None:
        """Roll the replicated configuration out to the request path."""
        self.rollout.apply()

    def on_server_list(self, server_list: ServerList) -> None:
        """Apply a new list of upstream servers."""
        self.handler.context.servers.update(server_list)

    def on_failed_callers(self, callers: list[bytes]) -> None:
        """Record callers that may retry here after a failure at another edge."""
        for caller in callers:
            self.handler.context.retry_detector.record(caller, self.scheduler.now())

    def on_shares(self, shares: dict[str, float], expires_at: float, edges: int) -> None:
        """Use quota shares until a monotonic time."""
        self.quota.set_shares(shares, expires_at, edges)

    def on_grants(self, grants: dict[str, Grant], requested_at: float) -> None:
        """Add granted requests of narrow services."""
        self.quota.add_grants(grants, requested_at)
