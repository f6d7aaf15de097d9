"""Reading of a process's settings: all are checked, and every fault is reported at once."""

import enum
import json
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path

from ryelock.settings.declaration import Settings, declared_settings
from ryelock.settings.errors import InvalidValueError, SettingsError, SettingsFileError

HEARTBEATS_PER_ELECTION = 3
"""An election timeout covers at least so many heartbeats, so that one that is lost ends no term."""


class NodeRole(enum.StrEnum):
    """What a process runs as; the values are the names of the command line and of messages."""

    CONTROL = "core"
    EDGE = "edge"
    PROBER = "prober"
    CONTROL_API = "desk"
    """A control API without a disk, which forwards operators' requests to the leader."""


REQUIRED_OF_ALL = ("name", "zone", "seeds", "wire_address", "control_address")
REQUIRED: dict[str, tuple[str, ...]] = {
    NodeRole.CONTROL: (*REQUIRED_OF_ALL, "data_folder"),
    NodeRole.EDGE: (*REQUIRED_OF_ALL, "order_address"),
    NodeRole.PROBER: REQUIRED_OF_ALL,
    NodeRole.CONTROL_API: REQUIRED_OF_ALL,
}
"""The settings that have to be given, by role."""


def read_settings(role: str, file: str, flags: Mapping[str, object]) -> Settings:
    """Read the settings of one role from a file and from flags, which go first.

    Args:
        role: the value of a NodeRole.
        file: path of a JSON or TOML file, empty for none.
        flags: values by key; None where a flag was not given.

    Raises:
        SettingsError: with every fault found.
    """
    faults: list[str] = []
    given: dict[str, object] = {}
    missing: tuple[str, ...] = ()
    try:
        given = read_file(file) if file else {}
        missing = REQUIRED[role]
    except SettingsFileError as error:
        # What is missing is not reported: the file may have it.
        faults += error.faults
    given.update({key: value for key, value in flags.items() if value is not None})
    values = checked_values(given, faults)
    faults += [f"{key}: needed by {role}" for key in missing if key not in given]
    faults += inconsistencies(Settings(values))
    if faults:
        raise SettingsError(faults)
    if not values["machine"]:
        values["machine"] = values["name"]
    return Settings(values)


def read_file(file: str) -> dict[str, object]:
    """Return the table of settings in a JSON or TOML file.

    Raises:
        SettingsFileError: the file cannot be read, or holds no table.
    """
    try:
        content = Path(file).read_bytes()
        found = json.loads(content) if file.endswith(".json") else tomllib.loads(content.decode())
    except OSError as error:
        raise SettingsFileError(file, str(error.strerror)) from error
    except ValueError as error:
        raise SettingsFileError(file, str(error)) from error
    if not isinstance(found, dict):
        raise SettingsFileError(file, "not a table of settings")
    return found


def checked_values(given: Mapping[str, object], faults: list[str]) -> dict[str, object]:
    """Return a value for every setting: the given one where it is valid, else the default.

    Args:
        given: values by key, unchecked.
        faults: takes a line for each value that is not valid and each key that is unknown.
    """
    declared = declared_settings(Settings)
    values: dict[str, object] = {key: setting.default for key, setting in declared.items()}
    for key, value in given.items():
        if key not in declared:
            faults.append(f"{key}: no such setting")
            continue
        try:
            values[key] = declared[key].check(value)
        except InvalidValueError as error:
            faults.append(f"{key}: {error}")
    return values


def inconsistencies(settings: Settings) -> Iterator[str]:
    """Yield a line for each setting that does not go with another."""
    if settings.probe_timeout > settings.probe_seconds:
        yield "probe_timeout: longer than probe_seconds"
    if settings.election_seconds < HEARTBEATS_PER_ELECTION * settings.beat_seconds:
        yield "election_seconds: shorter than three beats"
    if settings.stale_weight > settings.down_weight:
        yield "stale_weight: above down_weight"
