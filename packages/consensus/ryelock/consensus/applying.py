"""Entries into the log, agreed entries into the state machine, images of it."""

from expression import Error, Ok

from ryelock.consensus.entries import (
    COMMAND,
    INTERNAL,
    Entry,
    Snapshot,
)
from ryelock.consensus.state import MemberState
from ryelock.consensus.types import ConsensusError
from ryelock.events import (
    SNAPSHOT_WRITTEN,
    VOTERS_CHANGED,
)

APPLY_ENTRIES = 64
"""The most entries applied before the owner looks at its queue again."""
APPLY_SECONDS = 0.02
"""The longest that entries are applied before it, but for the last of them."""


class Applying(MemberState):
    """Stores entries, applies what is agreed, and writes images."""

    __slots__ = ()

    def store(self, entries: list[Entry]) -> bool:
        """Write the entries this log lacks; one that differs replaces the tail."""
        if not self.replicated_log.append(entries) and not self.append_after_compaction(entries):
            return False
        before = self.voters
        self.find_voters()
        if before != self.voters:
            self.log.write(VOTERS_CHANGED, voters=sorted(self.voters.values()))
        return True

    def append_after_compaction(self, entries: list[Entry]) -> bool:
        """Where the disk took no more, an image may make room."""
        if not self.compaction.due(self.journal):
            return False
        self.write_snapshot()
        return self.replicated_log.append(entries)

    def advance(self, commit: int) -> None:
        """Entries up to an index are agreed; apply a batch of them, the owner the others."""
        if commit <= self.commit_index:
            return
        self.commit_index = commit
        self.apply_committed()

    def apply_committed(self) -> None:
        """Apply agreed entries for a bounded while; `applied` may stay behind `commit`.

        The owner goes on after it has served its queue, so that a long catch-up holds up no
        heartbeat. At least one entry is applied.
        """
        if self.applied_index == self.commit_index:
            return
        until = self.scheduler.now() + APPLY_SECONDS
        last = min(self.commit_index, self.applied_index + APPLY_ENTRIES)
        while self.applied_index < last:
            self.apply_entry(self.entry_at(self.applied_index + 1))
            if self.scheduler.now() >= until:
                break
        if self.role == "leader" and self.settled_at < self.elected_at and self.settled:
            self.settled_at = self.scheduler.now()
        self.tell_applied()
        if self.compaction.due(self.journal):
            self.write_snapshot()

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry and answer who proposed it."""
        result: object = None
        if entry.kind in (COMMAND, INTERNAL):
            result = self.state_machine.apply(entry.index, entry.data)
            entry.repeated = isinstance(result, dict) and result.get("again") is True
        self.applied_index = entry.index
        if entry.kind == COMMAND:
            self.applied_command_index = entry.index
        waiting = self.waiting.pop(entry.index, None)
        if waiting is None:
            return
        epoch, box = waiting
        if epoch == entry.term:
            box.put(Ok(result))
        else:
            box.put(Error(ConsensusError("another word took its place", True)))

    def tell_applied(self) -> None:
        for tell in self.applied_news:
            tell()

    def write_snapshot(self) -> None:
        snapshot = Snapshot(
            self.applied_index,
            self.term_at(self.applied_index),
            self.replicated_log.voters_at(self.applied_index),
            self.state_machine.snapshot(),
            self.applied_command_index,
        )
        if not self.replicated_log.compact(snapshot):
            self.compaction.failed(self.journal)
        else:
            self.compaction.done()
            self.log.write(SNAPSHOT_WRITTEN, index=snapshot.index)
