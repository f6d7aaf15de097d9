"""The pages of parts that others embed: every example on them runs."""

import re
import unittest
from pathlib import Path

import testtools

from ryelock.testing.processes.run import run_fleet

PARTS = Path(__file__).parent.parent.parent / "docs" / "parts"


class PartTests(testtools.TestCase):
    def test_every_example_runs(self) -> None:
        pages = sorted(PARTS.glob("*.md"))
        self.assertEqual(
            ["consensus", "health", "journal", "membership", "rate-limit", "singleton"],
            [page.stem for page in pages],
        )
        for page in pages:
            blocks = re.findall(r"```python\n(.*?)```", page.read_text(), re.DOTALL)
            self.assertTrue(blocks, page.name)
            for block in blocks:
                exec(compile(block, page.name, "exec"), {"__name__": page.stem})


class FleetTests(unittest.TestCase):
    def test_a_fleet_of_real_processes_keeps_the_rules(self) -> None:
        self.assertEqual(0, run_fleet("small", 3.0, 1, False, ""))
