"""Days as files: what is read of a site file of the users' bench, and day files as TOML."""

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ryelock.testing.days.fault_kinds import Closing, Entry


class SiteError(ValueError):
    """A site file lacks what days are drawn from."""


@dataclass(frozen=True, slots=True)
class Site:
    """What days of a site need: its name, the length of a day, which losses it allows, and when.

    `lost_at_once` counts machines; `services` are the
    names of the services whose servers orders go to, `once_services` those of orders that may run
    once; `contracts` are the parts of the rules that are in force.
    """

    name: str
    length_seconds: float
    catch_up_seconds: float
    lost_at_once: int
    services: tuple[str, ...]
    once_services: tuple[str, ...]
    contracts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Day:
    """One day: its seed, its entries in order of time, and the fault that ends it, if any."""

    name: str
    seed: int
    entries: tuple[Entry, ...]
    closing: Closing | None = None

    @property
    def kinds(self) -> frozenset[str]:
        """The kinds of its entries and of its closing fault."""
        kinds = {entry.kind for entry in self.entries}
        if self.closing is not None:
            kinds.add(self.closing.kind)
        return frozenset(kinds)


def read_site(path: Path) -> Site:
    """Read a site file; SiteError where a field is missing or has another type."""
    with path.open("rb") as file:
        found = tomllib.load(file)
    try:
        once = {one["service"] for one in found["classes"] if one["kind"] == "unsafe"}
        return Site(
            name=str(found["name"]),
            length_seconds=float(found["length_s"]),
            catch_up_seconds=float(found["timing"]["catch_up_s"]),
            lost_at_once=int(found["tolerate"]["machines"]),
            services=tuple(str(one["name"]) for one in found["services"]),
            once_services=tuple(sorted(str(name) for name in once)),
            contracts=tuple(str(name) for name in found["contracts"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SiteError(f"{path}: {error!r}") from error


def as_value(value: object) -> str:
    """A TOML value on one line: text, numbers, and tables of them."""
    if isinstance(value, Mapping):
        inner = ", ".join(f"{name} = {as_value(one)}" for name, one in value.items())
        return "{ " + inner + " }"
    return json.dumps(value)


def entry_fields(entry: Entry) -> dict[str, object]:
    """The fields of an entry as the day file names them."""
    fields: dict[str, object] = {"at": entry.at, "kind": entry.kind}
    if entry.on:
        fields["on"] = entry.on
    fields |= entry.figures
    if entry.how:
        fields["how"] = entry.how
    if entry.service:
        fields["service"] = entry.service
    return fields


def as_toml(day: Day, note: str) -> str:
    """The day file, with a note as a comment at its top."""
    lines = [f"# {note}", "[[day]]", f"name = {as_value(day.name)}", f"seed = {day.seed}"]
    if day.closing is not None:
        closing: dict[str, object] = {"kind": day.closing.kind, "down_s": day.closing.down_seconds}
        if day.closing.how:
            closing["how"] = day.closing.how
        lines.append(f"closing = {as_value(closing)}")
    for title, planned in (("plan", True), ("faults", False)):
        lines.append(f"{title} = [")
        for entry in day.entries:
            if entry.planned == planned:
                lines.append(f"  {as_value(entry_fields(entry))},")
        lines.append("]")
    return "\n".join(lines) + "\n"


def write_day(day: Day, note: str, folder: Path) -> Path:
    """Write a day file, named after the day, into a folder that is made where it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{day.name}.toml"
    path.write_text(as_toml(day, note))
    return path
