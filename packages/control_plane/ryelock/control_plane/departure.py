"""Safe departure of a control node that shuts down from the consensus group."""

from ryelock.consensus import Consensus
from ryelock.control_api import LOCAL_LEADER
from ryelock.control_plane.leader_location import leader_location
from ryelock.control_plane.voters import RELEASE_REQUEST, VoterManager
from ryelock.events import VOTER_LEAVING, Log
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Scheduler

MAX_DEPARTURE_SECONDS = 4.0
"""Maximum time that a stopping node waits for a learner to replace it as voter."""
RELEASE_TIMEOUT_SECONDS = 0.5
RELEASE_POLL_SECONDS = 0.05


class ConsensusDeparture:
    """Waits until the leader releases this node's disk, then stops consensus."""

    __slots__ = ("clients", "consensus", "log", "scheduler", "voters")

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        clients: RpcClients,
        consensus: Consensus,
        voters: VoterManager,
    ) -> None:
        """Create the departure of one node; it begins with `leave`."""
        self.scheduler = scheduler
        self.log = log
        self.clients = clients
        self.consensus = consensus
        self.voters = voters

    async def leave(self, until: float) -> None:
        """Wait for the release, up to a monotonic time, then stop consensus.

        The process answers open requests for a while after that. Consensus stops first, since a
        leader elected meanwhile does not know of the release and would count this disk in commits.
        """
        await self.wait_for_release(until)
        self.consensus.stop()

    async def wait_for_release(self, until: float) -> bool:
        """Wait until this disk is released, or this node leads and has no successor.

        If there is a learner, it replaces this node as voter first; a node that only restarts then
        rejoins as a learner.

        Returns:
            True if released; False at `until` or without a successor.
        """
        self.consensus.leaving = True
        self.log.write(VOTER_LEAVING, voter=self.consensus.disk in self.consensus.voters)
        message: Message = {"kind": RELEASE_REQUEST, "disk": self.consensus.disk}
        while self.scheduler.now() < until:
            leader = leader_location(self.consensus)
            if leader == LOCAL_LEADER:
                successor = self.consensus.best_successor(self.voters.leaving)
                if not successor:
                    return False
                await self.consensus.transfer_leadership(successor)
            elif leader:
                answer = await self.clients.call(leader, message, RELEASE_TIMEOUT_SECONDS)
                if answer.is_ok() and self.is_released(answer.ok):
                    return True
            await self.scheduler.sleep(RELEASE_POLL_SECONDS)
        return False

    def is_released(self, answer: Message) -> bool:
        """Return True if an answer to a release request releases this node.

        An answer of an older Raft term does not, since this node may have stored entries of a newer
        leader since.
        """
        term = answer.get("epoch", self.consensus.term)
        return answer.get("may_end") is True and term == self.consensus.term
