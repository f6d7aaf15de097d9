"""The journal: what was synced is there, a torn tail is cut, damage is told from it."""

from pathlib import Path

import testtools

from ryelock.events import JOURNAL_TORN, QuietLog
from ryelock.journal import MachineFolder, open_journal
from ryelock.journal.folder import FolderError


class JournalTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        import tempfile

        self.path = Path(tempfile.mkdtemp())
        self.log = QuietLog("test")

    def opened(self) -> object:
        return open_journal(MachineFolder(str(self.path)), self.log, 4096)

    def test_every_tear_of_the_last_record_is_cut(self) -> None:
        journal = open_journal(MachineFolder(str(self.path)), self.log, 4096).ok
        self.assertTrue(journal.write([b"first", b"second"]).is_ok())
        whole = (self.path / "segment-0000000000").read_bytes()
        end_of_first = len(whole) - (10 + len(b"second"))
        for size in range(end_of_first + 1, len(whole)):
            (self.path / "segment-0000000000").write_bytes(whole[:size])
            self.log.kept.clear()
            again = open_journal(MachineFolder(str(self.path)), self.log, 4096)
            self.assertEqual([b"first"], again.ok.records)
            self.assertEqual(JOURNAL_TORN.number, self.log.kept[0][0])

    def test_damage_before_the_tail_is_told(self) -> None:
        journal = open_journal(MachineFolder(str(self.path)), self.log, 4096).ok
        journal.write([b"first"])
        journal.write([b"second"])
        file = self.path / "segment-0000000000"
        data = bytearray(file.read_bytes())
        data[12] ^= 1
        file.write_bytes(bytes(data))
        again = open_journal(MachineFolder(str(self.path)), self.log, 4096)
        self.assertTrue(again.is_error())
        self.assertTrue(again.error.damaged)

    def test_image_replaces_what_it_stands_for(self) -> None:
        journal = open_journal(MachineFolder(str(self.path)), self.log, 4096).ok
        for number in range(400):
            journal.write([b"record %d" % number + b"x" * 50])
        self.assertTrue(journal.segment > 1)
        journal.write_image(b"all of it", [b"kept"])
        journal.write([b"after"])
        again = open_journal(MachineFolder(str(self.path)), self.log, 4096).ok
        self.assertEqual(b"all of it", again.image)
        self.assertEqual([b"kept", b"after"], again.records)

    def test_a_missing_folder_is_plain(self) -> None:
        file = self.path / "file"
        file.write_text("")
        self.assertRaises(FolderError, MachineFolder, str(file / "below"))
