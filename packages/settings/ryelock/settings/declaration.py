"""Declaration of all settings: key, default, validator and one line of help."""

from collections.abc import Callable
from typing import Generic, TypeVar, overload

from ryelock.settings.checks import (
    boolean,
    identifier,
    integer,
    number,
    optional_address,
    optional_identifier,
    parse_address,
    regions_by_zone,
    seed_addresses,
    text,
)

Value = TypeVar("Value")


class Setting(Generic[Value]):
    """A declared setting: a descriptor whose value is read from `Settings`.

    Attributes:
        key: name of the setting in files and flags, which is the name of the attribute.
        default: value used if the operator sets none.
        check: returns the converted value or raises InvalidValueError with the reason.
        description: one line of help, as in docs/settings.md.
    """

    __slots__ = ("check", "default", "description", "key")

    def __init__(self, default: Value, check: Callable[[object], Value], description: str) -> None:
        """Declare a setting; see the attributes."""
        self.default = default
        self.check = check
        self.description = description
        self.key = ""

    def __set_name__(self, owner: type, name: str) -> None:
        """Set the key to the name of the attribute."""
        self.key = name

    @overload
    def __get__(self, settings: None, owner: type) -> "Setting[Value]": ...
    @overload
    def __get__(self, settings: "Settings", owner: type) -> Value: ...
    def __get__(self, settings: "Settings | None", owner: type) -> "Setting[Value] | Value":
        """Return the value in a Settings instance, or the setting itself if read from the class."""
        if settings is None:
            return self
        return settings.values[self.key]  # type: ignore[return-value]


class Settings:
    """The settings of one process, as attributes; durations are in seconds, sizes in bytes.

    Operators' files use the names, and docs/settings.md is generated from names and descriptions.
    """

    __slots__ = ("values",)

    name = Setting("", identifier, "name of this process, told apart in records and logs")
    zone = Setting("", identifier, "zone this machine stands in")
    machine = Setting(
        "",
        optional_identifier,
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
    probe = Setting(False, boolean, "whether an edge also probes the edges of its zone")
    probers_chosen = Setting(
        0,
        integer(0, 100),
        "of the probing machines of a zone, so many that "
        "are ready probe, the first by name; 0: all",
    )
    derive_watches = Setting(
        False,
        boolean,
        "whether a watch is made up for each cached route that "
        "has none, of an object that was served",
    )
    may_found = Setting(True, boolean, "whether an empty disk may found a core with its seeds")
    regions: Setting[dict[str, str]] = Setting(
        {}, regions_by_zone, "zone=region, divided by commas, of the zones that share one"
    )
    serve_lapsed = Setting(
        False,
        boolean,
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
        boolean,
        "whether one control node at a time reads the platform's "
        "list, by a duty with a successor, instead of each",
    )
    spread_region = Setting(
        False,
        boolean,
        "whether servers of the whole region are picked from, by "
        "what they cost, instead of the own zone's first",
    )
    share_copies = Setting(
        False,
        boolean,
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
    listing_takeover = Setting(
        1.0,
        number(0.1, 30),
        "age of the newest listing at which the leader reads the list itself, where another "
        "control node has that duty",
    )
    gone_seconds = Setting(600.0, number(1, 86_400), "how long a lost edge is still probed")
    image_records = Setting(4000, integer(10, 10_000_000), "records between two images")
    disk_bytes = Setting(0, integer(0, 1 << 50), "size of the data folder's disk; 0: not known")
    link_bytes = Setting(
        0, integer(0, 1 << 40), "bytes a second that the machine's link carries; 0: not known"
    )
    segment_bytes = Setting(4_194_304, integer(4096, 1 << 30), "size at which a segment is closed")

    head_bytes = Setting(32_768, integer(1024, 1 << 20), "longest head of an order or answer")
    body_bytes = Setting(8_388_608, integer(0, 1 << 30), "longest body of an order")
    links_most = Setting(4096, integer(1, 65_536), "most caller links at once")
    idle_seconds = Setting(30.0, number(0.1, 3600), "how long an idle link is kept")
    order_seconds = Setting(10.0, number(0.1, 600), "deadline of one order")
    connect_seconds = Setting(1.0, number(0.05, 60), "deadline for a link to a server")
    answer_bytes = Setting(1_048_576, integer(1024, 1 << 30), "largest answer that is cached")
    cache_bytes = Setting(67_108_864, integer(0, 1 << 36), "room for cached copies")
    stop_seconds = Setting(10.0, number(0, 600), "how long a stop waits for open answers")
    linger_seconds = Setting(
        0.5,
        number(0, 600),
        "how long a stopping edge that is not ready any "
        "more still takes new links, at most a quarter of stop_seconds or so "
        "long as this says where edges serve after a lapse",
    )
    explain_orders = Setting(5000, integer(0, 1_000_000), "orders remembered for explain")

    probe_seconds = Setting(30.0, number(0.1, 3600), "cadence of probes of one target")
    probe_timeout = Setting(6.0, number(0.05, 60), "deadline of one probe")
    probe_flight = Setting(12, integer(1, 1000), "most probes in flight")
    verdict_rows = Setting(5, integer(1, 1000), "rows of one prober and edge that are judged")
    verdict_span = Setting(600.0, number(1, 86_400), "age up to which a row is judged")
    verdict_quorum = Setting(3, integer(1, 1000), "failed rows that make an edge failed")
    stale_seconds = Setting(30.0, number(0.1, 1e6), "age above which an object is stale")
    down_weight = Setting(0.15, number(0, 1), "share of visitors in down zones: network down")
    stale_weight = Setting(0.10, number(0, 1), "share in stale zones: network stale above it")
    weight_span = Setting(300.0, number(1, 86_400), "span over which visitors are counted")
    verdict_seconds = Setting(1.0, number(0.05, 600), "how often verdicts are worked out")

    def __init__(self, values: dict[str, object]) -> None:
        """Create settings from validated values, one for every key; see `read_settings`."""
        self.values = values


def declared_settings(owner: type[Settings]) -> dict[str, Setting[object]]:
    """Return the settings declared by a class, by key."""
    return {key: value for key, value in vars(owner).items() if isinstance(value, Setting)}
