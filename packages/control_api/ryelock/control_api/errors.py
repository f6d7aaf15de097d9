"""Errors of the control API, each with its HTTP response."""

from ryelock.rpc import Message


class ControlApiError(Exception):
    """Base of the errors of the control API.

    Attributes:
        http_status: HTTP status of the response.
        body: JSON object in the body of the response.
    """

    def __init__(self, http_status: int, body: Message) -> None:
        """Create the error from its response."""
        super().__init__(str(body.get("fault")))
        self.http_status = http_status
        self.body = body


class UnknownPathError(ControlApiError):
    """Nothing is served at this path."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(404, {"fault": "no such place"})


class MethodNotAllowedError(ControlApiError):
    """The path is served, but not with this method."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(405, {"fault": "no such place"})


class MalformedBodyError(ControlApiError):
    """The body of a request is not JSON."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(400, {"status": "malformed", "fault": "not JSON"})
