"""Parsing of configurations from the maps that the control API and snapshots contain.

dacite checks the types. An unknown field or a wrong type is a fault; an integer is accepted for a
float. The rules in `validation` are checked only if all types are right.
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
"""Larger integers are not accepted for a float, which could not represent all of them exactly."""


def parse_configuration(data: object) -> Result[Configuration, InvalidConfigurationError]:
    """Parse a complete configuration; return every fault if it is invalid.

    Items that are already parsed are used unchanged.
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
    """Return the valid items of a section by name; append to the faults for the others."""
    items = data.get(section, {})
    if not isinstance(items, dict):
        faults.append(Fault(section, "not an object"))
        return {}
    parsed_items: dict[str, ItemType] = {}
    for name, value in items.items():
        path = f"{section}.{name}"
        if not is_item_name(name):
            faults.append(Fault(path, "not a name"))
            continue
        item = parse_item(item_type, path, value, faults)
        if item is not None:
            parsed_items[name] = item
    return parsed_items


def is_item_name(name: object) -> bool:
    """Return True if a key of a section is a valid name of an item."""
    return isinstance(name, str) and bool(name) and is_printable_ascii(name, MAX_NAME_LENGTH)


def parse_item(
    item_type: type[ItemType], path: str, data: object, faults: list[Fault]
) -> ItemType | None:
    """Parse one item; append to the faults and return None if it is invalid."""
    if isinstance(data, item_type):
        return data
    if not isinstance(data, dict) or not all(isinstance(key, str) for key in data):
        faults.append(Fault(path, "not an object"))
        return None
    field_names = {field.name for field in fields(item_type)}
    faults.extend(Fault(f"{path}.{key}", "unknown field") for key in data if key not in field_names)
    values = {key: value for key, value in data.items() if key in field_names}
    try:
        return dacite.from_dict(
            item_type,
            convert_integers(item_type, values),
            dacite.Config(strict=True, check_types=True),
        )
    except dacite.MissingValueError as error:
        faults.append(Fault(f"{path}.{error.field_path}", "missing"))
    except dacite.WrongTypeError as error:
        faults.append(Fault(f"{path}.{error.field_path}", "of the wrong kind"))
    except dacite.DaciteError as error:
        faults.append(Fault(path, str(error)))
    return None


def convert_integers(item_type: type, values: dict[str, object]) -> dict[str, object]:
    """Return the values with integers converted to floats for fields of that type."""
    float_fields = {field.name for field in fields(item_type) if field.type in (float, "float")}
    return {
        key: float(value) if key in float_fields and is_convertible_integer(value) else value
        for key, value in values.items()
    }


def is_convertible_integer(value: object) -> TypeGuard[int]:
    """Return True for an integer, except bool, that a float represents exactly."""
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return abs(value) < MAX_CONVERTED_INTEGER
