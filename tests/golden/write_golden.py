"""Write the golden files anew: RYELOCK_WRITE_GOLDEN=1 python write_golden.py [PART ...].

A part is the last word of a test file's name, like `stored`. Only for a change that is meant to
be seen outside: a refactoring leaves every golden file as it is. No test calls this.
"""

import importlib
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
VARIABLE = "RYELOCK_WRITE_GOLDEN"


def main(arguments: list[str]) -> int:
    """Write the golden files of the named parts, of all where none is named."""
    if os.environ.get(VARIABLE) != "1":
        sys.stderr.write(f"golden files are written only with {VARIABLE}=1\n")
        return 2
    sys.path[:0] = [str(HERE), str(HERE.parent / "support")]
    from golden import DATA, text_of

    parts = arguments or sorted(
        file.stem.removeprefix("test_golden_") for file in HERE.glob("test_golden_*.py")
    )
    DATA.mkdir(exist_ok=True)
    for part in parts:
        module = importlib.import_module(f"test_golden_{part}")
        if part == "stored":
            module.write_stored()
        for name, record in module.RECORDERS.items():
            (DATA / name).write_text(text_of(record()))
            sys.stdout.write(f"{name}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
