"""Reload of a daemon's settings file when it changes."""

import os
from collections.abc import Callable
from typing import NamedTuple

from ryelock.events import SETTINGS_REJECTED, SETTINGS_RELOADED, Log
from ryelock.runtime import Scheduler
from ryelock.settings import Settings, SettingsError

POLL_INTERVAL_SECONDS = 0.5


class FileVersion(NamedTuple):
    """Metadata that changes when a file is modified; zeros if there is no file."""

    modified_nanoseconds: int
    size: int
    inode: int


class WatchedSettingsFile:
    """Polls a settings file for changes."""

    __slots__ = ("path", "read")

    def __init__(self, path: str, read: Callable[[], Settings]) -> None:
        """Create a watcher; `read` reads the file and raises SettingsError if it is invalid."""
        self.path = path
        self.read = read

    def version(self) -> FileVersion:
        """Return the current version of the file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return FileVersion(0, 0, 0)
        return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)

    async def watch(
        self, scheduler: Scheduler, log: Log, apply: Callable[[Settings], None]
    ) -> None:
        """Reload the file whenever it changes; an invalid file leaves the settings unchanged.

        Args:
            scheduler: runs this task, which never ends.
            log: receives an event for each change.
            apply: called with the changed settings.
        """
        previous = self.version()
        while True:
            await scheduler.sleep(POLL_INTERVAL_SECONDS)
            current = self.version()
            if current == previous:
                continue
            previous = current
            try:
                apply(self.read())
                log.write(SETTINGS_RELOADED)
            except SettingsError as error:
                log.write(SETTINGS_REJECTED, faults=error.faults)
