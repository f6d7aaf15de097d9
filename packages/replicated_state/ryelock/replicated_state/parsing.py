"""Reading a configuration from maps, as the control API and snapshots carry it.

Types are checked by dacite. An unknown field is a fault, and so is a wrong type; an integer may
stand where a fraction is allowed. Rules between items are checked only when all types are right.
"""

from dataclasses import fields
from typing import TypeGuard, TypeVar

import dacite
from expression import Error, Ok, Result

from ryelock.replicated_state.configuration import (
    MAX_NAME_LENGTH,
    SECTIONS,
    CallerLimits,
    Configuration,
    Route,
    Service,
    Watch,
)
from ryelock.replicated_state.errors import Fault, InvalidConfigurationError
from ryelock.replicated_state.validation import check_configuration, is_printable_ascii

ItemType = TypeVar("ItemType", Service, Route, Watch, CallerLimits)
MAX_CONVERTED_INTEGER = 1e15
"""Integers from here on are no fractions: a float would not hold each of them exactly."""


def parse_configuration(data: object) -> Result[Configuration, InvalidConfigurationError]:
    """Return a whole configuration, or every fault in it.

    Items that are already of their class are taken as they are.
    """
    if not isinstance(data, dict):
        return Error(InvalidConfigurationError([Fault("", "not an object")]))
    faults = [Fault(str(key), "unknown field") for key in data if key not in SECTIONS]
    configuration = Configuration(
        services=parse_section(Service, "services", data, faults),
        routes=parse_section(Route, "routes", data, faults),
        watches=parse_section(Watch, "watches", data, faults),
        limits=parse_section(CallerLimits, "limits", data, faults),
    )
    if not faults:
        faults.extend(check_configuration(configuration))
    return Error(InvalidConfigurationError(faults)) if faults else Ok(configuration)


def parse_section(
    item_type: type[ItemType], section: str, data: dict[object, object], faults: list[Fault]
) -> dict[str, ItemType]:
    """Return the sound items of a section by name, and add what is wrong with others."""
    items = data.get(section, {})
    if not isinstance(items, dict):
        faults.append(Fault(section, "not an object"))
        return {}
    found: dict[str, ItemType] = {}
    for name, value in items.items():
        path = f"{section}.{name}"
        if not is_item_name(name):
            faults.append(Fault(path, "not a name"))
            continue
        item = parse_item(item_type, path, value, faults)
        if item is not None:
            found[name] = item
    return found


def is_item_name(name: object) -> bool:
    """Tell whether a key of a section may be the name of an item."""
    return isinstance(name, str) and bool(name) and is_printable_ascii(name, MAX_NAME_LENGTH)


def parse_item(
    item_type: type[ItemType], path: str, data: object, faults: list[Fault]
) -> ItemType | None:
    """Return one item; None, with what is wrong added to the faults, where it is none."""
    if isinstance(data, item_type):
        return data
    if not isinstance(data, dict) or not all(isinstance(key, str) for key in data):
        faults.append(Fault(path, "not an object"))
        return None
    known = {field.name for field in fields(item_type)}
    faults.extend(Fault(f"{path}.{key}", "unknown field") for key in data if key not in known)
    values = {key: value for key, value in data.items() if key in known}
    try:
        return dacite.from_dict(
            item_type,
            integers_as_fractions(item_type, values),
            dacite.Config(strict=True, check_types=True),
        )
    except dacite.MissingValueError as error:
        faults.append(Fault(f"{path}.{error.field_path}", "missing"))
    except dacite.WrongTypeError as error:
        faults.append(Fault(f"{path}.{error.field_path}", "of the wrong kind"))
    except dacite.DaciteError as error:
        faults.append(Fault(path, str(error)))
    return None


def integers_as_fractions(item_type: type, values: dict[str, object]) -> dict[str, object]:
    """Return the values with integers made floats where the field is a float."""
    fractions = {field.name for field in fields(item_type) if field.type in (float, "float")}
    return {
        key: float(value) if key in fractions and is_exact_integer(value) else value
        for key, value in values.items()
    }


def is_exact_integer(value: object) -> TypeGuard[int]:
    """Tell whether a value is an integer, no bool, that a float holds exactly."""
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return abs(value) < MAX_CONVERTED_INTEGER
