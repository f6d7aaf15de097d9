"""Preview of a configuration change, for operators to review before they apply it."""

from dataclasses import fields

from ryelock.replicated_state.configuration import SECTIONS, Configuration, Item


def plan_change(current: Configuration, after: Configuration) -> dict[str, object]:
    """Return the differences of each section in the form of the control API."""
    return {
        section: plan_section(current.section(section), after.section(section))
        for section in SECTIONS
    }


def plan_section(before: dict[str, Item], after: dict[str, Item]) -> dict[str, object]:
    """Return the added and removed names, and the changed fields by name."""
    return {
        "added": sorted(name for name in after if name not in before),
        "removed": sorted(name for name in before if name not in after),
        "changed": {
            name: changed_fields(before[name], item)
            for name, item in sorted(after.items())
            if name in before and before[name] != item
        },
    }


def changed_fields(before: Item, after: Item) -> dict[str, list[object]]:
    """Return [old value, new value] of each field that differs."""
    return {
        field.name: [getattr(before, field.name), getattr(after, field.name)]
        for field in fields(after)
        if getattr(before, field.name) != getattr(after, field.name)
    }
