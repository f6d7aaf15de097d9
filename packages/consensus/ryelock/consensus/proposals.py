"""What the rest of the process asks of the leader: entries, changes of voters, confirmed reads."""

import cbor2
from expression import Error

from ryelock.consensus.elections import Elections
from ryelock.consensus.entries import (
    COMMAND,
    INTERNAL,
    VOTERS,
    Entry,
    Voters,
    voters_of,
)
from ryelock.consensus.membership import VOTERS_MOST
from ryelock.consensus.types import ConsensusError, Outcome, Proposal
from ryelock.events import (
    VOTERS_CHANGED,
)
from ryelock.rpc import Message
from ryelock.runtime import Queue


class Proposals(Elections):
    """Takes proposals, confirms reads, hands leadership over."""

    __slots__ = ()

    async def propose(self, data: bytes) -> Outcome:
        """Agree on a word; the result is what applying it came to."""
        return await self.submit(COMMAND, data, 10.0)

    async def propose_internal(self, data: bytes) -> Outcome:
        """Agree on what only the control nodes keep; `words_since` passes it by."""
        return await self.submit(INTERNAL, data, 10.0)

    async def submit(self, kind: str, data: bytes, seconds: float) -> Outcome:
        box: Queue[Outcome] = Queue(self.scheduler)
        self.commands.put(Proposal(kind, data, box))
        outcome = await box.get(seconds)
        if outcome is None:
            return Error(ConsensusError("no majority answered in time", False))
        return outcome

    def take_proposals(self, proposals: list[Proposal]) -> None:
        """Append what was proposed and have it replicated; the owner's task only."""
        if self.role != "leader":
            for proposal in proposals:
                proposal.box.put(Error(ConsensusError("this node does not lead", True)))
            return
        entries: list[Entry] = []
        taken: list[Proposal] = []
        for proposal in proposals:
            if proposal.kind == VOTERS:
                fault = self.fault_of_voters(voters_of(proposal.data), entries)
                if fault:
                    proposal.box.put(Error(ConsensusError(fault, True)))
                    continue
            index = self.last_index + 1 + len(entries)
            entries.append(Entry(index, self.term, proposal.kind, proposal.data))
            taken.append(proposal)
        if not self.store(entries):
            for proposal in taken:
                # The records may be found on the disk after a restart, so this is not certain.
                proposal.box.put(Error(ConsensusError("the leader's disk takes no more", False)))
            self.disk_failed_at = self.scheduler.now()
            self.pass_leading_on("its disk failed")
            return
        for entry, proposal in zip(entries, taken, strict=True):
            self.waiting[entry.index] = (entry.term, proposal.box)
        self.follow_voters()
        for peer in self.peers.values():
            peer.news.put(True)
        self.count_commit()

    def fault_of_voters(self, voters: Voters, appended: list[Entry]) -> str:
        """What speaks against a change of voters now; empty where nothing does."""
        if not self.settled or self.changing_voters:
            return "not settled"
        if any(entry.kind == VOTERS for entry in appended):
            return "another change of voters is under way"
        if len(set(voters) ^ set(self.voters)) != 1 or not 0 < len(voters) <= VOTERS_MOST + 1:
            return "not one voter at a time"
        if self.disk not in voters:
            return "a leader does not remove itself"
        return ""

    async def change_voters(self, voters: Voters) -> Outcome:
        """One voter more or fewer; declined at the append where it is not one at a time."""
        outcome = await self.submit(VOTERS, cbor2.dumps(voters), 10.0)
        if outcome.is_ok():
            self.log.write(VOTERS_CHANGED, voters=sorted(voters.values()))
            for disk in list(self.peers):
                if disk not in self.voters and disk not in self.learners:
                    self.drop_peer(disk)
        return outcome

    async def confirm_leadership(self, seconds: float) -> bool:
        """Whether this node led at a moment after the ask, by a majority's word.

        Its state then has every entry that was agreed when it was asked: a read of it is
        linearizable.
        """
        asked = self.scheduler.now()
        agreed = self.commit_index
        while self.role == "leader" and self.scheduler.now() < asked + seconds:
            if (
                self.settled
                and self.applied_index >= agreed
                and self.majority_contact_at() >= asked
            ):
                return True
            for peer in self.peers.values():
                if not len(peer.news):
                    peer.news.put(True)
            await self.scheduler.sleep(0.005)
        return False

    async def transfer_leadership(self, successor: str) -> bool:
        """Name a successor that has the whole log, and let it be elected."""
        peer = self.peers.get(successor)
        if self.role != "leader" or peer is None or successor not in self.voters:
            return False
        until = self.scheduler.now() + 1.0
        while peer.match_index < self.last_index and self.scheduler.now() < until:
            await self.scheduler.sleep(0.01)
        message: Message = {"kind": "council.takeover", "epoch": self.term}
        found = await self.rpc_clients.call(peer.address, message, 0.5)
        if found.is_error() or found.ok.get("ok") is not True:
            return False
        while self.role == "leader" and self.scheduler.now() < until + 1.0:
            await self.scheduler.sleep(0.01)
        return self.role != "leader"
