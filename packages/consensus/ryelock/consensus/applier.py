"""Stores log entries, applies committed entries to the state machine, and writes snapshots."""

from collections.abc import Callable

from ryelock.consensus.compaction import Compaction
from ryelock.consensus.entries import Entry, EntryKind, Snapshot
from ryelock.consensus.pending import PendingProposals
from ryelock.consensus.state import MemberState
from ryelock.consensus.state_machine import StateMachine
from ryelock.events import SNAPSHOT_INSTALLED, SNAPSHOT_WRITTEN, VOTERS_CHANGED

MAX_APPLY_BATCH_ENTRIES = 64
"""Maximum entries applied before the owner task processes its queue again."""
MAX_APPLY_BATCH_SECONDS = 0.02
"""A batch ends after the entry at which this time has passed."""


class CommittedApplier:
    """Stores entries, applies committed entries in order, and writes snapshots."""

    __slots__ = ("applied_listeners", "compaction", "pending", "state", "state_machine")

    def __init__(
        self,
        state: MemberState,
        state_machine: StateMachine,
        pending: PendingProposals,
        compaction: Compaction,
    ) -> None:
        """Create the applier and restore the state machine from the log's snapshot, if any."""
        self.state = state
        self.state_machine = state_machine
        self.pending = pending
        self.compaction = compaction
        self.applied_listeners: list[Callable[[], None]] = []
        if state.snapshot.index:
            state_machine.restore(state.snapshot.state)

    def store(self, entries: list[Entry]) -> bool:
        """Persist the entries that this log is missing; return False if the write failed.

        An entry of a conflicting term replaces the log from its index on (Raft, section 5.3).
        """
        if not entries:
            return True
        log = self.state.replicated_log
        if not log.append(entries) and not self.append_after_compaction(entries):
            return False
        before = self.state.voters
        self.state.refresh_voters()
        if before != self.state.voters:
            self.state.log.write(VOTERS_CHANGED, voters=sorted(self.state.voters.values()))
        return True

    def append_after_compaction(self, entries: list[Entry]) -> bool:
        """Retry an append after a snapshot that may free space on a full disk."""
        if not self.compaction.due(self.state.replicated_log.journal):
            return False
        self.write_snapshot()
        return self.state.replicated_log.append(entries)

    def advance(self, commit_index: int) -> None:
        """Advance the commit index and apply a batch; the owner applies the rest later."""
        if commit_index <= self.state.commit_index:
            return
        self.state.commit_index = commit_index
        self.apply_committed()

    def apply_committed(self) -> None:
        """Apply a bounded batch of committed entries, at least one if there is any.

        The owner applies the next batch after processing its queue: applying a long catch-up at
        once would delay heartbeats and depose a healthy leader.
        """
        state = self.state
        if state.applied_index == state.commit_index:
            return
        deadline = state.now() + MAX_APPLY_BATCH_SECONDS
        last = min(state.commit_index, state.applied_index + MAX_APPLY_BATCH_ENTRIES)
        while state.applied_index < last:
            self.apply_entry(state.entry_at(state.applied_index + 1))
            if state.now() >= deadline:
                break
        self.record_leader_ready()
        self.notify_applied()
        if self.compaction.due(state.replicated_log.journal):
            self.write_snapshot()

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry and resolve its proposal."""
        result: object = None
        if entry.kind in (EntryKind.COMMAND, EntryKind.INTERNAL):
            result = self.state_machine.apply(entry.index, entry.data)
            entry.is_duplicate = isinstance(result, dict) and result.get("again") is True
        self.state.applied_index = entry.index
        if entry.kind is EntryKind.COMMAND:
            self.state.applied_command_index = entry.index
        self.pending.resolve(entry, result)

    def record_leader_ready(self) -> None:
        """Record the time at which a new leader first has `leader_ready`."""
        state = self.state
        if not state.is_leader or state.elected_at is None:
            return
        recorded = state.leader_ready_at is not None and state.leader_ready_at >= state.elected_at
        if not recorded and state.leader_ready:
            state.leader_ready_at = state.now()

    def notify_applied(self) -> None:
        """Call the listeners for applied entries."""
        for listener in self.applied_listeners:
            listener()

    def write_snapshot(self) -> None:
        """Write a snapshot that replaces the applied entries (Raft, section 7)."""
        state = self.state
        snapshot = Snapshot(
            state.applied_index,
            state.term_at(state.applied_index),
            state.replicated_log.voters_at(state.applied_index),
            self.state_machine.snapshot(),
            state.applied_command_index,
        )
        if not state.replicated_log.compact(snapshot):
            self.compaction.record_failure(state.replicated_log.journal)
            return
        self.compaction.record_success()
        state.log.write(SNAPSHOT_WRITTEN, index=snapshot.index)

    def install(self, snapshot: Snapshot, source: str) -> bool:
        """Install a complete snapshot that ends after the commit index.

        Returns:
            False if the write failed.
        """
        state = self.state
        if not state.replicated_log.install(snapshot):
            return False
        state.commit_index = state.applied_index = snapshot.index
        state.applied_command_index = snapshot.command_index
        state.refresh_voters()
        self.state_machine.restore(snapshot.state)
        state.log.write(SNAPSHOT_INSTALLED, index=snapshot.index, source=source)
        self.notify_applied()
        return True
