"""Compaction by records, by bytes, and on a full disk."""

from unittest import mock

import testtools
from consensus_lab import Lab

from ryelock.consensus.compaction import Compaction, journal_limit_bytes
from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.node import Consensus
from ryelock.journal import FolderError, Journal
from ryelock.testing.simulated import SimFolder

RECORD_BYTES = 20_000
DISK_BYTES = 2_000_000
MEGABYTE = 1_000_000


class SmallDisk(SimFolder):
    """A disk of `DISK_BYTES`; a replaced file and the new one briefly exist side by side."""

    def used(self) -> int:
        return sum(len(data) for data in self.files.values())

    def append(self, name: str, data: bytes) -> None:
        if self.used() + len(data) > DISK_BYTES:
            raise FolderError("no space left on device")
        super().append(name, data)

    def write_atomically(self, name: str, data: bytes) -> None:
        if self.used() + len(data) > DISK_BYTES:
            raise FolderError("no space left on device")
        super().write_atomically(name, data)


class LastCommand:
    """A state machine with large records and a small snapshot: the start of its last command."""

    def __init__(self) -> None:
        self.command = b""

    def apply(self, _index: int, data: bytes) -> object:
        self.command = data[:4]
        return None

    def snapshot(self) -> bytes:
        return self.command

    def restore(self, data: bytes) -> None:
        self.command = data


def stored_commands(disk_bytes: int, records: int) -> tuple[int, Consensus]:
    """Store large commands until a write fails; return their number and the member."""
    lab = Lab(snapshot_records=1000, disk_bytes=disk_bytes)
    consensus = lab.consensus("follower", SmallDisk())
    consensus.applier.state_machine = LastCommand()
    for index in range(1, records + 1):
        entry = Entry(index, 1, EntryKind.COMMAND, index.to_bytes(4, "big") * (RECORD_BYTES // 4))
        if not consensus.applier.store([entry]):
            return index - 1, consensus
        consensus.applier.advance(index)
    return records, consensus


class CompactionTests(testtools.TestCase):
    def test_large_records_do_not_fill_the_disk(self) -> None:
        count, consensus = stored_commands(DISK_BYTES, 900)
        self.assertEqual(900, count)
        self.assertLess(consensus.replicated_log.journal.replay_bytes, DISK_BYTES // 2)

    def test_a_full_disk_is_compacted_also_where_its_size_is_not_known(self) -> None:
        self.assertEqual(900, stored_commands(0, 900)[0])

    def test_compaction_by_records_only_fills_the_disk(self) -> None:
        def by_records(compaction: Compaction, journal: Journal) -> bool:
            return journal.replay_records > compaction.max_records

        with mock.patch.object(Compaction, "due", by_records):
            self.assertLess(stored_commands(DISK_BYTES, 900)[0], 101)

    def test_the_journal_grows_with_the_snapshot_as_far_as_the_disk_allows(self) -> None:
        self.assertEqual(4_194_304, journal_limit_bytes(0, 0))
        self.assertEqual(20 * MEGABYTE, journal_limit_bytes(10 * MEGABYTE, 0))
        self.assertEqual(12 * MEGABYTE, journal_limit_bytes(10 * MEGABYTE, 64 * MEGABYTE))
        for snapshot in range(0, 14 * MEGABYTE, MEGABYTE):
            most = journal_limit_bytes(snapshot, 64 * MEGABYTE)
            self.assertTrue(2 * snapshot + most <= 32 * MEGABYTE, snapshot)

    def test_a_failed_snapshot_is_not_retried_immediately(self) -> None:
        lab = Lab(snapshot_records=100)
        consensus = lab.follower
        attempts: list[int] = []

        def write_snapshot(journal: Journal, _snapshot: bytes, _records: list[bytes]) -> object:
            attempts.append(journal.replay_records)
            return journal.report_failure(FolderError("no space left on device"))

        with mock.patch.object(Journal, "write_snapshot", write_snapshot):
            for index in range(1, 201):
                self.assertTrue(
                    consensus.applier.store([Entry(index, 1, EntryKind.COMMAND, b"word")])
                )
                consensus.applier.advance(index)
        self.assertTrue(1 < len(attempts) < 12, attempts)
