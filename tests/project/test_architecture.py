"""The pages for newcomers name what exists: packages, modules, types, methods, tests and links."""

import re
import unittest
from pathlib import Path

from code_index import is_defined, is_path
from import_order import IMPORT_ORDER

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
GLOSSARY = (ROOT / "docs" / "glossary.md").read_text()
PATH = re.compile(r"`(\w[\w/]*/(?:[\w/]+(?:\.\w+)?)?)`")
TYPE = re.compile(r"`([A-Z][a-z]\w+(?:\.\w+)?)`")
HISTORY = ("docs/incidents", "docs/measurements.md", "docs/CAPACITY.md", "docs/capacity")
"""Pages of runs of earlier versions, whose names are those of that time."""
NOT_CLASSES = {"CapWords", "None", "True", "False", "Date"}
OTHER_PROJECTS = "\n## Three models"
"""The section of DEVELOPERS.md that names what other projects have."""


def rows_of(page: str, columns: int) -> list[list[str]]:
    """The rows of the tables of a page, heads left out; each has so many columns."""
    rows = [
        [cell.strip() for cell in line.strip().strip("|").split("|")]
        for line, under in zip(page.splitlines(), [*page.splitlines()[1:], ""], strict=True)
        if line.startswith("| ") and not under.startswith("|---")
    ]
    return [row for row in rows if len(row) == columns]


def current_pages() -> list[Path]:
    """The pages that tell of the present code."""
    pages = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").rglob("*.md"))]
    return [page for page in pages if not str(page.relative_to(ROOT)).startswith(HISTORY)]


def text_of(page: Path) -> str:
    """A page without the section about other projects."""
    head, heading, rest = page.read_text().partition(OTHER_PROJECTS)
    return head + rest.partition("\n## ")[2] if heading else head


class ArchitectureTests(unittest.TestCase):
    def test_it_is_one_page(self) -> None:
        self.assertLessEqual(len(PAGE.splitlines()), 120)

    def test_every_package_has_a_row_in_the_order_of_imports(self) -> None:
        packages = PAGE.partition("\n## Packages")[2]
        rows = rows_of(packages, 2)
        self.assertEqual([f"`{name}`" for name in IMPORT_ORDER], [row[0] for row in rows])
        self.assertTrue(all(job for _, job in rows))

    def test_every_path_exists(self) -> None:
        paths = PATH.findall(PAGE)
        self.assertGreater(len(paths), 25)
        for path in [*paths, *PATH.findall(text_of(ROOT / "DEVELOPERS.md"))]:
            self.assertTrue(is_path(path), path)

    def test_every_module_of_a_packages_row_exists(self) -> None:
        for package, job in rows_of(PAGE.partition("\n## Packages")[2], 2):
            for file in re.findall(r"`(\w+\.py)`", job):
                name = package.strip("`")
                path = ROOT / "packages" / name / "ryelock" / name / file
                self.assertTrue(path.exists(), path)

    def test_each_step_names_a_module_and_a_type(self) -> None:
        steps = [row for row in rows_of(PAGE, 3) if re.match(r"\d+\. ", row[0])]
        self.assertEqual(19, len(steps))
        for step, modules, types in steps:
            self.assertTrue(PATH.search(modules), step)
            self.assertTrue(re.search(r"`\w+(?:\.\w+)?`", types), step)

    def test_every_class_and_method_exists(self) -> None:
        named = TYPE.findall(PAGE)
        self.assertGreater(len(named), 60)
        for name in named:
            self.assertTrue(is_defined(name), name)


class PageTests(unittest.TestCase):
    def test_every_type_that_a_page_names_exists(self) -> None:
        missing = [
            f"{page.name}: {name}"
            for page in current_pages()
            for name in TYPE.findall(text_of(page))
            if name not in NOT_CLASSES and not is_defined(name) and not is_in_tests(name)
        ]
        self.assertEqual([], missing)

    def test_every_link_leads_somewhere(self) -> None:
        links = 0
        for page in [*current_pages(), *sorted((ROOT / "docs").rglob("*.md"))]:
            for target in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
                if "://" not in target:
                    links += 1
                    self.assertTrue((page.parent / target).exists(), f"{page}: {target}")
        self.assertGreater(links, 80)


def is_in_tests(name: str) -> bool:
    """Whether the tests or the folder of the platform define a class of this name."""
    owner = name.partition(".")[0]
    return any(
        re.search(rf"^class {owner}\b", file.read_text(), re.MULTILINE)
        for folder in ("tests", "platform")
        for file in (ROOT / folder).rglob("*.py")
    )


class GlossaryTests(unittest.TestCase):
    def test_every_row_has_a_word_a_term_and_the_code_that_has_it(self) -> None:
        rows = rows_of(GLOSSARY, 3)
        lines = [line for line in GLOSSARY.splitlines() if line.startswith("| ")]
        self.assertGreater(len(rows), 110)
        self.assertEqual(len(lines), len(rows) + GLOSSARY.count("|---|---|---|"))
        for row in rows:
            self.assertTrue(all(row), row)

    def test_the_code_that_is_named_exists(self) -> None:
        current = GLOSSARY.partition("\n## Old strings")[0]
        for word, _, code in rows_of(current, 3):
            types = re.findall(r"`([A-Za-z]\w*(?:\.\w+)?)`", re.sub(r"\([^)]*\)", "", code))
            named = [name for name in types if not name.startswith("ryelock")]
            for name in named:
                self.assertTrue(is_defined(name), f"{word}: {name}")
            for module in re.findall(r"`(ryelock\.[\w.]+)`", code):
                path = module.replace("ryelock.", "", 1).replace(".", "/")
                self.assertTrue(is_path(path) or is_path(f"{path}.py"), module)
            for path in PATH.findall(code):
                self.assertTrue(is_path(path), path)
            self.assertTrue("`" in code or "not in this product" in code or "zone" in code, word)

    def test_no_term_stands_twice(self) -> None:
        terms = re.findall(r"^\| ([^|]+) \|", GLOSSARY, re.MULTILINE)
        terms = [term for term in terms if term not in ("term", "users' word", "string")]
        self.assertEqual(sorted({*terms, "term"}), sorted([*terms, "term"]))
