"""Opening a journal: reads and validates the newest snapshot and all later segments."""

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_TAIL_TRUNCATED, Log
from ryelock.journal.errors import DamagedJournalError, JournalError, JournalUnavailableError
from ryelock.journal.files import (
    SEGMENT_KIND,
    SNAPSHOT_KIND,
    file_numbers,
    segment_name,
    snapshot_name,
)
from ryelock.journal.folder import PARTIAL_SUFFIX, Folder, FolderError
from ryelock.journal.frames import has_frame_after, read_frames
from ryelock.journal.journal import Journal


def open_journal(folder: Folder, log: Log, segment_bytes: int) -> Result[Journal, JournalError]:
    """Open the journal of a folder, which may be empty.

    The journal's `snapshot` and `records` contain the data read, until the owner takes it.

    Args:
        folder: The folder, which must contain no other journal.
        log: The event log.
        segment_bytes: Size at which a segment is rotated.

    Returns:
        The journal; a DamagedJournalError if the stored data is damaged; or a
        JournalUnavailableError if the folder cannot be read or written.
    """
    journal = Journal(folder, log, segment_bytes)
    try:
        replay_folder(journal)
    except FolderError as error:
        return Error(JournalUnavailableError(str(error)))
    except JournalError as error:
        return Error(error)
    return Ok(journal)


def replay_folder(journal: Journal) -> None:
    """Read all files of the folder into a new journal; raises JournalError or FolderError."""
    folder = journal.folder
    names = folder.names()
    for name in names:
        if name.endswith(PARTIAL_SUFFIX):
            folder.delete(name)
    snapshots = file_numbers(names, SNAPSHOT_KIND)
    first = snapshots[-1] if snapshots else 0
    if snapshots:
        read_snapshot(journal, snapshot_name(first))
    segments = [number for number in file_numbers(names, SEGMENT_KIND) if number >= first]
    if snapshots and not segments:
        raise DamagedJournalError(f"{segment_name(first)} is missing after {snapshot_name(first)}")
    if segments != list(range(first, first + len(segments))):
        raise DamagedJournalError(f"segments are not consecutive from {first}: found {segments}")
    for number in segments:
        read_segment(journal, number, is_last=number == segments[-1])
    if not segments:
        folder.write_atomically(segment_name(0), b"")
    journal.replay_records = len(journal.records)


def read_snapshot(journal: Journal, name: str) -> None:
    """Read a snapshot and the records after it; raises DamagedJournalError or FolderError."""
    data = journal.folder.read(name)
    decoded = read_frames(data)
    if not decoded.records or decoded.end < len(data):
        raise DamagedJournalError(f"{name} is damaged")
    journal.snapshot, *journal.records = decoded.records
    journal.snapshot_bytes = len(data)


def read_segment(journal: Journal, number: int, is_last: bool) -> None:
    """Read a segment, truncating a torn tail of the last one.

    Raises:
        DamagedJournalError: A frame before the tail is invalid.
        FolderError: The folder cannot be read or written.
    """
    name = segment_name(number)
    data = journal.folder.read(name)
    decoded = read_frames(data)
    end = decoded.end
    if end < len(data):
        if not is_last or has_frame_after(data, end):
            raise DamagedJournalError(f"{name} is damaged at byte {end}")
        journal.folder.truncate(name, end)
        journal.log.write(JOURNAL_TAIL_TRUNCATED, segment=name, at=end, lost=len(data) - end)
    # A killed process may have written the segment without syncing it. It must be durable before
    # this process replays it, since replayed records count as acknowledged.
    journal.folder.sync(name)
    journal.records += decoded.records
    journal.segment_number = number
    journal.segment_size = end
    journal.replay_bytes += end
