"""Checks of values: each converts what a file or a flag gives, or raises InvalidValueError.

A flag gives text, a file the types of TOML or JSON; both forms are taken.
"""

from collections.abc import Callable

from ryelock.runtime.reactor import split_address
from ryelock.settings.errors import InvalidValueError

MAX_NAME_LENGTH = 64
MAX_PORT = 65_535
MAX_SEEDS = 3


def number(lowest: float, highest: float) -> Callable[[object], float]:
    """Return a check for numbers within bounds, both included."""

    def check(value: object) -> float:
        if isinstance(value, str):
            try:
                value = float(value)
            except ValueError:
                raise InvalidValueError("not a number") from None
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidValueError("not a number")
        if not lowest <= value <= highest:
            raise InvalidValueError(f"not between {lowest:g} and {highest:g}")
        return float(value)

    return check


def integer(lowest: int, highest: int) -> Callable[[object], int]:
    """Return a check for integers within bounds, both included."""
    check_number = number(lowest, highest)

    def check(value: object) -> int:
        found = check_number(value)
        if found != int(found):
            raise InvalidValueError("not a whole number")
        return int(found)

    return check


def identifier(value: object) -> str:
    """Check a name of letters, digits, '-', '_' and '.'."""
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        raise InvalidValueError(f"not a name of 1 to {MAX_NAME_LENGTH} characters")
    if not all(character.isalnum() or character in "-_." for character in value):
        raise InvalidValueError("only letters, digits, '-', '_' and '.' are allowed")
    return value


def optional_identifier(value: object) -> str:
    """Check a name that may be empty."""
    return "" if value == "" else identifier(value)


def text(value: object) -> str:
    """Check that a value is text."""
    if not isinstance(value, str):
        raise InvalidValueError("not text")
    return value


def parse_address(value: object) -> str:
    """Check an IPv4 address with a port, like 10.0.0.1:8000."""
    if not isinstance(value, str):
        raise InvalidValueError("not an address of the form 10.0.0.1:8000")
    try:
        host, port = split_address(value)
    except ValueError:
        raise InvalidValueError("not an address of the form 10.0.0.1:8000") from None
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise InvalidValueError("the host is not an IP number")
    if not 0 <= port <= MAX_PORT:
        raise InvalidValueError(f"the port is not between 0 and {MAX_PORT}")
    return value


def optional_address(value: object) -> str:
    """Check an address that may be empty."""
    return "" if value == "" else parse_address(value)


def seed_addresses(value: object) -> tuple[str, ...]:
    """Check one to three different addresses, as a list or divided by commas."""
    if isinstance(value, str):
        value = [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, list | tuple) or not 1 <= len(value) <= MAX_SEEDS:
        raise InvalidValueError("not one to three addresses")
    addresses = tuple(parse_address(part) for part in value)
    if len(set(addresses)) != len(addresses):
        raise InvalidValueError("the addresses are not different")
    return addresses


def regions_by_zone(value: object) -> dict[str, str]:
    """Check the region of each zone, as a table or as zone=region divided by commas."""
    if isinstance(value, str):
        value = dict(part.strip().partition("=")[::2] for part in value.split(",") if part.strip())
    if not isinstance(value, dict):
        raise InvalidValueError("not zone=region, divided by commas")
    return {identifier(zone): identifier(region) for zone, region in value.items()}


def boolean(value: object) -> bool:
    """Check a truth value."""
    if value in (True, "true", "yes", "1"):
        return True
    if value in (False, "false", "no", "0"):
        return False
    raise InvalidValueError("neither true nor false")
