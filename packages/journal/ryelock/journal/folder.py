"""Access to the data folder; the simulator substitutes a folder that can lose unsynced data."""

import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Protocol

PARTIAL_SUFFIX = ".new"
"""Suffix of an incomplete file, which is ignored and deleted on opening."""
WRITE_TEST_NAME = "probe-of-writing"
"""File that is written and deleted on opening, to check that the folder is writable."""


class FolderError(Exception):
    """The folder could not be read or written."""


class Folder(Protocol):
    """A folder of files with explicit durability; methods raise FolderError on I/O errors."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without syncing; create it if it does not exist."""
        ...

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes without syncing."""
        ...

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write and sync a file atomically: after a power loss it is complete or absent."""
        ...

    def sync_directory(self) -> None:
        """Make all creations, renames and deletions durable, also those of an earlier process."""
        ...

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file durably, replacing any file of the new name."""
        ...

    def delete(self, name: str) -> None:
        """Delete a file; it may reappear after a power loss."""
        ...


class LocalFolder:
    """A folder of the file system; keeps the last appended file open."""

    __slots__ = ("open_file", "open_name", "path")

    def __init__(self, path: str) -> None:
        """Open a folder, creating it if it does not exist.

        Raises:
            FolderError: The folder cannot be created or written to.
        """
        self.path = Path(path)
        self.open_name = ""
        self.open_file = -1
        with wrap_os_errors(f"data folder {path}"):
            self.path.mkdir(parents=True, exist_ok=True)
            self.write_atomically(WRITE_TEST_NAME, b"")
            self.delete(WRITE_TEST_NAME)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        with wrap_os_errors(str(self.path)):
            return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with wrap_os_errors(name):
            return (self.path / name).read_bytes()

    def descriptor_for(self, name: str) -> int:
        """Return the descriptor of a file opened for appending; raises OSError."""
        if self.open_name != name:
            if self.open_file >= 0:
                os.close(self.open_file)
            self.open_file = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            self.open_name = name
        return self.open_file

    def close_file(self, name: str) -> None:
        """Close a file if open, before its name is replaced or deleted."""
        if self.open_name == name:
            descriptor, self.open_file, self.open_name = self.open_file, -1, ""
            os.close(descriptor)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without syncing; create it if it does not exist."""
        with wrap_os_errors(name):
            descriptor = self.descriptor_for(name)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        with wrap_os_errors(name):
            os.fsync(self.descriptor_for(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes without syncing."""
        with wrap_os_errors(name):
            os.ftruncate(self.descriptor_for(name), size)

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write and sync a file atomically: after a power loss it is complete or absent."""
        partial = self.path / f"{name}{PARTIAL_SUFFIX}"
        with wrap_os_errors(name):
            try:
                self.close_file(name)
                self.write_synced(partial, data)
                os.replace(partial, self.path / name)
                self.sync_directory()
            except OSError:
                with suppress(OSError):
                    partial.unlink(missing_ok=True)
                raise

    def write_synced(self, path: Path, data: bytes) -> None:
        """Write and sync a file; raises OSError."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def sync_directory(self) -> None:
        """Make all creations, renames and deletions durable, also those of an earlier process."""
        with wrap_os_errors(str(self.path)):
            directory = os.open(self.path, os.O_RDONLY)
            try:
                os.fsync(directory)
            finally:
                os.close(directory)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file durably, replacing any file of the new name."""
        with wrap_os_errors(name):
            os.replace(self.path / name, self.path / new_name)
            self.sync_directory()

    def delete(self, name: str) -> None:
        """Delete a file; it may reappear after a power loss."""
        with wrap_os_errors(name):
            self.close_file(name)
            os.unlink(self.path / name)


@contextmanager
def wrap_os_errors(subject: str) -> Iterator[None]:
    """Convert an OSError to a FolderError that names the file or folder."""
    try:
        yield
    except OSError as error:
        raise FolderError(f"{subject}: {error.strerror}") from error
