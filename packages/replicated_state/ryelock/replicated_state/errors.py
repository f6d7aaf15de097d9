"""Faults of configurations, and errors of commands and snapshots.

Data of an operator is validated completely, and all faults are returned at once. Data of other
processes is rejected with an exception at the first error.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """A validation error in data of an operator.

    Attributes:
        path: dotted path of the invalid field, empty for the complete data.
        reason: description of the error for the operator.
    """

    path: str
    reason: str

    def to_wire(self) -> dict[str, str]:
        """Return the fault in the form of the control API."""
        return {"path": self.path, "fault": self.reason}


def faults_to_wire(faults: Iterable[Fault]) -> list[dict[str, str]]:
    """Return faults in the form of the control API."""
    return [fault.to_wire() for fault in faults]


class ReplicatedStateError(ValueError):
    """Base class of the errors of this package."""


class InvalidConfigurationError(ReplicatedStateError):
    """A configuration, or a change to it, is invalid; `faults` lists every fault."""

    def __init__(self, faults: list[Fault]) -> None:
        """Create an error with at least one fault."""
        super().__init__("; ".join(f"{fault.path}: {fault.reason}" for fault in faults))
        self.faults = faults

    def to_wire(self) -> list[dict[str, str]]:
        """Return the faults in the form of the control API."""
        return faults_to_wire(self.faults)


class MalformedCommandError(ReplicatedStateError):
    """A command of the log has a malformed field; `field` is its name."""

    def __init__(self, field: str, reason: str) -> None:
        """Create an error for one field."""
        super().__init__(f"{field}: {reason}")
        self.field = field


class MalformedSnapshotError(ReplicatedStateError):
    """A snapshot has a missing or malformed field; `field` is its name."""

    def __init__(self, field: str, reason: str) -> None:
        """Create an error for one field, or for the complete snapshot under the name `snapshot`."""
        super().__init__(f"{field}: {reason}")
        self.field = field


class MalformedVectorError(ReplicatedStateError):
    """Data from the wire is not a version vector."""
