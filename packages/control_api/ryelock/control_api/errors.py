"""Errors of the control API; each knows the response that it comes to."""

from ryelock.rpc import Message


class ControlApiError(Exception):
    """Base of the errors of the control API.

    Attributes:
        http_status: status of the response.
        answer: JSON object of the response's body.
    """

    def __init__(self, http_status: int, answer: Message) -> None:
        """Create the error from the response that it comes to."""
        super().__init__(str(answer.get("fault")))
        self.http_status = http_status
        self.answer = answer


class UnknownPathError(ControlApiError):
    """Nothing is served at this path."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(404, {"fault": "no such place"})


class MethodNotAllowedError(ControlApiError):
    """The path is served, but not for this method."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(405, {"fault": "no such place"})


class MalformedBodyError(ControlApiError):
    """The body of a request is no JSON."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(400, {"status": "malformed", "fault": "not JSON"})
