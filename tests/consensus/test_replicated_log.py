"""ReplicatedLog without a network: appends, conflicts, snapshots and restarts."""

import testtools

from ryelock.consensus.entries import Entry, EntryKind, Snapshot
from ryelock.consensus.log import ReplicatedLog
from ryelock.events import RecordingLog
from ryelock.journal import FolderError, Journal, open_journal
from ryelock.testing.simulated import SimFolder


def command_entry(index: int, term: int) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, b"%d in %d" % (index, term))


def positions(log: ReplicatedLog) -> list[tuple[int, int]]:
    return [(entry.index, entry.term) for entry in log.entries]


class NoSnapshotFolder(SimFolder):
    """A disk that fails to write snapshots."""

    def write_atomically(self, name: str, data: bytes) -> None:
        if name.startswith("image-"):
            raise FolderError("no space left on device")
        super().write_atomically(name, data)


class ReplicatedLogTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = SimFolder()
        self.log = self.reopened()

    def journal(self) -> Journal:
        found = open_journal(self.folder, RecordingLog("test"), 4096)
        assert found.is_ok()
        return found.ok

    def reopened(self) -> ReplicatedLog:
        return ReplicatedLog(self.journal())

    def fill(self, last: int, term: int = 1) -> None:
        self.assertTrue(self.log.save_vote(term, "disk"))
        self.assertTrue(
            self.log.append([command_entry(index, term) for index in range(1, last + 1)])
        )

    def snapshot(self, index: int, term: int = 1) -> Snapshot:
        return Snapshot(index, term, {"disk": "address"}, b"state", index)

    def test_a_new_log_is_empty_until_something_is_written(self) -> None:
        self.assertTrue(self.log.empty)
        self.assertEqual((0, 0), (self.log.last_index, self.log.term_at(0)))
        self.fill(3)
        self.assertFalse(self.log.empty)
        self.assertFalse(self.reopened().empty)

    def test_an_append_skips_what_is_there_and_replaces_what_differs(self) -> None:
        self.fill(5)
        self.assertTrue(self.log.append([command_entry(2, 1), command_entry(3, 1)]))
        self.assertEqual(5, self.log.last_index)
        self.assertTrue(self.log.append([command_entry(3, 1), command_entry(4, 2)]))
        expected = [(1, 1), (2, 1), (3, 1), (4, 2)]
        self.assertEqual(expected, positions(self.log))
        self.assertEqual(expected, positions(self.reopened()))

    def test_a_failed_write_leaves_the_log_as_it_was(self) -> None:
        self.fill(5)
        self.folder.full = True
        self.assertFalse(self.log.append([command_entry(4, 2)]))
        self.assertFalse(self.log.save_vote(7, "other"))
        self.assertFalse(self.log.compact(self.snapshot(3)))
        self.assertFalse(self.log.install(self.snapshot(9)))
        self.assertEqual([(index, 1) for index in range(1, 6)], positions(self.log))
        self.assertEqual(
            (1, "disk", 0), (self.log.term, self.log.voted_for, self.log.snapshot.index)
        )

    def test_compaction_keeps_the_entries_behind_and_the_vote(self) -> None:
        self.fill(5, term=3)
        self.assertTrue(self.log.save_lease_flag(True))
        self.assertTrue(self.log.compact(self.snapshot(3, 3)))
        for log in (self.log, self.reopened()):
            self.assertEqual([(4, 3), (5, 3)], positions(log))
            self.assertEqual((3, 3, 5), (log.snapshot.index, log.term_at(3), log.last_index))
            self.assertEqual((3, "disk", True), (log.term, log.voted_for, log.lease_may_be_active))

    def test_voters_are_those_of_the_last_entry_that_names_some(self) -> None:
        self.fill(2)
        named = Entry(3, 1, EntryKind.VOTERS, b"\xa1\x61a\x61b")
        self.assertTrue(self.log.append([named, command_entry(4, 1)]))
        self.assertEqual({}, self.log.voters_at(2))
        self.assertEqual({"a": "b"}, self.log.voters_at(3))
        self.assertEqual({"a": "b"}, self.log.voters_at(self.log.last_index))
        self.assertTrue(self.log.compact(Snapshot(4, 1, {"a": "b"}, b"", 4)))
        self.assertEqual({"a": "b"}, self.reopened().voters_at(4))

    def test_a_snapshot_that_failed_brings_back_no_older_vote_or_entry(self) -> None:
        self.folder = NoSnapshotFolder()
        self.log = self.reopened()
        self.fill(5, term=3)
        self.assertFalse(self.log.compact(self.snapshot(3, 3)))
        self.assertTrue(self.log.save_vote(8, "another"))
        self.assertTrue(self.log.append([command_entry(6, 8), command_entry(7, 8)]))
        reopened_log = self.reopened()
        self.assertEqual((8, "another"), (reopened_log.term, reopened_log.voted_for))
        self.assertEqual([3, 3, 3, 3, 3, 8, 8], [entry.term for entry in reopened_log.entries])

    def test_a_snapshot_keeps_the_acknowledged_entries_behind_it(self) -> None:
        """Entries after the snapshot must stay: a leader may have counted them towards a commit."""
        self.fill(10, term=2)
        self.assertTrue(self.log.install(self.snapshot(7, 2)))
        for log in (self.log, self.reopened()):
            self.assertEqual([(8, 2), (9, 2), (10, 2)], positions(log))
            self.assertEqual((7, 10), (log.snapshot.index, log.last_index))

    def test_a_snapshot_of_another_term_at_its_end_replaces_the_log(self) -> None:
        self.fill(10, term=2)
        self.assertTrue(self.log.install(self.snapshot(7, 3)))
        for log in (self.log, self.reopened()):
            self.assertEqual([], log.entries)
            self.assertEqual((7, 3), (log.last_index, log.term_at(7)))

    def test_a_snapshot_beyond_the_log_replaces_it(self) -> None:
        self.fill(5, term=2)
        self.assertTrue(self.log.install(self.snapshot(7, 2)))
        self.assertEqual((7, []), (self.log.last_index, self.reopened().entries))
