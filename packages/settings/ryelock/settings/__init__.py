"""Settings from a file and from flags, checked whole before any port opens.

A setting is a descriptor that knows its key, its kind, its bounds and its one line of help.
Reading gathers every fault, so an operator sees them all at once, one line a key.
"""

import json
import tomllib
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Generic, TypeVar, overload

from ryelock.runtime.reactor import split_address

Kind = TypeVar("Kind")
HEARTBEATS_MISSED = 3


class SettingsError(Exception):
    """Every fault found, one line each."""

    def __init__(self, faults: list[str]) -> None:
        """Create the error; each fault is one line for the operator."""
        super().__init__("\n".join(faults))
        self.faults = faults


class Setting(Generic[Kind]):
    """One checked setting; reading it from an Env gives the value."""

    __slots__ = ("check", "default", "key", "note")

    def __init__(self, default: Kind, check: Callable[[object], Kind], note: str) -> None:
        """Declare a setting.

        Args:
            default: value where the operator gives none.
            check: converts a given value or raises ValueError with the reason.
            note: one line of help.
        """
        self.default = default
        self.check = check
        self.note = note
        self.key = ""

    def __set_name__(self, owner: type, name: str) -> None:
        """Take the attribute's name as the setting's key."""
        self.key = name

    @overload
    def __get__(self, settings: None, owner: type) -> "Setting[Kind]": ...
    @overload
    def __get__(self, settings: "Settings", owner: type) -> Kind: ...
    def __get__(self, settings: "Settings | None", owner: type) -> "Setting[Kind] | Kind":
        """Return the value from an Env; the setting itself where read from the class."""
        if settings is None:
            return self
        return settings.values[self.key]  # type: ignore[return-value]


def number(lowest: float, highest: float) -> Callable[[object], float]:
    """Return a check for numbers within bounds, both included."""

    def check(value: object) -> float:
        if isinstance(value, str):
            try:
                value = float(value)
            except ValueError:
                raise ValueError("not a number") from None
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError("not a number")
        if not lowest <= value <= highest:
            raise ValueError(f"not between {lowest:g} and {highest:g}")
        return float(value)

    return check


def whole(lowest: int, highest: int) -> Callable[[object], int]:
    """Return a check for whole numbers within bounds, both included."""
    plain = number(lowest, highest)

    def check(value: object) -> int:
        found = plain(value)
        if found != int(found):
            raise ValueError("not a whole number")
        return int(found)

    return check


def noun(value: object) -> str:
    """Check a name of letters, digits, '-', '_' and '.'."""
    if not isinstance(value, str) or not value or len(value) > 64:
        raise ValueError("not a name of 1 to 64 characters")
    if not all(character.isalnum() or character in "-_." for character in value):
        raise ValueError("only letters, digits, '-', '_' and '.' are allowed")
    return value


def text(value: object) -> str:
    """Check that a value is text."""
    if not isinstance(value, str):
        raise ValueError("not text")
    return value


def parse_address(value: object) -> str:
    """Check an IPv4 address with a port, like 10.0.0.1:8000."""
    if not isinstance(value, str):
        raise ValueError("not an address of the form 10.0.0.1:8000")
    try:
        host, port = split_address(value)
    except ValueError:
        raise ValueError("not an address of the form 10.0.0.1:8000") from None
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise ValueError("the host is not an IP number")
    if not 0 <= port < 65536:
        raise ValueError("the port is not between 0 and 65535")
    return value


def optional_address(value: object) -> str:
    """Check an address that may be empty."""
    return "" if value == "" else parse_address(value)


def seed_addresses(value: object) -> tuple[str, ...]:
    """Check one to three different addresses, as a list or divided by commas."""
    if isinstance(value, str):
        value = [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, list | tuple) or not 1 <= len(value) <= 3:
        raise ValueError("not one to three addresses")
    found = tuple(parse_address(part) for part in value)
    if len(set(found)) != len(found):
        raise ValueError("the addresses are not different")
    return found


def regions_of(value: object) -> dict[str, str]:
    """Zones by name with the region of each."""
    if isinstance(value, str):
        value = dict(part.strip().partition("=")[::2] for part in value.split(",") if part.strip())
    if not isinstance(value, dict):
        raise ValueError("not zone=region, divided by commas")
    return {noun(zone): noun(region) for zone, region in value.items()}


def flag(value: object) -> bool:
    """Check a truth value."""
    if value in (True, "true", "yes", "1"):
        return True
    if value in (False, "false", "no", "0"):
        return False
    raise ValueError("neither true nor false")


class Settings:
    """What a process was told of its place and its limits."""

    __slots__ = ("values",)

    name = Setting("", noun, "name of this process, told apart in records and logs")
    zone = Setting("", noun, "zone this machine stands in")
    machine = Setting(
        "",
        lambda value: "" if value == "" else noun(value),
        "machine this process runs on; two probers of one machine count once "
        "(left out: the process's own name)",
    )
    seeds: Setting[tuple[str, ...]] = Setting(
        (),
        seed_addresses,
        "wire addresses of the seeds, divided by commas: three, or all "
        "control nodes where there are fewer",
    )
    wire_address = Setting("", parse_address, "where this process takes links from other processes")
    control_address = Setting(
        "", parse_address, "where operators and the platform reach this process"
    )
    order_address = Setting("", optional_address, "where an edge takes orders from callers")
    metrics_address = Setting(
        "", optional_address, "where the figures of this process are read; empty: nowhere"
    )
    metrics_log_seconds = Setting(
        0.0, number(0, 3600), "how often these figures are written to the log; 0: never"
    )
    data_folder = Setting("", text, "the one folder a core writes to")
    platform_address = Setting("", optional_address, "where the platform lists servers")
    probe = Setting(False, flag, "whether an edge also probes the edges of its zone")
    probers_chosen = Setting(
        0,
        whole(0, 100),
        "of the probing machines of a zone, so many that "
        "are ready probe, the first by name; 0: all",
    )
    derive_watches = Setting(
        False,
        flag,
        "whether a watch is made up for each cached route that "
        "has none, of an object that was served",
    )
    may_found = Setting(True, flag, "whether an empty disk may found a core with its seeds")
    regions: Setting[dict[str, str]] = Setting(
        {}, regions_of, "zone=region, divided by commas, of the zones that share one"
    )
    serve_lapsed = Setting(
        False,
        flag,
        "whether an edge whose term lapsed goes on with the last "
        "configuration, copies and servers it knows",
    )
    hold_seconds = Setting(0.15, number(0.02, 5), "how long a renewal may wait for news")
    settle_seconds = Setting(
        5.0,
        number(0, 30),
        "longest wait for edges before a change is acknowledged, where edges serve after a lapse",
    )
    reader_duty = Setting(
        False,
        flag,
        "whether one control node at a time reads the platform's "
        "list, by a duty with a successor, instead of each",
    )
    spread_region = Setting(
        False,
        flag,
        "whether servers of the whole region are picked from, by "
        "what they cost, instead of the own zone's first",
    )
    share_copies = Setting(
        False,
        flag,
        "whether an edge that lacks a copy asks the edge of its "
        "zone that keeps this object, and that one the edge of its region that does",
    )
    link_idle_seconds = Setting(
        20.0,
        number(0.1, 3600),
        "how long an idle link to a server is kept where the server says nothing",
    )

    term_seconds = Setting(1.5, number(0.3, 5), "how long an edge may serve on one term")
    beat_seconds = Setting(0.15, number(0.02, 1), "how often a leader beats to each voter")
    election_seconds = Setting(0.7, number(0.1, 5), "shortest silence before an election")
    replace_seconds = Setting(
        2.0, number(0.5, 3600), "silence after which a voter is replaced by a spare"
    )
    listing_seconds = Setting(0.3, number(0.05, 5), "how often servers are read anew")
    listing_term = Setting(1.8, number(0.3, 30), "how long a listing of servers is believed")
    gone_seconds = Setting(600.0, number(1, 86_400), "how long a lost edge is still probed")
    image_records = Setting(4000, whole(10, 10_000_000), "records between two images")
    disk_bytes = Setting(0, whole(0, 1 << 50), "size of the data folder's disk; 0: not known")
    link_bytes = Setting(
        0, whole(0, 1 << 40), "bytes a second that the machine's link carries; 0: not known"
    )
    segment_bytes = Setting(4_194_304, whole(4096, 1 << 30), "size at which a segment is closed")

    head_bytes = Setting(32_768, whole(1024, 1 << 20), "longest head of an order or answer")
    body_bytes = Setting(8_388_608, whole(0, 1 << 30), "longest body of an order")
    links_most = Setting(4096, whole(1, 65_536), "most caller links at once")
    idle_seconds = Setting(30.0, number(0.1, 3600), "how long an idle link is kept")
    order_seconds = Setting(10.0, number(0.1, 600), "deadline of one order")
    connect_seconds = Setting(1.0, number(0.05, 60), "deadline for a link to a server")
    answer_bytes = Setting(1_048_576, whole(1024, 1 << 30), "largest answer that is cached")
    cache_bytes = Setting(67_108_864, whole(0, 1 << 36), "room for cached copies")
    stop_seconds = Setting(10.0, number(0, 600), "how long a stop waits for open answers")
    linger_seconds = Setting(
        0.5,
        number(0, 600),
        "how long a stopping edge that is not ready any "
        "more still takes new links, at most a quarter of stop_seconds or so "
        "long as this says where edges serve after a lapse",
    )
    explain_orders = Setting(5000, whole(0, 1_000_000), "orders remembered for explain")

    probe_seconds = Setting(30.0, number(0.1, 3600), "cadence of probes of one target")
    probe_timeout = Setting(6.0, number(0.05, 60), "deadline of one probe")
    probe_flight = Setting(12, whole(1, 1000), "most probes in flight")
    verdict_rows = Setting(5, whole(1, 1000), "rows of one prober and edge that are judged")
    verdict_span = Setting(600.0, number(1, 86_400), "age up to which a row is judged")
    verdict_quorum = Setting(3, whole(1, 1000), "failed rows that make an edge failed")
    stale_seconds = Setting(30.0, number(0.1, 1e6), "age above which an object is stale")
    down_weight = Setting(0.15, number(0, 1), "share of visitors in down zones: network down")
    stale_weight = Setting(0.10, number(0, 1), "share in stale zones: network stale above it")
    weight_span = Setting(300.0, number(1, 86_400), "span over which visitors are counted")
    verdict_seconds = Setting(1.0, number(0.05, 600), "how often verdicts are worked out")

    def __init__(self, values: dict[str, object]) -> None:
        """Hold checked values by key; use `read_env` to get them checked."""
        self.values = values


def declared_settings(owner: type[Settings]) -> dict[str, Setting[object]]:
    """Return the declared settings of a class by key."""
    return {key: value for key, value in vars(owner).items() if isinstance(value, Setting)}


NEEDED = {
    "core": ("name", "zone", "seeds", "wire_address", "control_address", "data_folder"),
    "edge": ("name", "zone", "seeds", "wire_address", "control_address", "order_address"),
    "prober": ("name", "zone", "seeds", "wire_address", "control_address"),
    "desk": ("name", "zone", "seeds", "wire_address", "control_address"),
}


def read_settings(role: str, file: str, flags: Mapping[str, object]) -> Settings:
    """Read the settings of one role from a file and from flags, which go first.

    Args:
        role: a key of NEEDED.
        file: path of a JSON or TOML file, empty for none.
        flags: values by key; None where a flag was not given.

    Raises:
        EnvError: with every fault found.
    """
    faults: list[str] = []
    given = read_file(file, faults)
    file_read = not faults
    given.update({key: value for key, value in flags.items() if value is not None})
    values = checked_values(given, faults)
    if file_read:
        faults.extend(f"{key}: needed by {role}" for key in NEEDED[role] if key not in given)
    faults.extend(faults_between(Settings(values)))
    if faults:
        raise SettingsError(faults)
    if not values["machine"]:
        values["machine"] = values["name"]
    return Settings(values)


def read_file(file: str, faults: list[str]) -> dict[str, object]:
    """Return the table of settings in a file; what is wrong with it is added to the faults."""
    if not file:
        return {}
    try:
        plain = Path(file).read_bytes()
        found = json.loads(plain) if file.endswith(".json") else tomllib.loads(plain.decode())
    except OSError as error:
        faults.append(f"settings file {file}: {error.strerror}")
        return {}
    except ValueError as error:
        faults.append(f"settings file {file}: {error}")
        return {}
    if not isinstance(found, dict):
        faults.append(f"settings file {file}: not a table of settings")
        return {}
    return found


def checked_values(given: Mapping[str, object], faults: list[str]) -> dict[str, object]:
    """Return the value of every setting: the given one where it is sound, else the default."""
    known = declared_settings(Settings)
    values: dict[str, object] = {key: setting.default for key, setting in known.items()}
    for key, value in given.items():
        if key not in known:
            faults.append(f"{key}: no such setting")
            continue
        try:
            values[key] = known[key].check(value)
        except ValueError as error:
            faults.append(f"{key}: {error}")
    return values


def faults_between(settings: Settings) -> Iterator[str]:
    """Yield the faults of settings that do not go together."""
    if settings.probe_timeout > settings.probe_seconds:
        yield "probe_timeout: longer than probe_seconds"
    if settings.election_seconds < HEARTBEATS_MISSED * settings.beat_seconds:
        yield "election_seconds: shorter than three beats"
    if settings.stale_weight > settings.down_weight:
        yield "stale_weight: above down_weight"
