"""Quota of each edge: shares of the services' rates, or grants of single requests."""

import math
from dataclasses import dataclass

from ryelock.control_plane.edge_leases import EdgeLeases
from ryelock.rate_limit import Grant, QuotaAllocator, QuotaRequest, is_low_rate
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message
from ryelock.settings import Settings


@dataclass(frozen=True, slots=True)
class EdgeQuota:
    """An edge's quota until its lease expires.

    Attributes:
        shares: requests per second, by service.
        grants: single requests, by service; for services whose rate is too low for shares.
        edge_count: number of edges among which the rates are divided.
    """

    shares: dict[str, float]
    grants: dict[str, Grant]
    edge_count: int

    def to_wire(self) -> Message:
        """Return the quota's fields of a renewal response."""
        return {
            "shares": self.shares,
            "grants": {name: grant.to_wire() for name, grant in self.grants.items()},
            "edges": max(1, self.edge_count),
        }


class QuotaShares:
    """Divides the rates of limited services among the edges by demand."""

    __slots__ = ("allocator", "leases", "replicated_state", "settings")

    def __init__(
        self, settings: Settings, leases: EdgeLeases, replicated_state: ReplicatedState
    ) -> None:
        """Create an allocator without demand."""
        self.settings = settings
        self.leases = leases
        self.replicated_state = replicated_state
        self.allocator = QuotaAllocator()

    def reset(self) -> None:
        """Drop demand and shares, which belong to an earlier Raft term."""
        self.allocator = QuotaAllocator()

    def report_demand(
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
        """Return an edge's quota; with the unexpired quota of all others it is within the rates.

        Args:
            edge: name of the edge.
            edges: names of all edges that are members.
            holding: shares that the edge holds now, in requests per second, by service.
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
        """Return the seconds until a grant for one of an edge's queued requests.

        Infinite if no grant is expected: nothing is queued for a service with grants, or this
        leader does not know yet what earlier leaders granted.
        """
        if not any(waiting.values()) or not self.leases.takeover_is_complete(now):
            return math.inf
        services = self.replicated_state.configuration.services
        return min(
            (
                self.allocator.seconds_until_grant(name, services[name].rate, now)
                for name in waiting
                if self.uses_grants(name, edge_count)
            ),
            default=math.inf,
        )

    def lacks_share(self, holding: dict[str, float], edge_count: int) -> bool:
        """Return True if an edge holds no share of a service whose rate is divided into shares."""
        return any(
            share <= 0 and self.uses_shares(name, edge_count) for name, share in holding.items()
        )

    def uses_grants(self, name: str, edge_count: int) -> bool:
        """Return True if a service's rate is too low to be divided among the edges."""
        service = self.replicated_state.configuration.services.get(name)
        return (
            service is not None
            and service.limited
            and is_low_rate(service.rate, service.burst_seconds, edge_count)
        )

    def uses_shares(self, name: str, edge_count: int) -> bool:
        """Return True if a service's rate is divided into shares."""
        service = self.replicated_state.configuration.services.get(name)
        return (
            service is not None
            and service.limited
            and not is_low_rate(service.rate, service.burst_seconds, edge_count)
        )

    def remove_edge(self, edge: str) -> None:
        """Drop the demand of a lost edge; its shares count until they expire."""
        self.allocator.remove_edge(edge)

    def release_edge(self, edge: str) -> None:
        """Drop the demand and shares of an edge that no longer serves."""
        self.allocator.release_edge(edge)
