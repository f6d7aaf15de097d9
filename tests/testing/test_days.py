"""Days drawn from a seed: every pair of kinds meets, days repeat, files read back as TOML."""

import tempfile
import tomllib
from dataclasses import replace
from pathlib import Path

import testtools

from ryelock.testing.aimed import AIMS, draw_aimed
from ryelock.testing.days.dayfile import Day, Site, SiteError, as_toml, read_site, write_day
from ryelock.testing.days.drawing import (
    CoverageError,
    coverage,
    coverage_lines,
    draw_days,
    overlapping_pairs,
    wanted_pairs,
)
from ryelock.testing.days.fault_kinds import CLOSINGS, KINDS, Closing, Entry

CONTRACTS = ("base", "health", "pool")
SITE = Site("somewhere", 32.0, 4.0, 1, ("pages", "desk"), ("desk",), CONTRACTS)
COUNT = 16
SITE_FILE = """
name = "somewhere"
contracts = ["base", "health", "pool"]
length_s = 32.0
timing = { catch_up_s = 4.0 }
tolerate = { machines = 1, zones = 0, regions = 0 }
services = [{ name = "pages" }, { name = "desk" }]
classes = [
  { name = "look", service = "pages", kind = "cached" },
  { name = "order", service = "desk", kind = "unsafe" },
]
"""


class PairTests(testtools.TestCase):
    def test_each_pair_of_kinds_meets_in_a_day(self) -> None:
        for seed in (1, 2, 3):
            days = draw_days(SITE, COUNT, seed)
            found = coverage(days, list(KINDS))
            self.assertEqual((), found.missing)
            self.assertEqual(COUNT, len(days))
            self.assertEqual({*KINDS, *CLOSINGS}, set(found.kinds))
            self.assertGreaterEqual(found.pairs, wanted_pairs(KINDS))

    def test_what_is_missing_is_named(self) -> None:
        days = draw_days(SITE, COUNT, 1)
        found = coverage(days[:3], list(KINDS))
        self.assertNotEqual((), found.missing)
        lines = coverage_lines(found)
        one, other = found.missing[0]
        self.assertIn(f"missing: {one} with {other}", lines)

    def test_too_few_days_are_declined(self) -> None:
        self.assertRaises(CoverageError, draw_days, SITE, 2, 1)

    def test_a_seed_gives_the_same_days_and_another_gives_others(self) -> None:
        self.assertEqual(draw_days(SITE, COUNT, 5), draw_days(SITE, COUNT, 5))
        self.assertNotEqual(draw_days(SITE, COUNT, 5), draw_days(SITE, COUNT, 6))

    def test_chosen_kinds_only(self) -> None:
        chosen = ["core_cut", "purge", "replace_core", "hup", "ack_lost"]
        days = draw_days(SITE, 3, 1, chosen)
        self.assertEqual((), coverage(days, chosen).missing)
        self.assertEqual({*chosen, *CLOSINGS}, set().union(*(day.kinds for day in days)))

    def test_days_have_overlaps_repeats_and_a_closing_fault_and_end_in_time(self) -> None:
        days = draw_days(SITE, COUNT, 1)
        for day in days:
            kinds = [entry.kind for entry in day.entries]
            self.assertGreater(len(kinds), len(set(kinds)))
            self.assertIsNotNone(day.closing)
            self.assertTrue(overlapping_pairs(day.entries))
            self.assertTrue(all(0.0 < entry.at < SITE.length_seconds for entry in day.entries))

    def test_every_variant_of_every_kind_is_drawn_and_no_other(self) -> None:
        found = coverage(draw_days(SITE, COUNT, 1), list(KINDS))
        for kind in KINDS.values():
            own = set(" ".join(kind.variants).split())
            drawn = {word for name, word in found.variants if name == kind.name}
            self.assertGreaterEqual(drawn, own)
            if not kind.targeted:
                self.assertEqual(own, drawn)
        for number, kind_name in enumerate(CLOSINGS):
            words = {word for name, word in found.variants if name == kind_name}
            self.assertGreaterEqual(words, {"timed", "taken"}, number)

    def test_machines_are_struck_with_every_word(self) -> None:
        found = coverage(draw_days(SITE, COUNT, 1), list(KINDS))
        for word in ("leader", "reader", "seed", "meet", "race", "hard", "drain"):
            kinds = {name for name, one in found.variants if one == word}
            self.assertGreaterEqual(len(kinds & {n for n, k in KINDS.items() if k.targeted}), 5)

    def test_kinds_whose_part_of_the_rules_is_not_in_force_stay_out(self) -> None:
        plain = replace(SITE, contracts=("base",))
        kinds = set().union(*(day.kinds for day in draw_days(plain, COUNT, 1)))
        left_out = {"srv_grey", "srv_flap", "srv_lying_health", "idle_race"}
        self.assertEqual({*KINDS, *CLOSINGS} - left_out, kinds)
        for aim in AIMS:
            for day in draw_aimed(plain, aim, 3, 1):
                self.assertFalse(day.kinds & left_out)


class AimedTests(testtools.TestCase):
    def test_each_aim_gives_days_that_end_in_time_and_repeat(self) -> None:
        for aim in AIMS:
            days = draw_aimed(SITE, aim, 3, 1)
            self.assertEqual(days, draw_aimed(SITE, aim, 3, 1))
            self.assertEqual(3, len({day.seed for day in days}))
            for day in days:
                self.assertTrue(all(0.0 < entry.at < SITE.length_seconds for entry in day.entries))

    def test_a_second_loss_comes_right_after_the_time_to_catch_up(self) -> None:
        for day in draw_aimed(SITE, "second-loss", 5, 1):
            strikes = [entry for entry in day.entries if not entry.planned]
            for before, after in zip(strikes[::2], strikes[1::2], strict=True):
                self.assertEqual("replace_core", before.kind)
                returned = before.at + before.figures["x"]
                self.assertGreaterEqual(after.at, returned + SITE.catch_up_seconds)
                self.assertLess(after.at, returned + SITE.catch_up_seconds + 0.5)

    def test_spoiled_answers_are_those_of_orders_that_run_once(self) -> None:
        for day in draw_aimed(SITE, "lost-answers", 3, 1):
            spoiled = [entry for entry in day.entries if entry.kind in ("garble", "answer_lost")]
            self.assertEqual({"desk"}, {entry.service for entry in spoiled})


class FileTests(testtools.TestCase):
    def test_a_day_reads_back_as_it_was_drawn(self) -> None:
        entries = (
            Entry(2.0, "purge", True, "tag", figures={"count": 3, "gap_s": 0.5}),
            Entry(4.5, "node_kill", False, "leader race", "core", figures={"for_s": 2.0}),
            Entry(5.0, "garble", False, "extra late", "", "desk", {"share": 0.5}),
        )
        day = Day("one", 7, entries, Closing("wipe_after_ack", "aimed", 0.8))
        (read,) = tomllib.loads(as_toml(day, "a note"))["day"]
        self.assertEqual(("one", 7), (read["name"], read["seed"]))
        self.assertEqual({"kind": "wipe_after_ack", "how": "aimed", "down_s": 0.8}, read["closing"])
        self.assertEqual(
            [{"at": 2.0, "kind": "purge", "how": "tag", "count": 3, "gap_s": 0.5}], read["plan"]
        )
        self.assertEqual(
            [
                {"at": 4.5, "kind": "node_kill", "how": "leader race", "on": "core", "for_s": 2.0},
                {"at": 5.0, "kind": "garble", "how": "extra late", "service": "desk", "share": 0.5},
            ],
            read["faults"],
        )

    def test_each_drawn_day_becomes_a_file_that_reads(self) -> None:
        folder = Path(tempfile.mkdtemp()) / "days"
        days = draw_days(SITE, COUNT, 2)
        paths = [write_day(day, "drawn", folder) for day in days]
        for day, path in zip(days, paths, strict=True):
            (read,) = tomllib.loads(path.read_text())["day"]
            self.assertEqual(len(day.entries), len(read["plan"]) + len(read["faults"]))

    def test_a_site_is_read_and_a_bad_one_is_declined(self) -> None:
        path = Path(tempfile.mkdtemp()) / "site.toml"
        path.write_text(SITE_FILE)
        self.assertEqual(SITE, read_site(path))
        path.write_text('name = "somewhere"\n')
        self.assertRaises(SiteError, read_site, path)
