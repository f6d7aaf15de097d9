"""The journal that is written to; see the package for the files and their order of writes."""

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
    """The open journal of one process; every write blocks until it is synced.

    Attributes:
        folder: where its files are.
        log: the event log.
        segment_bytes: size from which on a segment gets no more frames.
        snapshot: the newest snapshot read at opening; the owner takes it and sets it to None.
        records: the records read at opening; the owner takes them and empties the list.
        segment: number of the current segment.
        size: length of the current segment that is known to be good, in bytes.
        snapshot_bytes: size of the snapshot's file.
        replay_bytes: bytes of the frames that a replay would read beside the snapshot.
        written: records that a replay would read beside the snapshot.
        needs_repair: whether a failed write may have left something behind the good part.
        full: whether the disk took not all of the last write; a sync that failed does not count.
        rotation_due: whether the current segment must get no more frames.
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
        """Create a journal without content; `open_journal` reads what the folder has."""
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
        """Append records as one batch and sync them; on an error none of them counts."""
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

        The flags are set before each step, so that they stand when the step raises.
        """
        self.needs_repair = True
        self.disk_full = True
        self.folder.append(name, data)
        self.disk_full = False
        self.folder.sync(name)
        self.needs_repair = False

    def report_failure(self, error: FolderError) -> Result[None, JournalError]:
        """Log that the folder took a write not at all or in part, and return it as an error."""
        self.log.write(JOURNAL_FULL, fault=str(error))
        return Error(JournalUnavailableError(str(error)))

    def repair(self) -> None:
        """Cut what a failed write may have left behind the last good one; raises FolderError."""
        if not self.needs_repair:
            return
        name = segment_name(self.segment_number)
        self.folder.truncate(name, self.segment_size)
        self.folder.sync(name)
        self.needs_repair = False

    def start_segment(self) -> None:
        """Go on in a new, empty segment; the current one must be repaired. Raises FolderError.

        Where this fails the name may be there or not: the old segment gets no more frames, since
        a torn one in it would not be the last of the journal, and the next write tries again.
        """
        self.rotation_due = True
        self.folder.write_atomically(segment_name(self.segment_number + 1), b"")
        self.rotation_due = False
        self.segment_number += 1
        self.segment_size = 0

    def write_snapshot(self, snapshot: bytes, records: list[bytes]) -> Result[None, JournalError]:
        """Put a snapshot and the records still needed in place of all that was written."""
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
        """Delete the files that a snapshot replaced; what cannot be deleted is ignored."""
        for name in self.folder.names():
            for kind in (SEGMENT_KIND, SNAPSHOT_KIND):
                found = file_number(name, kind)
                if found is None or found >= number:
                    continue
                try:
                    self.folder.delete(name)
                except FolderError:
                    return
