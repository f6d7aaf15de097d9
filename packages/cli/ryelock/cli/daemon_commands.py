"""The subcommands that run a daemon: `core`, `edge` and `prober`.

All three take the same kinds of options: a settings file, flags for the settings that differ
between processes, and KEY=VALUE pairs for all other settings. Each is built from a table of flags.
"""

import inspect
import sys
from collections.abc import Callable
from typing import NamedTuple

from ryelock.cli.daemon import run_daemon
from ryelock.control_client import ExitCode
from ryelock.settings import NodeRole, SettingsError, read_settings

DaemonCommand = Callable[..., int]


class Flag(NamedTuple):
    """Command-line flag of a setting."""

    key: str
    help: str
    type: object = str


COMMON_FLAGS = (
    Flag("name", "name of this process"),
    Flag("zone", "zone of this machine"),
    Flag("machine", "machine this process runs on"),
    Flag("seeds", "wire addresses of the three seeds, divided by commas"),
    Flag("wire_address", "where other processes reach this one"),
    Flag("control_address", "where operators and the platform reach this one"),
)


def start_daemon(role: NodeRole, settings: str, flags: dict[str, object], sets: list[str]) -> int:
    """Run a daemon until a signal stops it.

    Args:
        role: role of the process.
        settings: path of a settings file, empty for none.
        flags: settings by key; None if the flag was not given.
        sets: settings as KEY=VALUE, which override the flags.

    Returns:
        The exit code.
    """
    for pair in sets:
        key, _, value = pair.partition("=")
        flags[key] = value
    try:
        checked = read_settings(role, settings, flags)
    except SettingsError as error:
        for fault in error.faults:
            sys.stderr.write(f"ryelock {role}: {fault}\n")
        return ExitCode.BAD_INPUT
    return run_daemon(role, checked)


def option_parameter(name: str, kind: object, default: object) -> inspect.Parameter:
    """Return a keyword-only parameter, which defopt turns into an option."""
    return inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=default, annotation=kind)


def daemon_command(role: NodeRole, summary: str, *own_flags: Flag) -> DaemonCommand:
    """Return the function that defopt turns into the subcommand of a daemon.

    defopt derives options, types and help from a function's signature and docstring. Both are
    generated here from the table of flags, so that each flag is declared only once.

    Args:
        role: role of the process; its value is the name of the subcommand.
        summary: first line of the help.
        own_flags: flags that follow those common to all daemons.
    """
    flags = (*COMMON_FLAGS, *own_flags)

    def command(*, settings: str = "", sets: list[str] | None = None, **values: object) -> int:
        return start_daemon(role, settings, values, sets or [])

    parameters = [
        option_parameter("settings", str, ""),
        *(option_parameter(flag.key, flag.type | None, None) for flag in flags),  # type: ignore[operator]
        option_parameter("sets", list[str] | None, None),
    ]
    helps = [
        ("settings", "settings file, TOML or JSON"),
        *((flag.key, flag.help) for flag in flags),
        ("sets", "any other setting, as KEY=VALUE"),
    ]
    command.__name__ = command.__qualname__ = str(role)
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    command.__doc__ = "\n".join([summary, "", *(f":param {key}: {text}" for key, text in helps)])
    return command


core = daemon_command(
    NodeRole.CONTROL,
    "Run a control node: it stores the configuration on its disk and agrees on it with the others.",
    Flag("data_folder", "the one folder this process writes to"),
    Flag("platform_address", "where the platform lists servers"),
)
edge = daemon_command(
    NodeRole.EDGE,
    "Run a node that carries traffic, and probes its zone where it is told to.",
    Flag("order_address", "where callers reach this one"),
    Flag("probe", "also probe the other edges of the zone", bool),
)
prober = daemon_command(
    NodeRole.PROBER, "Run a prober: it fetches real objects through the edges of its zone."
)
