"""Errors of the control plane."""


class ControlPlaneError(Exception):
    """Base of all errors that the control plane raises."""


class MalformedRenewalError(ControlPlaneError):
    """A renewal request lacks a field, or has a value of another type or out of bounds."""

    def __init__(self, cause: Exception) -> None:
        """Create the error; `cause` names the first field at fault."""
        super().__init__(f"malformed: {cause!r}")


class InvalidRequestError(ControlPlaneError):
    """A field of an operator's request has a value that cannot be taken.

    Attributes:
        path: the field at fault.
        fault: what is wrong with it.
    """

    def __init__(self, path: str, fault: str) -> None:
        """Create the error."""
        super().__init__(f"{path}: {fault}")
        self.path = path
        self.fault = fault


class UnconfirmedLeadershipError(ControlPlaneError):
    """No majority confirmed in time that this node still leads."""

    def __init__(self) -> None:
        """Create the error; its text is shown to operators."""
        super().__init__("no majority confirmed this leader")


class MalformedServerListUpdateError(ControlPlaneError, ValueError):
    """A peer's reading of the server list has an age that is no number of seconds."""

    def __init__(self, value: object) -> None:
        """Create the error with the value at fault."""
        super().__init__(f"not a number of seconds: {value!r}")
