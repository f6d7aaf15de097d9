"""A simulated disk that implements the journal's `Folder` protocol, with fault injection.

`files` has the contents that running processes read. `durable` has the contents that certainly
survive a loss of power. A process can crash, fail or stall at every operation that changes the
disk.
"""

from collections.abc import Callable
from random import Random

from ryelock.journal import FolderError
from ryelock.journal.folder import PARTIAL_SUFFIX
from ryelock.testing.simulated.memory_files import read_file


class Crash(BaseException):
    """Raised to end a simulated process in the middle of a disk operation."""


class LossMode:
    """The fate of unsynced writes at a loss of power.

    All are kept, appended data is torn at a random byte, all are lost, or any of these by file.
    """

    KEPT = "kept"
    TORN = "torn"
    LOST = "lost"
    ANY = "any"
    ALL = (KEPT, TORN, LOST, ANY)


class Fault:
    """A series of failing disk operations.

    `kind` is "full" (writes of data fail; a prefix of an append may be written), "sync" (fsync
    fails), "folder" (the fsync of the folder fails after a file was replaced) or "io" (every
    operation that changes the disk fails). `after` operations succeed first, then `count` fail.
    """

    __slots__ = ("after", "count", "kind")

    FULL = "full"
    SYNC = "sync"
    FOLDER = "folder"
    IO = "io"
    ALL = (FULL, SYNC, FOLDER, IO)

    def __init__(self, kind: str, after: int, count: int) -> None:
        """Create a fault; it takes effect once it is assigned to a disk."""
        self.kind = kind
        self.after = after
        self.count = count


class DurableView:
    """A copy of the durable files of a disk, on which a journal can be opened."""

    __slots__ = ("files",)

    def __init__(self, files: dict[str, bytes]) -> None:
        """Create a view of files by name."""
        self.files = files

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return the contents of a file as a running process reads them."""
        return read_file(self.files, name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without fsync."""
        self.files[name] = self.files.get(name, b"") + data

    def sync(self, name: str) -> None:
        """Do nothing: a view does not lose power."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file without fsync."""
        self.files[name] = self.files[name][:size]

    def write_atomically(self, name: str, data: bytes) -> None:
        """Replace a file by synced data, then fsync the folder."""
        self.files[name] = data

    def sync_directory(self) -> None:
        """Do nothing: a view does not lose power."""

    def rename(self, name: str, other: str) -> None:
        """Rename a file and fsync the folder."""
        self.files[other] = self.files.pop(name)

    def delete(self, name: str) -> None:
        """Remove a file without fsync of the folder."""
        self.files.pop(name, None)


class ModelFolder:
    """The disk of one machine; outlives the processes that use it.

    `renamed` maps files that were replaced before the last fsync of the folder to their durable
    contents from before; `synced_data` has the synced contents of the new files. `deleted` has the
    durable contents of files whose removal was not synced with the folder.
    """

    __slots__ = (
        "change_count",
        "crash_countdown",
        "deleted",
        "durable",
        "fault",
        "files",
        "on_stall",
        "operations",
        "random",
        "renamed",
        "stall_seconds",
        "synced_data",
    )

    def __init__(self, random: Random) -> None:
        """Create an empty disk; `random` draws the fate of unsynced data."""
        self.random = random
        self.files: dict[str, bytearray] = {}
        self.durable: dict[str, bytes] = {}
        self.deleted: dict[str, bytes] = {}
        self.renamed: dict[str, bytes | None] = {}
        self.synced_data: dict[str, bytes] = {}
        self.crash_countdown = 0
        self.fault: Fault | None = None
        self.stall_seconds = 0.0
        self.on_stall: Callable[[float], None] = lambda _seconds: None
        self.operations = 0
        self.change_count = 0

    def crash_point(self) -> None:
        """Count down an armed crash; raise Crash when it reaches 0."""
        self.operations += 1
        if self.crash_countdown:
            self.crash_countdown -= 1
            if self.crash_countdown == 0:
                raise Crash

    def take_fault(self, *kinds: str) -> bool:
        """Count one operation against the current fault; return True if the operation fails."""
        fault = self.fault
        if fault is None or fault.kind not in kinds:
            return False
        if fault.after > 0:
            fault.after -= 1
            return False
        fault.count -= 1
        if fault.count <= 0:
            self.fault = None
        return True

    def begin_change(self, name: str) -> None:
        """Begin to change a file; raise FolderError if the disk fails or there is no such file."""
        self.crash_point()
        if self.take_fault(Fault.IO):
            raise FolderError("input/output error")
        if name not in self.files:
            raise FolderError(f"{name}: no such file")
        self.change_count += 1

    def stall_once(self) -> None:
        """Block the process for the stall that a step of the schedule has set, if any."""
        if self.stall_seconds:
            seconds, self.stall_seconds = self.stall_seconds, 0.0
            self.on_stall(seconds)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return the contents of a file as a running process reads them."""
        return read_file(self.files, name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without fsync."""
        self.crash_point()
        self.change_count += 1
        if self.take_fault(Fault.FULL, Fault.IO):
            part = self.random.randrange(len(data) + 1)
            self.files.setdefault(name, bytearray()).extend(data[:part])
            raise FolderError("no space left on device")
        self.files.setdefault(name, bytearray()).extend(data)
        self.durable.setdefault(name, b"")
        self.crash_point()

    def sync(self, name: str) -> None:
        """Make the contents of a file durable (fsync)."""
        self.crash_point()
        self.stall_once()
        if self.take_fault(Fault.SYNC, Fault.IO):
            raise FolderError("input/output error")
        self.change_count += 1
        synced = self.synced_data if name in self.renamed else self.durable
        synced[name] = bytes(self.files.get(name, b""))
        self.crash_point()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file without fsync."""
        self.begin_change(name)
        del self.files[name][size:]
        self.crash_point()

    def write_atomically(self, name: str, data: bytes) -> None:
        """Replace a file by synced data, then fsync the folder."""
        self.crash_point()
        self.stall_once()
        if self.take_fault(Fault.FULL, Fault.IO):
            raise FolderError("no space left on device")
        self.change_count += 1
        partial = name + PARTIAL_SUFFIX
        self.files[partial] = bytearray(data)
        self.durable[partial] = b""
        self.crash_point()
        del self.files[partial], self.durable[partial]
        replaced = self.durable.get(name)
        self.files[name] = bytearray(data)
        self.renamed.setdefault(name, replaced)
        self.synced_data[name] = data
        self.crash_point()
        if self.take_fault(Fault.FOLDER):
            raise FolderError("input/output error")
        self.sync_renames()
        self.crash_point()

    def rename(self, name: str, other: str) -> None:
        """Rename a file and fsync the folder."""
        self.begin_change(name)
        self.files[other] = self.files.pop(name)
        self.durable[other] = self.durable.pop(name, b"")
        self.sync_renames()
        self.crash_point()

    def delete(self, name: str) -> None:
        """Remove a file without fsync of the folder."""
        self.begin_change(name)
        del self.files[name]
        if name in self.durable:
            self.deleted[name] = self.durable.pop(name)
        self.crash_point()

    def sync_directory(self) -> None:
        """Make renames and removals durable (fsync of the folder)."""
        self.crash_point()
        if self.take_fault(Fault.FOLDER, Fault.IO):
            raise FolderError("input/output error")
        self.change_count += 1
        self.sync_renames()
        self.crash_point()

    def sync_renames(self) -> None:
        """Make all renames and removals so far durable, with the synced data of the files."""
        self.deleted.clear()
        for name in self.renamed:
            if name in self.files:
                self.durable[name] = self.synced_data[name]
        self.renamed.clear()
        self.synced_data.clear()

    def lose_power(self, mode: str) -> None:
        """Keep durable data, and of unsynced data the part that `mode` (see LossMode) leaves."""
        self.change_count += 1
        for name, previous in self.renamed.items():
            self.lose_rename(name, previous, mode)
        for name, data in list(self.files.items()):
            durable = self.durable.get(name, b"")
            self.files[name] = bytearray(self.surviving_data(bytes(data), durable, mode))
        for name, previous_data in self.deleted.items():
            chance = {LossMode.LOST: 1.0, LossMode.ANY: 0.5}.get(mode, 0.0)
            if name not in self.files and self.random.random() < chance:
                self.files[name] = bytearray(previous_data)
        self.mark_durable()

    def lose_rename(self, name: str, previous: bytes | None, mode: str) -> None:
        """Keep the new or the old file of a replacement that was not synced with the folder."""
        if name not in self.files:
            return
        is_kept = mode == LossMode.KEPT or (mode != LossMode.LOST and self.random.random() < 0.5)
        if is_kept:
            self.durable[name] = self.synced_data[name]
        elif previous is None:
            del self.files[name]
            self.durable.pop(name, None)
        else:
            self.files[name] = bytearray(previous)
            self.durable[name] = previous

    def surviving_data(self, data: bytes, durable: bytes, mode: str) -> bytes:
        """Return the contents of a file after a loss of power."""
        if data == durable:
            return data
        if mode == LossMode.ANY:
            mode = self.random.choice((LossMode.KEPT, LossMode.TORN, LossMode.LOST))
        if mode == LossMode.KEPT:
            return data
        if mode == LossMode.LOST or not data.startswith(durable):
            return durable
        return data[: len(durable) + self.random.randrange(len(data) - len(durable) + 1)]

    def mark_durable(self) -> None:
        """Make the current files the durable ones."""
        self.durable = {name: bytes(data) for name, data in self.files.items()}
        self.deleted.clear()
        self.renamed.clear()
        self.synced_data.clear()

    def repair(self) -> None:
        """Clear faults, stalls and armed crashes."""
        self.fault = None
        self.crash_countdown = 0
        self.stall_seconds = 0.0

    def durable_view(self) -> DurableView:
        """Return a copy of the files that certainly survive a loss of power now."""
        return DurableView(dict(self.durable))
