"""The leader side of replication: sends the log to every follower and commits entries.

One task per follower (`replicate_to`) sends one request at a time and passes each reply to the
owner task, which calls `on_reply`.
"""

from expression import Result

from ryelock.consensus.applier import CommittedApplier
from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.followers import Follower, Followers
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.log import ENTRY_OVERHEAD_BYTES
from ryelock.consensus.member_events import EventQueue, FollowerReplied
from ryelock.consensus.messages import (
    AppendEntriesRequest,
    AppendReply,
    InstallSnapshotRequest,
    request_to_wire,
)
from ryelock.consensus.payloads import Payloads
from ryelock.consensus.state import MemberState, Role
from ryelock.consensus.transfer import SNAPSHOT_CHUNK_BYTES
from ryelock.events import BECAME_LEADER
from ryelock.rpc import Message, RpcClients, RpcError
from ryelock.rpc.codec import Natural, decode
from ryelock.rpc.errors import MalformedMessageError

SNAPSHOT_CHUNK_SECONDS = 2.0
"""RPC timeout of a snapshot chunk."""


class Replicator:
    """Leads a term: appends its first entry, replicates the log and advances the commit index."""

    __slots__ = ("applier", "events", "followers", "leadership", "payloads", "rpc", "state")

    def __init__(
        self,
        state: MemberState,
        rpc: RpcClients,
        events: EventQueue,
        followers: Followers,
        leadership: Leadership,
        applier: CommittedApplier,
        payloads: Payloads,
    ) -> None:
        """Create the replicator of a member that does not lead."""
        self.state = state
        self.rpc = rpc
        self.events = events
        self.followers = followers
        self.leadership = leadership
        self.applier = applier
        self.payloads = payloads

    def become_leader(self, term: int) -> None:
        """Become leader of a term that this member won, if it is still a candidate in it.

        The leader appends a no-op entry immediately: entries of earlier terms are committed only
        together with one of its own term (Raft, section 5.4.2), and reads wait for it (section 8).
        """
        state = self.state
        if state.term != term or state.role is not Role.CANDIDATE:
            return
        state.role = Role.LEADER
        state.leader = state.disk
        state.leader_address = state.address
        state.elected_at = state.now()
        self.followers.begin_term()
        state.log.write(BECAME_LEADER, epoch=term)
        if not self.applier.store([Entry(state.last_index + 1, term, EntryKind.NO_OP, b"")]):
            state.record_disk_failure()
            self.leadership.step_down("its disk failed")
            return
        self.replicate_to_voters()
        self.advance_commit_index()

    def replicate_to_voters(self) -> None:
        """Start replication to every voter that is not a follower yet."""
        for disk, address in self.state.voters.items():
            if disk != self.state.disk and disk not in self.followers.by_disk:
                self.add_follower(disk, address)

    def add_follower(self, disk: str, address: str) -> None:
        """Start replication to a disk."""
        follower = Follower(disk, address, self.state.last_index + 1, self.state.scheduler)
        self.followers.by_disk[disk] = follower
        follower.task = self.state.scheduler.create_task(
            self.replicate_to(follower, self.state.term), name=f"consensus to {address}"
        )

    async def replicate_to(self, follower: Follower, term: int) -> None:
        """Send requests to a follower during a term, at least one per heartbeat interval."""
        while self.state.is_leader and self.state.term == term:
            sent_at = self.state.now()
            message = self.next_message(follower)
            timeout = (
                self.state.settings.election_timeout
                if follower.outgoing is None
                else SNAPSHOT_CHUNK_SECONDS
            )
            result = await self.rpc.call(follower.address, message, timeout)
            self.events.put(FollowerReplied(follower, term, sent_at, result))
            follower.notifications.items.clear()
            await follower.notifications.get(self.state.settings.heartbeat_seconds)

    # Requests.

    def next_message(self, follower: Follower) -> Message:
        """Return the next request to a follower: entries, or a snapshot chunk if compacted.

        A snapshot transfer in progress is completed even if a newer snapshot exists; otherwise a
        slow follower would restart on each new snapshot and never finish.
        """
        log = self.state.replicated_log
        if follower.outgoing is None and not log.has_term_at(follower.next_index - 1):
            follower.begin_snapshot(log.snapshot)
        if follower.outgoing is None:
            return request_to_wire(self.append_request(follower))
        chunk = follower.outgoing.next_chunk(min(SNAPSHOT_CHUNK_BYTES, follower.batch_bytes))
        return request_to_wire(
            InstallSnapshotRequest(
                recipient=follower.disk,
                leader=self.state.disk,
                address=self.state.address,
                term=Natural(self.state.term),
                chunk=chunk.to_wire(),
            )
        )

    def append_request(self, follower: Follower) -> AppendEntriesRequest:
        """Build a heartbeat with a batch of entries of the follower's current batch size."""
        previous_index = follower.next_index - 1
        return AppendEntriesRequest(
            recipient=follower.disk,
            leader=self.state.disk,
            address=self.state.address,
            term=Natural(self.state.term),
            previous_index=Natural(previous_index),
            previous_term=Natural(self.state.term_at(previous_index)),
            entries=self.batch(follower.next_index, follower.batch_bytes),
            commit_index=Natural(self.state.commit_index),
            payload=self.payloads.heartbeat_payload(),
        )

    def batch(self, start: int, max_bytes: int) -> list[object]:
        """Return entries from `start` on, up to `max_bytes` but at least one if there is any."""
        log = self.state.replicated_log
        entries: list[object] = []
        size = 0
        for index in range(start, log.last_index + 1):
            entry = log.entry_at(index)
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if entries and size > max_bytes:
                break
            entries.append(entry.to_wire())
        return entries

    # Replies.

    def on_reply(
        self, follower: Follower, term: int, sent_at: float, result: Result[Message, RpcError]
    ) -> None:
        """Process the result of a request; a result of an earlier term is ignored."""
        if not self.state.is_leader or self.state.term != term:
            return
        if result.is_error():
            follower.record_timeout()
            return
        try:
            reply = decode(AppendReply, result.ok)
        except MalformedMessageError:
            return
        if reply.other_disk or reply.lease_granted:
            follower.disk_replaced = reply.other_disk or follower.disk_replaced
            return
        follower.disk_replaced = False
        if reply.term is None or reply.last_index is None:
            return
        if reply.term > term:
            self.leadership.observe_term(reply.term)
        elif reply.ok:
            self.on_accepted(follower, reply, reply.last_index, sent_at)
        else:
            self.on_rejected(follower, reply, reply.last_index, sent_at)

    def on_accepted(
        self, follower: Follower, reply: AppendReply, last_index: int, sent_at: float
    ) -> None:
        """Process an acceptance: the follower's log matches up to `last_index`."""
        follower.record_contact(sent_at)
        follower.outgoing = None
        follower.record_stored(sent_at)
        follower.match_index = max(follower.match_index, last_index)
        follower.next_index = follower.match_index + 1
        if reply.payload is not None:
            self.payloads.on_payload(follower.disk, reply.payload, sent_at)
        self.advance_commit_index()
        if follower.next_index <= self.state.last_index:
            follower.notify()

    def on_rejected(
        self, follower: Follower, reply: AppendReply, last_index: int, sent_at: float
    ) -> None:
        """Process a rejection, which is also the reply to all but the last snapshot chunk."""
        if reply.term == self.state.term:
            follower.record_contact(sent_at)
        if follower.outgoing is not None:
            if reply.received is not None and follower.outgoing.acknowledge(reply.received):
                follower.record_stored(sent_at)
                follower.notify()
            return
        next_index = self.next_index_after(follower, reply, last_index)
        if next_index != follower.next_index:
            follower.next_index = next_index
            follower.notify()

    def next_index_after(self, follower: Follower, reply: AppendReply, last_index: int) -> int:
        """Return the next index to send after a rejection (Raft, end of section 5.3).

        `last_index` is an upper bound for where the logs match. If this log has a term above the
        conflicting one there, the logs match at most up to this log's last entry of no later term.
        So finding the match takes one round trip per conflicting term, not one per entry.
        """
        if reply.disk_failed:
            return follower.next_index
        if reply.snapshot_agrees:
            return max(follower.next_index, min(last_index, self.state.last_index) + 1)
        if reply.conflict_term is not None:
            log = self.state.replicated_log
            agrees_until = log.last_index_up_to_term(reply.conflict_term)
            last_index = agrees_until if agrees_until < follower.next_index - 1 else last_index
        return max(1, min(follower.next_index - 1, last_index + 1))

    def advance_commit_index(self) -> None:
        """Commit entries up to the majority match index, if its entry is of the current term.

        An entry of an earlier term may still be overwritten even if a majority has it. It is
        committed by a later entry of the current term (Raft, section 5.4.2 and figure 8).
        """
        match_index = self.followers.majority_match_index()
        if match_index is None or match_index <= self.state.commit_index:
            return
        if self.state.term_at(match_index) == self.state.term:
            self.applier.advance(match_index)
            self.followers.notify_all()
