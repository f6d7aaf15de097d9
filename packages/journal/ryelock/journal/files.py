"""Names of the journal's files; the names are stored and must not change."""

SEGMENT_KIND = "segment"
SNAPSHOT_KIND = "image"


def segment_name(number: int) -> str:
    """Return the name of a segment's file."""
    return f"{SEGMENT_KIND}-{number:010d}"


def snapshot_name(number: int) -> str:
    """Return the name of the file of the snapshot that replaces all before a segment."""
    return f"{SNAPSHOT_KIND}-{number:010d}"


def file_number(name: str, kind: str) -> int | None:
    """Return the number of a file of a kind; None where the name is none of that kind."""
    prefix, _, digits = name.partition("-")
    return int(digits) if prefix == kind and digits.isdigit() else None


def file_numbers(names: list[str], kind: str) -> list[int]:
    """Return the numbers of the files of a kind, in order."""
    numbers = (file_number(name, kind) for name in names)
    return sorted(number for number in numbers if number is not None)
