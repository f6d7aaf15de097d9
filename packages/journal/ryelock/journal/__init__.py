"""A log in segments with images beside it; a record counts once it was synced.

Each record carries a mark, its length and a checksum. A bad record at the very end of the
last segment, with nothing sound behind it, is a write that lost power: it is cut. A bad
record anywhere else is damage, and the journal does not open. An image with number N stands
for everything before segment N; it is written whole under another name, synced and renamed,
and only then is what it stands for deleted.
"""

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_FULL, JOURNAL_TORN, Log
from ryelock.journal.folder import Folder, FolderError, MachineFolder
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


def image_name(number: int) -> str:
    return f"image-{number:010d}"


def numbers(names: list[str], kind: str) -> list[int]:
    return sorted(
        int(name[len(kind) + 1 :])
        for name in names
        if name.startswith(kind + "-") and name[len(kind) + 1 :].isdigit()
    )


class Journal:
    """The open journal of one process; every write blocks until it is synced."""

    __slots__ = (
        "broken",
        "folder",
        "image",
        "log",
        "records",
        "segment",
        "segment_bytes",
        "size",
        "written",
    )

    def __init__(self, folder: Folder, log: Log, segment_bytes: int) -> None:
        self.folder = folder
        self.log = log
        self.segment_bytes = segment_bytes
        self.image: bytes | None = None
        self.records: list[bytes] = []
        self.segment = 0
        self.size = 0
        self.written = 0
        self.broken = False

    def write(self, records: list[bytes]) -> Result[None, JournalError]:
        """Append records and sync them; on an error none of them counts."""
        data = pack_batch(records)
        try:
            if self.broken:
                self.repair()
            if self.size >= self.segment_bytes:
                self.folder.write_whole(segment_name(self.segment + 1), b"")
                self.segment += 1
                self.size = 0
            name = segment_name(self.segment)
            self.folder.append(name, data)
            self.folder.sync(name)
        except FolderError as error:
            self.broken = True
            self.log.write(JOURNAL_FULL, fault=str(error))
            return Error(JournalError(str(error), False))
        self.size += len(data)
        self.written += len(records)
        return Ok(None)

    def repair(self) -> None:
        """Cut what an unfinished write may have left, before the next one."""
        name = segment_name(self.segment)
        self.folder.truncate(name, self.size)
        self.folder.sync(name)
        self.broken = False

    def write_image(self, image: bytes, records: list[bytes]) -> Result[None, JournalError]:
        """Start a segment with the records still needed, then let an image replace the past."""
        number = self.segment + 1
        data = pack_batch(records)
        try:
            self.folder.write_whole(segment_name(number), data)
            self.folder.write_whole(image_name(number), pack_batch([image]))
        except FolderError as error:
            self.log.write(JOURNAL_FULL, fault=str(error))
            return Error(JournalError(str(error), False))
        self.segment = number
        self.size = len(data)
        self.written = len(records)
        self.broken = False
        for name in self.folder.names():
            old = (
                name.startswith(("segment-", "image-"))
                and name[-10:].isdigit()
                and int(name[-10:]) < number
            )
            if old:
                try:
                    self.folder.delete(name)
                except FolderError:
                    break
        return Ok(None)


def open_journal(folder: Folder, log: Log, segment_bytes: int) -> Result[Journal, JournalError]:
    """Read everything back; `image` and `records` hold it until the owner has taken them."""
    journal = Journal(folder, log, segment_bytes)
    try:
        names = folder.names()
        images = numbers(names, "image")
        first = 0
        if images:
            first = images[-1]
            found, end = read_frames(folder.read(image_name(first)))
            if len(found) != 1:
                return Error(JournalError(f"{image_name(first)} is damaged", True))
            journal.image = found[0]
        segments = [number for number in numbers(names, "segment") if number >= first]
        if segments != list(
            range(segments[0] if segments else 0, (segments[-1] + 1) if segments else 0)
        ):
            return Error(JournalError("a segment is missing", True))
        if (images and not segments) or (segments and segments[0] != first):
            return Error(JournalError("the first segment is missing", True))
        for number in segments:
            name = segment_name(number)
            data = folder.read(name)
            found, end = read_frames(data)
            if end < len(data):
                if number != segments[-1] or sound_behind(data, end):
                    return Error(JournalError(f"{name} is damaged at byte {end}", True))
                folder.truncate(name, end)
                folder.sync(name)
                log.write(JOURNAL_TORN, segment=name, at=end, lost=len(data) - end)
            journal.records += found
            journal.segment = number
            journal.size = end
        if not segments:
            folder.write_whole(segment_name(0), b"")
    except FolderError as error:
        return Error(JournalError(str(error), False))
    journal.written = len(journal.records)
    return Ok(journal)
