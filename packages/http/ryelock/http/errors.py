"""Errors of this package.

A `FramingError` carries the status code of the server's error response. The reasons are sent to
clients, logged, and shown to operators.
"""

from http import HTTPStatus


class HttpError(Exception):
    """Base of all errors of this package."""


class IncompleteMessageError(HttpError):
    """The peer closed the connection before the end of a message."""


class ReadTimeoutError(HttpError):
    """The deadline passed before the expected bytes were received."""


class FramingError(HttpError):
    """A message cannot be parsed unambiguously; its connection cannot be reused.

    Attributes:
        status: the status code of the server's response to such a request.
        reason: a description in one line.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create the error; see the attributes."""
        super().__init__(reason)
        self.status = int(status)
        self.reason = reason


class MalformedMessageError(FramingError):
    """A head, a length or a chunk violates the grammar of RFC 9112."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` describes the malformed part."""
        super().__init__(HTTPStatus.BAD_REQUEST, reason)


class MalformedStatusLineError(FramingError):
    """The first line of a response is not a status line (RFC 9112, section 4)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.BAD_GATEWAY, "malformed status line")


class BodyTooLargeError(FramingError):
    """A body is longer than the limit (RFC 9110, section 15.5.14)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")


class UnknownExpectationError(FramingError):
    """A request has an expectation other than 100-continue (RFC 9110, section 10.1.1)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.EXPECTATION_FAILED, "unknown expectation")


class HeadTooLongError(FramingError):
    """A head or a trailer section is longer than the limit (RFC 6585, section 5)."""

    def __init__(self, reason: str = "head too long") -> None:
        """Create the error; `reason` names the part that is too long."""
        super().__init__(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)


class NotImplementedByServerError(FramingError):
    """A method or a transfer coding is not supported (RFC 9110, section 15.6.2)."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` names the unsupported feature."""
        super().__init__(HTTPStatus.NOT_IMPLEMENTED, reason)


class UnknownVersionError(FramingError):
    """A request has an unsupported version of HTTP (RFC 9110, section 15.6.6)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "unknown version")


class ClientError(HttpError):
    """A request got no complete, usable response.

    Attributes:
        reason: a description in one line.
        sent: False only if the request cannot have reached the server.
        rejected: the status code by which the server declared that it did not execute the request;
            else 0.
    """

    def __init__(self, reason: str, sent: bool, rejected: int = 0) -> None:
        """Create the error; see the attributes."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.rejected = rejected


class NotConnectedError(ClientError):
    """The connection was not established in time; nothing was sent."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no link", sent=False)


class ResponseTimeoutError(ClientError):
    """The complete response was not received before the deadline."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` names the missing part."""
        super().__init__(reason, sent=True)


class ResponseCutError(ClientError):
    """The connection was closed before the end of the response."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` names the incomplete part."""
        super().__init__(reason, sent=True)


class UnusableResponseError(ClientError):
    """A response is malformed, an unrequested protocol switch, or lacks explicit framing."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` describes the defect."""
        super().__init__(reason, sent=True)
