"""Errors of sessions and server lists."""


class MembershipError(Exception):
    """Base of the errors of this package."""


class MalformedSessionError(MembershipError, ValueError):
    """Data from the wire is not a session.

    Attributes:
        field: name of the malformed field; empty if the data is no map.
    """

    def __init__(self, field: str = "") -> None:
        """Create the error for a field."""
        super().__init__(f"session: {field}" if field else "not a session")
        self.field = field


class MalformedServerError(MembershipError, ValueError):
    """An item of a server list is malformed; the text names the field."""


class ServerListError(MembershipError):
    """The platform's answer is not a server list, or the platform did not answer.

    Attributes:
        no_answer: True if the platform did not answer.
    """

    def __init__(self, reason: str, no_answer: bool = False) -> None:
        """Create the error with its reason."""
        super().__init__(reason)
        self.no_answer = no_answer
