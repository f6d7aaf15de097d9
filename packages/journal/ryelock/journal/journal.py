"""The open journal; the package docstring describes the files and the order of writes."""

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_FULL, Log
from ryelock.journal.errors import JournalError, JournalUnavailableError
from ryelock.journal.files import (
    SEGMENT_KIND,
    SNAPSHOT_KIND,
    file_number,
    segment_name,
    snapshot_name,
)
from ryelock.journal.folder import Folder, FolderError
from ryelock.journal.frames import pack_batch


class Journal:
    """The open journal of a process; every write blocks until it is synced.

    Attributes:
        folder: The folder of the journal's files.
        log: The event log.
        segment_bytes: Size at which a segment is rotated.
        snapshot: The newest snapshot read on opening; the owner takes it and sets None.
        records: The records read on opening; the owner takes them and sets an empty list.
        segment_number: The number of the current segment.
        segment_size: Size of the valid part of the current segment, in bytes.
        snapshot_bytes: Size of the snapshot file.
        replay_bytes: Size of the frames that a replay reads in addition to the snapshot.
        replay_records: The number of records that a replay reads in addition to the snapshot.
        needs_repair: True if a failed write may have left data after the valid part.
        disk_full: True if the last append failed; a failed sync does not count.
        rotation_due: True if no more frames may be appended to the current segment.
    """

    __slots__ = (
        "disk_full",
        "folder",
        "log",
        "needs_repair",
        "records",
        "replay_bytes",
        "replay_records",
        "rotation_due",
        "segment_bytes",
        "segment_number",
        "segment_size",
        "snapshot",
        "snapshot_bytes",
    )

    def __init__(self, folder: Folder, log: Log, segment_bytes: int) -> None:
        """Create an empty journal; `open_journal` reads the files of the folder."""
        self.folder = folder
        self.log = log
        self.segment_bytes = segment_bytes
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.segment_number = 0
        self.segment_size = 0
        self.snapshot_bytes = 0
        self.replay_bytes = 0
        self.replay_records = 0
        self.needs_repair = False
        self.disk_full = False
        self.rotation_due = False

    def write(self, records: list[bytes]) -> Result[None, JournalError]:
        """Append records as one batch and sync it; on an error, none of them is acknowledged."""
        data = pack_batch(records)
        try:
            self.repair()
            if self.rotation_due or self.segment_size >= self.segment_bytes:
                self.start_segment()
            self.append_synced(segment_name(self.segment_number), data)
        except FolderError as error:
            return self.report_failure(error)
        self.segment_size += len(data)
        self.replay_bytes += len(data)
        self.replay_records += len(records)
        return Ok(None)

    def append_synced(self, name: str, data: bytes) -> None:
        """Append to a file and sync it; raises FolderError.

        The flags are set before each step, so that they are correct if the step raises.
        """
        self.needs_repair = True
        self.disk_full = True
        self.folder.append(name, data)
        self.disk_full = False
        self.folder.sync(name)
        self.needs_repair = False

    def report_failure(self, error: FolderError) -> Result[None, JournalError]:
        """Log a failed write, and return it as an error."""
        self.log.write(JOURNAL_FULL, fault=str(error))
        return Error(JournalUnavailableError(str(error)))

    def repair(self) -> None:
        """Truncate the remains of a failed write, if any; raises FolderError."""
        if not self.needs_repair:
            return
        name = segment_name(self.segment_number)
        self.folder.truncate(name, self.segment_size)
        self.folder.sync(name)
        self.needs_repair = False

    def start_segment(self) -> None:
        """Rotate to a new segment; the current one must be repaired. Raises FolderError.

        After a failure the new file may or may not exist. The old segment then gets no more frames,
        since a torn frame in it would not be at the end of the journal, and the next write retries.
        """
        self.rotation_due = True
        self.folder.write_atomically(segment_name(self.segment_number + 1), b"")
        self.rotation_due = False
        self.segment_number += 1
        self.segment_size = 0

    def write_snapshot(self, snapshot: bytes, records: list[bytes]) -> Result[None, JournalError]:
        """Replace everything written so far by a snapshot and the records still needed."""
        try:
            self.repair()
            if self.rotation_due or self.segment_size > 0:
                self.start_segment()
            data = pack_batch([snapshot, *records])
            self.folder.write_atomically(snapshot_name(self.segment_number), data)
        except FolderError as error:
            return self.report_failure(error)
        self.snapshot_bytes = len(data)
        self.replay_bytes = 0
        self.replay_records = len(records)
        self.delete_before(self.segment_number)
        return Ok(None)

    def delete_before(self, number: int) -> None:
        """Delete the files that a snapshot replaced; stop at the first failure."""
        for name in self.folder.names():
            for kind in (SEGMENT_KIND, SNAPSHOT_KIND):
                name_number = file_number(name, kind)
                if name_number is None or name_number >= number:
                    continue
                try:
                    self.folder.delete(name)
                except FolderError:
                    return
