"""Errors of this package: one base, a class for each thing that can be wrong."""


class SettingsError(Exception):
    """Settings that a process cannot start with.

    Attributes:
        faults: every fault found, one line each, for the operator.
    """

    def __init__(self, faults: list[str]) -> None:
        """Create the error of these faults."""
        super().__init__("\n".join(faults))
        self.faults = faults


class InvalidValueError(SettingsError, ValueError):
    """A value that a setting does not take; the text is the reason."""

    def __init__(self, reason: str) -> None:
        """Create the error with the reason, which names no key."""
        super().__init__([reason])


class SettingsFileError(SettingsError):
    """A settings file that cannot be read, or holds no table of settings."""

    def __init__(self, file: str, reason: str) -> None:
        """Create the error of a file's path."""
        super().__init__([f"settings file {file}: {reason}"])
