"""Errors of this package: one base, a class for each thing that can be wrong.

A `FramingError` carries the status by which a server answers it. The reasons are sent to clients,
logged, and shown to operators.
"""

from http import HTTPStatus


class HttpError(Exception):
    """Base of all errors of this package."""


class IncompleteMessageError(HttpError):
    """The other side ended the connection in the middle of a message, or before one."""


class ReadTimeoutError(HttpError):
    """The deadline passed before the awaited bytes came."""


class FramingError(HttpError):
    """A message whose head or bounds are not beyond doubt; its connection cannot be used on.

    Attributes:
        status: the status by which a server answers such a request.
        reason: what is wrong, in one line.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create the error; see the attributes."""
        super().__init__(reason)
        self.status = int(status)
        self.reason = reason


class MalformedMessageError(FramingError):
    """A head, length or chunk breaks the grammar of RFC 9112."""

    def __init__(self, reason: str) -> None:
        """Create the error with what is malformed."""
        super().__init__(HTTPStatus.BAD_REQUEST, reason)


class MalformedStatusLineError(FramingError):
    """The first line of a response is no status line (RFC 9112, section 4)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.BAD_GATEWAY, "malformed status line")


class BodyTooLargeError(FramingError):
    """A body is longer than the limit of its reader (RFC 9110, section 15.5.14)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")


class UnknownExpectationError(FramingError):
    """A request expects something else than 100-continue (RFC 9110, section 10.1.1)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.EXPECTATION_FAILED, "unknown expectation")


class HeadTooLongError(FramingError):
    """A head or a trailer section is longer than the limit of its reader (RFC 6585, section 5)."""

    def __init__(self, reason: str = "head too long") -> None:
        """Create the error with what is too long."""
        super().__init__(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)


class NotImplementedByServerError(FramingError):
    """A method or a transfer coding that is not served (RFC 9110, section 15.6.2)."""

    def __init__(self, reason: str) -> None:
        """Create the error with what is not served."""
        super().__init__(HTTPStatus.NOT_IMPLEMENTED, reason)


class UnknownVersionError(FramingError):
    """A request of another major version of HTTP (RFC 9110, section 15.6.6)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "unknown version")


class ClientError(HttpError):
    """A request got no complete, usable response.

    Attributes:
        reason: what went wrong, in one line.
        sent: False only where the request surely did not reach the server; True where it may have.
        rejected: the status by which the server said that the request did not run, else 0.
    """

    def __init__(self, reason: str, sent: bool, rejected: int = 0) -> None:
        """Create the error; see the attributes."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.rejected = rejected


class NotConnectedError(ClientError):
    """The connection could not be opened in time; nothing was sent."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no link", sent=False)


class ResponseTimeoutError(ClientError):
    """The response, or the rest of it, did not come before the deadline."""

    def __init__(self, reason: str) -> None:
        """Create the error with what is missing."""
        super().__init__(reason, sent=True)


class ResponseCutError(ClientError):
    """The connection ended before the response did."""

    def __init__(self, reason: str) -> None:
        """Create the error with what was cut."""
        super().__init__(reason, sent=True)


class UnusableResponseError(ClientError):
    """A response came that is malformed, unasked for, or without a provable end."""

    def __init__(self, reason: str) -> None:
        """Create the error with what is wrong."""
        super().__init__(reason, sent=True)
