"""Cache-Control and Age as numbers and directives (RFC 9111, sections 5.1 and 5.2)."""

from ryelock.http import Fields, field, tokens

SECONDS_DIGITS_MOST = 11


def directives(fields: Fields) -> dict[str, str]:
    """Parse Cache-Control into directives; the first of two with one name counts."""
    found: dict[str, str] = {}
    for part in tokens(fields, b"cache-control"):
        name, _, value = part.decode("latin-1").partition("=")
        found.setdefault(name.strip(), value.strip().strip('"'))
    return found


def directive_seconds(found: dict[str, str], name: str) -> float | None:
    """Return a directive's seconds: None where absent, 0 where malformed."""
    value = found.get(name)
    if value is None:
        return None
    is_number = value.isdigit() and len(value) <= SECONDS_DIGITS_MOST
    return float(value) if is_number else 0.0


def age_field(fields: Fields) -> float:
    """Return the seconds of the Age field, 0 where it is absent or malformed."""
    value = field(fields, b"age")
    return float(value) if value is not None and value.isdigit() else 0.0
