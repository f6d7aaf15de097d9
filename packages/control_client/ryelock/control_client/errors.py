"""Exit codes of the operator commands, and the errors that end them."""

import enum
from http import HTTPStatus


class ExitCode(enum.IntEnum):
    """Exit code of an operator command; scripts rely on the values."""

    DONE = 0
    REJECTED = 1
    """Rejected, invalid, or superseded by another change."""
    BAD_INPUT = 2
    """The settings or the operator's file are invalid; nothing was sent."""
    NOT_TAKEN = 3
    """Definitely not executed; retry later."""
    UNKNOWN = 4
    """May have been executed; retry with the same id."""
    UNREACHED = 5
    """No node could be reached, or the response is not of a control API."""


EXIT_CODES: dict[int, ExitCode] = {
    HTTPStatus.OK: ExitCode.DONE,
    HTTPStatus.SERVICE_UNAVAILABLE: ExitCode.NOT_TAKEN,
    HTTPStatus.GATEWAY_TIMEOUT: ExitCode.UNKNOWN,
}
"""Exit code by HTTP status; any other status is a rejection."""


def exit_code_of(status: int) -> ExitCode:
    """Return the exit code for an HTTP status."""
    return EXIT_CODES.get(status, ExitCode.REJECTED)


class OperatorError(Exception):
    """An operator request got no usable response; the message is shown to the operator.

    Attributes:
        exit_code: exit code of the command.
    """

    def __init__(self, text: str, exit_code: ExitCode = ExitCode.UNREACHED) -> None:
        """Create the error; see the attributes."""
        super().__init__(text)
        self.exit_code = exit_code


class RequestNotSentError(OperatorError):
    """The request was not sent, or it is read-only and got no response."""

    def __init__(self, address: str, reason: str) -> None:
        """Create the error for a node's host:port."""
        super().__init__(f"{address}: {reason}; not sent")


class OutcomeUnknownError(OperatorError):
    """The request may have reached the node, but no response was received."""

    def __init__(self, address: str, reason: str) -> None:
        """Create the error for a node's host:port."""
        super().__init__(f"{address}: {reason}; outcome unknown", ExitCode.UNKNOWN)


class MalformedResponseError(OperatorError):
    """The response is not of a control API: its body is not a JSON object."""

    def __init__(self, address: str, reason: str) -> None:
        """Create the error for a node's host:port."""
        super().__init__(f"{address}: {reason}")
