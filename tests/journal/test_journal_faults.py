"""The journal under every crash and every error of its disk, held against a reference model.

`ModelFolder` is a disk that keeps apart what the process sees and what would outlive a loss of
power: data by `sync`, names of renamed and removed files by a sync of the folder. Each step is a
numbered point. The test plays a script of writes and snapshots once for each fault at each point
(and each crash at a later point), then opens what each possible loss of power leaves.

The reference: what opening gives is exactly what was acknowledged, followed by nothing or by one
whole batch of which the writer had no acknowledgement.
"""

from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import product
from random import Random
from unittest import mock

import cbor2
import testtools

from ryelock.control_plane.identity import open_disk
from ryelock.events import RecordingLog
from ryelock.journal import FolderError, Journal, open_journal

SEGMENT_BYTES = 90
Files = dict[str, bytes]
Records = list[bytes]


class PowerLostError(Exception):
    """The process ended at a point."""


class File:
    """One file by whatever name: its synced content and the writes made since."""

    def __init__(self) -> None:
        self.content = b""
        self.synced = b""
        self.writes: list[tuple[int, bytes]] = []

    def append(self, data: bytes) -> None:
        self.writes.append((len(self.content), data))
        self.content += data

    def truncate(self, size: int) -> None:
        self.content = self.content[:size]
        self.writes.append((size, b""))

    def sync(self) -> None:
        self.synced = self.content
        self.writes = []

    def after_power_loss(self) -> list[bytes]:
        """Contents that may be found: each write present, missing, torn, or only its end there."""
        if not self.writes:
            return [self.synced]
        found = [self.synced, self.content]
        start, data = self.writes[-1]
        for size in (len(data) // 2, len(data) - 1):
            if 0 < size < len(data):
                found.append(self.content[: start + size])
                found.append(self.content[:start] + bytes(size) + data[size:])
        return found


class ModelFolder:
    """A disk with numbered points; `faults` tells what happens at them."""

    def __init__(self, faults: dict[int, str]) -> None:
        self.faults = faults
        self.points = 0
        self.files: dict[str, File] = {}
        self.durable: dict[str, File] = {}

    def step(self, act: Callable[[], None], partly: Callable[[], None] | None = None) -> None:
        fault = self.faults.get(self.points, "")
        self.points += 1
        if fault == "crash before":
            raise PowerLostError
        if fault == "error before":
            raise FolderError("nothing done")
        if fault in ("error partly", "crash partly") and partly is not None:
            partly()
        else:
            act()
        if fault.startswith("error"):
            raise FolderError("done, or in part")
        if fault.startswith("crash"):
            raise PowerLostError

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name].content

    def append(self, name: str, data: bytes) -> None:
        file = self.files.setdefault(name, File())
        self.step(lambda: file.append(data), lambda: file.append(data[: len(data) // 2]))

    def sync(self, name: str) -> None:
        file = self.files[name]

        def act() -> None:
            file.sync()
            self.durable[name] = file

        self.step(act)

    def truncate(self, name: str, size: int) -> None:
        file = self.files.setdefault(name, File())
        self.step(lambda: file.truncate(size))

    def write_atomically(self, name: str, data: bytes) -> None:
        file = File()
        partial = f"{name}.new"

        def create() -> None:
            file.append(data)
            self.files[partial] = file

        def sync() -> None:
            file.sync()
            self.durable[partial] = file

        def rename() -> None:
            self.files[name] = self.files.pop(partial)

        self.step(create)
        self.step(sync)
        self.step(rename)
        self.step(self.sync_directory)

    def sync_directory(self) -> None:
        self.durable = dict(self.files)

    def rename(self, name: str, other: str) -> None:
        def act() -> None:
            self.files[other] = self.files.pop(name)

        self.step(act)
        self.step(self.sync_directory)

    def delete(self, name: str) -> None:
        def act() -> None:
            del self.files[name]

        self.step(act)

    def kept(self) -> Files:
        """What a process that died leaves behind: all of it."""
        return {name: file.content for name, file in self.files.items()}

    def after_power_loss(self) -> Iterator[Files]:
        """Each name that changed since the folder was synced: as before or as now."""
        changed = sorted(
            name
            for name in {*self.files, *self.durable}
            if self.files.get(name) is not self.durable.get(name)
        )
        if len(changed) > 6:
            changed = changed[:6]
        for picks in product((True, False), repeat=len(changed)):
            named = dict(self.durable)
            for name, lasting in zip(changed, picks, strict=True):
                if lasting:
                    file = self.files.get(name)
                    if file is None:
                        del named[name]
                    else:
                        named[name] = file
            names = sorted(named)
            for contents in product(*(named[name].after_power_loss() for name in names)):
                yield dict(zip(names, contents, strict=True))


class Writer:
    """Plays the script and keeps the reference: what was acknowledged, and what was not."""

    def __init__(self, folder: ModelFolder, acknowledged: Records) -> None:
        self.folder = folder
        self.acknowledged = list(acknowledged)
        self.unsure: list[Records] = []

    def open(self) -> Journal | None:
        found = open_journal(self.folder, RecordingLog("model"), SEGMENT_BYTES)
        if found.is_ok():
            return found.ok
        if found.error.damaged:
            raise AssertionError(found.error.reason)
        return None

    def write(self, journal: Journal, records: Records) -> None:
        self.unsure.append(records)
        if journal.write(records).is_ok():
            self.acknowledged += records
            self.unsure = []

    def write_snapshot(self, journal: Journal) -> None:
        """The snapshot has all acknowledged records but the last two, which are carried over."""
        snapshot, kept = self.acknowledged[:-2], self.acknowledged[-2:]
        if journal.write_snapshot(cbor2.dumps(snapshot), kept).is_ok():
            self.unsure = []

    def play(self) -> None:
        journal = self.open()
        if journal is None:
            return
        for number, step in enumerate("wwiwiwwwwiiw"):
            if step == "w":
                self.write(journal, [b"%d first" % number, b"%d second" % number])
            else:
                self.write_snapshot(journal)

    def expected(self) -> list[Records]:
        return [self.acknowledged, *(self.acknowledged + batch for batch in self.unsure)]


def state_of(journal: Journal) -> Records:
    snapshot = cbor2.loads(journal.snapshot) if journal.snapshot is not None else []
    return [*snapshot, *journal.records]


def folder_of(files: Files) -> ModelFolder:
    folder = ModelFolder({})
    for name, content in files.items():
        folder.files[name] = File()
        folder.files[name].content = folder.files[name].synced = content
    folder.sync_directory()
    return folder


ERRORS = ("error before", "error after", "error partly")
CRASHES = ("crash before", "crash after", "crash partly")


def fault_plans(points: int) -> Iterator[dict[int, str]]:
    """One crash; one error and then a crash anywhere behind it; a disk that fails for a while."""
    for point in range(points):
        for crash in CRASHES:
            yield {point: crash}
        for error in ERRORS:
            yield {point: error}
            for length in (2, 5, 12):
                yield dict.fromkeys(range(point, point + length), error)
            for later in range(point + 1, points + 8):
                yield {point: error, later: "crash after"}
                yield {point: error, later: "crash partly"}


class JournalFaultTests(testtools.TestCase):
    def played(self, faults: dict[int, str]) -> Writer:
        writer = Writer(ModelFolder(faults), [])
        with suppress(PowerLostError):
            writer.play()
        return writer

    def check(self, files: Files, writer: Writer, told: object) -> None:
        """Open, compare, write on, open again."""
        again = Writer(folder_of(files), [])
        try:
            journal = again.open()
        except AssertionError as error:
            raise AssertionError(f"{told}: {error}; {sorted(files)}") from error
        assert journal is not None
        found = state_of(journal)
        if found not in writer.expected():
            self.fail(f"{told}: found {found}, acknowledged {writer.acknowledged}")
        again.acknowledged = list(found)
        journal.snapshot, journal.records = None, []
        again.write(journal, [b"later"])
        again.write_snapshot(journal)
        again.write(journal, [b"last"])
        once_more = again.open()
        assert once_more is not None
        self.assertEqual([*found, b"later", b"last"], state_of(once_more), str(told))

    def play_all(self) -> int:
        """Every fault and what each loss of power may leave; the number of folders opened."""
        points = self.played({}).folder.points
        outcomes = 0
        for faults in fault_plans(points):
            writer = self.played(faults)
            seen: set[tuple[tuple[str, bytes], ...]] = set()
            for files in (writer.folder.kept(), *writer.folder.after_power_loss()):
                key = tuple(sorted(files.items()))
                if key not in seen:
                    seen.add(key)
                    outcomes += 1
                    self.check(files, writer, faults)
            outcomes += self.check_killed(writer, faults)
        return outcomes

    def check_killed(self, writer: Writer, told: object) -> int:
        """The process dies, another opens what it left, and then power is lost.

        Opening the folder syncs its names, as `LocalFolder` does; what the second process read
        it may have answered for, so none of it may be lost.
        """
        folder = writer.folder
        folder.faults = {}
        folder.sync_directory()
        journal = Writer(folder, []).open()
        assert journal is not None
        found = state_of(journal)
        count = 0
        for files in folder.after_power_loss():
            again = Writer(folder_of(files), []).open()
            assert again is not None
            self.assertEqual(found, state_of(again), str(told))
            count += 1
        return count

    def test_nothing_acknowledged_is_lost_or_changed_at_any_point(self) -> None:
        self.assertTrue(self.play_all() > 10_000)

    def test_each_step_is_needed(self) -> None:
        """With any one mechanism taken out some fault loses, changes or damages the log."""

        def no_repair(_journal: Journal) -> None:
            """What a failed write left stays."""

        def never_due(journal: Journal) -> None:
            try:
                plain_start(journal)
            finally:
                journal.rotation_due = False

        def goes_on_in_old(journal: Journal) -> None:
            journal.folder.write_atomically(f"segment-{journal.segment_number + 1:010d}", b"")
            journal.segment_size = 0

        def deletes_first(journal: Journal, snapshot: bytes, records: Records) -> object:
            journal.delete_before(journal.segment_number + 1)
            return plain_snapshot(journal, snapshot, records)

        plain_start, plain_snapshot = Journal.start_segment, Journal.write_snapshot
        for name, taken_out in (
            ("repair", no_repair),
            ("start_segment", never_due),
            ("start_segment", goes_on_in_old),
            ("write_snapshot", deletes_first),
        ):
            with mock.patch.object(Journal, name, taken_out):
                try:
                    self.play_all()
                except AssertionError:
                    continue
            self.fail(f"nothing found without {taken_out.__name__}")

    def test_a_damaged_journal_never_stands_under_the_name_it_had(self) -> None:
        """Whatever ends the setting aside: the old name, with its vote, does not come back."""
        for faults in ({point: crash} for point in range(40) for crash in CRASHES):
            folder = folder_of(
                {
                    "identity": b'{"disk": "before"}',
                    "segment-0000000000": b"damaged",
                    "segment-0000000001": b"",
                }
            )
            folder.faults = faults
            with suppress(PowerLostError):
                open_disk(folder, RecordingLog("model"), SEGMENT_BYTES, Random(1))
            for files in (folder.kept(), *folder.after_power_loss()):
                found = open_disk(folder_of(files), RecordingLog("model"), SEGMENT_BYTES, Random(2))
                self.assertTrue(found.is_ok())
                self.assertNotEqual("before", found.ok[0], f"{faults} {sorted(files)}")

    def test_an_identity_without_a_journal_is_another_disk(self) -> None:
        folder = folder_of({"identity": b'{"disk": "before"}'})
        found = open_disk(folder, RecordingLog("model"), SEGMENT_BYTES, Random(1))
        self.assertNotEqual("before", found.ok[0])


class NamesTests(testtools.TestCase):
    def test_a_reopened_disk_makes_the_names_last_that_it_believes(self) -> None:
        """A process was killed between giving a name and syncing its folder."""
        folder = ModelFolder({})
        disk, _ = open_disk(folder, RecordingLog("names"), SEGMENT_BYTES, Random(1)).ok
        folder.durable = {}
        again, _ = open_disk(folder, RecordingLog("names"), SEGMENT_BYTES, Random(2)).ok
        self.assertEqual(disk, again)
        self.assertEqual(sorted(folder.files), sorted(folder.durable))
