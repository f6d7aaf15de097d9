"""The map for newcomers names what exists, and every package in the order of imports."""

import re
import unittest
from pathlib import Path

from import_order import IMPORT_ORDER

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
GLOSSARY = (ROOT / "docs" / "glossary.md").read_text()


def is_there(path: str) -> bool:
    """Whether a path of the page exists, from the root or from the packages' folders."""
    package = path.partition("/")[0]
    return (ROOT / path).exists() or (ROOT / "packages" / package / "ryelock" / path).exists()


def names_in(package: Path) -> set[str]:
    """Every class and function of a package or folder, by name."""
    return {
        name
        for file in package.rglob("*.py")
        for name in re.findall(r"^\s*(?:class|def|async def) (\w+)", file.read_text(), re.MULTILINE)
    }


class ArchitectureTests(unittest.TestCase):
    def test_every_package_has_a_paragraph_in_the_order_of_imports(self) -> None:
        sections = re.findall(r"^### `(\w+)`\n(\w.+)", PAGE, re.MULTILINE)
        self.assertEqual(IMPORT_ORDER, [name for name, _ in sections])

    def test_every_path_exists(self) -> None:
        paths = re.findall(r"`(\w[\w/]*/(?:[\w/]+(?:\.\w+)?)?)`", PAGE)
        self.assertGreater(len(paths), 40)
        for path in paths:
            self.assertTrue(is_there(path), path)

    def test_every_module_of_a_paragraph_exists(self) -> None:
        for package, text in re.findall(r"^### `(\w+)`\n(.+?)\n\n", PAGE, re.MULTILINE | re.DOTALL):
            for file in re.findall(r"`(\w+\.py)`", text):
                path = ROOT / "packages" / package / "ryelock" / package / file
                self.assertTrue(path.exists(), path)

    def test_every_class_and_method_exists(self) -> None:
        known = names_in(ROOT / "packages")
        named = re.findall(r"`([A-Z]\w+(?:\.\w+)?)`", PAGE)
        self.assertGreater(len(named), 20)
        for name in named:
            for part in name.split("."):
                if part != "PATHS":
                    self.assertTrue(part in known, name)


class GlossaryTests(unittest.TestCase):
    def test_every_row_has_a_term_a_meaning_and_room_for_an_old_word(self) -> None:
        rows = [
            [cell.strip() for cell in line.strip("|").split("|")]
            for line in GLOSSARY.splitlines()
            if line.startswith("| ")
        ]
        self.assertGreater(len(rows), 60)
        for row in rows:
            self.assertEqual(3, len(row), row)
            self.assertTrue(row[0] and row[1], row)

    def test_no_term_stands_twice(self) -> None:
        terms = re.findall(r"^\| ([^|]+) \|", GLOSSARY, re.MULTILINE)
        terms = [term for term in terms if term != "term"]
        self.assertEqual(sorted(set(terms)), sorted(terms))
