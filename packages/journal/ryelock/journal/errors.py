"""Errors of reading and writing a journal."""

from typing import ClassVar


class JournalError(Exception):
    """Base class of journal errors; `damaged` is True if the stored data is damaged."""

    damaged: ClassVar[bool] = False

    def __init__(self, reason: str) -> None:
        """Create the error with a reason for operators."""
        super().__init__(reason)
        self.reason = reason


class DamagedJournalError(JournalError):
    """The stored data is damaged before its end, or a file is missing."""

    damaged = True


class JournalUnavailableError(JournalError):
    """The folder could not be read or written; the fault may be temporary."""
