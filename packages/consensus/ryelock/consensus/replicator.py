"""The leader's part of replication: send the log to every follower, and commit.

A follower's task (`replicate_to`) sends one request at a time and hands what comes back to the
owner, which calls `on_reply`.
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
"""Seconds that a leader waits for the reply to one chunk of a snapshot."""


class Replicator:
    """Leads a term: appends its first entry, replicates, and counts what is committed."""

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
        """Lead a term that this candidate was elected in, unless it went on meanwhile.

        The leader appends an entry of its own term at once: older ones are committed only with
        one of these (Raft, section 5.4.2), and reads wait for it (section 8).
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
        """Replicate to every voter, also to one that was added just now."""
        for disk, address in self.state.voters.items():
            if disk != self.state.disk and disk not in self.followers.by_disk:
                self.add_follower(disk, address)

    def add_follower(self, disk: str, address: str) -> None:
        """Replicate to a disk from now on."""
        follower = Follower(disk, address, self.state.last_index + 1, self.state.scheduler)
        self.followers.by_disk[disk] = follower
        follower.task = self.state.scheduler.create_task(
            self.replicate_to(follower, self.state.term), name=f"consensus to {address}"
        )

    async def replicate_to(self, follower: Follower, term: int) -> None:
        """Send to one follower for the length of a term, at least one request an interval."""
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
        """Return what a follower needs next: entries, or a snapshot chunk where they are gone.

        A snapshot that has begun to cross is finished, also when a newer one was written since:
        else a follower that is slower than the leader's snapshots never has one.
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
        """Return a heartbeat with as many entries as the follower takes in time."""
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
        """Return entries from an index on, at least one if there is any, of about so many bytes."""
        log = self.state.replicated_log
        found: list[object] = []
        size = 0
        for index in range(start, log.last_index + 1):
            entry = log.entry_at(index)
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if found and size > max_bytes:
                break
            found.append(entry.to_wire())
        return found

    # Replies.

    def on_reply(
        self, follower: Follower, term: int, sent_at: float, result: Result[Message, RpcError]
    ) -> None:
        """Take in what came back for a request; one of an earlier term counts for nothing."""
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
        """The follower's log agrees with this one up to an index."""
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
        """The follower needs other entries, or more of a snapshot."""
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
        """Return the index to go on from after a rejection (Raft, end of section 5.3).

        `last_index` is up to where the follower's log may agree. Where this log has a term above
        the conflicting one at the index in question, the two agree at most up to this log's last
        entry that is not of a later term; so each term costs one round trip, not each entry.
        """
        if reply.disk_failed:
            return follower.next_index
        if reply.snapshot_agrees:
            return max(follower.next_index, min(last_index, self.state.last_index) + 1)
        if reply.conflict_term is not None:
            log = self.state.replicated_log
            agrees_until = log.last_index_of_terms_until(reply.conflict_term)
            last_index = agrees_until if agrees_until < follower.next_index - 1 else last_index
        return max(1, min(follower.next_index - 1, last_index + 1))

    def advance_commit_index(self) -> None:
        """Commit what a majority holds, if its last entry is of the current term.

        An older entry on a majority may still be replaced; it is committed by one of this term
        behind it (Raft, section 5.4.2 and figure 8).
        """
        reached = self.followers.majority_match_index()
        if reached is None or reached <= self.state.commit_index:
            return
        if self.state.term_at(reached) == self.state.term:
            self.applier.advance(reached)
            self.followers.notify_all()
