"""What can be wrong with configuration, commands and snapshots.

`Fault` is one finding in data of an operator, who gets all findings at once. The exceptions are for
data of other processes, which is rejected at the first one.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong with an operator's change.

    Attributes:
        path: dotted path of the faulty field, empty for the whole.
        reason: what is wrong, for the operator.
    """

    path: str
    reason: str

    def to_wire(self) -> dict[str, str]:
        """Return the fault as the control API shows it."""
        return {"path": self.path, "fault": self.reason}


def faults_to_wire(faults: Iterable[Fault]) -> list[dict[str, str]]:
    """Return faults as the control API shows them."""
    return [fault.to_wire() for fault in faults]


class ReplicatedStateError(ValueError):
    """Base of the errors of this package."""


class InvalidConfigurationError(ReplicatedStateError):
    """A configuration or a change of it has faults; `faults` has all that were found."""

    def __init__(self, faults: list[Fault]) -> None:
        """Create the error from at least one fault."""
        super().__init__("; ".join(f"{fault.path}: {fault.reason}" for fault in faults))
        self.faults = faults

    def to_wire(self) -> list[dict[str, str]]:
        """Return the faults as the control API shows them."""
        return faults_to_wire(self.faults)


class MalformedCommandError(ReplicatedStateError):
    """A command of the log has a field of another form; `field` names it."""

    def __init__(self, field: str, reason: str) -> None:
        """Create the error for one field."""
        super().__init__(f"{field}: {reason}")
        self.field = field


class MalformedSnapshotError(ReplicatedStateError):
    """A snapshot lacks a field or has one of another form; `field` names it."""

    def __init__(self, field: str, reason: str) -> None:
        """Create the error for one field; the whole snapshot has the name `snapshot`."""
        super().__init__(f"{field}: {reason}")
        self.field = field


class MalformedVectorError(ReplicatedStateError):
    """Data from the wire is no version vector."""
