"""What the process asks of the leader: commands, changes of voters, confirmed reads."""

import cbor2
from expression import Error

from ryelock.consensus.applier import CommittedApplier
from ryelock.consensus.commands import CommandQueue
from ryelock.consensus.entries import Entry, EntryKind, Voters, voters_from_data
from ryelock.consensus.errors import (
    LeaderDiskError,
    NotLeaderError,
    ProposalTimeoutError,
    VotersRejectedError,
)
from ryelock.consensus.followers import Followers
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.leadership_transfer import LeadershipTransfer
from ryelock.consensus.membership import VOTERS_MOST
from ryelock.consensus.pending import Outcome, PendingProposals, Proposal
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.state import MemberState
from ryelock.events import VOTERS_CHANGED
from ryelock.runtime import Queue

PROPOSAL_SECONDS = 10.0
"""Seconds after which a proposal is given up, with an uncertain outcome."""
CONFIRM_POLL_SECONDS = 0.005


class Proposals:
    """Takes proposals, and confirms that this member leads."""

    __slots__ = (
        "applier",
        "commands",
        "followers",
        "leadership",
        "pending",
        "replicator",
        "state",
        "transfer",
    )

    def __init__(
        self,
        state: MemberState,
        commands: CommandQueue,
        pending: PendingProposals,
        followers: Followers,
        leadership: Leadership,
        transfer: LeadershipTransfer,
        applier: CommittedApplier,
        replicator: Replicator,
    ) -> None:
        """Create the proposal part of a member."""
        self.state = state
        self.commands = commands
        self.pending = pending
        self.followers = followers
        self.leadership = leadership
        self.transfer = transfer
        self.applier = applier
        self.replicator = replicator

    async def submit(self, kind: EntryKind, data: bytes) -> Outcome:
        """Propose an entry and return what applying it returned, or why that is not known."""
        outcomes: Queue[Outcome] = Queue(self.state.scheduler)
        self.commands.put(Proposal(kind, data, outcomes))
        outcome = await outcomes.get(PROPOSAL_SECONDS)
        return Error(ProposalTimeoutError()) if outcome is None else outcome

    def take(self, proposals: list[Proposal]) -> None:
        """Append a batch of proposals in one write and replicate them; the owner's task only."""
        if not self.state.leads:
            for proposal in proposals:
                proposal.reject(NotLeaderError())
            return
        entries, accepted = self.accept(proposals)
        if not self.applier.store(entries):
            self.fail_for_disk(accepted)
            return
        for entry, proposal in zip(entries, accepted, strict=True):
            self.pending.add(entry, proposal)
        self.replicator.follow_voters()
        self.followers.wake_all()
        self.replicator.count_commit()

    def accept(self, proposals: list[Proposal]) -> tuple[list[Entry], list[Proposal]]:
        """Return the entries to append and their proposals; changes of voters may be rejected."""
        entries: list[Entry] = []
        accepted: list[Proposal] = []
        for proposal in proposals:
            if proposal.kind is EntryKind.VOTERS:
                reason = self.reason_against(voters_from_data(proposal.data), entries)
                if reason:
                    proposal.reject(VotersRejectedError(reason))
                    continue
            index = self.state.last_index + 1 + len(entries)
            entries.append(Entry(index, self.state.term, proposal.kind, proposal.data))
            accepted.append(proposal)
        return entries, accepted

    def fail_for_disk(self, proposals: list[Proposal]) -> None:
        """Fail proposals that the disk refused, and let another lead."""
        for proposal in proposals:
            proposal.reject(LeaderDiskError())
        self.state.note_disk_failure()
        self.transfer.step_down_to_successor("its disk failed")

    def reason_against(self, voters: Voters, appended: list[Entry]) -> str:
        """Return why a change of voters must not be appended now; empty where it may be.

        One voter at a time, the last change committed, and an entry of this term committed:
        majorities before and after a change then always meet (dissertation, section 4.1, and the
        correction of 2015 for the last condition).
        """
        if not self.state.settled or self.state.changing_voters:
            return "not settled"
        if any(entry.kind is EntryKind.VOTERS for entry in appended):
            return "another change of voters is under way"
        changed = len(set(voters) ^ set(self.state.voters))
        if changed != 1 or not 0 < len(voters) <= VOTERS_MOST + 1:
            return "not one voter at a time"
        if self.state.disk not in voters:
            return "a leader does not remove itself"
        return ""

    async def change_voters(self, voters: Voters) -> Outcome:
        """Add or remove one voter; rejected at the append where it is not one at a time."""
        outcome = await self.submit(EntryKind.VOTERS, cbor2.dumps(voters))
        if outcome.is_ok():
            self.state.log.write(VOTERS_CHANGED, voters=sorted(voters.values()))
            self.followers.drop_removed_voters()
        return outcome

    async def confirm_leadership(self, seconds: float) -> bool:
        """Return whether this member led at a moment after the call, by a majority's answers.

        Its state then has every entry that was committed when it was called, so that a read of it
        is linearizable (ReadIndex; dissertation, section 6.4).
        """
        asked_at = self.state.now()
        read_index = self.state.commit_index
        while self.state.leads and self.state.now() < asked_at + seconds:
            if (
                self.state.settled
                and self.state.applied_index >= read_index
                and self.leadership.majority_contact_at() >= asked_at
            ):
                return True
            for follower in self.followers.by_disk.values():
                if not len(follower.wakeups):
                    follower.wake()
            await self.state.scheduler.sleep(CONFIRM_POLL_SECONDS)
        return False
