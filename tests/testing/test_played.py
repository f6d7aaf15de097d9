"""Reports of played days: kinds brought about, pairs of them, and the smallest margins."""

import json
import tempfile
from pathlib import Path
from typing import Any

import testtools

from ryelock.testing.days.played import (
    NEVER,
    ReportError,
    margin_lines,
    pairs_brought_about,
    read_report,
    recovery_lines,
    summary_lines,
)


def report(**changed: Any) -> dict[str, Any]:
    """A report as the bench writes it, with what is read of it."""
    found = {
        "breaks": {},
        "missed": [],
        "configs": 3,
        "times": {"config acked": [200, 1500], "leaving in force": None},
        "events": [
            {"kind": "node_kill (leader race)", "at_s": 4.0},
            {"kind": "purge", "at_s": 5.0},
            {"kind": "closing (kill_all)", "at_s": 11.0},
        ],
        "windows": [
            {"name": "8", "n": 10, "in_aim": 10, "late": 0},
            {"name": "10", "n": 10, "in_aim": 6, "late": 1},
            {"name": "12", "n": 10, "in_aim": 2, "late": 3},
            {"name": "14", "n": 0, "in_aim": 0, "late": 0},
            {"name": "16", "n": 10, "in_aim": 9, "late": 0},
        ],
    }
    return found | changed


def written(name: str, found: dict[str, Any]) -> Path:
    """A report as a file."""
    path = Path(tempfile.mkdtemp()) / f"{name}.report"
    path.write_text(json.dumps(found))
    return path


class PlayedTests(testtools.TestCase):
    def test_a_report_gives_kinds_times_and_the_return_after_the_closing_fault(self) -> None:
        day = read_report(written("one", report()))
        self.assertEqual("one", day.name)
        self.assertEqual({"node_kill", "purge", "kill_all"}, day.kinds)
        self.assertEqual({"config acked": 1500.0}, day.longest_ms)
        self.assertEqual(((3.0, 0.5), (7.0, 0.9)), day.served_after)
        self.assertEqual([3.0, 3.0, 7.0], [day.seconds_to(part) for part in (0.25, 0.5, 0.9)])
        self.assertEqual(NEVER, day.seconds_to(0.95))

    def test_pairs_are_those_of_what_was_brought_about_on_one_day(self) -> None:
        one = read_report(written("one", report()))
        other = read_report(written("two", report(events=[{"kind": "hup", "at_s": 1.0}])))
        self.assertEqual(
            {("node_kill", "purge"), ("kill_all", "node_kill"), ("kill_all", "purge")},
            pairs_brought_about([one, other]),
        )
        self.assertEqual((), other.served_after)

    def test_the_longest_times_and_slowest_returns_are_named_with_their_days(self) -> None:
        one = read_report(written("one", report()))
        other = read_report(written("two", report(times={"config acked": [1, 1600]})))
        self.assertIn("| config acked | 1600 | two | 2 |", margin_lines([one, other]))
        self.assertIn("| 90% | 7 | one |", recovery_lines([one, other]))

    def test_what_broke_and_what_was_missed_is_told(self) -> None:
        found = report(breaks={"TWICE": 2}, missed=["1 purges were never acked"])
        lines = summary_lines([read_report(written("one", found))], ["purge", "hup", "node_kill"])
        self.assertIn("one: BROKEN TWICE", lines)
        self.assertIn("one: missed 1 purges were never acked", lines)
        self.assertIn("pairs brought about: 3 of 12", lines)
        self.assertIn("kinds not brought about: hup", lines)

    def test_a_report_without_what_is_read_is_declined(self) -> None:
        self.assertRaises(ReportError, read_report, written("one", {"events": []}))
