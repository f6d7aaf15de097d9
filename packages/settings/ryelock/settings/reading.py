"""Reading and validation of a process's settings; all faults are reported at once."""

import enum
import json
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path

from ryelock.settings.declaration import Settings, declared_settings
from ryelock.settings.errors import InvalidValueError, SettingsError, SettingsFileError

HEARTBEATS_PER_ELECTION = 3
"""Minimum election timeout in heartbeats, so that one lost heartbeat does not end a term."""


class NodeRole(enum.StrEnum):
    """Role of a process; the values are used on the command line and in messages."""

    CONTROL = "core"
    EDGE = "edge"
    PROBER = "prober"
    CONTROL_API = "desk"
    """A process without a disk that serves the control API and forwards requests to the leader."""


COMMON_REQUIRED = ("name", "zone", "seeds", "wire_address", "control_address")
REQUIRED: dict[str, tuple[str, ...]] = {
    NodeRole.CONTROL: (*COMMON_REQUIRED, "data_folder"),
    NodeRole.EDGE: (*COMMON_REQUIRED, "order_address"),
    NodeRole.PROBER: COMMON_REQUIRED,
    NodeRole.CONTROL_API: COMMON_REQUIRED,
}
"""Keys of the settings that must be given, by role."""


def read_settings(role: str, file: str, flags: Mapping[str, object]) -> Settings:
    """Read the settings of one role from a file and from flags, which take precedence.

    Args:
        role: the value of a NodeRole.
        file: path of a JSON or TOML file, empty for none.
        flags: values by key; None if a flag was not given.

    Raises:
        SettingsError: with all faults found.
    """
    faults: list[str] = []
    given: dict[str, object] = {}
    missing: tuple[str, ...] = ()
    try:
        given = read_file(file) if file else {}
        missing = REQUIRED[role]
    except SettingsFileError as error:
        # Missing settings are not reported: the unreadable file may contain them.
        faults += error.faults
    given.update({key: value for key, value in flags.items() if value is not None})
    values = validate_values(given, faults)
    faults += [f"{key}: needed by {role}" for key in missing if key not in given]
    faults += find_conflicts(Settings(values))
    if faults:
        raise SettingsError(faults)
    if not values["machine"]:
        values["machine"] = values["name"]
    return Settings(values)


def read_file(file: str) -> dict[str, object]:
    """Return the table of settings in a JSON or TOML file.

    Raises:
        SettingsFileError: the file cannot be read, or its content is not a table.
    """
    try:
        content = Path(file).read_bytes()
        table = json.loads(content) if file.endswith(".json") else tomllib.loads(content.decode())
    except OSError as error:
        raise SettingsFileError(file, str(error.strerror)) from error
    except ValueError as error:
        raise SettingsFileError(file, str(error)) from error
    if not isinstance(table, dict):
        raise SettingsFileError(file, "not a table of settings")
    return table


def validate_values(given: Mapping[str, object], faults: list[str]) -> dict[str, object]:
    """Return a value for every setting: the given one if valid, else the default.

    Args:
        given: unvalidated values by key.
        faults: receives a line for each invalid value and each unknown key.
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


def find_conflicts(settings: Settings) -> Iterator[str]:
    """Yield a line for each setting that conflicts with another."""
    if settings.probe_timeout > settings.probe_seconds:
        yield "probe_timeout: longer than probe_seconds"
    if settings.election_seconds < HEARTBEATS_PER_ELECTION * settings.beat_seconds:
        yield "election_seconds: shorter than three beats"
    if settings.stale_weight > settings.down_weight:
        yield "stale_weight: above down_weight"
