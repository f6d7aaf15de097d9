"""Assignment of edges and watches to probers, and the interval between probes.

Every prober computes the assignment from the members it knows; given the same members, all come to
the same result. Configured watches are probed at the interval of the settings. Derived watches are
probed less often where they would exceed a small fraction of their service's rate, since every
probe bypasses the caches and reaches a server.
"""

from itertools import islice

from ryelock.edge.membership_view import MembershipView
from ryelock.health import ProbeTarget
from ryelock.membership import Session
from ryelock.replicated_state import ReplicatedState, Watch
from ryelock.settings import NodeRole, Settings

MIN_PROBERS = 2
"""Machines that must probe a zone; where it has fewer, probers of other zones substitute."""
MAX_DERIVED_PROBE_FRACTION = 0.06
"""Fraction of a service's rate that probes for derived watches may use."""


class ProbeTargets:
    """Computes the targets of one prober."""

    __slots__ = ("membership", "replicated_state", "settings")

    def __init__(
        self, settings: Settings, replicated_state: ReplicatedState, membership: MembershipView
    ) -> None:
        """Create the targets of a prober.

        Args:
            settings: name and zone of the prober, and its probe interval.
            replicated_state: source of the watches.
            membership: source of the edges and the other probers.
        """
        self.settings = settings
        self.replicated_state = replicated_state
        self.membership = membership

    def current(self) -> list[ProbeTarget]:
        """Return the targets assigned to this node now, and targets for comparison."""
        edges = self.edges()
        watches = sorted(self.replicated_state.watches.items())
        if self.settings.probers_chosen:
            return self.assigned_targets(edges, watches)
        return self.zone_targets(edges, watches)

    def edges(self) -> dict[str, Session]:
        """Return the other edges by name, including lost ones."""
        sessions = {**self.membership.lost, **self.membership.members}
        return {
            name: session
            for name, session in sorted(sessions.items())
            if session.role == NodeRole.EDGE
            and session.request_address
            and name != self.settings.name
        }

    def zone_targets(
        self, edges: dict[str, Session], watches: list[tuple[str, Watch]]
    ) -> list[ProbeTarget]:
        """Return all edges as targets, for the mode in which each prober probes its whole zone."""
        sessions = {**self.membership.lost, **self.membership.members}
        intervals = self.intervals(watches, len(sessions))
        covered = self.covered_zones({session.zone for session in sessions.values()})
        return [
            probe_target(session, name, watch, session.zone not in covered, intervals[name])
            for session in edges.values()
            for name, watch in watches
        ]

    def assigned_targets(
        self, edges: dict[str, Session], watches: list[tuple[str, Watch]]
    ) -> list[ProbeTarget]:
        """Return the edges assigned to this node, and edges of other zones for comparison."""
        limit = self.settings.probers_chosen
        assignment = ProberAssignment(list(self.membership.members.values()))
        assigned = {
            name
            for name, session in edges.items()
            if self.settings.name in assignment.probers_of(session, limit)
        }
        if not assigned:
            return []
        intervals = self.intervals(watches, len(edges))
        return [
            probe_target(session, watch_name, watch, name not in assigned, intervals[watch_name])
            for name, session in edges.items()
            for watch_name, watch in watches
            if name in assigned or session.zone != self.settings.zone
        ]

    def intervals(self, watches: list[tuple[str, Watch]], edges: int) -> dict[str, float]:
        """Return the seconds between two probes of one edge, by name of the watch."""
        return {name: self.interval_seconds(name, watch, edges) for name, watch in watches}

    def interval_seconds(self, watch_name: str, watch: Watch, edges: int) -> float:
        """Return the seconds between two probes of one edge for a watch."""
        interval = self.settings.probe_seconds
        configuration = self.replicated_state.configuration
        route = configuration.routes.get(watch.route)
        if watch_name in configuration.watches or route is None:
            return interval
        service = configuration.services.get(route.service)
        if service is None or not service.limited:
            return interval
        probers = max(self.settings.probers_chosen, MIN_PROBERS)
        probes = edges * probers * max(1, self.derived_watch_count(route.service))
        return max(interval, probes / (MAX_DERIVED_PROBE_FRACTION * service.rate))

    def derived_watch_count(self, service: str) -> int:
        """Return the number of derived watches whose probes reach a service."""
        routes = self.replicated_state.configuration.routes
        return sum(
            watch.route in routes and routes[watch.route].service == service
            for watch in self.replicated_state.derived.values()
        )

    def covered_zones(self, zones: set[str]) -> set[str]:
        """Return this node's zone, and the zones for which it substitutes.

        For each zone with too few probing machines, MIN_PROBERS probers of other zones substitute:
        the first by name on distinct machines, so that every prober selects the same ones.
        """
        covered = {self.settings.zone}
        probers = sorted(
            (session.name, session.machine, session.zone)
            for session in self.membership.members.values()
            if session.probes
        )
        for zone in zones - covered:
            machines = {machine for _, machine, other in probers if other == zone}
            if len(machines) >= MIN_PROBERS:
                continue
            chosen: dict[str, str] = {}
            for name, machine, other in probers:
                if other != zone and len(chosen) < MIN_PROBERS:
                    chosen.setdefault(machine, name)
            if self.settings.name in chosen.values():
                covered.add(zone)
        return covered


class ProberAssignment:
    """Machines that can probe, by zone, in order of assignment.

    Ready machines come first, ordered by name, so that all nodes agree and the next machine takes
    over when one leaves. A machine that is not ready is used only where no other is available;
    without it, the recovery of a zone that is down would never be detected.
    """

    __slots__ = ("machines", "zones")

    def __init__(self, sessions: list[Session]) -> None:
        """Order the probing machines among the members' sessions."""
        self.machines: list[Session] = []
        self.zones: dict[str, dict[str, str]] = {}
        probers = [session for session in sessions if session.probes]
        for session in sorted(probers, key=lambda prober: (not prober.ready, prober.name)):
            machines = self.zones.setdefault(session.zone, {})
            if session.machine not in machines:
                machines[session.machine] = session.name
                self.machines.append(session)

    def probers_of(self, edge: Session, limit: int) -> list[str]:
        """Return the names of an edge's probers, none of them on the edge's own machine.

        At most `limit` probers of its zone, on distinct machines. Where fewer than MIN_PROBERS
        machines of the zone remain, up to MIN_PROBERS of other zones are added.
        """
        # One more than needed, since the edge's own machine may be among them.
        candidates = islice(self.zones.get(edge.zone, {}).items(), max(limit, MIN_PROBERS) + 1)
        own_zone = [name for machine, name in candidates if machine != edge.machine]
        if len(own_zone) >= MIN_PROBERS:
            return own_zone[:limit]
        other_zones = (
            session.name
            for session in self.machines
            if session.zone != edge.zone and session.machine != edge.machine
        )
        return own_zone[:limit] + list(islice(other_zones, MIN_PROBERS))


def probe_target(
    edge: Session, watch_name: str, watch: Watch, cross_zone: bool, interval_seconds: float
) -> ProbeTarget:
    """Return the target for an edge and a watch; `cross_zone` if it is only for comparison."""
    return ProbeTarget(
        edge.zone, edge.name, edge.request_address, watch_name, watch, cross_zone, interval_seconds
    )
