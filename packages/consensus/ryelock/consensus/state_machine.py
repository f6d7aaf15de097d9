"""The interface of the replicated state machine."""

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine: the same commands give the same state on every node."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply the command of a log entry and return its outcome; must not raise.

        An outcome that is a dict with `again` True means that the command was already applied, and
        had no effect this time.
        """
        ...

    def snapshot(self) -> bytes:
        """Serialise the complete state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the complete state by that of a snapshot."""
        ...
