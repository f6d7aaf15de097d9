"""What can be wrong with sessions and lists of servers."""


class MembershipError(Exception):
    """Base of the errors of this package."""


class MalformedSessionError(MembershipError, ValueError):
    """Data from the wire is no session; `field` names what is wrong, empty for the whole."""

    def __init__(self, field: str = "") -> None:
        """Create the error for one field of a session."""
        super().__init__(f"session: {field}" if field else "not a session")
        self.field = field


class MalformedServerError(MembershipError, ValueError):
    """An item of a list of servers is malformed; the text names the field."""


class ServerListError(MembershipError):
    """The platform's answer is no list of servers, or there was no answer at all (`missed`)."""

    def __init__(self, reason: str, missed: bool = False) -> None:
        """Create the error; `missed` says that the platform gave no answer."""
        super().__init__(reason)
        self.missed = missed
