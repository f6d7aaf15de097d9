"""Days drawn from a seed: every pair of kinds meets in at least one day.

Each day holds some kinds of faults and one closing fault. Kinds are picked greedily: first a pair
that no earlier day holds, then, one by one, the kind that adds the most pairs not yet held. Times
come in a few groups, so that entries of a day overlap, and some kinds come twice.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from random import Random

from ryelock.testing.days.dayfile import Day, Site
from ryelock.testing.days.fault_kinds import (
    CLOSINGS,
    KINDS,
    Entry,
    Variants,
    draw_closing,
    draw_entry,
    open_kinds,
)

Pair = tuple[str, str]

FIRST_AT = 2.0
LAST_BEFORE_END = 5.0
GROUPS = 3
GROUP_SPREAD = 2.5
REPEATED = 3
FEWEST_KINDS = 4


class CoverageError(ValueError):
    """So few days cannot hold every pair of kinds, however many kinds a day has."""


@dataclass(frozen=True, slots=True)
class Coverage:
    """What a list of days holds: pairs of kinds on one day, and such that overlap in time."""

    kinds: Mapping[str, int]
    variants: Mapping[Pair, int]
    pairs: frozenset[Pair]
    overlapping: frozenset[Pair]
    missing: tuple[Pair, ...]


def pair_of(one: str, other: str) -> Pair:
    """Two kinds as a pair, the lower name first."""
    return (one, other) if one < other else (other, one)


def pairs_of(kinds: Iterable[str]) -> set[Pair]:
    """All pairs of different kinds."""
    return {pair_of(one, other) for one, other in combinations(set(kinds), 2)}


def wanted_pairs(kinds: Iterable[str]) -> set[Pair]:
    """The pairs that days can hold: two closing faults never meet."""
    closings = set(CLOSINGS)
    return {pair for pair in pairs_of([*kinds, *CLOSINGS]) if not closings.issuperset(pair)}


@dataclass(frozen=True, slots=True)
class Plan:
    """Which kinds a day is to hold, and which closing fault."""

    kinds: list[str]
    closing: str

    @property
    def pairs(self) -> set[Pair]:
        """The pairs of kinds on the day, its closing fault among them."""
        return pairs_of([*self.kinds, self.closing])


def fullest_closing(chosen: Sequence[str], missing: set[Pair], random: Random) -> str:
    """The closing fault that adds the most missing pairs."""
    shuffled = random.sample(CLOSINGS, len(CLOSINGS))
    return max(shuffled, key=lambda one: sum(pair_of(one, kind) in missing for kind in chosen))


def pick_kinds(kinds: Sequence[str], missing: set[Pair], size: int, random: Random) -> Plan:
    """The kinds of the next day, `size` of them, and the closing fault."""
    closings = set(CLOSINGS)
    open_pairs = sorted(pair for pair in missing if not closings.intersection(pair))
    chosen = list(random.choice(open_pairs)) if open_pairs else []
    closing = ""
    if missing and not open_pairs:
        closed = random.choice(sorted(missing))
        closing = next(kind for kind in closed if kind in closings)
    while len(chosen) < size:
        rest = [kind for kind in kinds if kind not in chosen]
        held = [*chosen, closing] if closing else chosen
        gains = Counter({kind: sum(pair_of(kind, one) in missing for one in held) for kind in rest})
        best = max(gains.values())
        chosen.append(random.choice([kind for kind in rest if gains[kind] == best]))
    return Plan(chosen, closing or fullest_closing(chosen, missing, random))


def plan_days(kinds: Sequence[str], count: int, size: int, random: Random) -> list[Plan]:
    """The kinds and closing faults of `count` days of `size` kinds each."""
    missing = wanted_pairs(kinds)
    plans: list[Plan] = []
    for _ in range(count):
        plan = pick_kinds(kinds, missing, size, random)
        missing -= plan.pairs
        plans.append(plan)
    return plans


def covers(kinds: Sequence[str], plans: Sequence[Plan]) -> bool:
    """Whether every wanted pair is on one of the days."""
    held: set[Pair] = set()
    for plan in plans:
        held |= plan.pairs
    return wanted_pairs(kinds) <= held


def smallest_plan(kinds: Sequence[str], count: int, seed: int) -> list[Plan]:
    """The plan with the fewest kinds a day that holds every pair; CoverageError if none does."""
    for size in range(min(FEWEST_KINDS, len(kinds)), len(kinds) + 1):
        plans = plan_days(kinds, count, size, Random(f"{seed} kinds"))
        if covers(kinds, plans):
            return plans
    raise CoverageError(f"{count} days cannot hold all pairs of {len(kinds)} kinds")


def draw_times(number: int, length_seconds: float, random: Random) -> list[float]:
    """Times in a few groups within the day, so that entries overlap."""
    last = length_seconds - LAST_BEFORE_END
    groups = [random.uniform(FIRST_AT, last) for _ in range(GROUPS)]
    times = [random.choice(groups) + random.uniform(0.0, GROUP_SPREAD) for _ in range(number)]
    return [min(time, last) for time in times]


def repeated_kinds(plans: Sequence[Plan], random: Random) -> list[list[str]]:
    """For each day, kinds that come again: enough of each that all its variants can be dealt."""
    holders: dict[str, list[int]] = {}
    for number, plan in enumerate(plans):
        for kind in plan.kinds:
            holders.setdefault(kind, []).append(number)
    repeats: list[list[str]] = [[] for _ in plans]
    for kind, numbers in sorted(holders.items()):
        for _ in range(len(KINDS[kind].variants) - len(numbers)):
            repeats[random.choice(numbers)].append(kind)
    for plan, repeated in zip(plans, repeats, strict=True):
        lacking = max(0, min(REPEATED, len(plan.kinds)) - len(repeated))
        repeated += random.sample(plan.kinds, lacking)
    return repeats


def draw_day(
    name: str, seed: int, kinds: Sequence[str], closing: str, site: Site, variants: Variants
) -> Day:
    """A day with one entry for each of the kinds, ended by the closing fault."""
    random = Random(f"{seed} entries")
    entries: list[Entry] = []
    for kind, at in zip(kinds, draw_times(len(kinds), site.length_seconds, random), strict=True):
        entries.append(draw_entry(KINDS[kind], at, variants.draw(KINDS[kind]), random))
    ended = draw_closing(closing, variants.closing(closing), random)
    return Day(name, seed, tuple(sorted(entries, key=lambda entry: entry.at)), ended)


def draw_days(site: Site, count: int, seed: int, kinds: Sequence[str] = ()) -> list[Day]:
    """`count` days that hold each pair of kinds at least once; the same ones for one seed.

    Without `kinds`, all those that the site may hold. CoverageError where the days are too few.
    """
    names = sorted(kinds) or open_kinds(site.contracts)
    variants = Variants(Random(f"{seed} variants"))
    plans = smallest_plan(names, count, seed)
    repeats = repeated_kinds(plans, Random(f"{seed} repeats"))
    days: list[Day] = []
    for number, (plan, repeated) in enumerate(zip(plans, repeats, strict=True), 1):
        day_seed = Random(f"{seed} day {number}").randrange(1, 2**31)
        name = f"pairs-{seed}-{number:02}"
        kinds_of_day = [*plan.kinds, *repeated]
        days.append(draw_day(name, day_seed, kinds_of_day, plan.closing, site, variants))
    return days


def overlapping_pairs(entries: Sequence[Entry]) -> set[Pair]:
    """The pairs of kinds of which two entries are under way at one moment."""
    return {
        pair_of(one.kind, other.kind)
        for one, other in combinations(entries, 2)
        if one.kind != other.kind and one.overlaps(other)
    }


def coverage(days: Sequence[Day], kinds: Sequence[str]) -> Coverage:
    """Count what days hold, against the pairs of `kinds` and closing faults."""
    counted: Counter[str] = Counter()
    variants: Counter[Pair] = Counter()
    pairs: set[Pair] = set()
    overlapping: set[Pair] = set()
    for day in days:
        counted.update(entry.kind for entry in day.entries)
        variants.update((entry.kind, word) for entry in day.entries for word in entry.words)
        if day.closing is not None:
            counted[day.closing.kind] += 1
            variants.update((day.closing.kind, word) for word in day.closing.how.split())
        pairs |= pairs_of(day.kinds)
        overlapping |= overlapping_pairs(day.entries)
    missing = tuple(sorted(wanted_pairs(kinds) - pairs))
    return Coverage(counted, variants, frozenset(pairs), frozenset(overlapping), missing)


def coverage_lines(found: Coverage) -> list[str]:
    """The coverage as lines of text: kinds with their variants, pairs, what is missing."""
    lines = []
    for kind, number in sorted(found.kinds.items()):
        words = [
            f"{word} {times}"
            for (one, word), times in sorted(found.variants.items())
            if one == kind
        ]
        lines.append(f"{kind}: {number}" + (f" ({', '.join(words)})" if words else ""))
    total = len(found.pairs) + len(found.missing)
    lines.append(f"pairs of kinds on one day: {len(found.pairs)} of {total}")
    lines.append(f"pairs whose entries overlap in time: {len(found.overlapping)}")
    lines += [f"missing: {one} with {other}" for one, other in found.missing]
    return lines
