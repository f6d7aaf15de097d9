"""All runs of each size as a table, as plain data, and as plots."""

import math
import statistics
from pathlib import Path

from ryelock.testing.scale.sizes import Figures, Plain, Size


class Point:
    """All runs of one size."""

    __slots__ = ("faults", "label", "notes", "runs", "size")

    def __init__(self, label: str, size: Size) -> None:
        """Create a point without runs."""
        self.label = label
        self.size = size
        self.runs: list[Figures] = []
        self.faults: list[str] = []
        self.notes: list[Plain] = []

    def values(self, name: str) -> list[float]:
        """Return a figure's values over all runs, sorted."""
        return sorted(run[name] for run in self.runs if name in run)

    def median(self, name: str) -> float | None:
        """Return a figure's median over all runs, None where no run has it."""
        values = self.values(name)
        return statistics.median(values) if values else None

    def plain(self) -> Plain:
        """Return the point as plain data for the JSON file."""
        return {
            "label": self.label,
            "nodes": self.size.nodes,
            "zones": self.size.zones,
            "servers": self.size.servers,
            "routes": self.size.routes,
            "runs": self.runs,
            "faults": self.faults,
            "notes": self.notes,
        }


def figure_names(points: list[Point]) -> list[str]:
    """Return the names of all figures in the order in which they were first measured."""
    return list(dict.fromkeys(name for point in points for run in point.runs for name in run))


def growth(first: Point, second: Point, name: str, by: str) -> float | None:
    """Return the exponent between two points: 0 constant, 1 linear, 2 quadratic.

    None where a figure is missing or not above 0.
    """
    one, other = first.median(name), second.median(name)
    start, end = getattr(first.size, by), getattr(second.size, by)
    if one is None or other is None or one <= 0 or other <= 0 or start == end:
        return None
    return math.log(other / one) / math.log(end / start)


def table(points: list[Point], by: str) -> str:
    """Return medians with lowest and highest, and the exponent between the two greatest sizes."""
    lines = [
        "| figure | " + " | ".join(point.label for point in points) + " | exponent |",
        "|---" * (len(points) + 2) + "|",
    ]
    for name in figure_names(points):
        cells = [cell(point.values(name)) for point in points]
        power = growth(points[-2], points[-1], name, by) if len(points) > 1 else None
        cells.append("" if power is None else f"{power:.2f}")
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def cell(values: list[float]) -> str:
    """Return a table cell: the median, with lowest and highest where they differ."""
    if not values:
        return ""
    middle = statistics.median(values)
    if len(values) == 1 or values[0] == values[-1]:
        return f"{middle:.3g}"
    return f"{middle:.3g} ({values[0]:.3g} to {values[-1]:.3g})"


def plot(points: list[Point], by: str, folder: Path) -> None:
    """Write one picture a figure into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in figure_names(points):
        file = "".join(letter if letter.isalnum() else "-" for letter in name)
        plot_figure(points, by, name, folder / f"{by}-{file}.png")


def plot_figure(points: list[Point], by: str, name: str, file: Path) -> None:
    """Write one figure against the size: every run a dot, and a line through the medians.

    Both axes are logarithmic where all values are above 0.
    """
    from matplotlib.figure import Figure

    picture = Figure(figsize=(5, 3.5), layout="constrained")
    axes = picture.subplots()
    known = [(getattr(point.size, by), point.values(name)) for point in points]
    known = [(place, values) for place, values in known if values]
    for place, values in known:
        axes.plot([place] * len(values), values, "o", color="tab:grey", markersize=4)
    medians = [statistics.median(values) for _, values in known]
    axes.plot([place for place, _ in known], medians, "-")
    if all(values[0] > 0 for _, values in known):
        axes.set_xscale("log")
        axes.set_yscale("log")
    axes.set_xlabel(by)
    axes.set_title(name, fontsize=9)
    picture.savefig(file, dpi=110)
