"""Journal records: synced records survive, torn tails are truncated, damage is detected."""

import struct
import zlib
from pathlib import Path
from random import Random
from unittest import mock

import testtools

from ryelock.events import JOURNAL_TAIL_TRUNCATED, RecordingLog
from ryelock.journal import LocalFolder, open_journal
from ryelock.journal.folder import FolderError
from ryelock.testing.simulated import SimFolder


class JournalTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        import tempfile

        self.path = Path(tempfile.mkdtemp())
        self.log = RecordingLog("test")

    def opened(self) -> object:
        return open_journal(LocalFolder(str(self.path)), self.log, 4096)

    def test_every_torn_last_write_is_truncated(self) -> None:
        """A write of several records is recovered completely or not at all."""
        journal = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        self.assertTrue(journal.write([b"first"]).is_ok())
        end_of_first = journal.segment_size
        self.assertTrue(journal.write([b"second", b"third"]).is_ok())
        complete = (self.path / "segment-0000000000").read_bytes()
        for size in range(end_of_first + 1, len(complete)):
            (self.path / "segment-0000000000").write_bytes(complete[:size])
            self.log.records.clear()
            again = open_journal(LocalFolder(str(self.path)), self.log, 4096)
            self.assertEqual([b"first"], again.ok.records)
            self.assertEqual(JOURNAL_TAIL_TRUNCATED.number, self.log.records[0][0])

    def test_a_write_with_a_hole_is_one_torn_write(self) -> None:
        """The first part of an unsynced write is missing while later records are present."""
        journal = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        journal.write([b"sound"])
        before = journal.segment_size
        journal.write([b"x" * 40, b"y" * 40, b"z" * 40])
        file = self.path / "segment-0000000000"
        data = file.read_bytes()
        for hole in range(1, len(data) - before):
            file.write_bytes(data[:before] + bytes(hole) + data[before + hole :])
            again = open_journal(LocalFolder(str(self.path)), self.log, 4096)
            self.assertTrue(again.is_ok(), f"hole of {hole}")
            self.assertEqual([b"sound"], again.ok.records)

    def test_a_journal_of_single_record_frames_still_opens(self) -> None:
        """Format version 1: one record per frame, records kept by a snapshot in the segment."""

        def frame(record: bytes) -> bytes:
            return struct.pack(">2sII", b"\xa5\x52", len(record), zlib.crc32(record)) + record

        (self.path / "image-0000000003").write_bytes(frame(b"image"))
        (self.path / "segment-0000000003").write_bytes(frame(b"kept") + frame(b"second"))
        journal = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        self.assertEqual((b"image", [b"kept", b"second"]), (journal.snapshot, journal.records))
        self.assertTrue(journal.write([b"third", b"fourth"]).is_ok())
        again = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        self.assertEqual([b"kept", b"second", b"third", b"fourth"], again.records)

    def test_damage_before_the_tail_is_reported(self) -> None:
        journal = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        journal.write([b"first"])
        journal.write([b"second"])
        file = self.path / "segment-0000000000"
        data = bytearray(file.read_bytes())
        data[12] ^= 1
        file.write_bytes(bytes(data))
        again = open_journal(LocalFolder(str(self.path)), self.log, 4096)
        self.assertTrue(again.is_error())
        self.assertTrue(again.error.damaged)

    def test_a_snapshot_replaces_the_records_before_it(self) -> None:
        journal = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        for number in range(400):
            journal.write([b"record %d" % number + b"x" * 50])
        self.assertTrue(journal.segment_number > 1)
        journal.write_snapshot(b"all of it", [b"kept"])
        journal.write([b"after"])
        again = open_journal(LocalFolder(str(self.path)), self.log, 4096).ok
        self.assertEqual(b"all of it", again.snapshot)
        self.assertEqual([b"kept", b"after"], again.records)

    def test_a_folder_that_cannot_be_created_raises_folder_error(self) -> None:
        file = self.path / "file"
        file.write_text("")
        self.assertRaises(FolderError, LocalFolder, str(file / "below"))


class UnsyncedAtOpenTests(testtools.TestCase):
    """A process killed between a write and its sync leaves a record that is not durable."""

    def test_replayed_records_survive_a_later_power_loss(self) -> None:
        folder = SimFolder()
        journal = open_journal(folder, RecordingLog("journal"), 1 << 20).ok
        with (
            mock.patch.object(SimFolder, "sync", side_effect=KeyboardInterrupt),
            testtools.ExpectedException(KeyboardInterrupt),
        ):
            journal.write([b"written, not synced"])
        reopened = open_journal(folder, RecordingLog("journal"), 1 << 20).ok
        self.assertEqual([b"written, not synced"], reopened.records)
        for seed in range(20):
            lost = SimFolder()
            lost.files = {name: bytearray(data) for name, data in folder.files.items()}
            lost.synced = dict(folder.synced)
            lost.lose_power(Random(seed))
            again = open_journal(lost, RecordingLog("journal"), 1 << 20).ok
            self.assertEqual([b"written, not synced"], again.records)
