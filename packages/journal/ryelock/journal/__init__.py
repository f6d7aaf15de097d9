"""A log in segments with a snapshot of its start; a record counts once it was synced.

Files, by number: `segment-N` holds frames in the order of their writes; `image-N` is one frame
that stands for everything before segment N: the snapshot itself and the records behind it that were
still needed. Opening replays the newest snapshot and then all segments from its number on.

Order of writing a snapshot, and why a replay is right after a failure or crash at any point:

1. Cut what a failed write may have left in the current segment.
2. Make the empty segment N durable and go on in it, whatever comes of the snapshot. No older
   segment is appended to again, so that it does not matter from when on they are ignored.
3. Write snapshot N complete under another name, sync it, rename it, sync the folder. Whether a
   failed attempt left its name behind or not, snapshot N and all that it replaces say the same.
4. Only then delete older files. A name that comes back after a loss of power is ignored.

A bad frame at the very end of the last segment, with nothing sound behind it, is a write that
lost power: it is cut. A bad frame anywhere else is damage, and the journal does not open. See
`frames` for the format and docs/consensus-log.md for the argument. `journal` writes, `opening`
reads, `folder` is the one data folder and `files` the names in it.
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
