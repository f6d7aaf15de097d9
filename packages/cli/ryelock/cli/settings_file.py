"""A settings file that is read again when it changes, while the daemon runs."""

import os
from collections.abc import Callable
from typing import NamedTuple

from ryelock.events import SETTINGS_REJECTED, SETTINGS_RELOADED, Log
from ryelock.runtime import Scheduler
from ryelock.settings import Settings, SettingsError

POLL_INTERVAL_SECONDS = 0.5


class FileVersion(NamedTuple):
    """Tells one state of a file from another; zeros where there is no file."""

    modified_nanoseconds: int
    size: int
    inode: int


class WatchedSettingsFile:
    """A settings file that may change, and how its settings are read."""

    __slots__ = ("path", "read")

    def __init__(self, path: str, read: Callable[[], Settings]) -> None:
        """Watch a settings file; `read` reads it and raises SettingsError for faults."""
        self.path = path
        self.read = read

    def version(self) -> FileVersion:
        """Return what tells the file's present state from others."""
        try:
            found = os.stat(self.path)
        except OSError:
            return FileVersion(0, 0, 0)
        return FileVersion(found.st_mtime_ns, found.st_size, found.st_ino)

    async def watch(
        self, scheduler: Scheduler, log: Log, apply: Callable[[Settings], None]
    ) -> None:
        """Read the file whenever it has changed; a file with faults changes nothing.

        Args:
            scheduler: runs this task, which does not end.
            log: takes an event for each change.
            apply: takes the changed settings.
        """
        known = self.version()
        while True:
            await scheduler.sleep(POLL_INTERVAL_SECONDS)
            found = self.version()
            if found == known:
                continue
            known = found
            try:
                apply(self.read())
                log.write(SETTINGS_RELOADED)
            except SettingsError as error:
                log.write(SETTINGS_REJECTED, faults=error.faults)
