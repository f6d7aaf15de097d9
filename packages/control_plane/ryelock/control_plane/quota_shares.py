"""What each edge may spend of the services' rates: quota shares, or grants of whole requests."""

import math
from dataclasses import dataclass

from ryelock.control_plane.edge_leases import EdgeLeases
from ryelock.rate_limit import Grant, QuotaAllocator, QuotaRequest, is_low_rate
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message
from ryelock.settings import Settings


@dataclass(frozen=True, slots=True)
class EdgeQuota:
    """What one edge may spend until its lease expires.

    Attributes:
        shares: requests per second, by service.
        grants: whole requests of services whose rate is too low to be shared, by service.
        edge_count: number of edges that divide the rates.
    """

    shares: dict[str, float]
    grants: dict[str, Grant]
    edge_count: int

    def to_wire(self) -> Message:
        """Return the fields of a renewal's response."""
        return {
            "shares": self.shares,
            "grants": {name: grant.to_wire() for name, grant in self.grants.items()},
            "edges": max(1, self.edge_count),
        }


class QuotaShares:
    """Divides the rate of each limited service among the edges by their demand."""

    __slots__ = ("allocator", "leases", "replicated_state", "settings")

    def __init__(
        self, settings: Settings, leases: EdgeLeases, replicated_state: ReplicatedState
    ) -> None:
        """Create an allocator that knows no demand yet."""
        self.settings = settings
        self.leases = leases
        self.replicated_state = replicated_state
        self.allocator = QuotaAllocator()

    def reset(self) -> None:
        """Forget demand and shares: they belong to an earlier Raft term."""
        self.allocator = QuotaAllocator()

    def report(
        self, edge: str, demand: dict[str, float], waiting: dict[str, int], now: float
    ) -> None:
        """Record an edge's demand.

        Args:
            edge: name of the edge.
            demand: requests per second by service.
            waiting: requests in the edge's queues by service.
            now: monotonic time in seconds.
        """
        self.allocator.report_demand(edge, demand)
        for service in self.replicated_state.configuration.services:
            self.allocator.report_queued(service, edge, waiting.get(service, 0), now)

    def allocate(
        self,
        edge: str,
        edges: list[str],
        holding: dict[str, float],
        waiting: dict[str, int],
        now: float,
    ) -> EdgeQuota:
        """Return what an edge may spend, beside all that the other edges may still be spending.

        Args:
            edge: name of the edge.
            edges: names of all edges that are members.
            holding: requests per second that the edge holds now, by service.
            waiting: requests in the edge's queues by service.
            now: monotonic time in seconds.
        """
        shares: dict[str, float] = {}
        grants: dict[str, Grant] = {}
        for name, service in self.replicated_state.configuration.services.items():
            if not service.limited:
                continue
            request = QuotaRequest(
                service=name,
                rate=service.rate,
                burst_seconds=service.burst_seconds,
                edge=edge,
                current_share=holding.get(name, 0.0),
                queued=waiting.get(name, 0),
            )
            if is_low_rate(service.rate, service.burst_seconds, len(edges)):
                takeover_is_complete = self.leases.takeover_is_complete(now)
                grants[name] = self.allocator.grant(request, now, takeover_is_complete)
            else:
                shares[name] = self.share(request, edges, now)
        return EdgeQuota(shares, grants, len(edges))

    def share(self, request: QuotaRequest, edges: list[str], now: float) -> float:
        """Return an edge's share of a service's rate for one lease, in requests per second."""
        return self.allocator.share(
            request,
            edges,
            now,
            now + self.leases.lease_seconds,
            self.leases.takeover_is_complete(now),
            self.settings.serve_lapsed,
        )

    def seconds_until_grant(self, waiting: dict[str, int], edge_count: int, now: float) -> float:
        """Return seconds until a service that an edge has waiting requests for can grant one.

        Infinite where no grant is to be expected.
        """
        if not any(waiting.values()) or not self.leases.takeover_is_complete(now):
            return math.inf
        services = self.replicated_state.configuration.services
        return min(
            (
                self.allocator.seconds_until_grant(name, services[name].rate, now)
                for name in waiting
                if self.is_granted_whole(name, edge_count)
            ),
            default=math.inf,
        )

    def lacks_share(self, holding: dict[str, float], edge_count: int) -> bool:
        """Tell whether an edge holds nothing of a service whose rate is shared."""
        return any(held <= 0 and self.is_shared(name, edge_count) for name, held in holding.items())

    def is_granted_whole(self, name: str, edge_count: int) -> bool:
        """Tell whether a service's rate is too low for shares among so many edges."""
        service = self.replicated_state.configuration.services.get(name)
        return (
            service is not None
            and service.limited
            and is_low_rate(service.rate, service.burst_seconds, edge_count)
        )

    def is_shared(self, name: str, edge_count: int) -> bool:
        """Tell whether a service has a rate that is divided into shares."""
        service = self.replicated_state.configuration.services.get(name)
        return (
            service is not None
            and service.limited
            and not is_low_rate(service.rate, service.burst_seconds, edge_count)
        )

    def forget(self, edge: str) -> None:
        """Drop the demand of an edge that is lost; its shares run out by themselves."""
        self.allocator.remove_edge(edge)

    def release(self, edge: str) -> None:
        """Take back the shares of an edge that has stopped serving."""
        self.allocator.release_edge(edge)
