"""Metrics of a control node: consensus, membership, server list and quota."""

from ryelock.consensus import Consensus, Role
from ryelock.control_plane.lease_renewal import LeaseRenewals
from ryelock.metrics import Labels, Metrics
from ryelock.replicated_state import ReplicatedState


class ControlMetrics:
    """Gauges of a control node; those of rates and demand are maintained by the leader."""

    __slots__ = ("all", "consensus", "renewals", "replicated_state")

    def __init__(
        self, consensus: Consensus, replicated_state: ReplicatedState, renewals: LeaseRenewals
    ) -> None:
        """Register the gauges, which are read on demand."""
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.renewals = renewals
        self.all = Metrics()
        self.all.gauge("leads", "1 where this node leads.", self.leads)
        self.all.gauge("epoch", "The epoch of consensus.", lambda: {(): consensus.term})
        self.all.gauge(
            "version", "Version of the configuration.", lambda: {(): replicated_state.version}
        )
        self.all.gauge("edges", "Edges that are members.", lambda: {(): len(renewals.edges())})
        self.all.gauge(
            "server_list_age",
            "Seconds since the newest reading of the platform's server list was requested.",
            self.server_list_age,
        )
        self.all.gauge("rate", "Requests a second a service may get.", self.rates, "service")
        self.all.gauge("rate_given", "Sum of the shares given.", self.given, "service")
        self.all.gauge("demand", "Sum of the edges' demands.", self.demands, "service")

    def leads(self) -> dict[Labels, float]:
        """Return 1 if this node leads, else 0."""
        return {(): float(self.consensus.role == Role.LEADER)}

    def server_list_age(self) -> dict[Labels, float]:
        """Return the age of this node's newest reading in seconds; empty without one."""
        age = self.renewals.platform.reading_age()
        return {} if age is None else {(): age}

    def rates(self) -> dict[Labels, float]:
        """Return the rate of each service that has one, in requests per second."""
        services = self.replicated_state.configuration.services
        return {(name,): service.rate for name, service in services.items() if service.limited}

    def given(self) -> dict[Labels, float]:
        """Return the sum of unexpired shares of each service, in requests per second."""
        now = self.renewals.scheduler.now()
        return {
            (name,): sum(edge_shares.largest(now) for edge_shares in shares.values())
            for name, shares in self.renewals.quota.allocator.outstanding.items()
        }

    def demands(self) -> dict[Labels, float]:
        """Return the demand of all edges for each service, in requests per second."""
        demands = self.renewals.quota.allocator.demands
        return {(name,): sum(amounts.values()) for name, amounts in demands.items()}
