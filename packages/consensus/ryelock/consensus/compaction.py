"""Decides when a member writes a snapshot, by journal records, journal size and disk size.

Sizes are in bytes of files, as counted by the journal (`Journal.snapshot_bytes`, `replay_bytes`).
While a snapshot is written, the previous snapshot and the journal still exist, so the disk needs
space for two snapshots and the journal.
"""

from ryelock.journal import Journal

DEFAULT_JOURNAL_LIMIT_BYTES = 4_194_304
"""Default size limit of the journal, if the disk has space."""
MIN_JOURNAL_LIMIT_BYTES = 65_536
"""Lower bound of the size limit, however small the disk is."""
JOURNAL_TO_SNAPSHOT_RATIO = 2
"""Size limit as a multiple of a large snapshot, which bounds write amplification."""
MAX_DISK_FRACTION = 0.5
"""Fraction of the disk for snapshots and journal; the rest may store a damaged journal."""
BACKOFF_FRACTION = 0.125
"""Journal growth required after a failed snapshot, as a fraction of the limit."""


def journal_limit_bytes(snapshot_bytes: int, disk_bytes: int) -> int:
    """Return the size limit of the journal after a snapshot; `disk_bytes` is 0 if unknown."""
    wanted = max(DEFAULT_JOURNAL_LIMIT_BYTES, JOURNAL_TO_SNAPSHOT_RATIO * snapshot_bytes)
    if not disk_bytes:
        return wanted
    available = int(disk_bytes * MAX_DISK_FRACTION) - 2 * snapshot_bytes
    return max(MIN_JOURNAL_LIMIT_BYTES, min(wanted, available))


class Compaction:
    """Decides when a snapshot is due; after a failed one, waits until the journal has grown."""

    __slots__ = ("disk_bytes", "max_records", "not_before_bytes", "not_before_records")

    def __init__(self, max_records: int, disk_bytes: int) -> None:
        """Create limits from the maximum journal records and the disk size (0: unknown)."""
        self.max_records = max_records
        self.disk_bytes = disk_bytes
        self.not_before_bytes = 0
        self.not_before_records = 0

    def due(self, journal: Journal) -> bool:
        """Return True if a snapshot should be written now.

        If the disk is full, a snapshot is due as soon as it would free space.
        """
        limit = journal_limit_bytes(journal.snapshot_bytes, self.disk_bytes)
        limit_reached = (
            journal.replay_records > self.max_records
            or journal.replay_bytes > limit
            or (journal.disk_full and journal.replay_bytes > journal.snapshot_bytes)
        )
        backoff_over = (
            journal.replay_bytes >= self.not_before_bytes
            or journal.replay_records >= self.not_before_records
        )
        return limit_reached and backoff_over

    def record_failure(self, journal: Journal) -> None:
        """Delay the next snapshot after a failed one."""
        limit = journal_limit_bytes(journal.snapshot_bytes, self.disk_bytes)
        self.not_before_bytes = journal.replay_bytes + int(limit * BACKOFF_FRACTION)
        backoff_records = max(1, int(self.max_records * BACKOFF_FRACTION))
        self.not_before_records = journal.replay_records + backoff_records

    def record_success(self) -> None:
        """Clear the delay after a successful snapshot."""
        self.not_before_bytes = 0
        self.not_before_records = 0
