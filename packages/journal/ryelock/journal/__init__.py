"""A log in segments with an image of its start; a record counts once it was synced.

Files, by number: `segment-N` holds frames in the order of their writes; `image-N` is one frame
that stands for everything before segment N: the image itself and the records behind it that were
still needed. Opening replays the newest image and then all segments from its number on.

Order of writing an image, and why a replay is right after a failure or crash at any point:

1. Cut what a failed write may have left in the current segment.
2. Make the empty segment N durable and go on in it, whatever comes of the image. No older segment
   is appended to again, so that it does not matter from when on they are ignored.
3. Write image N whole under another name, sync it, rename it, sync the folder. Whether a failed
   attempt left its name behind or not, image N and all that it replaces say the same.
4. Only then delete older files. A name that comes back after a loss of power is ignored.

A bad frame at the very end of the last segment, with nothing sound behind it, is a write that
lost power: it is cut. A bad frame anywhere else is damage, and the journal does not open. See
frames.py for the format and docs/consensus-log.md for the argument.
"""

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_FULL, JOURNAL_TAIL_TRUNCATED, Log
from ryelock.journal.folder import PARTIAL_SUFFIX, Folder, FolderError, MachineFolder
from ryelock.journal.frames import pack_batch, read_frames, sound_behind

__all__ = ["Folder", "FolderError", "Journal", "JournalError", "MachineFolder", "open_journal"]


class JournalError(Exception):
    """The journal could not be read or written; damaged tells which."""

    def __init__(self, reason: str, damaged: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.damaged = damaged


def segment_name(number: int) -> str:
    return f"segment-{number:010d}"


def snapshot_name(number: int) -> str:
    return f"image-{number:010d}"


def numbers(names: list[str], kind: str) -> list[int]:
    return sorted(
        int(name[len(kind) + 1 :])
        for name in names
        if name.startswith(kind + "-") and name[len(kind) + 1 :].isdigit()
    )


class Journal:
    """The open journal of one process; every write blocks until it is synced.

    `size` is the length of the current segment that is known to be good. `written` and
    `replay_bytes` count the records, and the bytes of their frames, that a replay would read
    besides the image; `image_bytes` is the size of the image's file. `full` says that the disk took
    not all of the last write; a sync that failed does not set it.
    """

    __slots__ = (
        "broken",
        "folder",
        "full",
        "log",
        "records",
        "replay_bytes",
        "rotation_due",
        "segment",
        "segment_bytes",
        "size",
        "snapshot",
        "snapshot_bytes",
        "written",
    )

    def __init__(self, folder: Folder, log: Log, segment_bytes: int) -> None:
        self.folder = folder
        self.log = log
        self.segment_bytes = segment_bytes
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.segment = 0
        self.size = 0
        self.snapshot_bytes = 0
        self.replay_bytes = 0
        self.written = 0
        self.broken = False
        self.full = False
        self.rotation_due = False

    def write(self, records: list[bytes]) -> Result[None, JournalError]:
        """Append records as one batch and sync them; on an error none of them counts."""
        data = pack_batch(records)
        try:
            self.repair()
            if self.rotation_due or self.size >= self.segment_bytes:
                self.start_segment()
            name = segment_name(self.segment)
            self.broken = True
            self.full = True
            self.folder.append(name, data)
            self.full = False
            self.folder.sync(name)
            self.broken = False
        except FolderError as error:
            return self.failed(error)
        self.size += len(data)
        self.replay_bytes += len(data)
        self.written += len(records)
        return Ok(None)

    def failed(self, error: FolderError) -> Result[None, JournalError]:
        self.log.write(JOURNAL_FULL, fault=str(error))
        return Error(JournalError(str(error), False))

    def repair(self) -> None:
        """Cut what a failed write may have left behind the last good one."""
        if not self.broken:
            return
        name = segment_name(self.segment)
        self.folder.truncate(name, self.size)
        self.folder.sync(name)
        self.broken = False

    def start_segment(self) -> None:
        """Go on in a new, empty segment; the current one must be repaired.

        Where this fails the name may be there or not: the old segment gets no more frames, since
        a torn one in it would not be the last of the journal, and the next write tries again.
        """
        self.rotation_due = True
        self.folder.write_whole(segment_name(self.segment + 1), b"")
        self.rotation_due = False
        self.segment += 1
        self.size = 0

    def write_snapshot(self, snapshot: bytes, records: list[bytes]) -> Result[None, JournalError]:
        """Put an image and the records still needed in place of all that was written."""
        try:
            self.repair()
            if self.rotation_due or self.size > 0:
                self.start_segment()
            data = pack_batch([snapshot, *records])
            self.folder.write_whole(snapshot_name(self.segment), data)
        except FolderError as error:
            return self.failed(error)
        self.snapshot_bytes = len(data)
        self.replay_bytes = 0
        self.written = len(records)
        self.delete_before(self.segment)
        return Ok(None)

    def delete_before(self, number: int) -> None:
        """Delete the files that an image replaced; what stays behind is ignored."""
        for name in self.folder.names():
            kind, _, text = name.partition("-")
            if kind in ("segment", "image") and text.isdigit() and int(text) < number:
                try:
                    self.folder.delete(name)
                except FolderError:
                    return


def open_journal(folder: Folder, log: Log, segment_bytes: int) -> Result[Journal, JournalError]:
    """Read everything back; `image` and `records` hold it until the owner has taken them."""
    journal = Journal(folder, log, segment_bytes)
    try:
        names = folder.names()
        for name in names:
            if name.endswith(PARTIAL_SUFFIX):
                folder.delete(name)
        snapshots = numbers(names, "image")
        first = snapshots[-1] if snapshots else 0
        if snapshots:
            data = folder.read(snapshot_name(first))
            found, end = read_frames(data)
            if not found or end < len(data):
                return Error(JournalError(f"{snapshot_name(first)} is damaged", True))
            journal.snapshot, *journal.records = found
            journal.snapshot_bytes = len(data)
        segments = [number for number in numbers(names, "segment") if number >= first]
        if snapshots and not segments:
            return Error(JournalError("the first segment is missing", True))
        if segments != list(range(first, first + len(segments))):
            return Error(JournalError("a segment is missing", True))
        for number in segments:
            name = segment_name(number)
            data = folder.read(name)
            found, end = read_frames(data)
            if end < len(data):
                if number != segments[-1] or sound_behind(data, end):
                    return Error(JournalError(f"{name} is damaged at byte {end}", True))
                folder.truncate(name, end)
                log.write(JOURNAL_TAIL_TRUNCATED, segment=name, at=end, lost=len(data) - end)
            # A process that was killed may have written this without syncing it.
            folder.sync(name)
            journal.records += found
            journal.segment = number
            journal.size = end
            journal.replay_bytes += end
        if not segments:
            folder.write_whole(segment_name(0), b"")
    except FolderError as error:
        return Error(JournalError(str(error), False))
    journal.written = len(journal.records)
    return Ok(journal)
