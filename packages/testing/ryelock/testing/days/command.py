"""The commands `days` and `played` of `python -m ryelock.testing`."""

import sys
from pathlib import Path

from ryelock.testing.aimed import AIMS, draw_aimed
from ryelock.testing.days.dayfile import SiteError, read_site, write_day
from ryelock.testing.days.drawing import CoverageError, coverage, coverage_lines, draw_days
from ryelock.testing.days.fault_kinds import KINDS, open_kinds
from ryelock.testing.days.played import ReportError, read_report, summary_lines


def days(
    *, site: str, out: str, count: int = 16, seed: int = 1, aim: str = "", kinds: str = ""
) -> int:
    """Write day files for the users' bench, drawn from a seed, and print what they cover.

    Without an aim, each pair of kinds of trouble is on at least one of the days.

    :param site: site file of the bench
    :param out: folder for the day files
    :param count: how many days
    :param seed: seed of the days
    :param aim: one of the aims in ryelock.testing.aimed in place of pairs of kinds
    :param kinds: only these kinds, divided by commas
    """
    if aim and aim not in AIMS:
        sys.stderr.write(f"no aim {aim!r}; there are {', '.join(AIMS)}\n")
        return 2
    chosen = kinds.split(",") if kinds else []
    unknown = [name for name in chosen if name not in KINDS]
    if unknown:
        sys.stderr.write(f"no kinds {', '.join(unknown)}; there are {', '.join(KINDS)}\n")
        return 2
    try:
        place = read_site(Path(site))
        drawn = (
            draw_aimed(place, aim, count, seed) if aim else draw_days(place, count, seed, chosen)
        )
    except (SiteError, CoverageError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        return 2
    note = f"Drawn for {place.name}: count {count}, seed {seed}" + (f", aim {aim}" if aim else "")
    for day in drawn:
        sys.stdout.write(f"{write_day(day, note, Path(out))}\n")
    wanted = () if aim else chosen or open_kinds(place.contracts)
    sys.stdout.writelines(f"{line}\n" for line in coverage_lines(coverage(drawn, wanted)))
    return 0


def played(*, site: str, reports: str) -> int:
    """Tell what played days came to: what broke, pairs brought about, the smallest margins.

    :param site: site file of the bench
    :param reports: folder with the `.report` files of `fleetbench run SITE DAY --report FILE`
    """
    try:
        place = read_site(Path(site))
        found = [read_report(path) for path in sorted(Path(reports).glob("*.report"))]
    except (SiteError, ReportError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        return 2
    lines = summary_lines(found, open_kinds(place.contracts))
    sys.stdout.writelines(f"{line}\n" for line in lines)
    return 1 if any(day.broken for day in found) else 0
