"""The one data folder, as the journal needs it; the simulator has another that loses things."""

import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

PARTIAL_SUFFIX = ".new"
"""Ends the name of a file that is not whole yet; it counts for nothing."""


class FolderError(Exception):
    """The folder could not be read or written."""


class Folder(Protocol):
    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...
    def truncate(self, name: str, size: int) -> None: ...
    def write_whole(self, name: str, data: bytes) -> None:
        """A file that is there whole, synced, or not at all."""
        ...

    def sync_names(self) -> None:
        """Make lasting which names there are, also those that an earlier process gave."""
        ...

    def rename(self, name: str, other: str) -> None: ...
    def delete(self, name: str) -> None: ...


class MachineFolder:
    """A real folder; appended files stay open until they are deleted or another is appended."""

    __slots__ = ("open_file", "open_name", "path")

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self.open_name = ""
        self.open_file = -1
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self.write_whole("probe-of-writing", b"")
            self.delete("probe-of-writing")
        except OSError as error:
            raise FolderError(f"data folder {path}: {error.strerror}") from error

    def names(self) -> list[str]:
        try:
            return sorted(os.listdir(self.path))
        except OSError as error:
            raise FolderError(f"{self.path}: {error.strerror}") from error

    def read(self, name: str) -> bytes:
        try:
            return (self.path / name).read_bytes()
        except OSError as error:
            raise FolderError(f"{name}: {error.strerror}") from error

    def file_for(self, name: str) -> int:
        if self.open_name != name:
            if self.open_file >= 0:
                os.close(self.open_file)
            self.open_file = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            self.open_name = name
        return self.open_file

    def close_file(self, name: str) -> None:
        """Forget the open file of that name, which is about to be another or none."""
        if self.open_name == name:
            file, self.open_file, self.open_name = self.open_file, -1, ""
            os.close(file)

    def append(self, name: str, data: bytes) -> None:
        try:
            file = self.file_for(name)
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]
        except OSError as error:
            raise FolderError(f"{name}: {error.strerror}") from error

    def sync(self, name: str) -> None:
        try:
            os.fsync(self.file_for(name))
        except OSError as error:
            raise FolderError(f"{name}: {error.strerror}") from error

    def truncate(self, name: str, size: int) -> None:
        try:
            os.ftruncate(self.file_for(name), size)
        except OSError as error:
            raise FolderError(f"{name}: {error.strerror}") from error

    def write_whole(self, name: str, data: bytes) -> None:
        beside = self.path / f"{name}{PARTIAL_SUFFIX}"
        try:
            self.close_file(name)
            with open(beside, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(beside, self.path / name)
            self.sync_names()
        except OSError as error:
            with suppress(OSError):
                beside.unlink(missing_ok=True)
            raise FolderError(f"{name}: {error.strerror}") from error

    def sync_names(self) -> None:
        try:
            folder = os.open(self.path, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            raise FolderError(f"{self.path}: {error.strerror}") from error

    def rename(self, name: str, other: str) -> None:
        try:
            os.replace(self.path / name, self.path / other)
            self.sync_names()
        except OSError as error:
            raise FolderError(f"{name}: {error.strerror}") from error

    def delete(self, name: str) -> None:
        try:
            self.close_file(name)
            os.unlink(self.path / name)
        except OSError as error:
            raise FolderError(f"{name}: {error.strerror}") from error
