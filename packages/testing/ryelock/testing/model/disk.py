"""A simulated disk that implements the journal's `Folder` protocol and can fail.

`files` is what running processes read back. `durable` is what certainly survives a loss of
power. Every operation is a numbered point at which the process can crash, fail or stall.
"""

from collections.abc import Callable
from random import Random

from ryelock.journal import FolderError
from ryelock.journal.folder import PARTIAL_SUFFIX
from ryelock.testing.simulated.memory_files import read_file


class Crash(BaseException):
    """The process ends here, in the middle of a disk operation."""


class LossMode:
    """What a loss of power leaves of writes that were not synced."""

    KEPT = "kept"
    TORN = "torn"
    LOST = "lost"
    ANY = "any"
    ALL = (KEPT, TORN, LOST, ANY)


class Fault:
    """A run of failing disk operations.

    `kind` is "full" (writes of data fail, part of an append may have been written), "sync"
    (syncs fail), "folder" (a file is replaced, but the sync of the folder fails) or "io" (all
    that changes the disk fails). `after` operations pass first, `count` operations then fail.
    """

    __slots__ = ("after", "count", "kind")

    FULL = "full"
    SYNC = "sync"
    FOLDER = "folder"
    IO = "io"
    ALL = (FULL, SYNC, FOLDER, IO)

    def __init__(self, kind: str, after: int, count: int) -> None:
        """Let `count` operations fail once `after` have passed."""
        self.kind = kind
        self.after = after
        self.count = count


class DurableView:
    """A read-back copy of a disk, for opening it without touching the original."""

    __slots__ = ("files",)

    def __init__(self, files: dict[str, bytes]) -> None:
        """A view of files by name."""
        self.files = files

    def names(self) -> list[str]:
        """Names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """What a running process reads of a file."""
        return read_file(self.files, name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; not synced."""
        self.files[name] = self.files.get(name, b"") + data

    def sync(self, name: str) -> None:
        """Nothing to do: the view is discarded after it was read."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file; not synced."""
        self.files[name] = self.files[name][:size]

    def write_atomically(self, name: str, data: bytes) -> None:
        """Replace a file by synced data, then sync the folder."""
        self.files[name] = data

    def sync_directory(self) -> None:
        """Nothing to do either."""

    def rename(self, name: str, other: str) -> None:
        """Rename a file and sync the folder."""
        self.files[other] = self.files.pop(name)

    def delete(self, name: str) -> None:
        """Remove a file; the folder is not synced."""
        self.files.pop(name, None)


class ModelFolder:
    """The disk of one machine; outlives the processes that use it.

    `renamed` has the files whose name was given but not synced with the folder, and what the name
    stood for before; `lasting` their synced data. `deleted` has files whose removal may be undone.
    """

    __slots__ = (
        "changes",
        "crash_in",
        "deleted",
        "durable",
        "fault",
        "files",
        "lasting",
        "on_stall",
        "points",
        "random",
        "renamed",
        "stall_seconds",
    )

    def __init__(self, random: Random) -> None:
        """An empty disk; chances are drawn from `random`."""
        self.random = random
        self.files: dict[str, bytearray] = {}
        self.durable: dict[str, bytes] = {}
        self.deleted: dict[str, bytes] = {}
        self.renamed: dict[str, bytes | None] = {}
        self.lasting: dict[str, bytes] = {}
        self.crash_in = 0
        self.fault: Fault | None = None
        self.stall_seconds = 0.0
        self.on_stall: Callable[[float], None] = lambda _seconds: None
        self.points = 0
        self.changes = 0

    def point(self) -> None:
        """A numbered point; an armed crash is fired when its count runs out."""
        self.points += 1
        if self.crash_in:
            self.crash_in -= 1
            if self.crash_in == 0:
                raise Crash

    def fails(self, *kinds: str) -> bool:
        """Count one operation against the current fault; says whether the operation fails."""
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
        """Begin to change a file that is there; raises FolderError where the disk fails."""
        self.point()
        if self.fails(Fault.IO):
            raise FolderError("input/output error")
        if name not in self.files:
            raise FolderError(f"{name}: no such file")
        self.changes += 1

    def stall_once(self) -> None:
        """Block the process for as long as a step of the schedule has set."""
        if self.stall_seconds:
            seconds, self.stall_seconds = self.stall_seconds, 0.0
            self.on_stall(seconds)

    def names(self) -> list[str]:
        """Names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """What a running process reads of a file."""
        return read_file(self.files, name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; not synced."""
        self.point()
        self.changes += 1
        if self.fails(Fault.FULL, Fault.IO):
            part = self.random.randrange(len(data) + 1)
            self.files.setdefault(name, bytearray()).extend(data[:part])
            raise FolderError("no space left on device")
        self.files.setdefault(name, bytearray()).extend(data)
        self.durable.setdefault(name, b"")
        self.point()

    def sync(self, name: str) -> None:
        """Sync a file."""
        self.point()
        self.stall_once()
        if self.fails(Fault.SYNC, Fault.IO):
            raise FolderError("input/output error")
        self.changes += 1
        kept = self.lasting if name in self.renamed else self.durable
        kept[name] = bytes(self.files.get(name, b""))
        self.point()

    def truncate(self, name: str, size: int) -> None:
        """Cut a file; not synced."""
        self.begin_change(name)
        del self.files[name][size:]
        self.point()

    def write_atomically(self, name: str, data: bytes) -> None:
        """Replace a file by synced data, then sync the folder."""
        self.point()
        self.stall_once()
        if self.fails(Fault.FULL, Fault.IO):
            raise FolderError("no space left on device")
        self.changes += 1
        partial = name + PARTIAL_SUFFIX
        self.files[partial] = bytearray(data)
        self.durable[partial] = b""
        self.point()
        del self.files[partial], self.durable[partial]
        replaced = self.durable.get(name)
        self.files[name] = bytearray(data)
        self.renamed.setdefault(name, replaced)
        self.lasting[name] = data
        self.point()
        if self.fails(Fault.FOLDER):
            raise FolderError("input/output error")
        self.sync_renames()
        self.point()

    def rename(self, name: str, other: str) -> None:
        """Rename a file and sync the folder."""
        self.begin_change(name)
        self.files[other] = self.files.pop(name)
        self.durable[other] = self.durable.pop(name, b"")
        self.sync_renames()
        self.point()

    def delete(self, name: str) -> None:
        """Remove a file; the folder is not synced."""
        self.begin_change(name)
        del self.files[name]
        if name in self.durable:
            self.deleted[name] = self.durable.pop(name)
        self.point()

    def sync_directory(self) -> None:
        """Sync the folder."""
        self.point()
        if self.fails(Fault.FOLDER, Fault.IO):
            raise FolderError("input/output error")
        self.changes += 1
        self.sync_renames()
        self.point()

    def sync_renames(self) -> None:
        """Names that were given and removed before are on disk now, with their synced data."""
        self.deleted.clear()
        for name in self.renamed:
            if name in self.files:
                self.durable[name] = self.lasting[name]
        self.renamed.clear()
        self.lasting.clear()

    def lose_power(self, mode: str) -> None:
        """Keep what is durable, and of the rest what `mode` (see LossMode) says."""
        self.changes += 1
        for name, before in self.renamed.items():
            self.lose_name(name, before, mode)
        for name, data in list(self.files.items()):
            durable = self.durable.get(name, b"")
            self.files[name] = bytearray(self.survivor(bytes(data), durable, mode))
        for name, data_before in self.deleted.items():
            chance = {LossMode.LOST: 1.0, LossMode.ANY: 0.5}.get(mode, 0.0)
            if name not in self.files and self.random.random() < chance:
                self.files[name] = bytearray(data_before)
        self.mark_durable()

    def lose_name(self, name: str, before: bytes | None, mode: str) -> None:
        """A file was replaced whole, but the folder not synced: it is the old or the new one."""
        if name not in self.files:
            return
        stays = mode == LossMode.KEPT or (mode != LossMode.LOST and self.random.random() < 0.5)
        if stays:
            self.durable[name] = self.lasting[name]
        elif before is None:
            del self.files[name]
            self.durable.pop(name, None)
        else:
            self.files[name] = bytearray(before)
            self.durable[name] = before

    def survivor(self, data: bytes, durable: bytes, mode: str) -> bytes:
        """What is left of one file."""
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
        """All that is there counts as durable from now on."""
        self.durable = {name: bytes(data) for name, data in self.files.items()}
        self.deleted.clear()
        self.renamed.clear()
        self.lasting.clear()

    def repair(self) -> None:
        """Faults, stalls and armed crashes end."""
        self.fault = None
        self.crash_in = 0
        self.stall_seconds = 0.0

    def view(self) -> DurableView:
        """A copy of what a loss of power at this moment certainly leaves."""
        return DurableView(dict(self.durable))
