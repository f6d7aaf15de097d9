"""Errors of the control plane."""


class ControlPlaneError(Exception):
    """Base of all errors that the control plane raises."""


class MalformedRenewalError(ControlPlaneError):
    """A renewal request lacks a field, or has a value of another type or out of bounds."""

    def __init__(self, cause: Exception) -> None:
        """Create the error; `cause` names the first field at fault."""
        super().__init__(f"malformed: {cause!r}")
