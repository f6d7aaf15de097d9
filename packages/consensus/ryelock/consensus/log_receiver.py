"""The follower side of replication: heartbeats, entries and snapshots from the leader."""

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
    """Handles AppendEntries and InstallSnapshot requests of a leader.

    Attributes:
        incoming: The snapshot being received, if any; kept in memory only.
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
        """Create the receiver of a member that has no leader yet."""
        self.state = state
        self.timer = timer
        self.lease = lease
        self.leadership = leadership
        self.applier = applier
        self.payloads = payloads
        self.incoming: IncomingSnapshot | None = None

    def rejection(self) -> AppendReply:
        """Return a rejection with this member's current state; callers add the reason."""
        return AppendReply(
            sender=self.state.disk,
            term=Natural(self.state.term),
            last_index=Natural(self.state.last_index),
        )

    def leader_rejection(
        self, request: AppendEntriesRequest | InstallSnapshotRequest | LeaderHeader
    ) -> AppendReply | None:
        """Return a rejection if the sending leader must not be followed; otherwise None.

        A request for another disk must have no effect: this disk may be an empty replacement at the
        address of a lost voter, without the entries which that voter acknowledged.
        """
        if request.recipient != self.state.disk:
            return replace(self.rejection(), other_disk=True)
        if self.lease.active:
            return replace(self.rejection(), lease_granted=True)
        if request.term < self.state.term:
            return self.rejection()
        return None

    def rejection_of_malformed(self, message: Message) -> AppendReply | None:
        """Return the rejection of a malformed request, if its header requires one.

        This reports a replaced disk or a higher term to a leader of another version, although the
        other fields cannot be decoded. None if the request should be reported as malformed.
        """
        try:
            return self.leader_rejection(decode(LeaderHeader, message))
        except MalformedMessageError:
            return None

    def follow(self, term: int, leader: str, address: str) -> bool:
        """Follow the leader of a term (Raft, section 5.2); return False if the write failed."""
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
        """Handle a heartbeat and its entries (AppendEntries; Raft, section 5.3)."""
        reason = self.leader_rejection(request)
        if reason is not None:
            return reason
        if not self.follow(request.term, request.leader, request.address):
            return self.rejection()
        mismatch = self.log_mismatch(request.previous_index, request.previous_term)
        if mismatch is not None:
            return mismatch
        entries = [entry_from_wire(entry) for entry in request.entries]
        last_index = self.state.last_index
        if not self.applier.store(entries):
            return replace(self.rejection(), last_index=Natural(last_index), disk_failed=True)
        self.incoming = None
        match_index = request.previous_index + len(entries)
        self.applier.advance(min(request.commit_index, match_index))
        if request.payload is not None:
            self.payloads.on_payload(request.leader, request.payload, None)
        return self.acceptance(match_index, self.payloads.heartbeat_payload())

    def acceptance(self, last_index: int, payload: dict[str, object] | None = None) -> AppendReply:
        """Return an acceptance: the logs agree up to an index."""
        return AppendReply(
            sender=self.state.disk,
            term=Natural(self.state.term),
            ok=True,
            last_index=Natural(last_index),
            payload=payload,
        )

    def log_mismatch(self, previous_index: int, previous_term: int) -> AppendReply | None:
        """Return a rejection unless this log contains the entry before the new entries.

        The check preserves the log matching property (Raft, section 5.3). The rejection names the
        last index where the logs may agree, so that the leader skips a conflicting term at once.
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
        """Handle a snapshot chunk (InstallSnapshot; Raft, section 7)."""
        reason = self.leader_rejection(request)
        if reason is not None:
            return reason
        chunk = chunk_from_wire(request.chunk)
        if not self.follow(request.term, request.leader, request.address):
            return self.rejection()
        if chunk.index <= self.state.commit_index:
            # Installing it would roll back applied entries; this log already covers the snapshot.
            self.incoming = None
            return self.acceptance(self.state.commit_index)
        return self.receive_chunk(request.leader, chunk)

    def receive_chunk(self, leader: str, chunk: SnapshotChunk) -> AppendReply:
        """Add a chunk to the snapshot being received; install the snapshot once complete."""
        if self.incoming is None or not self.incoming.matches(leader, chunk):
            self.incoming = IncomingSnapshot(leader, chunk)
        self.incoming.add_chunk(chunk)
        if not self.incoming.complete:
            return replace(self.rejection(), received=Natural(len(self.incoming.buffer)))
        snapshot, self.incoming = self.incoming.snapshot(), None
        if not self.applier.install(snapshot, leader):
            return replace(self.rejection(), received=Natural(0))
        return self.acceptance(snapshot.index)
