"""Checks of values that came in messages of other members."""


def whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("not a whole number")
    return value


def listed(value: object) -> list[object]:
    if not isinstance(value, list):
        raise ValueError("not a list")
    return value
