"""Which edges a prober probes, for which watches, and how often.

Every prober works this out from the members it knows and comes to the same result as the others.
What an operator watches is probed as often as the settings say. A derived watch, which nobody
configured, may take but a small part of its service's rate: each probe asks past the caches, and on
a large site before a narrow service probes would otherwise take a fifth of it.
"""

from itertools import islice

from ryelock.edge.membership_view import MembershipView
from ryelock.health import ProbeTarget
from ryelock.membership import Session
from ryelock.replicated_state import ReplicatedState, Watch
from ryelock.settings import NodeRole, Settings

PROBERS_MIN = 2
"""Machines that must probe a zone; where it has fewer, so many of other zones step in."""
DERIVED_WATCH_RATE_PART = 0.06
"""Part of a service's rate that probes for derived watches may take."""


class ProbeTargets:
    """The targets of one prober."""

    __slots__ = ("membership", "replicated_state", "settings")

    def __init__(
        self, settings: Settings, replicated_state: ReplicatedState, membership: MembershipView
    ) -> None:
        """Create the targets of a prober.

        Args:
            settings: the prober's name and zone, and how often it probes.
            replicated_state: the watches, as they change.
            membership: the edges and the other probers, as they come and go.
        """
        self.settings = settings
        self.replicated_state = replicated_state
        self.membership = membership

    def current(self) -> list[ProbeTarget]:
        """Return what this node probes now, and what it compares with."""
        edges = self.edges()
        watches = sorted(self.replicated_state.watches.items())
        if self.settings.probers_chosen:
            return self.assigned_targets(edges, watches)
        return self.zone_targets(edges, watches)

    def edges(self) -> dict[str, Session]:
        """Return the other edges by name, those that were lost among them."""
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
        """Return all edges, where every prober probes its whole zone."""
        sessions = {**self.membership.lost, **self.membership.members}
        intervals = self.intervals(watches, len(sessions))
        covered = self.covered_zones({session.zone for session in sessions.values()})
        return [
            target_of(session, name, watch, session.zone not in covered, intervals[name])
            for session in edges.values()
            for name, watch in watches
        ]

    def assigned_targets(
        self, edges: dict[str, Session], watches: list[tuple[str, Watch]]
    ) -> list[ProbeTarget]:
        """Return the edges that this node is assigned to, and others that it compares with."""
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
            target_of(session, watch_name, watch, name not in assigned, intervals[watch_name])
            for name, session in edges.items()
            for watch_name, watch in watches
            if name in assigned or session.zone != self.settings.zone
        ]

    def intervals(self, watches: list[tuple[str, Watch]], edges: int) -> dict[str, float]:
        """Return the seconds between two probes of one edge, by the watch's name."""
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
        probers = max(self.settings.probers_chosen, PROBERS_MIN)
        probes = edges * probers * max(1, self.derived_watches(route.service))
        return max(interval, probes / (DERIVED_WATCH_RATE_PART * service.rate))

    def derived_watches(self, service: str) -> int:
        """Return how many derived watches probe a service."""
        routes = self.replicated_state.configuration.routes
        return sum(
            watch.route in routes and routes[watch.route].service == service
            for watch in self.replicated_state.derived.values()
        )

    def covered_zones(self, zones: set[str]) -> set[str]:
        """Return the own zone, and zones that have too few probing machines of their own.

        For each of those, PROBERS_MIN probers of other zones step in: the first by name, each on
        a machine of its own, so that every prober comes to the same ones.
        """
        covered = {self.settings.zone}
        probers = sorted(
            (session.name, session.machine, session.zone)
            for session in self.membership.members.values()
            if session.probes
        )
        for zone in zones - covered:
            machines = {machine for _, machine, other in probers if other == zone}
            if len(machines) >= PROBERS_MIN:
                continue
            chosen: dict[str, str] = {}
            for name, machine, other in probers:
                if other != zone and len(chosen) < PROBERS_MIN:
                    chosen.setdefault(machine, name)
            if self.settings.name in chosen.values():
                covered.add(zone)
        return covered


class ProberAssignment:
    """Machines that can probe, by zone and in the order in which they are assigned.

    Those that are ready come first, by name, so that every node comes to the same ones and the next
    takes over where one goes; one that is not ready probes where no other can, else a zone that is
    down would never be found to serve again.
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
        """Return the probers of an edge, by name: none on the edge's own machine.

        At most `limit` of its zone, on machines of their own. Where fewer than PROBERS_MIN
        machines of the zone are left, as many of other zones step in.
        """
        # One more than are needed: the edge's own machine may be among them.
        candidates = islice(self.zones.get(edge.zone, {}).items(), max(limit, PROBERS_MIN) + 1)
        inside = [name for machine, name in candidates if machine != edge.machine]
        if len(inside) >= PROBERS_MIN:
            return inside[:limit]
        outside = (
            session.name
            for session in self.machines
            if session.zone != edge.zone and session.machine != edge.machine
        )
        return inside[:limit] + list(islice(outside, PROBERS_MIN))


def target_of(
    edge: Session, watch_name: str, watch: Watch, outside: bool, interval_seconds: float
) -> ProbeTarget:
    """Return the target that an edge is for a watch; `outside` where it is only compared with."""
    return ProbeTarget(
        edge.zone, edge.name, edge.request_address, watch_name, watch, outside, interval_seconds
    )
