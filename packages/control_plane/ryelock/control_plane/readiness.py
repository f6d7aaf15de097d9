"""Whether a control node should get operators' requests, and its health report."""

from ryelock.consensus import Consensus, Role
from ryelock.consensus.status import member_status
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message
from ryelock.settings import NodeRole, Settings


class NodeReadiness:
    """Readiness of a control node.

    Attributes:
        stopping: whether the node shuts down.
    """

    __slots__ = ("consensus", "replicated_state", "settings", "stopping")

    def __init__(
        self, settings: Settings, consensus: Consensus, replicated_state: ReplicatedState
    ) -> None:
        """Create the readiness of a node that does not shut down."""
        self.settings = settings
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Whether the node should get operators' requests."""
        return not self.not_ready_reason

    @property
    def not_ready_reason(self) -> str:
        """Why the node should get no requests; empty when it should."""
        if self.stopping:
            return "stopping"
        return "" if self.consensus.knows_leader() else "no leader is known"

    def report(self) -> Message:
        """Return the health report that the control API answers with."""
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
