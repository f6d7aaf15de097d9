"""An edge's quota shares and grants, as reported to and assigned by the leader.

A share is a request rate that the edge may use until the share expires. A narrow service, whose
rate is too low to be divided among the edges, gets grants of single requests instead.
"""

import math
from collections.abc import Mapping

from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.edge.member import EdgeSession
from ryelock.rate_limit import GRANT_LIFETIME_SECONDS, Grant, is_low_rate, leaderless_share
from ryelock.runtime import Scheduler


class QuotaShares:
    """Reads and assigns the quota shares of the admission queues, by service."""

    __slots__ = ("admission_queues", "member", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        member: EdgeSession,
        admission_queues: Mapping[str, AdmissionQueue],
    ) -> None:
        """Create the quota shares of an edge.

        Args:
            scheduler: the clock.
            member: the session with the control plane.
            admission_queues: the edge's admission queues by service; the mapping may change.
        """
        self.scheduler = scheduler
        self.member = member
        self.admission_queues = admission_queues

    def demand(self) -> dict[str, float]:
        """Return the recent request rate in requests per second, by service."""
        return {name: queue.measure_demand() for name, queue in self.admission_queues.items()}

    def held(self) -> dict[str, float]:
        """Return the shares held now, in requests per second by service."""
        now = self.scheduler.now()
        return {
            name: queue.bucket.current_share(now) for name, queue in self.admission_queues.items()
        }

    def leaderless(self) -> dict[str, float]:
        """Return the shares that may be used while there is no leader, by service.

        These are the shares held, except for narrow services: only a leader can grant single
        requests, so these get `leaderless_share` instead.
        """
        edges = self.member.edges
        shares = self.held()
        for name, queue in self.admission_queues.items():
            service = queue.service
            if queue.bucket.uses_grants or is_low_rate(service.rate, service.burst_seconds, edges):
                shares[name] = leaderless_share(service.rate, service.burst_seconds, edges)
        return shares

    def wanted(self) -> dict[str, int]:
        """Return the number of requests waiting for a grant, by service; omits zeros."""
        return {
            name: queue.count_waiting()
            for name, queue in self.admission_queues.items()
            if queue.count_waiting()
        }

    def set_shares(self, shares: dict[str, float], expires_at: float, edges: int) -> None:
        """Assign shares until `expires_at`, or without expiry with `serve_lapsed`."""
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

        They expire GRANT_LIFETIME_SECONDS after the request was sent, so no later than in the
        leader's accounting.
        """
        for name, grant in grants.items():
            queue = self.admission_queues.get(name)
            if queue is None:
                continue
            queue.bucket.add_grants(grant, requested_at + GRANT_LIFETIME_SECONDS)
            queue.notify()
