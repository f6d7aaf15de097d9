"""Whether a node should get new callers, and its health report."""

from ryelock.edge.member import EdgeSession
from ryelock.replicated_state import ZONE_PREFIX
from ryelock.rpc import Message
from ryelock.settings import NodeRole, Settings

SERVING_VERDICTS = ("healthy", "stale")


class NodeReadiness:
    """Readiness of an edge, a prober or a control API without a disk."""

    __slots__ = ("member", "role", "settings", "stopping")

    def __init__(self, role: str, settings: Settings, member: EdgeSession) -> None:
        """Create the readiness of a node in a role."""
        self.role = role
        self.settings = settings
        self.member = member
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Whether the node should get new callers."""
        return not self.not_ready_reason

    @property
    def not_ready_reason(self) -> str:
        """Why this node should get no new callers; empty when it should."""
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
        """Return whether probes found the node's own zone down."""
        return self.member.verdicts().get(self.settings.zone) == "down"

    def other_zone_serves(self) -> bool:
        """Return whether a zone that is not drained can take the callers of this one."""
        drains = self.member.replicated_state.drains
        return any(
            zone != self.settings.zone
            and verdict in SERVING_VERDICTS
            and ZONE_PREFIX + zone not in drains
            for zone, verdict in self.member.verdicts().items()
        )

    def report(self) -> Message:
        """Return the health report that the control API answers with."""
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
