"""Proposals to the leader: commands, voter changes and confirmed reads."""

import cbor2
from expression import Error

from ryelock.consensus.applier import CommittedApplier
from ryelock.consensus.entries import Entry, EntryKind, Voters, decode_voters
from ryelock.consensus.errors import (
    LeaderDiskError,
    NotLeaderError,
    ProposalTimeoutError,
    VotersRejectedError,
)
from ryelock.consensus.followers import Followers
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.leadership_transfer import LeadershipTransfer
from ryelock.consensus.member_events import EventQueue
from ryelock.consensus.membership import MAX_VOTERS
from ryelock.consensus.pending import Outcome, PendingProposals, Proposal
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.state import MemberState
from ryelock.events import VOTERS_CHANGED
from ryelock.runtime import Queue

PROPOSAL_SECONDS = 10.0
"""Timeout of a proposal, after which its outcome is uncertain."""
CONFIRM_POLL_SECONDS = 0.005


class Proposals:
    """Appends proposals to the log, and confirms leadership for reads."""

    __slots__ = (
        "applier",
        "events",
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
        events: EventQueue,
        pending: PendingProposals,
        followers: Followers,
        leadership: Leadership,
        transfer: LeadershipTransfer,
        applier: CommittedApplier,
        replicator: Replicator,
    ) -> None:
        """Create the proposal component of a member."""
        self.state = state
        self.events = events
        self.pending = pending
        self.followers = followers
        self.leadership = leadership
        self.transfer = transfer
        self.applier = applier
        self.replicator = replicator

    async def submit(self, kind: EntryKind, data: bytes) -> Outcome:
        """Propose an entry; return the result of applying it, or why it was not acknowledged."""
        outcomes: Queue[Outcome] = Queue(self.state.scheduler)
        self.events.put(Proposal(kind, data, outcomes))
        outcome = await outcomes.get(PROPOSAL_SECONDS)
        return Error(ProposalTimeoutError()) if outcome is None else outcome

    def append_batch(self, proposals: list[Proposal]) -> None:
        """Append proposals in one write and replicate them; call only from the owner task."""
        if not self.state.is_leader:
            for proposal in proposals:
                proposal.reject(NotLeaderError())
            return
        entries, accepted = self.admit(proposals)
        if not self.applier.store(entries):
            self.reject_after_disk_failure(accepted)
            return
        for entry, proposal in zip(entries, accepted, strict=True):
            self.pending.add(entry, proposal)
        self.replicator.replicate_to_voters()
        self.followers.notify_all()
        self.replicator.advance_commit_index()

    def admit(self, proposals: list[Proposal]) -> tuple[list[Entry], list[Proposal]]:
        """Create entries for the valid proposals, rejecting invalid voter changes."""
        entries: list[Entry] = []
        accepted: list[Proposal] = []
        for proposal in proposals:
            if proposal.kind is EntryKind.VOTERS:
                reason = self.voter_change_rejection(decode_voters(proposal.data), entries)
                if reason:
                    proposal.reject(VotersRejectedError(reason))
                    continue
            index = self.state.last_index + 1 + len(entries)
            entries.append(Entry(index, self.state.term, proposal.kind, proposal.data))
            accepted.append(proposal)
        return entries, accepted

    def reject_after_disk_failure(self, proposals: list[Proposal]) -> None:
        """Reject proposals that could not be stored, and hand leadership to another voter."""
        for proposal in proposals:
            proposal.reject(LeaderDiskError())
        self.state.record_disk_failure()
        self.transfer.step_down_to_successor("its disk failed")

    def voter_change_rejection(self, voters: Voters, appended: list[Entry]) -> str:
        """Return why a voter change must not be appended now; empty if it may be.

        A change must add or remove one voter, the previous change must be committed, and so must
        an entry of this term. Majorities before and after the change then overlap (dissertation,
        section 4.1; the last condition is from its correction of 2015).
        """
        if not self.state.leader_ready or self.state.voter_change_pending:
            return "not settled"
        if any(entry.kind is EntryKind.VOTERS for entry in appended):
            return "another change of voters is under way"
        changed = len(set(voters) ^ set(self.state.voters))
        if changed != 1 or not 0 < len(voters) <= MAX_VOTERS + 1:
            return "not one voter at a time"
        if self.state.disk not in voters:
            return "a leader does not remove itself"
        return ""

    async def change_voters(self, voters: Voters) -> Outcome:
        """Add or remove one voter; the change is validated when it is appended."""
        outcome = await self.submit(EntryKind.VOTERS, cbor2.dumps(voters))
        if outcome.is_ok():
            self.state.log.write(VOTERS_CHANGED, voters=sorted(voters.values()))
            self.followers.drop_removed_voters()
        return outcome

    async def confirm_leadership(self, seconds: float) -> bool:
        """Return True if a majority confirmed this leader by requests sent after the call.

        Its state machine has then applied every entry that was committed at the time of the call,
        so that a read from it is linearizable (ReadIndex; dissertation, section 6.4).
        """
        asked_at = self.state.now()
        read_index = self.state.commit_index
        while self.state.is_leader and self.state.now() < asked_at + seconds:
            if (
                self.state.leader_ready
                and self.state.applied_index >= read_index
                and self.leadership.majority_contact_at() >= asked_at
            ):
                return True
            for follower in self.followers.by_disk.values():
                if not len(follower.notifications):
                    follower.notify()
            await self.state.scheduler.sleep(CONFIRM_POLL_SECONDS)
        return False
