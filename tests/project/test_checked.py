"""What comes in is checked whole: settings, changes, listings, frames. And what the code keeps
to: import order, words, pages that are made from tables."""

import ast
import re
from collections.abc import Callable
from pathlib import Path

import testtools
from import_order import IMPORT_ORDER

from ryelock.events import CATALOGUE, catalogue_page
from ryelock.membership import decode_server_list
from ryelock.replicated_state import (
    Configuration,
    ReplicatedState,
    encode_command,
    merge_change,
    plan_change,
)
from ryelock.rpc import FrameDecoder, FrameError, encode_frame
from ryelock.settings import SettingsError, read_settings, settings_page
from ryelock.singleton import SingletonRole, next_assignment
from ryelock.testing.cases import CASES
from ryelock.testing.finals import FINALS
from ryelock.testing.schedules import run_schedule

ROOT = Path(__file__).parent.parent.parent
OLD_WORDS = {
    "beat": "heartbeat",
    "image": "snapshot",
    "dispatch": "attempt",
    "decline": "reject",
    "declined": "rejected",
    "fitness": "readiness",
    "desk": "control API",
    "door": "listener",
    "seat": "consensus node",
}
"""Words of an earlier style, withdrawn by the users, and the standard terms of docs/glossary.md."""
NOT_RENAMED_YET = Path(__file__).parent / "old_words.txt"
"""Files that still have such names, one a line; the list only gets shorter."""
GOOD = {"services": {"pages": {"rate": 5}}, "routes": {"a": {"path": "/a", "service": "pages"}}}


def names_of_tests() -> set[str]:
    """The name of every test method and test function."""
    return {
        name
        for file in (ROOT / "tests").rglob("*.py")
        for name in re.findall(r"def (test_\w+)", file.read_text())
    }


def change(base: int = 0, **parts: object) -> dict[str, object]:
    return {"id": "x", "base": base, **parts}


class CheckedTests(testtools.TestCase):
    def test_every_fault_of_settings_is_named(self) -> None:
        error = self.assertRaises(
            SettingsError,
            read_settings,
            "core",
            "",
            {
                "name": "a b",
                "zone": "z",
                "seeds": "1.2.3.4:1,1.2.3.4:1",
                "wire_address": "here:1",
                "control_address": "1.2.3.4:99999",
                "data_folder": "/d",
                "term_seconds": "soon",
                "cheese": 1,
            },
        )
        keys = [fault.partition(":")[0] for fault in error.faults]
        self.assertEqual(
            ["name", "seeds", "wire_address", "control_address", "term_seconds", "cheese"], keys
        )
        for seeds in ("", "1.2.3.4:1,1.2.3.4:2,1.2.3.4:3,1.2.3.4:4", "1.2.3.4"):
            error = self.assertRaises(
                SettingsError,
                read_settings,
                "core",
                "",
                {
                    "name": "a",
                    "zone": "z",
                    "seeds": seeds,
                    "wire_address": "1.2.3.4:1",
                    "control_address": "1.2.3.4:2",
                    "data_folder": "/d",
                },
            )
            self.assertEqual(["seeds"], [fault.partition(":")[0] for fault in error.faults], seeds)

    def test_every_fault_of_a_change_is_named(self) -> None:
        found = merge_change(
            Configuration(),
            change(
                put={
                    "services": {"s": {"rate": -1}, "t": {"speed": 3}},
                    "routes": {
                        "r": {"path": "a", "service": "u"},
                        "q": {"path": 3, "service": "s"},
                    },
                    "roads": {},
                },
                remove={"watches": ["w"]},
            ),
        )
        paths = {fault.path for fault in found.error.faults}
        self.assertEqual({"put.roads", "remove.watches.w"}, paths)
        found = merge_change(
            Configuration(),
            change(
                put={
                    "services": {"s": {"rate": -1}, "t": {"speed": 3}},
                    "routes": {"q": {"path": 3, "service": "s"}},
                }
            ),
        )
        self.assertEqual(
            {"services.t.speed", "services.t.rate", "routes.q.path"},
            {fault.path for fault in found.error.faults},
        )
        found = merge_change(
            Configuration(),
            change(
                put={
                    "services": {"s": {"rate": 1}},
                    "routes": {
                        "r": {"path": "/a", "service": "s", "once": True, "cached": True},
                        "q": {"path": "/a", "service": "none"},
                    },
                    "watches": {"w": {"route": "r", "object": "/b"}},
                }
            ),
        )
        self.assertEqual(
            {
                "routes.r.cached",
                "routes.q.service",
                "routes.q.path",
                "watches.w.route",
                "watches.w.object",
            },
            {fault.path for fault in found.error.faults},
        )

    def test_the_same_id_gets_the_first_outcome(self) -> None:
        replicated_state = ReplicatedState()

        def say(index: int, identity: str, **given: object) -> dict[str, object]:
            outcome = replicated_state.apply(
                index, encode_command("change", id=identity, change={"id": identity, **given})
            )
            assert isinstance(outcome, dict)
            return outcome

        self.assertEqual("accepted", say(1, "a", base=0, put=GOOD)["status"])
        self.assertEqual("conflict", say(2, "b", base=0, put=GOOD)["status"])
        self.assertEqual("conflict", say(3, "b", base=1, put=GOOD)["status"])
        again = say(4, "a", base=0, put=GOOD)
        self.assertEqual(("accepted", 1, True), (again["status"], again["version"], again["again"]))
        other = ReplicatedState()
        other.restore(replicated_state.snapshot())
        self.assertEqual(replicated_state.snapshot(), other.snapshot())
        self.assertEqual(replicated_state.configuration, other.configuration)

    def test_a_patch_is_planned_and_taken_whole_or_declined(self) -> None:
        current = merge_change(Configuration(), change(put=GOOD)).ok
        patch = [
            {"op": "replace", "path": "/services/pages/rate", "value": 9},
            {"op": "add", "path": "/routes/b", "value": {"path": "/b", "service": "pages"}},
        ]
        after = merge_change(current, change(patch=patch)).ok
        plan = plan_change(current, after)
        self.assertEqual(
            {"added": [], "removed": [], "changed": {"pages": {"rate": [5.0, 9.0]}}},
            plan["services"],
        )
        self.assertEqual(["b"], plan["routes"]["added"])  # type: ignore[index]
        self.assertIs(current.routes["a"], after.routes["a"])
        broken: tuple[object, ...] = (
            [{"op": "remove", "path": "/routes/none"}],
            [{"op": "spin", "path": "/"}],
            [*patch, {"op": "test", "path": "/services/pages/rate", "value": 1}],
            [{"op": "remove", "path": "/services/pages"}],
            {},
            [],
            [3],
            [{"op": "replace", "path": "", "value": 3}],
            [{"op": "add", "path": "/roads", "value": {}}],
        )
        for bad in broken:
            self.assertTrue(merge_change(current, change(patch=bad)).is_error(), repr(bad))
        self.assertTrue(merge_change(current, change(patch=patch, put={})).is_error())

    def test_words_nobody_can_read_move_nothing(self) -> None:
        replicated_state = ReplicatedState()
        before = replicated_state.snapshot()
        for number, data in enumerate(
            (
                encode_command("change"),
                encode_command("nothing"),
                b"\x01",
                encode_command("duty", name="x"),
                encode_command("purge", scopes=[{"path": 3}]),
                encode_command("decision", verdict={}),
            )
        ):
            replicated_state.apply(number, data)
            replicated_state.index = 0
        self.assertEqual(before, replicated_state.snapshot())

    def test_listings_are_taken_whole_or_not(self) -> None:
        good = b'{"servers":[{"service":"a","address":"1.2.3.4:5","zone":"z","incarnation":1}]}'
        self.assertTrue(decode_server_list(good).is_ok())
        for old, new in (
            (b'"a"', b"3"),
            (b"1.2.3.4:5", b"host:5"),
            (b"1}]", b"null}]"),
            (b"[{", b"[3,{"),
            (b"}]}", b',"leaving":2}]}'),
            (b'{"s', b'["s'),
        ):
            self.assertTrue(decode_server_list(good.replace(old, new)).is_error(), new)

    def test_frames_that_are_none_are_declined(self) -> None:
        whole = encode_frame({"a": 1}) + encode_frame({"b": [2]})
        for size in range(1, len(whole)):
            frames = FrameDecoder()
            found = frames.feed(whole[:size]) + frames.feed(whole[size:])
            self.assertEqual([{"a": 1}, {"b": [2]}], found)
        for bad in (
            b"\xff\xff\xff\xff",
            b"\x00\x00\x00\x01\xff",
            b"\x00\x00\x00\x01\x01",
            b"\x00\x00\x00\x03\xa1\x01\x01",
        ):
            self.assertRaises(FrameError, FrameDecoder().feed, bad)

    def test_duties_pass_to_the_named_successor(self) -> None:
        first = next_assignment(None, "x", ["b", "a"])
        assert first is not None
        self.assertEqual(("a", "b", 1), (first.owner, first.successor, first.fencing_token))
        self.assertIsNone(next_assignment(first, "x", ["a", "b"]))
        passed = next_assignment(first, "x", ["a", "b", "c"], ["a"])
        assert passed is not None
        self.assertEqual(("b", "c", 2), (passed.owner, passed.successor, passed.fencing_token))
        lost = next_assignment(SingletonRole("x", "a", 4, "b"), "x", ["c"])
        assert lost is not None
        self.assertEqual(("c", "", 5), (lost.owner, lost.successor, lost.fencing_token))
        self.assertIsNone(next_assignment(first, "x", []))


class KeptToTests(testtools.TestCase):
    def sources(self) -> list[tuple[str, Path]]:
        return [
            (package, file)
            for package in IMPORT_ORDER
            for file in sorted((ROOT / "packages" / package).rglob("*.py"))
        ]

    def test_packages_import_only_those_before_them(self) -> None:
        self.assertEqual(
            sorted(IMPORT_ORDER), sorted(path.name for path in (ROOT / "packages").iterdir())
        )
        for package, file in self.sources():
            for node in ast.walk(ast.parse(file.read_text())):
                names = (
                    [alias.name for alias in node.names]
                    if isinstance(node, ast.Import)
                    else [node.module or ""]
                    if isinstance(node, ast.ImportFrom)
                    else []
                )
                for name in names:
                    if name.startswith("ryelock."):
                        used = name.split(".")[1]
                        self.assertLessEqual(
                            IMPORT_ORDER.index(used),
                            IMPORT_ORDER.index(package),
                            f"{file} imports {name}",
                        )
                    if name.startswith("circuits"):
                        self.assertIn(package, ("runtime", "http"), str(file))

    def words_of(self, file: Path) -> dict[str, str]:
        """Each word of the names that a file gives, with one name that has it."""
        names: set[str] = set()
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                names.add(node.name)
            elif isinstance(node, ast.arg):
                names.add(node.arg)
            elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
                names.add(node.id)
        words: dict[str, str] = {}
        for name in names:
            split = name if name.isupper() else re.sub(r"([A-Z])", r"_\1", name)
            words.update((word, name) for word in re.findall(r"[a-z]+", split.lower()))
        return words

    def test_files_have_a_head_and_names_are_not_shortened(self) -> None:
        for _, file in self.sources():
            tree = ast.parse(file.read_text())
            self.assertTrue(ast.get_docstring(tree), f"{file} has no paragraph at its head")
            for word, name in self.words_of(file).items():
                self.assertTrue(len(word) > 1 or word == "a", f"{file}: {name} is shortened")

    def test_old_words_leave_the_code_file_by_file(self) -> None:
        """What is renamed stays renamed: no other file than those listed has an old word."""
        found = {
            str(file.relative_to(ROOT))
            for _, file in self.sources()
            if OLD_WORDS.keys() & self.words_of(file).keys()
        }
        self.assertEqual(NOT_RENAMED_YET.read_text().split(), sorted(found))

    def test_pages_are_as_their_tables(self) -> None:
        self.assertEqual(catalogue_page(), (ROOT / "docs" / "events.md").read_text())
        numbers = [event.number for event in CATALOGUE]
        self.assertEqual(len(numbers), len(set(numbers)))
        self.assertEqual(settings_page(), (ROOT / "docs" / "settings.md").read_text())

    def test_the_brief_names_what_exists(self) -> None:
        page = (ROOT / "docs" / "brief.md").read_text()
        tests = names_of_tests()
        named = re.findall(r"`([^`]+)`", page.partition("\n## ")[2])
        self.assertGreater(len(named), 100)
        for name in named:
            kind, _, rest = name.partition(" ")
            if name.startswith("test_"):
                self.assertIn(name, tests)
            elif kind == "case":
                self.assertIn(rest, CASES)
            elif kind == "final":
                self.assertIn(rest, FINALS)
            elif name not in (
                "simulate",
                "RequestHandler.serve",
                "python -m ryelock.testing finals",
            ):
                self.assertTrue(name in IMPORT_ORDER or (ROOT / name).exists(), name)

    def test_the_page_of_platform_rules_names_what_exists(self) -> None:
        """Each row names a test, a file of tests or a case that exists, or says "not covered"."""
        page = (ROOT / "docs" / "platform-rules.md").read_text()
        tests = names_of_tests()
        files = {file.name for file in (ROOT / "tests").rglob("test_*.py")}
        rows = re.findall(r"^\| (?!line)[^-].*\| (.*) \|$", page, re.MULTILINE)
        self.assertGreater(len(rows), 50)
        for row in rows:
            named = re.findall(r"`([^`]+)`", row)
            proofs = [name for name in named if name.startswith(("test_", "case "))]
            said = any(text in row for text in ("*not covered*", "the same two", "measures change"))
            self.assertTrue(proofs or said or row == "none needed", row)
            for name in proofs:
                kind, _, case = name.partition(" ")
                known = CASES.keys() if kind == "case" else files if name[-3:] == ".py" else tests
                self.assertIn(case or name, known)


class ScheduleTests(testtools.TestCase):
    def test_the_same_seed_gives_the_same_trace(self) -> None:
        one, other = run_schedule(77, 4, 10.0), run_schedule(77, 4, 10.0)
        self.assertEqual(one.digest, other.digest)
        self.assertNotEqual(one.digest, run_schedule(78, 4, 10.0).digest)


def schedule_holds(seed: int) -> Callable[[ScheduleTests], None]:
    def test(case: ScheduleTests) -> None:
        ended = run_schedule(seed)
        case.assertEqual([], ended.findings.violations, f"seed {seed}: {ended.events}")

    return test


for number in range(1, 13):
    setattr(ScheduleTests, f"test_schedule_{number}_holds", schedule_holds(number))
