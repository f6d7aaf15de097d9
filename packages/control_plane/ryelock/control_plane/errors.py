"""Errors of the control plane."""


class ControlPlaneError(Exception):
    """Base of all errors that the control plane raises."""


class MalformedRenewalError(ControlPlaneError):
    """A field of a renewal request is missing, of another type or out of bounds."""

    def __init__(self, cause: Exception) -> None:
        """Create the error from the exception for the first malformed field."""
        super().__init__(f"malformed: {cause!r}")


class InvalidRequestError(ControlPlaneError):
    """A field of an operator's request is missing or malformed.

    Attributes:
        path: name of the field.
        fault: description of the error.
    """

    def __init__(self, path: str, fault: str) -> None:
        """Create the error."""
        super().__init__(f"{path}: {fault}")
        self.path = path
        self.fault = fault


class UnconfirmedLeadershipError(ControlPlaneError):
    """No majority confirmed in time that this node still leads."""

    def __init__(self) -> None:
        """Create the error; its text is sent to operators."""
        super().__init__("no majority confirmed this leader")


class MalformedServerListUpdateError(ControlPlaneError, ValueError):
    """An age in a peer's server list update is not a number of seconds."""

    def __init__(self, value: object) -> None:
        """Create the error for a malformed age."""
        super().__init__(f"age of the server list: expected a number of seconds, got {value!r}")
