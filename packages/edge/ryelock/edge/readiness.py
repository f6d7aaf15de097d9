"""Readiness of a diskless node, and its health report."""

from ryelock.edge.member import EdgeSession
from ryelock.replicated_state import ZONE_PREFIX
from ryelock.rpc import Message
from ryelock.settings import NodeRole, Settings

SERVING_STATUSES = ("healthy", "stale")


class NodeReadiness:
    """Readiness of an edge, a prober or a diskless control API."""

    __slots__ = ("member", "role", "settings", "stopping")

    def __init__(self, role: str, settings: Settings, member: EdgeSession) -> None:
        """Create the readiness check of a node with a role."""
        self.role = role
        self.settings = settings
        self.member = member
        self.stopping = False

    @property
    def ready(self) -> bool:
        """True if the node should receive new client traffic."""
        return not self.not_ready_reason

    @property
    def not_ready_reason(self) -> str:
        """Reason why this node should receive no new client traffic; empty if it is ready."""
        if self.stopping:
            return "stopping"
        if self.role != NodeRole.EDGE:
            return "" if self.member.leader else "no leader is known"
        if not self.member.serving:
            return "no term"
        drains = self.member.replicated_state.drains
        if self.settings.name in drains:
            return "drained"
        if ZONE_PREFIX + self.settings.zone in drains:
            return "its zone is drained"
        if self.zone_is_down() and self.other_zone_serves():
            return "its zone is down and another serves"
        return ""

    def zone_is_down(self) -> bool:
        """Return True if the health status of the node's own zone is "down"."""
        return self.member.zone_statuses().get(self.settings.zone) == "down"

    def other_zone_serves(self) -> bool:
        """Return True if another zone that is not drained can take over this zone's traffic."""
        drains = self.member.replicated_state.drains
        return any(
            zone != self.settings.zone
            and status in SERVING_STATUSES
            and ZONE_PREFIX + zone not in drains
            for zone, status in self.member.zone_statuses().items()
        )

    def report(self) -> Message:
        """Return the health report that the control API serves."""
        reason = self.not_ready_reason
        session = self.member.session
        state = self.member.replicated_state
        return {
            "name": self.settings.name,
            "role": self.role,
            "zone": self.settings.zone,
            "ready": not reason,
            "reason": reason,
            "version": state.version,
            "index": state.index,
            "served": session.served,
            "orders": session.request_address,
            "leader": self.member.leader,
            "term_left": round(self.member.lease.seconds_left, 3),
        }
