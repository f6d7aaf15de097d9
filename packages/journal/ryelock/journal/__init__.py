"""A log in segments with images beside it; a record counts once it was synced.

Each record carries a mark, its length and a checksum. A bad record at the very end of the
last segment, with nothing sound behind it, is a write that lost power: it is cut. A bad
record anywhere else is damage, and the journal does not open. An image with number N stands
for everything before segment N; it is written whole under another name, synced and renamed,
and only then is what it stands for deleted.
"""

import struct
import zlib

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_FULL, JOURNAL_TORN, Log
from ryelock.journal.folder import Folder, FolderError, MachineFolder

__all__ = ["Folder", "FolderError", "Journal", "JournalError", "MachineFolder", "open_journal"]

MARK = b"\xa5\x52"
HEADER = struct.Struct(">2sII")
RECORD_MOST = 134_217_728


class JournalError(Exception):
    """The journal could not be read or written; damaged tells which."""

    def __init__(self, reason: str, damaged: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.damaged = damaged


def pack(record: bytes) -> bytes:
    return HEADER.pack(MARK, len(record), zlib.crc32(record)) + record


def sound_at(data: bytes, place: int) -> bytes | None:
    """The record that starts at a place, or None."""
    if place + HEADER.size > len(data):
        return None
    mark, size, checksum = HEADER.unpack_from(data, place)
    if mark != MARK or size > RECORD_MOST or place + HEADER.size + size > len(data):
        return None
    record = data[place + HEADER.size : place + HEADER.size + size]
    return record if zlib.crc32(record) == checksum else None


def read_records(data: bytes) -> tuple[list[bytes], int]:
    """Sound records from the start, and where they end."""
    records: list[bytes] = []
    place = 0
    while (record := sound_at(data, place)) is not None:
        records.append(record)
        place += HEADER.size + len(record)
    return records, place


def sound_behind(data: bytes, place: int) -> bool:
    """Whether any sound record stands behind a bad one."""
    found = data.find(MARK, place + 1)
    while found >= 0:
        if sound_at(data, found) is not None:
            return True
        found = data.find(MARK, found + 1)
    return False


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
        data = b"".join(pack(record) for record in records)
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
        data = b"".join(pack(record) for record in records)
        try:
            self.folder.write_whole(segment_name(number), data)
            self.folder.write_whole(image_name(number), pack(image))
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
            found, end = read_records(folder.read(image_name(first)))
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
            found, end = read_records(data)
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
