"""How a control node that shuts down leaves the consensus group without risk to the log."""

from ryelock.consensus import Consensus
from ryelock.control_api import LOCAL_LEADER
from ryelock.control_plane.leader_location import leader_location
from ryelock.control_plane.voters import RELEASE_REQUEST, VoterManager
from ryelock.events import VOTER_LEAVING, Log
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Scheduler

MAX_DEPARTURE_SECONDS = 4.0
"""A stopping node waits for a learner to take its place for so long at most."""
RELEASE_TIMEOUT_SECONDS = 0.5
RELEASE_PAUSE_SECONDS = 0.05


class ConsensusDeparture:
    """Waits for the leader's release of this node's disk, then ends its part in consensus."""

    __slots__ = ("clients", "consensus", "log", "scheduler", "voters")

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        clients: RpcClients,
        consensus: Consensus,
        voters: VoterManager,
    ) -> None:
        """Create the departure of one node; nothing happens before `leave`."""
        self.scheduler = scheduler
        self.log = log
        self.clients = clients
        self.consensus = consensus
        self.voters = voters

    async def leave(self, until: float) -> None:
        """Wait for the release, up to a monotonic time, then take no part in consensus any more.

        Requests of callers go on being answered for a while after that. A leader that was elected
        meanwhile does not know of the release: an entry that it commits must not count this disk.
        """
        await self.wait_for_release(until)
        self.consensus.stop()

    async def wait_for_release(self, until: float) -> bool:
        """Wait until no committed entry needs this disk, or no other node can take its place.

        A learner takes the voter's place where there is one; a node that only restarts comes back
        as a learner. Without a leader that answers, the wait ends at `until`, without a release.
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
            await self.scheduler.sleep(RELEASE_PAUSE_SECONDS)
        return False

    def is_released(self, answer: Message) -> bool:
        """Tell whether an answer to a release request releases this node.

        One of an older Raft term does not: this node may have stored entries of a newer leader
        since.
        """
        term = answer.get("epoch", self.consensus.term)
        return answer.get("may_end") is True and term == self.consensus.term
