"""What brings an edge up to date: the commands it lacks, or a snapshot where that is smaller."""

from dataclasses import dataclass

from ryelock.consensus import Consensus
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message

COMMAND_OVERHEAD_BYTES = 12
"""What a command costs in a response besides its data."""
MAX_COMMANDS_BYTES = 65_536
"""Commands of up to so many bytes are sent without a look at the snapshot's size."""
Command = tuple[int, bytes]
"""Log index and data of one command."""


@dataclass(frozen=True, slots=True)
class CommandsUpdate:
    """The commands that an edge lacks, and the index that it has with them."""

    commands: list[Command]
    index: int

    def to_wire(self) -> Message:
        """Return the fields of a renewal's response."""
        return {"words": [[index, data] for index, data in self.commands], "index": self.index}


@dataclass(frozen=True, slots=True)
class SnapshotUpdate:
    """The replicated state as edges need it, at an index."""

    snapshot: bytes
    index: int

    def to_wire(self) -> Message:
        """Return the fields of a renewal's response."""
        return {"image": self.snapshot, "index": self.index}


ConfigurationUpdate = CommandsUpdate | SnapshotUpdate


class ConfigurationUpdates:
    """Makes the updates; keeps the newest snapshot for all edges that need one."""

    __slots__ = ("consensus", "replicated_state", "snapshot", "snapshot_index")

    def __init__(self, consensus: Consensus, replicated_state: ReplicatedState) -> None:
        """Create the source of updates; the first snapshot is made when one is needed."""
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.snapshot = b""
        self.snapshot_index = 0

    def update_since(self, index: int) -> ConfigurationUpdate:
        """Return what an edge lacks that has applied the log up to an index, 0 for nothing."""
        commands = self.consensus.commands_since(index) if index else None
        if commands is None or self.snapshot_is_smaller(commands):
            return SnapshotUpdate(self.edge_snapshot(), self.consensus.applied_index)
        return CommandsUpdate(commands, self.consensus.applied_index)

    def snapshot_is_smaller(self, commands: list[Command]) -> bool:
        """Compare with the last snapshot that was made, which may be a little older."""
        size = sum(len(data) + COMMAND_OVERHEAD_BYTES for _, data in commands)
        if size <= MAX_COMMANDS_BYTES:
            return False
        return size > len(self.snapshot or self.edge_snapshot())

    def edge_snapshot(self) -> bytes:
        """Return the snapshot for edges, made once for all that renew between two commands.

        Internal entries, which edges do not get, leave it as it is.
        """
        index = self.consensus.applied_command_index
        if self.snapshot_index != index or not self.snapshot:
            self.snapshot = self.replicated_state.edge_snapshot()
            self.snapshot_index = index
        return self.snapshot
