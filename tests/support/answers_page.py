"""The tables of docs/answers.md, made by playing every cell; run as a program it writes them."""

from pathlib import Path

from ryelock.testing.cases.answers import Kind, Outcome, run_cells, table

PAGE = Path(__file__).parent.parent.parent / "docs" / "answers.md"
BEGIN = "<!-- tables: written by tests/support/answers_page.py -->\n"
END = "<!-- end of tables -->\n"


def played() -> list[Outcome]:
    """Every cell, played anew."""
    return [outcome for kind in Kind for outcome in run_cells(kind)]


def with_tables(page: str, outcomes: list[Outcome]) -> str:
    """The page with its tables replaced by those of a run."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n{table(outcomes)}\n{END}{after}"


if __name__ == "__main__":
    PAGE.write_text(with_tables(PAGE.read_text(), played()))
