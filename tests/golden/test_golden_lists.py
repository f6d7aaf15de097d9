"""Lists that operators and other programs rely on: settings, events, metrics, fields, checks."""

import ast
import contextlib
import importlib
import io
import json
import os
import re
import tempfile
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any, cast
from unittest import mock

from golden import GoldenTest

import deployment
import header_fields as platform_words
import settings as platform_settings
from ryelock import control_api, events, settings
from ryelock.control_plane.metrics import ControlMetrics
from ryelock.edge.metrics import EdgeMetrics
from ryelock.http import ProtocolProfile
from ryelock.membership import session
from ryelock.metrics import Metrics
from ryelock.replicated_state import change as configuration_change
from ryelock.replicated_state import configuration as register_configuration
from ryelock.replicated_state import parse_configuration
from ryelock.runtime import Scheduler
from ryelock.testing.simulated import World

# What this file knows of the product's names: a rename inside changes this section only.

PACKAGES = Path(__file__).parent.parent.parent / "packages"
PARTS: dict[str, type] = {
    "services": register_configuration.Service,
    "routes": register_configuration.Route,
    "watches": register_configuration.Watch,
    "limits": register_configuration.CallerLimits,
}


def declared_settings() -> Iterator[tuple[str, object, Callable[[object], object]]]:
    """Yield key, default and check of each setting, in their order."""
    for key, setting in settings.declared_settings(settings.Settings).items():
        yield key, setting.default, setting.check


def needed_settings() -> dict[str, tuple[str, ...]]:
    """Return the settings that each role needs."""
    return settings.REQUIRED


def read_settings(role: str, file: str, flags: dict[str, object]) -> dict[str, object]:
    """Return the settings of a process, or its faults."""
    try:
        return dict(settings.read_settings(role, file, flags).values)
    except settings.SettingsError as error:
        return {"faults": error.faults}


def event_levels() -> dict[int, int]:
    """Return the level of each event by its number."""
    return {event.number: event.level for event in events.CATALOGUE}


def event_number(name: str) -> int | None:
    """Return the number of the event that a name in the source stands for."""
    found = getattr(events, name, None)
    return found.number if isinstance(found, events.Event) else None


def log_line() -> dict[str, object]:
    """Return one line of the log, as a process writes it."""
    stream = io.StringIO()
    events.Log("core0", stream).write(events.CATALOGUE[0], zone="north")
    line: dict[str, object] = json.loads(stream.getvalue())
    return line


def figures_of_edge() -> Metrics:
    """Return the metrics that an edge declares."""
    return EdgeMetrics({}, Scheduler(World(1).add("a", "a", "10.0.0.1").clock, lambda *_: None)).all


def figures_of_core() -> Metrics:
    """Return the metrics that a control node declares."""
    nothing = cast(Any, None)
    return ControlMetrics(nothing, nothing, nothing).all


def checked_configuration(plain: object) -> object:
    """Return the faults of a configuration; "fine" where there are none."""
    found = parse_configuration(plain)
    return found.error.to_wire() if found.is_error() else "fine"


def dialect_words(dialect: ProtocolProfile) -> dict[str, object]:
    """Return the header fields of a deployment by their meaning."""
    return {
        "name of a request": dialect.identity,
        "milliseconds left": dialect.deadline,
        "mark of a success": dialect.seal,
        "life of a server": dialect.expected,
        "did not run": dialect.not_run,
        "labels": dialect.labels,
        "fractions of seconds": dialect.fractions,
    }


def platform_environment(role: str, lines: dict[str, str]) -> dict[str, object]:
    """Return the product's settings for lines of the platform, or their faults."""
    try:
        return dict(
            platform_settings.translate_settings(role, platform_settings.NodeSettings(lines)).values
        )
    except settings.SettingsError as error:
        return {"faults": error.faults}


def platform_dialect() -> tuple[ProtocolProfile, bytes]:
    """Return the platform's header fields, and the one of a version a change builds on."""
    return platform_words.PROFILE, platform_words.BASE_VERSION


def shown_metrics(metrics: Metrics) -> dict[str, object]:
    """Return names and labels of counters and gauges."""
    return {
        "counters": [[one.name, list(one.labels)] for one in metrics.counters],
        "gauges": [[one.name, list(one.labels)] for one in metrics.gauges],
    }


def word_tables() -> dict[str, object]:
    """Return small tables of the product's words."""
    return {
        "control API": [[*place, kind] for place, kind in control_api.PATHS.items()],
        "statuses": control_api.STATUSES,
        "roles": session.ROLES,
        "dating": register_configuration.DATING_METHODS,
        "parts": register_configuration.SECTIONS,
        "fields of a change": configuration_change.CHANGE_FIELDS,
    }


def start_program(arguments: list[str]) -> int:
    """Run the platform's entry point."""
    code: int = importlib.import_module("start").main(arguments)
    return code


# The outside, which must never change.

SAMPLES: tuple[object, ...] = (
    *("", "a", "a b", "x" * 65, "yes", "no", "true", "0", "1.5", "7", "10.0.0.1:80", "host:80"),
    *("10.0.0.1:80,10.0.0.2:80", "a=b, c=d", "/data", True, False, None),
    *(-1, 0, 0.01, 0.05, 0.5, 1, 1.5, 3, 60, 4096, 1e6, 1e12, 1e18),
    *(["10.0.0.1:80"], ["10.0.0.1:80", "10.0.0.1:80"], {"a": "b"}),
)


def outcome(check: Callable[[object], object], value: object) -> object:
    """Return what a check makes of a value: "same", another value, or why it is none."""
    try:
        found = check(value)
    except (ValueError, TypeError) as error:
        return f"fault: {error}"
    same = found == value and type(found) is type(value)
    return "same" if same else {"becomes": found}


def setting_list() -> dict[str, object]:
    """Return every setting with its default and what its check makes of samples."""
    found: dict[str, object] = {}
    for key, default, check in declared_settings():
        outcomes: dict[str, list[str]] = defaultdict(list)
        for value in SAMPLES:
            result = json.dumps(outcome(check, value), default=list)
            outcomes[result].append(json.dumps(value))
        found[key] = {
            "default": default,
            "checks": {result: "; ".join(values) for result, values in outcomes.items()},
        }
    return {"settings": found, "needed": needed_settings()}


PLACE: dict[str, object] = {
    "name": "node0",
    "zone": "north",
    "seeds": "10.0.0.1:1",
    "wire_address": "10.0.0.1:1",
    "control_address": "10.0.0.1:2",
    "data_folder": "/data",
    "order_address": "10.0.0.1:3",
}
FILES = {
    "good.toml": 'name = "node0"\nregions = {a = "b"}\nterm_seconds = 2\n',
    "good.json": '{"name": "node0", "probe": true}',
    "faulty.toml": "name = ",
    "list.json": "[1]",
}


def settings_read() -> dict[str, object]:
    """Return what processes read: of flags, of files, and of settings that do not go together."""
    found: dict[str, object] = {role: read_settings(role, "", PLACE) for role in needed_settings()}
    together = {"probe_timeout": 31, "election_seconds": 0.2, "stale_weight": 0.5}
    for key, value in together.items():
        found[f"{key} alone"] = read_settings("core", "", {**PLACE, key: value})
    found["unknown"] = read_settings("core", "", {**PLACE, "nothing": 1, "zone": None})
    with tempfile.TemporaryDirectory() as folder, contextlib.chdir(folder):
        for name, text in FILES.items():
            Path(name).write_text(text)
        for name in (*FILES, "none.toml"):
            found[name] = read_settings("core", name, {**PLACE, "name": None})
    return found


def field_sets() -> dict[int, list[list[str]]]:
    """Return the sets of fields with which the source writes each event."""
    found: dict[int, set[tuple[str, ...]]] = defaultdict(set)
    for path in sorted(PACKAGES.glob("*/ryelock/*/*.py")):
        for call in ast.walk(ast.parse(path.read_text())):
            if not isinstance(call, ast.Call) or not call.args:
                continue
            first = call.args[0]
            names = [first.body, first.orelse] if isinstance(first, ast.IfExp) else [first]
            for name in names:
                number = event_number(name.id) if isinstance(name, ast.Name) else None
                if number is not None:
                    found[number].add(tuple(sorted(word.arg or "**" for word in call.keywords)))
    return {number: [list(words) for words in sorted(sets)] for number, sets in found.items()}


def event_list() -> dict[str, object]:
    """Return number, level and fields of each event, and the form of a line."""
    sets = field_sets()
    line = log_line()
    return {
        "events": {
            str(number): {"level": level, "fields": sets.get(number, [])}
            for number, level in sorted(event_levels().items())
        },
        "line": {key: type(value).__name__ for key, value in line.items()},
        "level": line["level"],
    }


def metric_list() -> dict[str, object]:
    """Return names and labels of all counters and gauges."""
    return {"edge": shown_metrics(figures_of_edge()), "core": shown_metrics(figures_of_core())}


BASE: dict[str, dict[str, dict[str, object]]] = {
    "services": {"s": {"rate": 10}, "t": {"rate": 10}},
    "routes": {"r": {"path": "/r", "service": "s", "cached": True}},
    "watches": {"w": {"route": "r", "object": "/r/1"}},
    "limits": {"callers": {}},
}


def configuration_list() -> dict[str, object]:
    """Return the fields of a configuration, their defaults, and what is a fault in each."""
    found: dict[str, object] = {}
    for part, kind in PARTS.items():
        name = next(iter(BASE[part]))
        for field in fields(kind):
            outcomes: dict[str, list[str]] = defaultdict(list)
            for value in SAMPLES:
                item = {**BASE[part][name], field.name: value}
                plain = {**BASE, part: {**BASE[part], name: item}}
                outcomes[json.dumps(checked_configuration(plain))].append(json.dumps(value))
            default = field.default
            if field.default_factory is not MISSING:
                default = field.default_factory()
            found[f"{part}.{field.name}"] = {
                "default": "needed" if default is MISSING else default,
                "faults": {result: "; ".join(values) for result, values in outcomes.items()},
            }
    return found


HEADER = re.compile(r'b"([A-Za-z]+(?:-[A-Za-z]+)+)"')


def header_fields() -> dict[str, object]:
    """Return the header fields that the source names, and the platform's words."""
    texts = [
        path.read_text()
        for path in PACKAGES.glob("*/ryelock/*/*.py")
        if path.parent.name != "testing"
    ]
    names = {name.lower() for text in texts for name in HEADER.findall(text)}
    dialect, base_version = platform_dialect()
    return {
        "fields": sorted(names),
        "platform": dialect_words(dialect),
        "base version": base_version,
        "own": dialect_words(ProtocolProfile()),
    }


class Lines(dict[str, str]):
    """Lines of the platform's settings that note which keys were asked for."""

    def __init__(self, lines: dict[str, str]) -> None:
        super().__init__(lines)
        self.asked: set[str] = set()

    def get(self, key: str, default: str | None = None) -> str | None:  # type: ignore[override]
        """Return a line and note its key."""
        self.asked.add(key)
        return super().get(key, default)


PLATFORM_LINES = deployment.settings_lines(
    "m0", "10.1.0.1", "a", {"a": "north", "b": "south"}, ["10.1.0.1:8146"], "edge,control_plane"
)
WITHOUT = (
    *("node_name", "ip_address", "zone", "seed_nodes", "internal_port_range", "bounds"),
    *("data_directory", "cloud_api.address", "first_start", "limits.disk_mb", "contract_parts"),
    *("listen_addresses.front", "limits.memory_mb", "limits.file_descriptors"),
    *("limits.link_speed_mbps", "cloud_api.beat_lag_ms", "cloud_api.rate_per_s"),
)


def platform_list() -> dict[str, object]:
    """Return which lines the platform's programs read, and what they make of them."""
    found: dict[str, object] = {}
    for role in ("core", "edge"):
        lines = Lines(PLATFORM_LINES)
        whole = platform_environment(role, lines)
        found[f"{role} reads"] = sorted(lines.asked)
        found[role] = whole
        for key in WITHOUT:
            fewer = {name: value for name, value in PLATFORM_LINES.items() if name != key}
            other = platform_environment(role, fewer)
            found[f"{role} without {key}"] = {
                name: value for name, value in other.items() if whole.get(name) != value
            }
        bad = {**PLATFORM_LINES, "bounds": "contact_ms=x,y", "internal_port_range": "7660,7661"}
        found[f"{role} with faults"] = platform_environment(role, bad)
    found["missing bounds"] = platform_environment("core", {**PLATFORM_LINES, "bounds": ""})
    found["listeners"] = processes_read()
    return found


def processes_read() -> list[str]:
    """Return the lines that started processes read."""
    site = deployment.Deployment(41, {"a": "north"}, 1)
    lines = {name: Lines(found) for name, found in site.lines.items()}
    site.lines = cast(dict[str, dict[str, str]], lines)
    for name in site.cores + site.edges:
        site.start(name)
    return sorted(set[str]().union(*(found.asked for found in lines.values())))


def start_codes() -> dict[str, object]:
    """Return exit codes and faults of the platform's entry point."""
    found: dict[str, object] = {}
    for name, arguments, path in (
        ("no role", [], ""),
        ("another role", ["desk"], ""),
        ("no file", ["core"], "none.conf"),
        ("an empty file", ["edge"], "empty.conf"),
    ):
        with (
            tempfile.TemporaryDirectory() as folder,
            contextlib.chdir(folder),
            mock.patch.dict(os.environ, {"RYELOCK_CONFIG": path}),
            contextlib.redirect_stderr(io.StringIO()) as printed,
        ):
            Path("empty.conf").write_text("# nothing\n")
            found[name] = {"code": start_program(arguments), "err": printed.getvalue()}
    return found


def tables() -> dict[str, object]:
    """Return small tables of words that other programs use."""
    return {**word_tables(), "platform's entry point": start_codes()}


RECORDERS: dict[str, Callable[[], object]] = {
    "list-settings.json": setting_list,
    "list-settings-read.json": settings_read,
    "list-events.json": event_list,
    "list-metrics.json": metric_list,
    "list-configuration.json": configuration_list,
    "list-headers.json": header_fields,
    "list-platform.json": platform_list,
    "list-tables.json": tables,
}


class ListTests(GoldenTest):
    def test_settings_are_as_ever(self) -> None:
        self.assert_golden("list-settings.json", setting_list())

    def test_settings_are_read_as_ever(self) -> None:
        self.assert_golden("list-settings-read.json", settings_read())

    def test_events_are_as_ever(self) -> None:
        self.assert_golden("list-events.json", event_list())

    def test_metrics_are_as_ever(self) -> None:
        self.assert_golden("list-metrics.json", metric_list())

    def test_the_configuration_is_checked_as_ever(self) -> None:
        self.assert_golden("list-configuration.json", configuration_list())

    def test_header_fields_are_as_ever(self) -> None:
        self.assert_golden("list-headers.json", header_fields())

    def test_the_platforms_settings_are_read_as_ever(self) -> None:
        self.assert_golden("list-platform.json", platform_list())

    def test_tables_are_as_ever(self) -> None:
        self.assert_golden("list-tables.json", tables())
