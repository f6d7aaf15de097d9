"""All processes' accounts and the hollow nodes' counts at one moment, and what grew between two."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ryelock.testing.processes.accounts import Account, Spent
from ryelock.testing.scale.sizes import Figures, Plain


@dataclass(frozen=True, slots=True)
class Reading:
    """Accounts by process name, and the summed counts of the hollow nodes.

    Attributes:
        at: monotonic time of the reading in seconds.
        accounts: the kernel's account of each process that runs, by its name.
        state: counts of all hollow nodes, by name.
    """

    at: float
    accounts: dict[str, Account]
    state: Plain

    @property
    def asks(self) -> Counter[str]:
        """Messages that hollow nodes sent so far, by kind."""
        asks = self.state.get("asks")
        return Counter(asks if isinstance(asks, dict) else {})

    def without(self, names: Iterable[str]) -> "Reading":
        """Return the reading without some processes, which count as fresh afterwards."""
        dropped = set(names)
        kept = {name: found for name, found in self.accounts.items() if name not in dropped}
        return replace(self, accounts=kept)


def spent_by(name: str, before: Reading, after: Reading) -> Spent:
    """Return what a process spent between two readings; it runs at both."""
    return Spent(before.accounts[name], after.accounts[name])


def grown(name: str, before: Reading, after: Reading) -> float:
    """Return by how much a count of the hollow nodes grew between two readings."""
    return number_of(after.state, name) - number_of(before.state, name)


def number_of(plain: Plain, name: str) -> float:
    """Return a number from an answer, 0 where it has none."""
    value = plain.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def percentile(values: list[float], part: float) -> float:
    """Return the value at or below which such a fraction of all values lies."""
    return sorted(values)[max(0, math.ceil(part * len(values)) - 1)]


def keep_percentiles(figures: Figures, name: str, values: list[float]) -> None:
    """Add the median and the 99th percentile of some times; nothing where there are none."""
    if values:
        figures[f"{name} p50"] = percentile(values, 0.5)
        figures[f"{name} p99"] = percentile(values, 0.99)


def sum_of_states(answers: list[Plain]) -> Plain:
    """Add up the counts of all hollow processes; what each node knows is taken from the last."""
    total: Plain = {}
    for answer in answers:
        for name, value in answer.items():
            before = total.get(name)
            if isinstance(value, dict):
                counts: Counter[str] = Counter(before if isinstance(before, dict) else {})
                counts.update(value)
                total[name] = dict(counts)
            elif name.startswith(("members", "verdict")):
                total[name] = value
            elif isinstance(value, int | float):
                total[name] = value + (before if isinstance(before, int | float) else 0)
    return total
