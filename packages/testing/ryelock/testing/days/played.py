"""What played days came to: kinds brought about, pairs of them, and the smallest margins.

Read from the reports that `fleetbench run SITE DAY --report FILE` writes. A day that was drawn may
ask for more than was brought about: entries that would lose more machines at once than the site
allows wait or are left out.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from ryelock.testing.days.drawing import Pair, pairs_of, wanted_pairs

CLOSING = "closing"
WINDOW_SECONDS = 2.0
NEVER = float("inf")
PARTS = (0.25, 0.5, 0.9)

# Times of a report, by the bench's names; each is a median and a longest in ms.
TIMES = (
    "config acked",
    "next ack after a core kill",
    "serving after all were killed",
    "leaving in force",
)


class ReportError(ValueError):
    """A report lacks what is read of it."""


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """One played day.

    `broken` and `missed` are the bench's lines for rules and duties; `longest_ms` has the longest
    of each of TIMES that occurred; `served_after` has, for each window begun after the closing
    fault, the seconds from the fault to the window's end and the part of its requests that was
    served, in their aim or late.
    """

    name: str
    kinds: frozenset[str]
    broken: tuple[str, ...]
    missed: tuple[str, ...]
    changes: int
    longest_ms: Mapping[str, float]
    served_after: tuple[tuple[float, float], ...]

    def seconds_to(self, part: float) -> float:
        """Seconds from the closing fault to the end of the first window that reaches a part."""
        return next((seconds for seconds, share in self.served_after if share >= part), NEVER)


def kind_of(text: str) -> str:
    """The kind in a report's words: `node_kill (power)`, `closing (kill_all)`."""
    name, _, inner = text.partition(" (")
    return inner.rstrip(")") if name == CLOSING else name


def read_report(path: Path) -> PlayedDay:
    """Read a report; ReportError where a field is missing or has another type."""
    try:
        found = json.loads(path.read_text())
        events = [(str(one["kind"]), float(one["at_s"])) for one in found["events"]]
        ends = [at for kind, at in events if kind.startswith(CLOSING)]
        served = tuple(
            (begins + WINDOW_SECONDS - ends[0], (one["in_aim"] + one["late"]) / one["n"])
            for one in found["windows"]
            if ends and one["n"] and (begins := float(one["name"])) >= ends[0]
        )
        times = {name: found["times"].get(name) for name in TIMES}
        return PlayedDay(
            name=path.stem,
            kinds=frozenset(kind_of(kind) for kind, _ in events),
            broken=tuple(str(rule) for rule in found["breaks"]),
            missed=tuple(str(line) for line in found["missed"]),
            changes=int(found["configs"]),
            longest_ms={name: float(pair[1]) for name, pair in times.items() if pair},
            served_after=served,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ReportError(f"{path}: {error!r}") from error


def pairs_brought_about(days: Sequence[PlayedDay]) -> set[Pair]:
    """The pairs of kinds that were under way on one day."""
    found: set[Pair] = set()
    for day in days:
        found |= pairs_of(day.kinds)
    return found


def margin_lines(days: Sequence[PlayedDay]) -> list[str]:
    """A table of the longest times over all days, with the day of each."""
    lines = ["| time | longest, ms | day | days with it |", "|---|---|---|---|"]
    for name in TIMES:
        held = [day for day in days if name in day.longest_ms]
        if held:
            worst = max(held, key=lambda day: day.longest_ms[name])
            lines.append(f"| {name} | {worst.longest_ms[name]:.0f} | {worst.name} | {len(held)} |")
    return lines


def recovery_lines(days: Sequence[PlayedDay]) -> list[str]:
    """A table of the slowest returns after the closing fault, in seconds from the fault."""
    lines = ["| served | slowest, s after the fault | day |", "|---|---|---|"]
    ended = [day for day in days if day.served_after]
    for part in PARTS if ended else ():
        slow = max(ended, key=lambda day: day.seconds_to(part))
        lines.append(f"| {part:.0%} | {slow.seconds_to(part):g} | {slow.name} |")
    return lines


def summary_lines(days: Sequence[PlayedDay], kinds: Sequence[str]) -> list[str]:
    """Days, what broke, pairs brought about of those wanted, and the margins."""
    pairs = pairs_brought_about(days)
    wanted = wanted_pairs(kinds)
    lines = [f"days: {len(days)}", f"changes: {sum(day.changes for day in days)}"]
    for day in days:
        lines += [f"{day.name}: BROKEN {rule}" for rule in day.broken]
        lines += [f"{day.name}: missed {line}" for line in day.missed]
    lines.append(f"pairs brought about: {len(pairs & wanted)} of {len(wanted)}")
    never = sorted(set(kinds) - {kind for day in days for kind in day.kinds})
    lines.append(f"kinds not brought about: {', '.join(never) or 'none'}")
    return [*lines, "", *margin_lines(days), "", *recovery_lines(days)]
