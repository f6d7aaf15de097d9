"""When a member writes a snapshot: by the records and bytes of its journal, and by its disk.

All sizes are bytes of files as the journal counts them (`Journal.snapshot_bytes`, `replay_bytes`).
While a snapshot is written the one before it and the journal still stand, so that the disk needs
space for two snapshots and the journal at once.
"""

from ryelock.journal import Journal

DEFAULT_JOURNAL_LIMIT_BYTES = 4_194_304
"""A journal up to this size is not compacted for its bytes, where the disk has space."""
MIN_JOURNAL_LIMIT_BYTES = 65_536
"""A journal is never compacted for its bytes below this size, however small the disk."""
JOURNAL_TO_SNAPSHOT_RATIO = 2
"""The journal grows to so many times its snapshot: writing these costs half of appending."""
MAX_DISK_FRACTION = 0.5
"""The part of the disk that snapshot and journal may fill; the rest may hold a damaged journal."""
BACKOFF_FRACTION = 0.125
"""After a failure the journal grows by this part of its limit before the next snapshot."""


def journal_limit_bytes(snapshot_bytes: int, disk_bytes: int) -> int:
    """Return how large the journal behind a snapshot may grow; `disk_bytes` 0 means: not known."""
    wanted = max(DEFAULT_JOURNAL_LIMIT_BYTES, JOURNAL_TO_SNAPSHOT_RATIO * snapshot_bytes)
    if not disk_bytes:
        return wanted
    available = int(disk_bytes * MAX_DISK_FRACTION) - 2 * snapshot_bytes
    return max(MIN_JOURNAL_LIMIT_BYTES, min(wanted, available))


class Compaction:
    """Tells when a snapshot is due; after one that failed it waits for the journal to grow."""

    __slots__ = ("disk_bytes", "max_records", "not_before_bytes", "not_before_records")

    def __init__(self, max_records: int, disk_bytes: int) -> None:
        """Create the limits: records of the journal, and bytes of the disk (0: not known)."""
        self.max_records = max_records
        self.disk_bytes = disk_bytes
        self.not_before_bytes = 0
        self.not_before_records = 0

    def due(self, journal: Journal) -> bool:
        """Whether a snapshot should be written now.

        On a disk that took no more a snapshot is due as soon as it makes the journal smaller.
        """
        most = journal_limit_bytes(journal.snapshot_bytes, self.disk_bytes)
        wanted = (
            journal.written > self.max_records
            or journal.replay_bytes > most
            or (journal.full and journal.replay_bytes > journal.snapshot_bytes)
        )
        waited = (
            journal.replay_bytes >= self.not_before_bytes
            or journal.written >= self.not_before_records
        )
        return wanted and waited

    def failed(self, journal: Journal) -> None:
        """Wait after a snapshot that could not be written."""
        most = journal_limit_bytes(journal.snapshot_bytes, self.disk_bytes)
        self.not_before_bytes = journal.replay_bytes + int(most * BACKOFF_FRACTION)
        self.not_before_records = journal.written + max(1, int(self.max_records * BACKOFF_FRACTION))

    def done(self) -> None:
        """Wait for nothing after a snapshot that was written."""
        self.not_before_bytes = 0
        self.not_before_records = 0
