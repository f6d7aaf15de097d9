"""Validators of settings: each returns the converted value or raises InvalidValueError.

Flags give text, files give the types of TOML or JSON; both forms are accepted.
"""

from collections.abc import Callable

from ryelock.runtime.reactor import split_address
from ryelock.settings.errors import InvalidValueError

MAX_NAME_LENGTH = 64
MAX_PORT = 65_535
MAX_SEEDS = 3


def number(minimum: float, maximum: float) -> Callable[[object], float]:
    """Return a validator of numbers from `minimum` to `maximum`, inclusive."""

    def check(value: object) -> float:
        if isinstance(value, str):
            try:
                value = float(value)
            except ValueError:
                raise InvalidValueError("not a number") from None
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidValueError("not a number")
        if not minimum <= value <= maximum:
            raise InvalidValueError(f"not between {minimum:g} and {maximum:g}")
        return float(value)

    return check


def integer(minimum: int, maximum: int) -> Callable[[object], int]:
    """Return a validator of integers from `minimum` to `maximum`, inclusive."""
    check_number = number(minimum, maximum)

    def check(value: object) -> int:
        converted = check_number(value)
        if converted != int(converted):
            raise InvalidValueError("not a whole number")
        return int(converted)

    return check


def identifier(value: object) -> str:
    """Validate a name of letters, digits, '-', '_' and '.'."""
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        raise InvalidValueError(f"not a name of 1 to {MAX_NAME_LENGTH} characters")
    if not all(character.isalnum() or character in "-_." for character in value):
        raise InvalidValueError("only letters, digits, '-', '_' and '.' are allowed")
    return value


def optional_identifier(value: object) -> str:
    """Validate a name that may be empty."""
    return "" if value == "" else identifier(value)


def text(value: object) -> str:
    """Validate text."""
    if not isinstance(value, str):
        raise InvalidValueError("not text")
    return value


def parse_address(value: object) -> str:
    """Validate an IPv4 address with a port, such as 10.0.0.1:8000."""
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
    """Validate an address that may be empty."""
    return "" if value == "" else parse_address(value)


def seed_addresses(value: object) -> tuple[str, ...]:
    """Validate one to three distinct addresses, given as a list or separated by commas."""
    if isinstance(value, str):
        value = [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, list | tuple) or not 1 <= len(value) <= MAX_SEEDS:
        raise InvalidValueError("not one to three addresses")
    addresses = tuple(parse_address(part) for part in value)
    if len(set(addresses)) != len(addresses):
        raise InvalidValueError("the addresses are not different")
    return addresses


def regions_by_zone(value: object) -> dict[str, str]:
    """Validate the region of each zone, given as a table or as comma-separated zone=region."""
    if isinstance(value, str):
        value = dict(part.strip().partition("=")[::2] for part in value.split(",") if part.strip())
    if not isinstance(value, dict):
        raise InvalidValueError("not zone=region, divided by commas")
    return {identifier(zone): identifier(region) for zone, region in value.items()}


def boolean(value: object) -> bool:
    """Validate a boolean."""
    if value in (True, "true", "yes", "1"):
        return True
    if value in (False, "false", "no", "0"):
        return False
    raise InvalidValueError("neither true nor false")
