"""State updates for edges: the commands that an edge lacks, or a snapshot if that is smaller."""

from dataclasses import dataclass

from ryelock.consensus import Consensus
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message

COMMAND_OVERHEAD_BYTES = 12
"""Size of a command in a response besides its data."""
MAX_COMMANDS_BYTES = 65_536
"""Size up to which commands are sent without comparison with the snapshot's size."""
Command = tuple[int, bytes]
"""Log index and data of one command."""


@dataclass(frozen=True, slots=True)
class CommandsUpdate:
    """The commands that an edge lacks, and the log index that they bring it to."""

    commands: list[Command]
    index: int

    def to_wire(self) -> Message:
        """Return the update's fields of a renewal response."""
        return {"words": [[index, data] for index, data in self.commands], "index": self.index}


@dataclass(frozen=True, slots=True)
class SnapshotUpdate:
    """The part of the replicated state that edges need, and its log index."""

    snapshot: bytes
    index: int

    def to_wire(self) -> Message:
        """Return the update's fields of a renewal response."""
        return {"image": self.snapshot, "index": self.index}


ConfigurationUpdate = CommandsUpdate | SnapshotUpdate


class ConfigurationUpdates:
    """Builds the updates; caches the newest snapshot for all edges that need one."""

    __slots__ = ("consensus", "replicated_state", "snapshot", "snapshot_index")

    def __init__(self, consensus: Consensus, replicated_state: ReplicatedState) -> None:
        """Create a builder without a snapshot."""
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.snapshot = b""
        self.snapshot_index = 0

    def update_since(self, index: int) -> ConfigurationUpdate:
        """Return the update for an edge that has applied the log up to `index`.

        Args:
            index: the edge's log index; 0 if it has no state.
        """
        commands = self.consensus.commands_since(index) if index else None
        if commands is None or self.snapshot_is_smaller(commands):
            return SnapshotUpdate(self.edge_snapshot(), self.consensus.applied_index)
        return CommandsUpdate(commands, self.consensus.applied_index)

    def snapshot_is_smaller(self, commands: list[Command]) -> bool:
        """Return True if a snapshot is smaller than the commands.

        Compares with the last snapshot built, which may be outdated.
        """
        size = sum(len(data) + COMMAND_OVERHEAD_BYTES for _, data in commands)
        if size <= MAX_COMMANDS_BYTES:
            return False
        return size > len(self.snapshot or self.edge_snapshot())

    def edge_snapshot(self) -> bytes:
        """Return the snapshot for edges, built once after each command.

        Internal entries, which edges do not get, do not make it outdated.
        """
        index = self.consensus.applied_command_index
        if self.snapshot_index != index or not self.snapshot:
            self.snapshot = self.replicated_state.edge_snapshot()
            self.snapshot_index = index
        return self.snapshot
