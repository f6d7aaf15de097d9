"""The one data folder, as the journal needs it; the simulator has another that loses things."""

import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Protocol

PARTIAL_SUFFIX = ".new"
"""Ends the name of a file that is not complete yet; it counts for nothing."""
WRITE_TEST_NAME = "probe-of-writing"
"""File that is written and deleted when the folder is opened."""


class FolderError(Exception):
    """The folder could not be read or written."""


class Folder(Protocol):
    """Files by name, and when they are durable; every method raises FolderError on a fault."""

    def names(self) -> list[str]:
        """Return the names of all files, in order."""
        ...

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created where there is none; it is not synced."""
        ...

    def sync(self, name: str) -> None:
        """Make durable what a file has."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to so many bytes; it is not synced."""
        ...

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write a file at once: after a loss of power it is there complete or not at all."""
        ...

    def sync_directory(self) -> None:
        """Make durable which names there are, also those that an earlier process gave."""
        ...

    def rename(self, name: str, other: str) -> None:
        """Give a file another name, in place of one that has it, and make that durable."""
        ...

    def delete(self, name: str) -> None:
        """Delete a file; the name may come back after a loss of power."""
        ...


class LocalFolder:
    """A real folder; the file appended to last stays open."""

    __slots__ = ("open_file", "open_name", "path")

    def __init__(self, path: str) -> None:
        """Open a folder, creating it where there is none.

        Raises:
            FolderError: it cannot be created or written to.
        """
        self.path = Path(path)
        self.open_name = ""
        self.open_file = -1
        with wrap_os_errors(f"data folder {path}"):
            self.path.mkdir(parents=True, exist_ok=True)
            self.write_atomically(WRITE_TEST_NAME, b"")
            self.delete(WRITE_TEST_NAME)

    def names(self) -> list[str]:
        """Return the names of all files, in order."""
        with wrap_os_errors(str(self.path)):
            return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        with wrap_os_errors(name):
            return (self.path / name).read_bytes()

    def descriptor_for(self, name: str) -> int:
        """Return the descriptor of a file that is open for appending; raises OSError."""
        if self.open_name != name:
            if self.open_file >= 0:
                os.close(self.open_file)
            self.open_file = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            self.open_name = name
        return self.open_file

    def close_file(self, name: str) -> None:
        """Close the file of a name that is about to be another file's or nobody's."""
        if self.open_name == name:
            file, self.open_file, self.open_name = self.open_file, -1, ""
            os.close(file)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created where there is none; it is not synced."""
        with wrap_os_errors(name):
            file = self.descriptor_for(name)
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]

    def sync(self, name: str) -> None:
        """Make durable what a file has."""
        with wrap_os_errors(name):
            os.fsync(self.descriptor_for(name))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to so many bytes; it is not synced."""
        with wrap_os_errors(name):
            os.ftruncate(self.descriptor_for(name), size)

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write a file at once: after a loss of power it is there complete or not at all."""
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
        """Write a file and sync it; raises OSError."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def sync_directory(self) -> None:
        """Make durable which names there are, also those that an earlier process gave."""
        with wrap_os_errors(str(self.path)):
            folder = os.open(self.path, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)

    def rename(self, name: str, other: str) -> None:
        """Give a file another name, in place of one that has it, and make that durable."""
        with wrap_os_errors(name):
            os.replace(self.path / name, self.path / other)
            self.sync_directory()

    def delete(self, name: str) -> None:
        """Delete a file; the name may come back after a loss of power."""
        with wrap_os_errors(name):
            self.close_file(name)
            os.unlink(self.path / name)


@contextmanager
def wrap_os_errors(subject: str) -> Iterator[None]:
    """Raise a fault of the operating system as FolderError, with what it happened to."""
    try:
        yield
    except OSError as error:
        raise FolderError(f"{subject}: {error.strerror}") from error
