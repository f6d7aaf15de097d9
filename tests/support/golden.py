"""Golden files: recorded outside forms of the software, which a change inside must not move.

A test records a form anew with the product's code and compares the text with the file under
tests/data. The files are written by `tests/golden/write_golden.py` only, never by a test.
"""

import difflib
import json
from collections.abc import Mapping
from pathlib import Path

import testtools

DATA = Path(__file__).parent.parent / "golden" / "data"
DIFFERENCE_LINES = 60


def plain(value: object) -> object:
    """Return a value as JSON can hold it: bytes as hex, tuples as lists, the order of keys kept.

    Raises:
        TypeError: for any other kind of value, so that nothing is compared by its repr.
    """
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, bytes | bytearray | memoryview):
        return f"hex:{bytes(value).hex()}"
    if isinstance(value, Mapping):
        if all(isinstance(key, str) for key in value):
            return {key: plain(item) for key, item in value.items()}
        return [[plain(key), plain(item)] for key, item in value.items()]
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted((plain(item) for item in value), key=json.dumps)
    raise TypeError(f"{type(value).__name__} has no plain form")


def text_of(recorded: object) -> str:
    """Return the text that a golden file has of a recorded form."""
    return json.dumps(plain(recorded), indent=1, ensure_ascii=False) + "\n"


def difference(expected: str, found: str) -> str:
    """Return the first lines in which two texts differ; empty where they do not."""
    lines = difflib.unified_diff(
        expected.splitlines(), found.splitlines(), "golden", "recorded", lineterm="", n=4
    )
    return "\n".join(line for line, _ in zip(lines, range(DIFFERENCE_LINES), strict=False))


class GoldenTest(testtools.TestCase):
    """A test that compares recorded forms with golden files."""

    def assert_golden(self, name: str, recorded: object) -> None:
        """Fail where a recorded form differs from its golden file."""
        expected, found = (DATA / name).read_text(), text_of(recorded)
        if expected != found:
            self.fail(f"tests/data/{name} differs:\n{difference(expected, found)}")
