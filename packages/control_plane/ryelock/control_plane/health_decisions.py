"""Submission of the aggregator's health decisions to the leader, and their commit there."""

from ryelock.consensus import Consensus, Role
from ryelock.control_api import LOCAL_LEADER, OutcomeStatus
from ryelock.control_plane.leader_location import leader_location
from ryelock.control_plane.singleton_roles import AGGREGATOR_ROLE
from ryelock.events import ROLE_FENCED, VERDICT_COMMITTED, VERDICT_OUTDATED, Log
from ryelock.replicated_state import ReplicatedState, encode_command
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Scheduler

DECISION_REQUEST = "decision"
"""Kind of the message that submits a decision to the leader."""
MAX_DECISION_AGE_SECONDS = 2.0
"""Maximum time between the leader's heartbeat before an evaluation and the commit."""
SUBMIT_TIMEOUT_SECONDS = 3.0


def zone_statuses(replicated_state: ReplicatedState) -> dict[str, str]:
    """Return the health status of each zone in the last decision."""
    zones = replicated_state.verdict.get("zones")
    if not isinstance(zones, dict):
        return {}
    return {str(zone): str(decided.get("verdict")) for zone, decided in zones.items()}


class HealthDecisions:
    """Submits this node's decisions to the leader; commits decisions if this node leads."""

    __slots__ = ("clients", "consensus", "log", "replicated_state", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        clients: RpcClients,
        consensus: Consensus,
        replicated_state: ReplicatedState,
    ) -> None:
        """Create the submitter of one node."""
        self.scheduler = scheduler
        self.log = log
        self.clients = clients
        self.consensus = consensus
        self.replicated_state = replicated_state

    async def submit(self, message: Message) -> bool:
        """Submit a decision to the leader, which may be this node; return True if committed."""
        leader = leader_location(self.consensus)
        if not leader:
            return False
        if leader == LOCAL_LEADER:
            answer = await self.commit(message)
        else:
            reply = await self.clients.call(leader, message, SUBMIT_TIMEOUT_SECONDS)
            if reply.is_error():
                return False
            answer = reply.ok
        if answer.get("status") == OutcomeStatus.FENCED:
            self.log.write(ROLE_FENCED, duty=AGGREGATOR_ROLE, epoch=message.get("epoch"))
        return answer.get("status") == OutcomeStatus.ACCEPTED

    async def commit(self, message: Message) -> Message:
        """Commit a decision if it is recent; the replicated state rejects an old fencing token."""
        if self.consensus.role != Role.LEADER:
            return {"status": OutcomeStatus.ELSEWHERE}
        if not self.is_recent(message):
            self.log.write(
                VERDICT_OUTDATED, holder=message.get("holder"), epoch=message.get("epoch")
            )
            return {"status": OutcomeStatus.LATE}
        data = encode_command(
            "decision",
            holder=message.get("holder"),
            epoch=message.get("epoch"),
            verdict=message.get("verdict"),
            wall=self.scheduler.clock.wall(),
        )
        outcome = await self.consensus.propose(data)
        if outcome.is_error():
            return {"status": OutcomeStatus.NOT_TAKEN, "reason": outcome.error.reason}
        result = outcome.ok
        if not isinstance(result, dict):
            return {"status": OutcomeStatus.MALFORMED}
        if result.get("status") == OutcomeStatus.ACCEPTED:
            self.log_committed(message)
        return result

    def log_committed(self, message: Message) -> None:
        """Log a committed decision."""
        verdict = message.get("verdict")
        self.log.write(
            VERDICT_COMMITTED,
            network=verdict.get("network") if isinstance(verdict, dict) else None,
            zones=zone_statuses(self.replicated_state),
            epoch=message.get("epoch"),
        )

    def is_recent(self, message: Message) -> bool:
        """Return True if a decision was made shortly after a heartbeat of this leader.

        A decision that was delayed in transit may rest on old probe results although its fencing
        token is still valid.
        """
        if message.get("holder") == self.consensus.name:
            return True
        match message.get("clock"):
            case [str(disk), float(clock)]:
                age = self.scheduler.now() - clock
                return disk == self.consensus.disk and 0 <= age <= MAX_DECISION_AGE_SECONDS
            case _:
                return False
