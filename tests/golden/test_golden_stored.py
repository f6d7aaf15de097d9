"""The data folder of a control node: what stands on disk is read as ever, and written as ever.

tests/data/stored has folders as the code before the renaming wrote them; each is opened as a
restarted control node opens its own, and what is recovered is compared with a golden file. The
same entries, appended and applied anew, must give the same bytes.
"""

import shutil
import struct
import tempfile
import zlib
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from random import Random

import cbor2
from golden import DATA, GoldenTest

from ryelock.consensus import Consensus
from ryelock.consensus import entries as entry_forms
from ryelock.consensus.entries import Entry, Snapshot
from ryelock.consensus.log import ReplicatedLog
from ryelock.control_plane.identity import open_disk
from ryelock.control_plane.process import ControlNode
from ryelock.events import RecordingLog
from ryelock.journal import Journal, LocalFolder
from ryelock.replicated_state import PurgeKind, ReplicatedState, encode_command
from ryelock.settings import read_settings
from ryelock.testing.simulated import World

# What this file knows of the product's names: a rename inside changes this section only.

Plain = dict[str, object]
SEGMENT_BYTES = 4096


def state_machine_kinds() -> set[str]:
    """Return the kinds of entries in the state machine's own table of handlers."""
    return {str(kind) for kind in ReplicatedState().handlers()}


def consensus_kinds() -> set[str]:
    """Return the kinds of entries that consensus itself tells apart."""
    return {kind.value for kind in entry_forms.EntryKind}


def lease_end(consensus: Consensus) -> float:
    """Return when the lease ends that a voter granted; -1e9 stands for none."""
    granted_until = consensus.lease.granted_until
    return -1e9 if granted_until is None else granted_until


def record_kinds() -> set[str]:
    """Return the kinds of records that the log writes to its journal."""
    return {name.removesuffix("_record") for name in vars(entry_forms) if name.endswith("_record")}


def purge_kinds() -> set[str]:
    """Return what a purge can name."""
    return {str(kind) for kind in PurgeKind}


def encoded(kind: str, fields: Plain) -> bytes:
    """Return an entry of the state machine as the product encodes it."""
    return encode_command(kind, **fields)


def state_of(replicated_state: ReplicatedState) -> Plain:
    """Return all that a state machine holds, by terms of the field."""
    covered = {
        "index": replicated_state.index,
        "version": replicated_state.version,
        "configuration": replicated_state.configuration.to_wire(),
        "purge_number": replicated_state.purge_number,
        "purges": [purge.to_wire() for purge in replicated_state.purges],
        "drains": replicated_state.drains,
        "duties": [
            [name, duty.name, duty.owner, duty.fencing_token, duty.successor]
            for name, duty in replicated_state.singletons.items()
        ],
        "decisions": replicated_state.decisions,
        "verdict": replicated_state.verdict,
        "derived": [
            [name, watch.route, watch.object, watch.host, watch.dating, watch.stale_seconds]
            for name, watch in replicated_state.derived.items()
        ],
        "derivable": replicated_state.derivable,
        "outcomes": replicated_state.outcomes.to_wire(),
        "claims": replicated_state.claims.to_wire(),
    }
    assert len(covered) == len(ReplicatedState.__slots__), (
        "a field of the state machine is not compared"
    )
    return {**covered, "watches": list(replicated_state.watches)}


def snapshot_of(replicated_state: ReplicatedState) -> bytes:
    """Return the snapshot that control nodes keep."""
    return replicated_state.snapshot()


def edge_snapshot_of(replicated_state: ReplicatedState) -> bytes:
    """Return the snapshot that edges are sent."""
    return replicated_state.edge_snapshot()


class Member:
    """The log of one control node on a folder, with the state machine that it drives."""

    def __init__(self, path: Path) -> None:
        """Open the folder as the program does; an empty one gets an identity."""
        self.events = RecordingLog("core0")
        found = open_disk(LocalFolder(str(path)), self.events, SEGMENT_BYTES, Random(7))
        assert found.is_ok()
        self.disk: str = found.ok[0]
        self.journal: Journal = found.ok[1]

    def logged(self) -> list[object]:
        """Return the events with their fields, without the free text of a fault."""
        return [
            [number, {key: "..." if key == "fault" else value for key, value in fields.items()}]
            for number, fields in self.events.records
        ]

    def open_log(self) -> None:
        """Replay the journal into the log alone, to write on."""
        self.log = ReplicatedLog(self.journal)
        self.replicated_state = ReplicatedState()

    def found(self, voters: dict[str, str]) -> None:
        """Write the first term and entry."""
        assert self.log.bootstrap(1, Entry(1, 1, "voters", cbor2.dumps(voters)))

    def vote(self, term: int, voted: str) -> None:
        """Write a term and the vote given in it."""
        assert self.log.save_vote(term, voted)

    def promise(self, noted: bool) -> None:
        """Write whether a promise may stand."""
        assert self.log.save_lease_flag(noted)

    def append(self, first: int, term: int, batch: list[tuple[str, bytes]]) -> None:
        """Write entries of one term from an index on."""
        entries = [
            Entry(first + place, term, kind, data) for place, (kind, data) in enumerate(batch)
        ]
        assert self.log.append(entries)

    def apply(self, last: int) -> list[object]:
        """Apply entries up to an index; return the outcomes."""
        first = self.replicated_state.index + 1
        found = [self.apply_entry(self.log.entry_at(index)) for index in range(first, last + 1)]
        self.replicated_state.index = last
        return found

    def apply_entry(self, entry: Entry) -> object:
        """Apply one entry where it is the state machine's."""
        known = entry.kind in ("word", "note")
        return self.replicated_state.apply(entry.index, entry.data) if known else None

    def compact(self, index: int) -> None:
        """Write a snapshot of all up to an index, which was just applied."""
        last = max(at for at in range(1, index + 1) if self.log.entry_at(at).kind == "word")
        term, voters = self.log.term_at(index), self.log.voters_at(index)
        snapshot = Snapshot(index, term, voters, self.replicated_state.snapshot(), last)
        assert self.log.compact(snapshot)

    def restart(self) -> None:
        """Build the whole control node on the folder, in a simulated network."""
        node = World(1).add("core0", "core0", "10.1.0.1")
        flags: Plain = {
            "name": "core0",
            "zone": "zone0",
            "seeds": "10.1.0.1:1,10.1.0.2:1,10.1.0.3:1",
            "wire_address": "10.1.0.1:1",
            "control_address": "10.1.0.1:2",
            "data_folder": "unused",
        }
        settings = read_settings("core", "", flags)
        self.node = ControlNode(
            settings,
            node.scheduler,
            node.network,
            self.events,
            node.random,
            self.disk,
            self.journal,
        )
        self.log = self.node.consensus.replicated_log
        self.replicated_state = self.node.replicated_state

    def commit_all(self) -> None:
        """Have the node learn that all entries of its log are committed."""
        consensus = self.node.consensus
        consensus.applier.advance(consensus.last_index)
        while consensus.applied_index < consensus.commit_index:
            consensus.applier.apply_committed()

    def write_snapshot(self) -> None:
        """Have the node write a snapshot of all that it applied."""
        self.node.consensus.applier.write_snapshot()

    def log_state(self) -> Plain:
        """Return the durable state of consensus, by terms of the field."""
        log = self.log
        return {
            "disk": self.disk,
            "term": log.term,
            "vote": log.voted_for,
            "promise_noted": log.lease_may_be_active,
            "snapshot": {
                "index": log.snapshot.index,
                "term": log.snapshot.term,
                "voters": log.snapshot.voters,
                "last_state_machine_entry": log.snapshot.command_index,
                "state": cbor2.loads(log.snapshot.state) if log.snapshot.state else None,
            },
            "last_index": log.last_index,
            "entries": [
                {
                    "index": entry.index,
                    "term": entry.term,
                    "kind": entry.kind,
                    "data": decoded(entry.data),
                    "bytes": entry.data,
                    "repeated": entry.is_duplicate,
                }
                for entry in log.entries
            ],
        }

    def node_state(self) -> Plain:
        """Return what the whole node makes of the log."""
        consensus = self.node.consensus
        return {
            "applied": consensus.applied_index,
            "last_applied_state_machine_entry": consensus.applied_command_index,
            "commit": consensus.commit_index,
            "voters": consensus.voters,
            "role": consensus.role,
            "promise_ends_after": round(lease_end(consensus), 3),
            "entries_for_edges": [
                index for index, _ in consensus.commands_since(consensus.snapshot.index) or ()
            ],
        }


# The script of what is stored. Its words stand on disks and must never change.

FOUNDERS = {"d1": "10.1.0.1:1", "d2": "10.1.0.2:1", "d3": "10.1.0.3:1"}
FOUR = {**FOUNDERS, "d4": "10.1.0.4:1"}
LEFT = {disk: address for disk, address in FOUR.items() if disk != "d2"}
SERVICES: Plain = {
    "pages": {"rate": 120, "answer_seconds": 2, "annotation": '{"a":1}'},
    "desks": {"rate": 20.5, "flight": 8, "queue": 4, "links": 3, "limited": False},
}
ROUTES: Plain = {
    "covers": {"path": "/covers", "service": "pages", "cached": True, "lifetime_seconds": 6},
    "books": {"path": "/books", "service": "desks", "host": "shop.example", "cached": True},
    "orders": {"path": "/orders", "service": "desks", "once": True, "priority": 2, "attempts": 1},
    "split": {
        "path": "/split",
        "service": "pages",
        "split": {"pages": 3, "desks": 1},
        "share": 0.5,
        "deadline_seconds": 2.5,
        "target_seconds": 0.4,
    },
}
WATCHES: Plain = {
    "covers": {"route": "covers", "object": "/covers/1", "manifest": "/covers/m", "marker": "OK"}
}
LIMITS: Plain = {"callers": {"head_bytes": 2048, "idle_seconds": 9, "annotation": "{}"}}
WHOLE: Plain = {"services": SERVICES, "routes": ROUTES, "watches": WATCHES, "limits": LIMITS}


def verdict(network: str, north: str) -> Plain:
    return {
        "network": network,
        "zones": {
            "north": {"verdict": north, "edges": ["e1"], "targets": ["covers"], "weight": 0.75},
            "south": {"verdict": "healthy", "edges": [], "targets": [], "weight": 0.25},
        },
        "gone": {},
        "version": 3,
    }


def change(identity: str, base: int, **fields: object) -> Plain:
    plain = {"id": identity, "base": base, **fields}
    return {"id": identity, "wall": 1_800_000_000.25, "change": plain}


def purge(identity: str, scopes: object) -> Plain:
    return {"id": identity, "wall": 1_800_000_001.5, "scopes": scopes}


def drain(identity: str, target: str, on: bool, forced: bool = False) -> Plain:
    return {
        "id": identity,
        "wall": 1_800_000_002.0,
        "target": target,
        "on": on,
        "forced": forced,
        "reason": f"reason of {identity}",
    }


def duty(name: str, holder: str, term: int, successor: str) -> Plain:
    return {"name": name, "holder": holder, "epoch": term, "successor": successor}


def decision(holder: str, term: int, judged: object) -> Plain:
    return {"holder": holder, "epoch": term, "verdict": judged, "wall": 1_800_000_003.0}


KEY, OTHER_KEY = bytes(range(16)), bytes(range(16, 32))
FIRST_WORDS: list[tuple[str, Plain]] = [
    ("change", change("c1", 0, put=WHOLE)),
    ("change", change("c2", 0, put={"routes": {"late": {"path": "/l", "service": "pages"}}})),
    ("change", change("c3", 1, put={"routes": {"bad": {"path": "/b", "service": "none"}}})),
    ("change", change("c1", 0, put=WHOLE)),
    ("change", change("c4", 1, remove={"routes": ["split"]}, version=10)),
    ("change", change("c5", 10, patch=[{"op": "remove", "path": "/watches/covers"}])),
    ("purge", purge("p1", [{"path": "/covers/1", "host": "shop.example"}, {"label": "red"}])),
    ("purge", purge("p2", [{"prefix": "/covers"}, {"route": "covers"}])),
    ("purge", purge("p3", [{"path": "no slash"}])),
    ("purge", purge("p1", [{"path": "/covers/1"}])),
    ("drain", drain("d1", "edge00", True)),
    ("drain", drain("d2", "zone:north", True, True)),
    ("drain", drain("d3", "edge00", False)),
    ("drain", drain("d4", "edge00", False)),
    ("duty", duty("aggregator", "core0", 1, "core1")),
    ("duty", duty("reader", "core2", 1, "")),
    ("duty", duty("aggregator", "core2", 1, "")),
    ("duty", duty("aggregator", "core1", 2, "core0")),
    ("duty", duty("aggregator", "core0", 1, "")),
]
LATER_WORDS: list[tuple[str, Plain]] = [
    ("decision", decision("core1", 2, verdict("healthy", "healthy"))),
    ("decision", decision("core0", 1, verdict("down", "down"))),
    ("decision", decision("core1", 2, {**verdict("healthy", "healthy"), "version": 11})),
    ("decision", decision("core1", 2, "none")),
    ("decision", decision("core1", 2, verdict("stale", "stale"))),
    ("derived", {"places": {"covers": ["", "/covers/7"], "books": ["other.example", "/books/1"]}}),
    ("derived", {"places": {"covers": ["", "/covers/8"], "orders": ["", "/orders/1"]}}),
    ("derived", {"places": [1]}),
    ("change", change("c6", 11, whole=True, put=WHOLE, version=20)),
    ("change", change("c7", 20, whole=True, put={**WHOLE, "watches": {}})),
    ("derived", {"places": {"covers": ["shop.example", "/covers/9"]}}),
    ("unknown", {"field": 1}),
    ("duty", {"name": "reader"}),
]
NOTES: list[tuple[str, Plain]] = [
    ("claim", {"key": KEY, "order": "edge00-aa-1"}),
    ("claim", {"key": KEY, "order": "edge01-bb-1"}),
    ("claim", {"key": OTHER_KEY, "order": "edge01-bb-2"}),
    ("claim", {"key": b"", "order": "edge01-bb-3"}),
    ("release", {"key": OTHER_KEY, "order": "edge00-aa-1"}),
    ("release", {"key": OTHER_KEY, "order": "edge01-bb-2"}),
    ("claim", {"key": OTHER_KEY, "order": "edge00-aa-2"}),
]


def words(plain: list[tuple[str, Plain]]) -> list[tuple[str, bytes]]:
    """Encode entries as they stand on disk, without the product's code."""
    return [("word", cbor2.dumps({"word": kind, **fields})) for kind, fields in plain]


def notes(plain: list[tuple[str, Plain]]) -> list[tuple[str, bytes]]:
    return [("note", data) for _, data in words(plain)]


def decoded(data: bytes) -> object:
    """Return what the bytes of an entry say; the bytes where they are no CBOR."""
    return cbor2.loads(data) if data else b""


VOTES = [(2, "d1"), (3, ""), (4, "d3")]
SNAPSHOT_AT = 24


def write_start(member: Member) -> None:
    """Terms 1 to 3: founded, elected, and an entry that another leader's replaces."""
    member.found(FOUNDERS)
    member.vote(*VOTES[0])
    member.append(2, 2, [("nothing", b"")])
    member.append(3, 2, words(FIRST_WORDS[:10]))
    member.append(13, 2, words(FIRST_WORDS[10:]))
    member.append(22, 2, [("voters", cbor2.dumps(FOUR))])
    member.append(23, 2, words([("purge", purge("lost", [{"label": "never"}]))]))
    member.promise(True)
    member.vote(*VOTES[1])
    member.promise(False)
    member.append(23, 3, [("nothing", b""), *notes(NOTES[:1])])


def write_end(member: Member) -> None:
    """Terms 3 and 4: further entries of every kind, and a promise that stands."""
    member.append(25, 3, words(LATER_WORDS[:8]))
    member.append(33, 3, [*notes(NOTES[1:]), ("word", cbor2.dumps([1, 2]))])
    member.vote(*VOTES[2])
    member.append(40, 4, [("nothing", b""), ("voters", cbor2.dumps(LEFT))])
    member.append(42, 4, words(LATER_WORDS[8:]))
    member.promise(True)


def write_journal(path: Path) -> None:
    """A folder with segments only."""
    member = Member(path)
    member.open_log()
    write_start(member)
    write_end(member)


def write_snapshot(path: Path) -> None:
    """A folder with a snapshot in the middle and the entries behind it."""
    member = Member(path)
    member.open_log()
    write_start(member)
    member.apply(SNAPSHOT_AT)
    member.compact(SNAPSHOT_AT)
    write_end(member)


TORN_BYTES = 29
"""The last frame, of 24 bytes, and a part of the one before it."""


def write_torn(path: Path) -> None:
    """The journal, with the last frames cut short by a loss of power."""
    write_journal(path)
    last = sorted(path.glob("segment-*"))[-1]
    last.write_bytes(last.read_bytes()[:-TORN_BYTES])


def single_frame(record: bytes) -> bytes:
    """A frame of version 1, which is read and not written any more."""
    return struct.pack(">2sII", b"\xa5\x52", len(record), zlib.crc32(record)) + record


def write_older(path: Path) -> None:
    """Forms that are read and not written any more: frames of one record, an older snapshot."""
    state = {
        "index": 4,
        "version": 1,
        "configuration": {"services": SERVICES, "routes": ROUTES},
        "purge_number": 1,
        "purges": [[1, "label", "", "red"]],
        "drains": {},
        "duties": {},
        "verdict": {},
        "decisions": [],
        "outcomes": [["change:c1", {"status": "accepted", "version": 1, "index": 3}]],
    }
    snapshot = cbor2.dumps([4, 2, FOUNDERS, cbor2.dumps(state)])
    path.mkdir(parents=True, exist_ok=True)
    (path / "image-0000000003").write_bytes(
        single_frame(snapshot) + single_frame(cbor2.dumps(["vote", 2, "d1"]))
    )
    tail = [["entry", 5, 2, *words(FIRST_WORDS[:1])[0]], ["entry", 6, 2, *notes(NOTES[:1])[0]]]
    frames = b"".join(single_frame(cbor2.dumps(record)) for record in tail)
    (path / "segment-0000000003").write_bytes(frames)
    (path / "identity").write_bytes(b'{"disk": "0123456789abcdef"}')


WRITERS = {
    "journal": write_journal,
    "snapshot": write_snapshot,
    "torn": write_torn,
    "older": write_older,
}
STORED = DATA / "stored"


def files_of(path: Path) -> dict[str, bytes]:
    return {file.name: file.read_bytes() for file in sorted(path.iterdir())}


def opened(path: Path) -> tuple[Member, Plain]:
    """Restart a control node on a folder and return it with all that it recovered."""
    member = Member(path)
    member.restart()
    log = member.log_state()
    found: Plain = {
        "restored": state_of(member.replicated_state),
        "node_before": member.node_state(),
    }
    first = member.log.snapshot.index
    outcomes = outcomes_of(path)
    member.commit_all()
    repeated = [entry["index"] for entry in entries_in(member) if entry["repeated"]]
    return member, {
        "files": {name: len(data) for name, data in files_of(path).items()},
        "events": member.logged(),
        "log": log,
        **found,
        "outcomes_from": first + 1,
        "outcomes": outcomes,
        "repeated": repeated,
        "node": member.node_state(),
        "state": state_of(member.replicated_state),
        "snapshot_for_edges": cbor2.loads(edge_snapshot_of(member.replicated_state)),
    }


def entries_in(member: Member) -> Iterator[Plain]:
    entries = member.log_state()["entries"]
    assert isinstance(entries, list)
    yield from entries


def outcomes_of(path: Path) -> list[object]:
    """What applying each entry behind the snapshot comes to."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "copy"
        shutil.copytree(path, copy)
        member = Member(copy)
        member.restart()
        return member.apply(member.log.last_index)


def recovered(name: str, path: Path) -> Plain:
    """Copy a golden folder and recover from the copy."""
    shutil.copytree(STORED / name, path)
    return opened(path)[1]


def recorded(name: str) -> Plain:
    with tempfile.TemporaryDirectory() as folder:
        return recovered(name, Path(folder) / "data")


def damaged_opening() -> Plain:
    """Open a folder whose journal is damaged before its end, and one that lost its journal."""
    found: Plain = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "damaged"
        shutil.copytree(STORED / "journal", path)
        first = path / "segment-0000000000"
        data = bytearray(first.read_bytes())
        data[40] ^= 1
        first.write_bytes(bytes(data))
        (path / "image-0000000000.new").write_bytes(b"partial")
        found["damaged"] = opened(path)[1]
        path = Path(folder) / "lost"
        path.mkdir()
        (path / "identity").write_bytes((STORED / "journal" / "identity").read_bytes())
        found["lost"] = opened(path)[1]
    return found


RECORDERS: dict[str, Callable[[], object]] = {
    **{f"stored-{name}.json": partial(recorded, name) for name in WRITERS},
    "stored-damaged.json": damaged_opening,
}


class StoredTests(GoldenTest):
    def folder(self) -> Path:
        path = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, path)
        return path

    def test_every_kind_of_entry_and_record_is_stored(self) -> None:
        journal = recorded("journal")["log"]
        assert isinstance(journal, dict)
        entries = journal["entries"]
        self.assertEqual(consensus_kinds(), {entry["kind"] for entry in entries})
        kinds = {
            entry["data"]["word"]
            for entry in entries
            if entry["kind"] in ("word", "note") and isinstance(entry["data"], dict)
        }
        self.assertEqual(state_machine_kinds() | {"unknown"}, kinds)
        files = files_of(STORED / "journal")
        text = b"".join(data for name, data in files.items() if name.startswith("segment-"))
        found = {kind for kind in record_kinds() if cbor2.dumps(kind) in text}
        self.assertEqual({"entry", "vote", "promise"}, record_kinds())
        self.assertEqual(record_kinds(), found)
        scopes = [
            scope
            for kind, fields in FIRST_WORDS
            if kind == "purge" and isinstance(fields["scopes"], list)
            for scope in fields["scopes"]
        ]
        self.assertEqual(purge_kinds(), {key for scope in scopes for key in scope} - {"host"})

    def test_entries_are_encoded_as_they_are_stored(self) -> None:
        for kind, fields in [*FIRST_WORDS, *LATER_WORDS, *NOTES]:
            self.assertEqual(cbor2.dumps({"word": kind, **fields}), encoded(kind, fields))

    def test_a_journal_is_recovered(self) -> None:
        self.assert_golden("stored-journal.json", recorded("journal"))

    def test_a_snapshot_with_a_tail_is_recovered(self) -> None:
        self.assert_golden("stored-snapshot.json", recorded("snapshot"))

    def test_a_torn_tail_is_cut(self) -> None:
        self.assert_golden("stored-torn.json", recorded("torn"))

    def test_older_forms_are_recovered(self) -> None:
        self.assert_golden("stored-older.json", recorded("older"))

    def test_a_damaged_or_lost_journal_is_another_disk(self) -> None:
        self.assert_golden("stored-damaged.json", damaged_opening())

    def test_the_same_steps_write_the_same_bytes(self) -> None:
        for name, write in WRITERS.items():
            path = self.folder() / name
            write(path)
            self.assertEqual(files_of(STORED / name), files_of(path), name)

    def test_the_same_entries_give_the_same_snapshot(self) -> None:
        snapshot = next((STORED / "snapshot").glob("image-*")).read_bytes()
        for name in ("journal", "snapshot"):
            path = self.folder() / name
            shutil.copytree(STORED / name, path)
            member = Member(path)
            member.restart()
            if name == "journal":
                member.apply(SNAPSHOT_AT)
            self.assertIn(snapshot_of(member.replicated_state), snapshot, name)

    def test_a_restarted_node_writes_the_same_snapshot_file(self) -> None:
        for name in ("journal", "snapshot", "torn", "older"):
            path = self.folder() / name
            shutil.copytree(STORED / name, path)
            member, _ = opened(path)
            member.write_snapshot()
            self.assertEqual(files_of(STORED / "rewritten" / name), files_of(path), name)


def write_stored() -> None:
    """Write the folders anew; for `write_golden.py` only."""
    shutil.rmtree(STORED, ignore_errors=True)
    for name, write in WRITERS.items():
        write(STORED / name)
    for name in WRITERS:
        path = STORED / "rewritten" / name
        shutil.copytree(STORED / name, path)
        opened(path)[0].write_snapshot()
