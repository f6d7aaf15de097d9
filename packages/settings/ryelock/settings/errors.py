"""Errors of settings; all derive from SettingsError."""


class SettingsError(Exception):
    """Invalid settings, with which a process cannot start.

    Attributes:
        faults: all faults found, one line each, shown to the operator.
    """

    def __init__(self, faults: list[str]) -> None:
        """Create the error; see the attributes."""
        super().__init__("\n".join(faults))
        self.faults = faults


class InvalidValueError(SettingsError, ValueError):
    """A value that is invalid for a setting; the message is the reason."""

    def __init__(self, reason: str) -> None:
        """Create the error; the reason does not name the key."""
        super().__init__([reason])


class SettingsFileError(SettingsError):
    """A settings file that cannot be read, or whose content is not a table of settings."""

    def __init__(self, file: str, reason: str) -> None:
        """Create the error for the path of a file."""
        super().__init__([f"settings file {file}: {reason}"])
