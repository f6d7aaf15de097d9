"""Policy for drains and recoveries of edges and zones that operators request."""

from ryelock.control_plane.health_decisions import zone_statuses
from ryelock.membership import Membership
from ryelock.replicated_state import ZONE_PREFIX, ReplicatedState
from ryelock.settings import NodeRole

SERVING_STATUSES = ("healthy", "stale")
"""Health statuses of a zone that can take over the traffic of another."""


class DrainPolicy:
    """Finds objections to a drain or a recovery in health decisions and membership."""

    __slots__ = ("membership", "replicated_state")

    def __init__(self, replicated_state: ReplicatedState, membership: Membership) -> None:
        """Create the policy from the state that it evaluates."""
        self.replicated_state = replicated_state
        self.membership = membership

    def objection(self, target: str, drains: bool) -> str:
        """Return why a target must not be drained or recovered; empty if it may be."""
        return self.objection_to_drain(target) if drains else self.objection_to_recovery(target)

    def serving_edges(self) -> dict[str, list[str]]:
        """Return the names of the members that are undrained edges, by zone."""
        edges: dict[str, list[str]] = {}
        drains = self.replicated_state.drains
        for name, session in sorted(self.membership.members().items()):
            is_drained = name in drains or f"{ZONE_PREFIX}{session.zone}" in drains
            if session.role == NodeRole.EDGE and not is_drained:
                edges.setdefault(session.zone, []).append(name)
        return edges

    def objection_to_drain(self, target: str) -> str:
        """Return why an edge or a zone must not be drained; empty if it may be.

        An edge may be drained if another edge serves in its zone. A zone, or its last edge, may be
        drained if another zone can serve.
        """
        serving = self.serving_edges()
        statuses = zone_statuses(self.replicated_state)
        members = self.membership.members()
        if target.startswith(ZONE_PREFIX):
            zone = target.removeprefix(ZONE_PREFIX)
            if zone not in {session.zone for session in members.values()}:
                return f"there is no zone {zone}"
        else:
            session = members.get(target)
            if session is None or session.role != NodeRole.EDGE:
                return f"there is no edge {target}"
            zone = session.zone
            if any(name != target for name in serving.get(zone, [])):
                return ""
        if any(name != zone and statuses.get(name) in SERVING_STATUSES for name in serving):
            return ""
        return (
            f"no other zone is known to serve: {statuses or 'no verdict yet'}; "
            f"zone {zone} is needed"
        )

    def objection_to_recovery(self, target: str) -> str:
        """Return why a target must not be recovered; empty if it may be."""
        if target not in self.replicated_state.drains:
            return f"{target} is not drained"
        zone = target.removeprefix(ZONE_PREFIX) if target.startswith(ZONE_PREFIX) else ""
        if zone and zone_statuses(self.replicated_state).get(zone) == "down":
            return f"zone {zone} is down by its verdict"
        return ""
