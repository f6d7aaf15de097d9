"""An edge's part of its services' rates: what it reports, and the shares and grants it is given.

A share is a rate that the edge may spend until it expires. A service so narrow that its rate
cannot be split among the edges is granted in whole requests instead.
"""

import math
from collections.abc import Mapping

from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.edge.member import EdgeSession
from ryelock.rate_limit import GRANT_LIFETIME_SECONDS, Grant, is_low_rate, leaderless_share
from ryelock.runtime import Scheduler


class QuotaShares:
    """Reads and sets the shares of the admission queues, by service."""

    __slots__ = ("admission_queues", "member", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        member: EdgeSession,
        admission_queues: Mapping[str, AdmissionQueue],
    ) -> None:
        """Create the shares of an edge over its admission queues, which come and go."""
        self.scheduler = scheduler
        self.member = member
        self.admission_queues = admission_queues

    def demand(self) -> dict[str, float]:
        """Return the requests a second that lately came, by service."""
        return {name: queue.measure_demand() for name, queue in self.admission_queues.items()}

    def held(self) -> dict[str, float]:
        """Return the shares held now, in requests a second by service."""
        now = self.scheduler.now()
        return {
            name: queue.bucket.current_share(now) for name, queue in self.admission_queues.items()
        }

    def without_leader(self) -> dict[str, float]:
        """Return what may be spent while there is no leader: what is held, or the reserve.

        Grants need a leader, so a narrow service falls back to its reserve.
        """
        edges = self.member.edges
        shares = self.held()
        for name, queue in self.admission_queues.items():
            service = queue.service
            if queue.bucket.uses_grants or is_low_rate(service.rate, service.burst_seconds, edges):
                shares[name] = leaderless_share(service.rate, service.burst_seconds, edges)
        return shares

    def wanted(self) -> dict[str, int]:
        """Return the requests that wait for a grant, by service where there are any."""
        return {
            name: queue.count_waiting()
            for name, queue in self.admission_queues.items()
            if queue.count_waiting()
        }

    def set_shares(self, shares: dict[str, float], expires_at: float, edges: int) -> None:
        """Replace the shares; where edges serve without a lease, they don't expire."""
        now = self.scheduler.now()
        if self.member.settings.serve_lapsed:
            expires_at = math.inf
        for name, share in shares.items():
            queue = self.admission_queues.get(name)
            if queue is not None:
                queue.bucket.assign_share(share, expires_at, now)
        for queue in self.admission_queues.values():
            queue.resize(queue.service, edges)

    def add_grants(self, grants: dict[str, Grant], requested_at: float) -> None:
        """Add granted requests of narrow services.

        They expire GRANT_LIFETIME_SECONDS after they were requested, as the leader's account of
        them does.
        """
        for name, grant in grants.items():
            queue = self.admission_queues.get(name)
            if queue is None:
                continue
            queue.bucket.add_grants(grant, requested_at + GRANT_LIFETIME_SECONDS)
            queue.notify()
