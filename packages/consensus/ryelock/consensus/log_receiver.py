"""A follower's part of replication: heartbeats, entries and snapshots from the leader."""

from dataclasses import replace

from ryelock.consensus.applier import CommittedApplier
from ryelock.consensus.election_timer import ElectionTimer
from ryelock.consensus.entries import entry_from_wire
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.messages import (
    AppendEntriesRequest,
    AppendReply,
    InstallSnapshotRequest,
    LeaderHeader,
)
from ryelock.consensus.payloads import Payloads
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.consensus.state import MemberState, Role
from ryelock.consensus.transfer import IncomingSnapshot, SnapshotChunk, chunk_from_wire
from ryelock.events import BECAME_FOLLOWER
from ryelock.rpc import Message
from ryelock.rpc.codec import Natural, decode
from ryelock.rpc.errors import MalformedMessageError


class LogReceiver:
    """Follows a leader of this term or a later one, and takes its log.

    Attributes:
        incoming: The snapshot that is arriving, if any; kept in memory only.
    """

    __slots__ = ("applier", "incoming", "leadership", "lease", "payloads", "state", "timer")

    def __init__(
        self,
        state: MemberState,
        timer: ElectionTimer,
        lease: QuorumLease,
        leadership: Leadership,
        applier: CommittedApplier,
        payloads: Payloads,
    ) -> None:
        """Create the receiver of a member that follows nobody yet."""
        self.state = state
        self.timer = timer
        self.lease = lease
        self.leadership = leadership
        self.applier = applier
        self.payloads = payloads
        self.incoming: IncomingSnapshot | None = None

    def rejection(self) -> AppendReply:
        """Return a rejection by this member, as it is now; callers add the reason."""
        return AppendReply(
            sender=self.state.disk,
            term=Natural(self.state.term),
            last_index=Natural(self.state.last_index),
        )

    def leader_rejection(
        self, request: AppendEntriesRequest | InstallSnapshotRequest | LeaderHeader
    ) -> AppendReply | None:
        """Return the rejection of a leader that must not be followed; None where it may be.

        A request for another disk must change nothing: this disk may be an empty one at the
        address of a lost voter, and has none of what that one acknowledged.
        """
        if request.recipient != self.state.disk:
            return replace(self.rejection(), other_disk=True)
        if self.lease.active:
            return replace(self.rejection(), lease_granted=True)
        if request.term < self.state.term:
            return self.rejection()
        return None

    def rejection_of_malformed(self, message: Message) -> AppendReply | None:
        """Return the rejection of a malformed request that must not be followed anyway.

        A leader of another version learns so that the disk is another one, or the term higher,
        though this member can't read the rest. None where the request is to be called malformed.
        """
        try:
            return self.leader_rejection(decode(LeaderHeader, message))
        except MalformedMessageError:
            return None

    def follow(self, term: int, leader: str, address: str) -> bool:
        """Follow the leader of a term (Raft, section 5.2); False where the disk refused."""
        state = self.state
        if term > state.term and not state.save_vote(term, ""):
            return False
        self.leadership.step_down("another leads")
        state.role = Role.FOLLOWER
        self.lease.clear_lease_flag()
        if leader != state.leader:
            state.log.write(BECAME_FOLLOWER, leader=leader, epoch=term)
        state.leader = leader
        state.leader_address = address
        state.last_leader_contact_at = state.now()
        self.timer.reset()
        return True

    def on_heartbeat(self, request: AppendEntriesRequest) -> AppendReply:
        """Take a heartbeat with its entries (Raft, section 5.3, AppendEntries)."""
        reason = self.leader_rejection(request)
        if reason is not None:
            return reason
        if not self.follow(request.term, request.leader, request.address):
            return self.rejection()
        mismatch = self.log_mismatch(request.previous_index, request.previous_term)
        if mismatch is not None:
            return mismatch
        entries = [entry_from_wire(entry) for entry in request.entries]
        before = self.state.last_index
        if not self.applier.store(entries):
            return replace(self.rejection(), last_index=Natural(before), disk_failed=True)
        self.incoming = None
        reached = request.previous_index + len(entries)
        self.applier.advance(min(request.commit_index, reached))
        if request.payload is not None:
            self.payloads.on_payload(request.leader, request.payload, None)
        return self.acceptance(reached, self.payloads.heartbeat_payload())

    def acceptance(self, last_index: int, payload: dict[str, object] | None = None) -> AppendReply:
        """Return that the logs agree up to an index."""
        return AppendReply(
            sender=self.state.disk,
            term=Natural(self.state.term),
            ok=True,
            last_index=Natural(last_index),
            payload=payload,
        )

    def log_mismatch(self, previous_index: int, previous_term: int) -> AppendReply | None:
        """Return the rejection of entries whose predecessor this log lacks; None where it has it.

        This check keeps the log matching property (Raft, section 5.3). The reply tells how far
        the logs may agree, so that the leader passes by a whole term at once.
        """
        state = self.state
        log = state.replicated_log
        if previous_index > state.last_index:
            return self.rejection()
        if previous_index < state.snapshot.index:
            return replace(
                self.rejection(), last_index=Natural(state.snapshot.index), snapshot_agrees=True
            )
        if log.contains(previous_index, previous_term):
            return None
        return replace(
            self.rejection(),
            last_index=Natural(log.first_index_of_term_at(previous_index) - 1),
            conflict_term=Natural(log.term_at(previous_index)),
        )

    def on_snapshot(self, request: InstallSnapshotRequest) -> AppendReply:
        """Take a chunk of a snapshot (Raft, section 7, InstallSnapshot)."""
        reason = self.leader_rejection(request)
        if reason is not None:
            return reason
        chunk = chunk_from_wire(request.chunk)
        if not self.follow(request.term, request.leader, request.address):
            return self.rejection()
        if chunk.index <= self.state.commit_index:
            # It would take back what this member has applied, and it has all of it.
            self.incoming = None
            return self.acceptance(self.state.commit_index)
        return self.receive_chunk(request.leader, chunk)

    def receive_chunk(self, leader: str, chunk: SnapshotChunk) -> AppendReply:
        """Add a chunk to the snapshot that is arriving; install it once it is complete."""
        if self.incoming is None or not self.incoming.matches(leader, chunk):
            self.incoming = IncomingSnapshot(leader, chunk)
        self.incoming.add_chunk(chunk)
        if not self.incoming.complete:
            return replace(self.rejection(), received=Natural(len(self.incoming.buffer)))
        snapshot, self.incoming = self.incoming.snapshot(), None
        if not self.applier.install(snapshot, leader):
            return replace(self.rejection(), received=Natural(0))
        return self.acceptance(snapshot.index)
