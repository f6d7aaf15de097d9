"""Day schedules aimed at one weak point each of the control plane and its state.

Each aim draws the entries of one day from a seed; the days of a site differ in the targets of
the faults, in their times and in the closing fault.
"""

from collections.abc import Callable, Mapping
from random import Random

from ryelock.testing.days.dayfile import Day, Site
from ryelock.testing.days.fault_kinds import (
    CLOSINGS,
    KINDS,
    NO_CONTRACT,
    Entry,
    Variants,
    draw_closing,
)

Aim = Callable[[Site, Random], list[Entry]]

PARTITION_SECONDS = 20.0
RACE_COUNT = 20
PARTITION_VARIANTS = (
    "leader race",
    "leader one_way race hard",
    "reader race",
    "seeds race",
    "leader refuse",
)
LOSSES = (
    ("node_kill", "power"),
    ("node_kill", "leader race drain"),
    ("node_kill", "seed meet"),
    ("after_ack_wipe", ""),
    ("after_ack_wipe", "taken"),
    ("after_ack_kill", "timed"),
)
MARGIN_SECONDS = 0.2
ROUTE_COUNT = 350


def planned(at: float, kind: str, how: str = "", **figures: float | int) -> Entry:
    """Return an entry of planned work."""
    return Entry(round(at, 2), kind, True, how, figures=figures)


def fault(at: float, kind: str, how: str = "", **figures: float | int) -> Entry:
    """Return a fault whose target the day's seed draws."""
    return Entry(round(at, 2), kind, False, how, figures=figures)


def core_fault(at: float, kind: str, how: str, **figures: float | int) -> Entry:
    """Return a fault of a control node; its loss counts against the majority."""
    return Entry(round(at, 2), kind, False, how, on="core", figures=figures)


def isolated_leader(site: Site, random: Random) -> list[Entry]:
    """Partition a control node while operators race and acknowledgements are lost."""
    start = round(random.uniform(3.0, 5.0), 2)
    how = random.choice(PARTITION_VARIANTS)
    return [
        fault(1.0, "ack_lost", x=0.6, for_s=site.length_seconds - 4.0),
        fault(start, "core_cut", how, count=1, for_s=PARTITION_SECONDS),
        planned(start + 1.0, "config_race", count=8, gap_s=0.8),
        planned(start + 8.0, "purge_storm", gap_s=0.1, for_s=3.0),
        planned(start + 12.0, "config_storm", gap_s=0.3, for_s=4.0),
        planned(start + PARTITION_SECONDS - 0.3, "config_race", count=6, gap_s=0.3),
    ]


def racing_changes(site: Site, random: Random) -> list[Entry]:
    """Race many changes on one version while the leader and acknowledgements are lost."""
    first = round(random.uniform(8.0, 11.0), 2)
    return [
        fault(0.5, "ack_lost", x=0.7, for_s=site.length_seconds - 3.0),
        planned(1.5, "config_race", count=RACE_COUNT, gap_s=round(random.uniform(0.3, 0.6), 2)),
        planned(4.0, "bad_config", "stale_match", count=4, gap_s=0.9),
        core_fault(first, "node_kill", "leader race hard", count=1, for_s=2.5),
        planned(first + 1.0, "purge_storm", gap_s=0.06, for_s=4.0),
        fault(first + 8.0, "core_cut", "leader race", count=1, for_s=4.0),
        planned(first + 7.0, "config_race", count=RACE_COUNT, gap_s=0.4),
    ]


def second_loss(site: Site, random: Random) -> list[Entry]:
    """Replace control nodes, each followed by the earliest further loss that the site allows."""
    entries = [planned(1.0, "config_storm", gap_s=0.8, for_s=site.length_seconds - 6.0)]
    at = 2.0
    while at < site.length_seconds - 12.0:
        gap = round(random.uniform(0.4, 1.5), 2)
        entries.append(
            fault(at, "replace_core", random.choice(("", "planned", "seed", "leader")), x=gap)
        )
        loss = at + gap + site.catch_up_seconds + MARGIN_SECONDS
        kind, how = random.choice(LOSSES)
        down = round(random.uniform(0.5, 1.5), 2)
        entries.append(
            core_fault(loss, kind, how, count=1, for_s=down)
            if kind == "node_kill"
            else fault(loss, kind, how, for_s=down)
        )
        at = loss + down + site.catch_up_seconds + MARGIN_SECONDS
    return entries


def many_changes(site: Site, random: Random) -> list[Entry]:
    """Commit hundreds of changes over hundreds of routes amid restarts, lost disks and kills."""
    gap = round(random.uniform(0.05, 0.09), 3)
    return [
        planned(1.0, "big_config", count=ROUTE_COUNT),
        planned(2.0, "config_storm", gap_s=gap, for_s=8.0),
        fault(6.0, "after_ack_wipe", random.choice(("", "timed")), for_s=1.5),
        planned(12.5, "big_config", count=ROUTE_COUNT),
        core_fault(14.0, "node_kill", "leader meet", count=1, for_s=1.5),
        planned(14.5, "config_storm", gap_s=gap, for_s=8.0),
        core_fault(20.0, "herd_kill", random.choice(("power", "")), share=0.6, for_s=1.5),
        planned(21.0, "roll_term", random.choice(("", "busy")), share=0.3, x=1.0, gap_s=1.0),
    ]


def lost_answers(site: Site, random: Random) -> list[Entry]:
    """Lose, duplicate, delay and reset the answers to requests that may run at most once."""
    service = random.choice(site.once_services or site.services)
    start = round(random.uniform(3.0, 5.0), 2)
    answer_faults = [
        Entry(
            start,
            "garble",
            False,
            "extra late",
            "",
            service,
            {"share": 0.7, "x": 0.06, "for_s": 9.0},
        ),
        Entry(
            start + 2,
            "answer_lost",
            False,
            "reset",
            "",
            service,
            {"share": 0.7, "x": 0.08, "for_s": 9.0},
        ),
        Entry(
            start + 4, "idle_race", False, "", "", service, {"share": 0.5, "x": 200.0, "for_s": 8.0}
        ),
        Entry(
            start + 9,
            "garble",
            False,
            "extra",
            "",
            service,
            {"share": 0.6, "x": 0.06, "for_s": 8.0},
        ),
        Entry(
            start + 11,
            "answer_lost",
            False,
            "",
            "",
            service,
            {"share": 0.6, "x": 0.08, "for_s": 9.0},
        ),
    ]
    resets = [
        fault(start + step, "reset_conns", share=0.4, x=0.7) for step in (1.0, 4.0, 8.0, 13.0, 18.0)
    ]
    return [
        *answer_faults,
        *resets,
        fault(start + 6, "srv_crash", random.choice(("", "dark")), share=0.15, for_s=3.0),
        planned(start + 7, "release", share=0.4, x=1.0, gap_s=0.8),
        planned(start + 12, "roll_term", "busy", share=0.4, x=1.0, gap_s=1.0),
    ]


AIMS: Mapping[str, Aim] = {
    "isolated-leader": isolated_leader,
    "racing-changes": racing_changes,
    "second-loss": second_loss,
    "many-changes": many_changes,
    "lost-answers": lost_answers,
}


def is_in_contract(entry: Entry, site: Site) -> bool:
    """Return True if the contract that an entry's kind needs is in force on the site."""
    return KINDS[entry.kind].contract in (NO_CONTRACT, *site.contracts)


def draw_aimed(site: Site, aim: str, count: int, seed: int) -> list[Day]:
    """Draw `count` days with one aim, each with its own seed and closing fault."""
    days: list[Day] = []
    variants = Variants(Random(f"{seed} {aim} variants"))
    for number in range(1, count + 1):
        random = Random(f"{seed} {aim} {number}")
        allowed = [entry for entry in AIMS[aim](site, random) if is_in_contract(entry, site)]
        entries = sorted(allowed, key=lambda entry: entry.at)
        kind = random.choice(CLOSINGS)
        closing = draw_closing(kind, variants.closing(kind), random)
        days.append(
            Day(f"{aim}-{seed}-{number:02}", random.randrange(1, 2**31), tuple(entries), closing)
        )
    return days
