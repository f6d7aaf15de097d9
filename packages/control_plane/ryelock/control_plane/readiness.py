"""Readiness and health report of a control node."""

from ryelock.consensus import Consensus, Role
from ryelock.consensus.status import member_status
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message
from ryelock.settings import NodeRole, Settings


class NodeReadiness:
    """Readiness of a control node.

    Attributes:
        stopping: True once the node shuts down.
    """

    __slots__ = ("consensus", "replicated_state", "settings", "stopping")

    def __init__(
        self, settings: Settings, consensus: Consensus, replicated_state: ReplicatedState
    ) -> None:
        """Create the readiness of a running node."""
        self.settings = settings
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.stopping = False

    @property
    def ready(self) -> bool:
        """True if the node should receive operators' requests."""
        return not self.not_ready_reason

    @property
    def not_ready_reason(self) -> str:
        """Reason why the node is not ready; empty if it is."""
        if self.stopping:
            return "stopping"
        return "" if self.consensus.knows_leader() else "no leader is known"

    def report(self) -> Message:
        """Return the health report for the control API."""
        reason = self.not_ready_reason
        return {
            "name": self.settings.name,
            "role": NodeRole.CONTROL.value,
            "zone": self.settings.zone,
            "ready": not reason,
            "reason": reason,
            "version": self.replicated_state.version,
            "index": self.consensus.applied_index,
            "epoch": self.consensus.term,
            "leads": self.consensus.role == Role.LEADER,
            "voter": self.consensus.disk in self.consensus.voters,
            "leader": self.consensus.leader_address,
            "disk": self.consensus.disk,
            **member_status(self.consensus).to_wire(),
        }
