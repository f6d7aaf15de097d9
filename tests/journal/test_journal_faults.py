"""The journal under every disk error and crash, compared with a reference model.

`ModelFolder` separates what the process sees from what survives a power loss. The test runs a
script of writes and snapshots for each fault at each step of the folder, and opens every possible
result. Opening must return exactly the acknowledged records, optionally followed by one complete
batch that was not acknowledged.
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
    """The process crashed at a step."""


class File:
    """A file, independent of its name: its synced content and the writes since."""

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
        """Return the possible contents: the last write complete, missing, torn or only its end."""
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
    """A simulated folder with numbered steps; `faults` maps step numbers to faults."""

    def __init__(self, faults: dict[int, str]) -> None:
        self.faults = faults
        self.points = 0
        self.files: dict[str, File] = {}
        self.durable: dict[str, File] = {}

    def step(self, action: Callable[[], None], partly: Callable[[], None] | None = None) -> None:
        fault = self.faults.get(self.points, "")
        self.points += 1
        if fault == "crash before":
            raise PowerLostError
        if fault == "error before":
            raise FolderError("nothing done")
        if fault in ("error partly", "crash partly") and partly is not None:
            partly()
        else:
            action()
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

        def action() -> None:
            file.sync()
            self.durable[name] = file

        self.step(action)

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
        def action() -> None:
            self.files[other] = self.files.pop(name)

        self.step(action)
        self.step(self.sync_directory)

    def delete(self, name: str) -> None:
        def action() -> None:
            del self.files[name]

        self.step(action)

    def after_kill(self) -> Files:
        """Return the files left by a killed process, which include all unsynced writes."""
        return {name: file.content for name, file in self.files.items()}

    def after_power_loss(self) -> Iterator[Files]:
        """Yield the possible files: each name changed since the last sync is old or new."""
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
    """Plays the script, and records the acknowledged and unacknowledged writes."""

    def __init__(self, folder: ModelFolder, acknowledged: Records) -> None:
        self.folder = folder
        self.acknowledged = list(acknowledged)
        self.unacknowledged: list[Records] = []

    def open(self) -> Journal | None:
        found = open_journal(self.folder, RecordingLog("model"), SEGMENT_BYTES)
        if found.is_ok():
            return found.ok
        if found.error.damaged:
            raise AssertionError(found.error.reason)
        return None

    def write(self, journal: Journal, records: Records) -> None:
        self.unacknowledged.append(records)
        if journal.write(records).is_ok():
            self.acknowledged += records
            self.unacknowledged = []

    def write_snapshot(self, journal: Journal) -> None:
        """Write a snapshot of all acknowledged records except the last two, which are kept."""
        snapshot, kept = self.acknowledged[:-2], self.acknowledged[-2:]
        if journal.write_snapshot(cbor2.dumps(snapshot), kept).is_ok():
            self.unacknowledged = []

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
        return [self.acknowledged, *(self.acknowledged + batch for batch in self.unacknowledged)]


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
    """Yield single crashes, errors followed by a crash, and disks that fail for a while."""
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

    def check(self, files: Files, writer: Writer, faults: object) -> None:
        """Open the files and compare with the writer, then write more and reopen."""
        again = Writer(folder_of(files), [])
        try:
            journal = again.open()
        except AssertionError as error:
            raise AssertionError(f"{faults}: {error}; {sorted(files)}") from error
        assert journal is not None
        found = state_of(journal)
        if found not in writer.expected():
            self.fail(f"{faults}: found {found}, acknowledged {writer.acknowledged}")
        again.acknowledged = list(found)
        journal.snapshot, journal.records = None, []
        again.write(journal, [b"later"])
        again.write_snapshot(journal)
        again.write(journal, [b"last"])
        once_more = again.open()
        assert once_more is not None
        self.assertEqual([*found, b"later", b"last"], state_of(once_more), str(faults))

    def play_all(self) -> int:
        """Play all faults and power losses; return the number of folders opened."""
        points = self.played({}).folder.points
        outcomes = 0
        for faults in fault_plans(points):
            writer = self.played(faults)
            seen: set[tuple[tuple[str, bytes], ...]] = set()
            for files in (writer.folder.after_kill(), *writer.folder.after_power_loss()):
                key = tuple(sorted(files.items()))
                if key not in seen:
                    seen.add(key)
                    outcomes += 1
                    self.check(files, writer, faults)
            outcomes += self.check_killed(writer, faults)
        return outcomes

    def check_killed(self, writer: Writer, faults: object) -> int:
        """Kill the process, open its files in another one, and then lose power.

        Opening the folder syncs its names, as `LocalFolder` does. The second process may have
        acknowledged everything that it read, so none of it may be lost.
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
            self.assertEqual(found, state_of(again), str(faults))
            count += 1
        return count

    def test_nothing_acknowledged_is_lost_or_changed_at_any_point(self) -> None:
        self.assertTrue(self.play_all() > 10_000)

    def test_each_step_is_needed(self) -> None:
        """Without any one of the mechanisms, some fault loses, changes or damages the log."""

        def no_repair(_journal: Journal) -> None:
            """Keep the remains of a failed write."""

        def forgets_rotation(journal: Journal) -> None:
            try:
                plain_start(journal)
            finally:
                journal.rotation_due = False

        def keeps_old_segment(journal: Journal) -> None:
            journal.folder.write_atomically(f"segment-{journal.segment_number + 1:010d}", b"")
            journal.segment_size = 0

        def deletes_first(journal: Journal, snapshot: bytes, records: Records) -> object:
            journal.delete_before(journal.segment_number + 1)
            return plain_snapshot(journal, snapshot, records)

        plain_start, plain_snapshot = Journal.start_segment, Journal.write_snapshot
        for name, replacement in (
            ("repair", no_repair),
            ("start_segment", forgets_rotation),
            ("start_segment", keeps_old_segment),
            ("write_snapshot", deletes_first),
        ):
            with mock.patch.object(Journal, name, replacement):
                try:
                    self.play_all()
                except AssertionError:
                    continue
            self.fail(f"nothing found without {replacement.__name__}")

    def test_a_damaged_journal_never_keeps_its_disk_id(self) -> None:
        """A crash while the journal is set aside must not restore the old disk ID and its vote."""
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
            for files in (folder.after_kill(), *folder.after_power_loss()):
                found = open_disk(folder_of(files), RecordingLog("model"), SEGMENT_BYTES, Random(2))
                self.assertTrue(found.is_ok())
                self.assertNotEqual("before", found.ok[0], f"{faults} {sorted(files)}")

    def test_an_identity_without_a_journal_gets_a_new_disk_id(self) -> None:
        folder = folder_of({"identity": b'{"disk": "before"}'})
        found = open_disk(folder, RecordingLog("model"), SEGMENT_BYTES, Random(1))
        self.assertNotEqual("before", found.ok[0])


class NamesTests(testtools.TestCase):
    def test_reopening_makes_the_names_of_an_earlier_process_durable(self) -> None:
        """A process was killed between creating a file and syncing the directory."""
        folder = ModelFolder({})
        disk, _ = open_disk(folder, RecordingLog("names"), SEGMENT_BYTES, Random(1)).ok
        folder.durable = {}
        again, _ = open_disk(folder, RecordingLog("names"), SEGMENT_BYTES, Random(2)).ok
        self.assertEqual(disk, again)
        self.assertEqual(sorted(folder.files), sorted(folder.durable))
