"""The interface of the replicated state machine that a member applies committed commands to."""

from typing import Protocol


class StateMachine(Protocol):
    """State changed by commands only; the same commands must give the same state on every node."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply the command of a log entry and return its outcome; never raises.

        An outcome that is a map in which `again` is True says that the command was applied before
        and that nothing was changed by it.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        ...
