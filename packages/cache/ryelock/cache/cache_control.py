"""Parsing of Cache-Control and Age (RFC 9111, sections 5.1 and 5.2)."""

from ryelock.http import Fields, field, tokens

MAX_DELTA_SECONDS_DIGITS = 11


def directives(fields: Fields) -> dict[str, str]:
    """Parse Cache-Control into a map of directives; the first of equal names applies."""
    found: dict[str, str] = {}
    for part in tokens(fields, b"cache-control"):
        name, _, value = part.decode("latin-1").partition("=")
        found.setdefault(name.strip(), value.strip().strip('"'))
    return found


def directive_seconds(found: dict[str, str], name: str) -> float | None:
    """Return the value of a directive in seconds; None if absent, 0 if malformed."""
    value = found.get(name)
    if value is None:
        return None
    is_number = value.isdigit() and len(value) <= MAX_DELTA_SECONDS_DIGITS
    return float(value) if is_number else 0.0


def age_seconds(fields: Fields) -> float:
    """Return the value of the Age field in seconds; 0 if absent or malformed."""
    value = field(fields, b"age")
    return float(value) if value is not None and value.isdigit() else 0.0
