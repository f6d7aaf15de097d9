"""Exit codes of the operator's commands, and the errors that end one."""

import enum
from http import HTTPStatus


class ExitCode(enum.IntEnum):
    """Exit code of an operator's command; scripts rely on the values."""

    DONE = 0
    REJECTED = 1
    """Rejected, invalid, or superseded by another change."""
    BAD_INPUT = 2
    """Settings or a file of the operator's have faults; nothing was sent."""
    NOT_TAKEN = 3
    """Certainly not executed; to be sent again later."""
    UNKNOWN = 4
    """May have been executed; to be sent again with the same id."""
    UNREACHED = 5
    """No node could be reached, or what answered is none."""


EXIT_CODES: dict[int, ExitCode] = {
    HTTPStatus.OK: ExitCode.DONE,
    HTTPStatus.SERVICE_UNAVAILABLE: ExitCode.NOT_TAKEN,
    HTTPStatus.GATEWAY_TIMEOUT: ExitCode.UNKNOWN,
}
"""Exit codes of the statuses that are not rejections."""


def exit_code_of(status: int) -> ExitCode:
    """Return the exit code for an HTTP status."""
    return EXIT_CODES.get(status, ExitCode.REJECTED)


class OperatorError(Exception):
    """An operator's request got no usable response; the text is for the operator.

    Attributes:
        exit_code: how the command ends.
    """

    def __init__(self, text: str, exit_code: ExitCode = ExitCode.UNREACHED) -> None:
        """Create the error; see the attributes."""
        super().__init__(text)
        self.exit_code = exit_code


class RequestNotSentError(OperatorError):
    """The request did not reach the node, or only reads and got no response."""

    def __init__(self, address: str, reason: str) -> None:
        """Create the error of a node's host:port."""
        super().__init__(f"{address}: {reason}; not sent")


class OutcomeUnknownError(OperatorError):
    """The request may have reached the node, whose response did not come."""

    def __init__(self, address: str, reason: str) -> None:
        """Create the error of a node's host:port."""
        super().__init__(f"{address}: {reason}; outcome unknown", ExitCode.UNKNOWN)


class MalformedResponseError(OperatorError):
    """What answered is no control API: its body is no JSON object."""

    def __init__(self, address: str, reason: str) -> None:
        """Create the error of a host:port."""
        super().__init__(f"{address}: {reason}")
