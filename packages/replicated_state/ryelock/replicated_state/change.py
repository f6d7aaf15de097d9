"""Merging an operator's change into the current configuration.

A change names the version that it is based on (`base`). It puts and removes items, replaces the
complete configuration (`whole`), or is a JSON Patch (RFC 6902).
"""

from collections.abc import Iterator

from expression import Error, Result

from ryelock.replicated_state.configuration import SECTIONS, Configuration
from ryelock.replicated_state.errors import Fault, InvalidConfigurationError
from ryelock.replicated_state.parsing import parse_configuration

CHANGE_FIELDS = ("id", "base", "put", "remove", "whole", "patch", "version")
FIELDS_EXCLUDED_BY_PATCH = ("put", "remove", "whole")
MAX_ID_LENGTH = 200
MAX_VERSION = 1 << 62
MAX_PATCH_FAULT_LENGTH = 300

ParsedChange = Result[Configuration, InvalidConfigurationError]
MergedSections = dict[str, dict[str, object]]


def merge_change(current: Configuration, change: object) -> ParsedChange:
    """Return the configuration after a change, or every fault of the change."""
    if not isinstance(change, dict):
        return Error(InvalidConfigurationError([Fault("", "not an object")]))
    faults = list(check_change_header(change))
    if "patch" in change:
        faults += [
            Fault(key, "does not go with a patch")
            for key in FIELDS_EXCLUDED_BY_PATCH
            if key in change
        ]
        if faults:
            return Error(InvalidConfigurationError(faults))
        return apply_patch(current, change["patch"])
    merged = merge_items(current, change, faults)
    if faults:
        return Error(InvalidConfigurationError(faults))
    return parse_configuration(merged)


def check_change_header(change: dict[object, object]) -> Iterator[Fault]:
    """Yield the faults in a change's field names, id, base and version."""
    yield from (Fault(str(key), "unknown field") for key in change if key not in CHANGE_FIELDS)
    identity = change.get("id")
    if not isinstance(identity, str) or not 0 < len(identity) <= MAX_ID_LENGTH:
        yield Fault("id", "not a name of 1 to 200 characters")
    base = change.get("base")
    if isinstance(base, bool) or not isinstance(base, int) or base < 0:
        yield Fault("base", "not the version the change was made against")
    version = change.get("version", MAX_VERSION)
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(base, int):
        is_above_base = False
    else:
        is_above_base = base < version <= MAX_VERSION
    if not is_above_base:
        yield Fault("version", "not a number above the version it was made against")


def merge_items(
    current: Configuration, change: dict[object, object], faults: list[Fault]
) -> MergedSections:
    """Return the sections after first removing and then putting items; append to the faults."""
    replace_all = change.get("whole", False)
    if not isinstance(replace_all, bool):
        faults.append(Fault("whole", "neither true nor false"))
    put = object_field(change, "put", faults)
    remove = object_field(change, "remove", faults)
    merged: MergedSections = {section: {} for section in SECTIONS}
    if replace_all is not True:
        merged = {section: {**current.section(section)} for section in SECTIONS}
    remove_items(merged, remove, faults)
    put_items(merged, put, faults)
    return merged


def object_field(
    change: dict[object, object], key: str, faults: list[Fault]
) -> dict[object, object]:
    """Return a field that is an object; append a fault and return an empty one if it is not."""
    value = change.get(key, {})
    if isinstance(value, dict):
        return value
    faults.append(Fault(key, "not an object"))
    return {}


def remove_items(merged: MergedSections, remove: dict[object, object], faults: list[Fault]) -> None:
    """Remove named items; an unknown name is a fault."""
    for section, names in remove.items():
        path = f"remove.{section}"
        if not isinstance(section, str) or section not in merged:
            faults.append(Fault(path, "unknown field"))
        elif not isinstance(names, list):
            faults.append(Fault(path, "not a list of names"))
        else:
            for name in names:
                if not isinstance(name, str) or merged[section].pop(name, None) is None:
                    faults.append(Fault(f"{path}.{name}", "there is none"))


def put_items(merged: MergedSections, put: dict[object, object], faults: list[Fault]) -> None:
    """Add items, or replace existing ones of the same name."""
    for section, items in put.items():
        path = f"put.{section}"
        if not isinstance(section, str) or section not in merged:
            faults.append(Fault(path, "unknown field"))
        elif not isinstance(items, dict):
            faults.append(Fault(path, "not an object"))
        else:
            merged[section].update({str(name): item for name, item in items.items()})


def apply_patch(current: Configuration, patch: object) -> ParsedChange:
    """Return the configuration after a JSON Patch (RFC 6902), or the faults of the patch.

    The library is imported here because most processes never apply a patch.
    """
    import jsonpatch
    import jsonpointer

    if not isinstance(patch, list) or not patch:
        return Error(InvalidConfigurationError([Fault("patch", "not a list of operations")]))
    before = current.to_wire()
    try:
        after = jsonpatch.JsonPatch(patch).apply(before)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        KeyError,
        TypeError,
        ValueError,
        IndexError,
        RecursionError,
    ) as error:
        reason = str(error)[:MAX_PATCH_FAULT_LENGTH]
        return Error(InvalidConfigurationError([Fault("patch", reason)]))
    if not isinstance(after, dict):
        return Error(InvalidConfigurationError([Fault("patch", "does not leave an object")]))
    return parse_configuration(reuse_unchanged_items(current, before, after))


def reuse_unchanged_items(
    current: Configuration, before: dict[str, object], after: dict[str, object]
) -> dict[str, object]:
    """Return the patched sections with the current objects for all items that did not change.

    Unchanged items are not parsed again, and code that compares items by identity sees no change.
    """
    merged = dict(after)
    for section in SECTIONS:
        items, old_items = after.get(section), before[section]
        current_items = current.section(section)
        if isinstance(items, dict) and isinstance(old_items, dict):
            merged[section] = {
                name: current_items[name]
                if name in current_items and old_items[name] == item
                else item
                for name, item in items.items()
            }
    return merged
