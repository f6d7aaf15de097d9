"""The kinds of faults and planned work that a day file of the users' bench may hold.

A day file lists entries; each has a `kind`, a time `at` in seconds from the start of traffic, and
the fields that its kind takes. `KINDS` names every kind with its variants (the field `how`) and the
spans from which its other fields are drawn. `CLOSINGS` names the faults that end a day.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

Span = tuple[float, float]

NO_VARIANT = ""

NO_CONTRACT = ""

# Words of `how` for machines and the part of entries that have one: which machine is struck, what
# happens to it beside that, how stubbornly, and whether servers of its zone leave after it.
MACHINE_WORDS = (
    (("leader", "reader", "seed"), 0.7),
    (("meet", "race"), 0.6),
    (("hard",), 0.4),
    (("drain",), 0.4),
)


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of entry.

    `planned` tells under which list of a day it stands. `variants` are the kind's own values of
    `how`; with `targeted`, words for the machine that is struck and what goes with it may follow.
    `spans` are the fields that are drawn evenly between two bounds, `counts` those drawn as whole
    numbers. `core` is the part of its entries that strike the machines whose loss is counted.
    `contract` is the part of the rules that must be in force on a site, if any.
    """

    name: str
    planned: bool = False
    variants: tuple[str, ...] = (NO_VARIANT,)
    targeted: bool = False
    spans: Mapping[str, Span] = field(default_factory=dict)
    counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    core: float = 0.0
    contract: str = NO_CONTRACT


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of a day: what happens when, with which figures."""

    at: float
    kind: str
    planned: bool
    how: str = NO_VARIANT
    on: str = ""
    service: str = ""
    figures: Mapping[str, float | int] = field(default_factory=dict)

    @property
    def end(self) -> float:
        """When its last step begins or its duration is over, in seconds from the start."""
        duration = float(self.figures.get("for_s", 0.0))
        steps = float(self.figures.get("count", 1)) * float(self.figures.get("gap_s", 0.0))
        return self.at + max(duration, steps, 1.0)

    def overlaps(self, other: "Entry") -> bool:
        """Whether both are under way at one moment."""
        return self.at < other.end and other.at < self.end

    @property
    def words(self) -> tuple[str, ...]:
        """The single words of the variant."""
        return tuple(self.how.split())


@dataclass(frozen=True, slots=True)
class Closing:
    """The fault at the end of a day, right after one more change was acknowledged."""

    kind: str
    how: str
    down_seconds: float


CLOSING_VARIANTS: Mapping[str, tuple[str, ...]] = {
    "power_off_all": (NO_VARIANT, "timed", "taken"),
    "wipe_after_ack": ("aimed", NO_VARIANT, "timed", "taken"),
    "kill_all": (NO_VARIANT, "timed", "taken"),
}
CLOSINGS = tuple(CLOSING_VARIANTS)
CLOSING_DOWN: Span = (0.5, 2.0)

_CONFIGURATIONS = ("route", "weights", "timeout", "tenant", "quota", "idle")
_INVALID = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
)
_GREY = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
_LYING = ("errors", "hang", "reset", "bad")
_LONG: Span = (3.0, 6.5)
_PART: Span = (0.1, 0.3)

_ALL = (
    # Planned work.
    Kind("config_change", planned=True, variants=_CONFIGURATIONS),
    Kind("config_race", planned=True, spans={"gap_s": (0.4, 1.2)}, counts={"count": (2, 6)}),
    Kind("config_storm", planned=True, spans={"gap_s": (0.12, 0.4), "for_s": (3.0, 6.0)}),
    Kind("big_config", planned=True, counts={"count": (200, 400)}),
    Kind(
        "bad_config",
        planned=True,
        variants=_INVALID,
        spans={"gap_s": (0.5, 1.0)},
        counts={"count": (1, 3)},
    ),
    Kind(
        "purge",
        planned=True,
        variants=(NO_VARIANT, "tag"),
        spans={"gap_s": (0.6, 1.2)},
        counts={"count": (3, 6)},
    ),
    Kind(
        "purge_storm",
        planned=True,
        variants=(NO_VARIANT, "tag"),
        spans={"gap_s": (0.05, 0.08), "for_s": (2.5, 4.0)},
    ),
    Kind(
        "release", planned=True, spans={"share": (0.3, 0.5), "gap_s": (0.7, 1.3), "x": (1.0, 1.0)}
    ),
    Kind(
        "scale_in",
        planned=True,
        variants=(NO_VARIANT, "spot"),
        spans={"share": (0.1, 0.15)},
    ),
    Kind("scale_out", planned=True, spans={"share": (0.2, 0.4), "gap_s": (1.0, 3.0)}),
    Kind(
        "roll_term",
        planned=True,
        variants=(NO_VARIANT, "busy", "remove"),
        spans={"share": (0.2, 0.5), "gap_s": (0.9, 1.3), "x": (1.0, 1.0)},
    ),
    Kind("hup", planned=True, spans={"share": (0.3, 0.6), "gap_s": (0.5, 1.5)}),
    Kind("seed_turnover", planned=True),
    # Faults of clients, servers and the platform's traffic.
    Kind("burst", spans={"x": (1.4, 1.8), "for_s": (2.0, 4.0)}),
    Kind("retry_abuse", spans={"share": (0.2, 0.3), "x": (2.0, 3.0), "for_s": (3.0, 5.5)}),
    Kind(
        "srv_crash",
        variants=(NO_VARIANT, "dark", "gone", "dark gone"),
        spans={"share": (0.1, 0.15), "for_s": (3.0, 4.5)},
    ),
    Kind("srv_slow", spans={"share": (0.1, 0.16), "x": (4.0, 6.0), "for_s": _LONG}),
    Kind(
        "replace_with_reuse",
        variants=(NO_VARIANT, "drain", "dark"),
        spans={"share": (0.1, 0.18)},
    ),
    Kind(
        "answer_lost",
        variants=(NO_VARIANT, "reset"),
        spans={"share": (0.3, 0.6), "x": (0.02, 0.05), "for_s": _LONG},
    ),
    Kind(
        "garble",
        variants=(NO_VARIANT, "extra", "extra late"),
        spans={"share": (0.3, 0.6), "x": (0.015, 0.03), "for_s": _LONG},
    ),
    Kind(
        "idle_race",
        contract="pool",
        spans={"share": (0.3, 0.5), "x": (150.0, 320.0), "for_s": _LONG},
    ),
    Kind(
        "srv_flap",
        contract="health",
        spans={"share": (0.1, 0.15), "gap_s": (1.0, 1.5), "for_s": _LONG},
    ),
    Kind(
        "srv_grey", contract="health", variants=_GREY, spans={"share": (0.1, 0.14), "for_s": _LONG}
    ),
    Kind(
        "srv_lying_health",
        contract="health",
        variants=_LYING,
        spans={"share": (0.1, 0.12), "for_s": _LONG},
    ),
    # Faults of the system's own machines, links, disks and clocks.
    Kind(
        "node_kill",
        variants=(NO_VARIANT, "power"),
        targeted=True,
        spans={"for_s": (2.0, 4.0)},
        counts={"count": (1, 1)},
        core=0.7,
    ),
    Kind(
        "herd_kill",
        variants=(NO_VARIANT, "power", "taken"),
        spans={"share": (0.4, 0.6), "for_s": (1.5, 2.5)},
        core=0.4,
    ),
    Kind("replace_core", variants=(NO_VARIANT, "planned"), targeted=True, spans={"x": (0.5, 2.5)}),
    Kind(
        "after_ack_kill",
        variants=(NO_VARIANT, "kill", "timed", "taken"),
        spans={"for_s": (2.0, 3.5)},
    ),
    Kind(
        "after_ack_wipe",
        variants=(NO_VARIANT, "timed", "taken"),
        spans={"for_s": (2.0, 3.5)},
    ),
    Kind(
        "core_cut",
        variants=(NO_VARIANT, "one_way", "seeds", "both", "reset", "refuse"),
        targeted=True,
        spans={"for_s": (4.0, 8.0)},
        counts={"count": (1, 1)},
    ),
    Kind(
        "node_cut",
        variants=(NO_VARIANT, "servers", "reset", "refuse"),
        spans={"share": _PART, "for_s": (3.0, 5.5)},
    ),
    Kind(
        "node_freeze",
        targeted=True,
        spans={"for_s": (1.0, 4.0)},
        counts={"count": (1, 1)},
        core=0.6,
    ),
    Kind(
        "node_slow",
        targeted=True,
        spans={"x": (4.0, 8.0), "for_s": (2.0, 5.0)},
        counts={"count": (1, 1)},
        core=0.6,
    ),
    Kind(
        "disk_slow",
        targeted=True,
        spans={"x": (20.0, 40.0), "for_s": _LONG},
        counts={"count": (1, 1)},
    ),
    Kind("disk_full", targeted=True, spans={"for_s": _LONG}, counts={"count": (1, 1)}),
    Kind("disk_stall", targeted=True, spans={"for_s": (1.0, 5.0)}, counts={"count": (1, 1)}),
    Kind(
        "clock_step",
        variants=(NO_VARIANT, "back", "ahead"),
        spans={"x": (500.0, 5000.0), "share": (0.2, 0.5), "for_s": _LONG},
    ),
    Kind("reset_conns", spans={"share": (0.1, 0.3), "x": (0.3, 0.8)}),
    Kind("ack_lost", spans={"x": (0.4, 0.8), "for_s": (5.0, 10.0)}),
)
KINDS: Mapping[str, Kind] = {kind.name: kind for kind in _ALL}


class Variants:
    """Deals values of `how`, each word of a kind once before any comes again."""

    __slots__ = ("_random", "_rest")

    def __init__(self, random: Random) -> None:
        """Deal with a source of randomness; no variant is dealt yet."""
        self._random = random
        self._rest: dict[tuple[str, ...], list[str]] = {}

    def draw(self, kind: Kind) -> str:
        """One of the kind's own variants, then, at times, words for the machine it strikes."""
        words = [self._deal((kind.name,), kind.variants)]
        if kind.targeted:
            for choices, part in MACHINE_WORDS:
                if self._random.random() < part:
                    words.append(self._deal((kind.name, *choices), choices))
        return " ".join(word for word in words if word)

    def closing(self, kind: str) -> str:
        """A variant of a closing fault."""
        return self._deal((kind,), CLOSING_VARIANTS[kind])

    def _deal(self, owner: tuple[str, ...], choices: tuple[str, ...]) -> str:
        rest = self._rest.setdefault(owner, [])
        if not rest:
            rest.extend(self._random.sample(choices, len(choices)))
        return rest.pop()


def draw_entry(kind: Kind, at: float, how: str, random: Random) -> Entry:
    """One entry of a kind and variant at a time, its figures drawn."""
    figures: dict[str, float | int] = {}
    for name, (low, high) in kind.spans.items():
        figures[name] = round(random.uniform(low, high), 3)
    for name, (fewest, most) in kind.counts.items():
        figures[name] = random.randint(fewest, most)
    on = "core" if kind.core and random.random() < kind.core else ""
    return Entry(round(at, 2), kind.name, kind.planned, how, on, figures=figures)


def draw_closing(kind: str, how: str, random: Random) -> Closing:
    """A closing fault of a kind and variant, the time until machines are back drawn."""
    return Closing(kind, how, round(random.uniform(*CLOSING_DOWN), 2))


def open_kinds(contracts: Iterable[str]) -> list[str]:
    """The kinds that a site with these parts of the rules may hold, in order of name."""
    given = {NO_CONTRACT, *contracts}
    return sorted(name for name, kind in KINDS.items() if kind.contract in given)
