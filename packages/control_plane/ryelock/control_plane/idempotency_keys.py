"""Claims of idempotency keys, which allow one edge to send an at-most-once request."""

from ryelock.consensus import Consensus
from ryelock.control_api import LOCAL_LEADER, OutcomeStatus
from ryelock.control_plane.leader_location import leader_location
from ryelock.replicated_state import encode_command
from ryelock.rpc import Message, RpcClients

RELAY_TIMEOUT_SECONDS = 1.0


class IdempotencyKeys:
    """Commits claims and releases of keys on the leader, or relays them to it."""

    __slots__ = ("clients", "consensus")

    def __init__(self, clients: RpcClients, consensus: Consensus) -> None:
        """Create the handler of one node."""
        self.clients = clients
        self.consensus = consensus

    async def handle(self, message: Message) -> Message:
        """Commit an edge's claim or release, or relay it once to the leader."""
        leader = leader_location(self.consensus)
        if leader == LOCAL_LEADER:
            return await self.commit(message)
        if not leader or message.get("passed") is True:
            return {"status": OutcomeStatus.ELSEWHERE}
        answer = await self.clients.call(leader, {**message, "passed": True}, RELAY_TIMEOUT_SECONDS)
        return answer.ok if answer.is_ok() else {"status": OutcomeStatus.UNKNOWN}

    async def commit(self, message: Message) -> Message:
        """Commit a claim or a release and return its outcome."""
        try:
            data = encode_command(str(message["kind"]), key=message["key"], order=message["order"])
        except (KeyError, ValueError, TypeError):
            return {"status": OutcomeStatus.MALFORMED}
        outcome = await self.consensus.propose_internal(data)
        if outcome.is_error():
            certain = outcome.error.certain
            return {"status": OutcomeStatus.ELSEWHERE if certain else OutcomeStatus.UNKNOWN}
        result = outcome.ok
        return result if isinstance(result, dict) else {"status": OutcomeStatus.MALFORMED}
