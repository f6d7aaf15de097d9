"""A write-ahead log in segments, compacted by snapshots; records are durable once synced.

Files: `segment-N` contains frames in write order. `image-N` is a single frame that replaces
everything before segment N: the snapshot and the records after it that are still needed. Opening
replays the newest snapshot and then all segments from its number on.

A snapshot is written in these steps, so that replay is correct after a failure or crash at any
point:

1. Truncate the remains of a failed write in the current segment.
2. Make the empty segment N durable and append only to it from then on, even if the snapshot fails.
   Older segments never change again, so it does not matter when replay starts to ignore them.
3. Write the complete snapshot N under a temporary name, sync it, rename it and sync the directory.
   Snapshot N is equivalent to the files it replaces, so it does not matter whether a failed attempt
   leaves it in place.
4. Then delete the older files. A file that reappears after a power loss is ignored.

An invalid frame at the end of the last segment, with no valid frame after it, is a torn write and
is truncated. An invalid frame anywhere else is damage, and the journal does not open. `frames`
describes the format, and docs/consensus-log.md the correctness argument. `journal` writes,
`opening` reads, `folder` accesses the data folder and `files` defines the file names.
"""

from ryelock.journal.errors import DamagedJournalError, JournalError, JournalUnavailableError
from ryelock.journal.folder import Folder, FolderError, LocalFolder
from ryelock.journal.journal import Journal
from ryelock.journal.opening import open_journal

__all__ = [
    "DamagedJournalError",
    "Folder",
    "FolderError",
    "Journal",
    "JournalError",
    "JournalUnavailableError",
    "LocalFolder",
    "open_journal",
]
