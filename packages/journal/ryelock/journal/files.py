"""File names of the journal; existing folders contain them, so they must not change."""

SEGMENT_KIND = "segment"
SNAPSHOT_KIND = "image"


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT_KIND}-{number:010d}"


def snapshot_name(number: int) -> str:
    """Return the file name of the snapshot that replaces everything before a segment."""
    return f"{SNAPSHOT_KIND}-{number:010d}"


def file_number(name: str, kind: str) -> int | None:
    """Parse the number from a file name; return None if the file is of another kind."""
    prefix, _, digits = name.partition("-")
    return int(digits) if prefix == kind and digits.isdigit() else None


def file_numbers(names: list[str], kind: str) -> list[int]:
    """Return the numbers of the files of a kind, in ascending order."""
    numbers = (file_number(name, kind) for name in names)
    return sorted(number for number in numbers if number is not None)
