"""Why a journal cannot be read or written."""

from typing import ClassVar


class JournalError(Exception):
    """Base of the errors of this package; `damaged` tells whether what is stored is damaged."""

    damaged: ClassVar[bool] = False

    def __init__(self, reason: str) -> None:
        """Create the error; the reason is for operators."""
        super().__init__(reason)
        self.reason = reason


class DamagedJournalError(JournalError):
    """What is stored is damaged before its end, or a file of it is missing."""

    damaged = True


class JournalUnavailableError(JournalError):
    """The folder could not be read or written, perhaps only for now."""
