"""Which edges a prober probes, for which watches, and how often.

Every prober works this out from the members it knows and comes to the same as the others. What an
operator watches is probed as often as the settings say. A watch that was made up, which nobody
ordered, may take but a small part of its service's rate: each probe asks past the caches, and on a
large site before a narrow service they would otherwise take a fifth of it.
"""

from itertools import islice

from ryelock.edge.membership_view import MembershipView
from ryelock.health import ProbeTarget
from ryelock.membership import Session
from ryelock.replicated_state import ReplicatedState, Watch
from ryelock.settings import Settings

STAND_INS = 2
"""Probers that stand in for a zone with too few of its own."""
MADE_UP_RATE_PART = 0.06
"""Part of a service's rate that probes for made-up watches may take."""


class ProbeTargets:
    """The targets of one prober."""

    __slots__ = ("membership", "replicated_state", "settings")

    def __init__(
        self, settings: Settings, replicated_state: ReplicatedState, membership: MembershipView
    ) -> None:
        """Create the view of a prober; it follows the register and the members."""
        self.settings = settings
        self.replicated_state = replicated_state
        self.membership = membership

    def seconds_by_watch(self, watches: list[tuple[str, Watch]], edges: int) -> dict[str, float]:
        """Return the seconds between two probes of one edge, by the watch's name."""
        return {name: self.seconds_of(name, watch, edges) for name, watch in watches}

    def seconds_of(self, watch_name: str, watch: Watch, edges: int) -> float:
        """Return the seconds between two probes of one edge for a watch."""
        seconds = self.settings.probe_seconds
        configuration = self.replicated_state.configuration
        route = configuration.routes.get(watch.route)
        if watch_name in configuration.watches or route is None:
            return seconds
        service = configuration.services.get(route.service)
        if service is None or not service.limited:
            return seconds
        made_up = sum(
            other.route in configuration.routes
            and configuration.routes[other.route].service == route.service
            for other in self.replicated_state.derived.values()
        )
        probes = edges * max(self.settings.probers_chosen, STAND_INS) * max(1, made_up)
        return max(seconds, probes / (MADE_UP_RATE_PART * service.rate))

    def all(self) -> list[ProbeTarget]:
        """Return what this node probes now, and what it compares with."""
        found: list[ProbeTarget] = []
        edges = {**self.membership.gone, **self.membership.members}
        watches = sorted(self.replicated_state.watches.items())
        if self.settings.probers_chosen:
            return self.chosen_targets(edges, watches)
        seconds = self.seconds_by_watch(watches, len(edges))
        covered = self.covered_zones({session.zone for session in edges.values()})
        for name, session in sorted(edges.items()):
            if session.role != "edge" or not session.order or name == self.settings.name:
                continue
            for watch_name, watch in watches:
                found.append(
                    ProbeTarget(
                        session.zone,
                        name,
                        session.order,
                        watch_name,
                        watch,
                        session.zone not in covered,
                        seconds[watch_name],
                    )
                )
        return found

    def chosen_targets(
        self, edges: dict[str, Session], watches: list[tuple[str, Watch]]
    ) -> list[ProbeTarget]:
        """Edges that this node is one of the few probers of; others it only compares with."""
        most = self.settings.probers_chosen
        probing = Probing(list(self.membership.members.values()))
        found = {
            name: session
            for name, session in sorted(edges.items())
            if session.role == "edge" and session.order and name != self.settings.name
        }
        inside = {
            name
            for name, session in found.items()
            if self.settings.name in probing.of(session, most)
        }
        if not inside:
            return []
        seconds = self.seconds_by_watch(watches, len(found))
        return [
            ProbeTarget(
                session.zone,
                name,
                session.order,
                watch_name,
                watch,
                name not in inside,
                seconds[watch_name],
            )
            for name, session in found.items()
            for watch_name, watch in watches
            if name in inside or session.zone != self.settings.zone
        ]

    def covered_zones(self, zones: set[str]) -> set[str]:
        """The own zone, and zones that are left with too few probing machines of their own.

        For each of those, two probers of other zones stand in: the first by name, on two
        machines, so that every prober comes to the same two.
        """
        covered = {self.settings.zone}
        probing = sorted(
            (session.name, session.machine, session.zone)
            for session in self.membership.members.values()
            if session.probes
        )
        for zone in zones - covered:
            if len({machine for _, machine, other in probing if other == zone}) >= STAND_INS:
                continue
            chosen: dict[str, str] = {}
            for name, machine, other in probing:
                if other != zone and len(chosen) < STAND_INS:
                    chosen.setdefault(machine, name)
            if self.settings.name in chosen.values():
                covered.add(zone)
        return covered


class Probing:
    """Machines that can probe, by zone and in the order in which they are taken.

    Those that are ready come first, by name, so that every node comes to the same and the next
    takes over where one goes; one that is not ready probes where no other can, else a zone that is
    down would never be found to serve again.
    """

    __slots__ = ("machines", "zones")

    def __init__(self, sessions: list[Session]) -> None:
        """Order the probing machines among the members' sessions."""
        self.machines: list[Session] = []
        self.zones: dict[str, dict[str, str]] = {}
        for session in sorted(
            (session for session in sessions if session.probes),
            key=lambda session: (not session.ready, session.name),
        ):
            machines = self.zones.setdefault(session.zone, {})
            if session.machine not in machines:
                machines[session.machine] = session.name
                self.machines.append(session)

    def of(self, edge: Session, most: int) -> list[str]:
        """Who probes an edge: so many of its zone, on machines of their own, none on the edge's.

        Where fewer than two machines of the zone are left, two of other zones stand in.
        """
        inside = [
            name
            for machine, name in islice(
                self.zones.get(edge.zone, {}).items(), max(most, STAND_INS) + 1
            )
            if machine != edge.machine
        ]
        if len(inside) >= STAND_INS:
            return inside[:most]
        others = (
            session.name
            for session in self.machines
            if session.zone != edge.zone and session.machine != edge.machine
        )
        return inside[:most] + list(islice(others, STAND_INS))
