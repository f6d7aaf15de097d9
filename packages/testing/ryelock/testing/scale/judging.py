"""The judging of verdicts on a full history, in this process.

It is measured here since filling a history by probes would take its whole span.
"""

import time
import tracemalloc

import cbor2

from ryelock.health import (
    EvaluationRules,
    History,
    ProbeResult,
    ZoneShares,
    evaluate,
    watch_fingerprint,
)
from ryelock.replicated_state import Watch
from ryelock.testing.scale.sizes import Figures, zone_name

SPAN_SECONDS = 600.0
ROWS = 400
WATCHED = "watched"


def measure_judging(nodes: int, zones: int, rows: int = ROWS) -> Figures:
    """Measure the aggregator's work on so many rows of each edge, for one watch."""
    watch = Watch(route="route-0", object="/route-0/watched")
    now = time.monotonic()
    by_zone = edges_by_zone(nodes, zones)
    history = History(SPAN_SECONDS)
    filled = fill(history, by_zone, watch_fingerprint(watch), now, rows)
    weights = dict.fromkeys(by_zone, 1.0 / len(by_zone))
    started = time.process_time()
    history.expire(now)
    judged = evaluate(
        by_zone, {WATCHED: watch}, ZoneShares(weights, False), history, EvaluationRules(), now
    )
    return {
        "judging s": time.process_time() - started,
        **filled,
        "judging: verdict KB": len(cbor2.dumps(judged.to_dict())) / 1e3,
    }


def edges_by_zone(nodes: int, zones: int) -> dict[str, list[str]]:
    """Return the names of all edges by zone."""
    found: dict[str, list[str]] = {}
    for number in range(nodes):
        found.setdefault(zone_name(number, zones), []).append(f"edge-{number:04d}")
    return found


def fill(
    history: History, by_zone: dict[str, list[str]], mark: str, now: float, rows: int
) -> Figures:
    """Add rows of sound probes for every edge, spread over the span.

    Memory is traced over the first edge only, and time is taken over the others, since tracing
    slows the work.
    """
    made, held = 0, 0.0
    started = time.process_time()
    tracemalloc.start()
    for zone, names in by_zone.items():
        for edge in names:
            probers = [name for name in names if name != edge] or names
            for sequence in range(rows):
                prober = probers[sequence % len(probers)]
                taken = now - SPAN_SECONDS + SPAN_SECONDS * sequence / rows
                history.add(sound_row(prober, sequence, zone, edge, mark, taken))
                made += 1
            if tracemalloc.is_tracing():
                held = tracemalloc.get_traced_memory()[0] / made
                tracemalloc.stop()
                made, started = 0, time.process_time()
    seconds = (time.process_time() - started) / max(1, made)
    return {"judging: µs to take a row": 1e6 * seconds, "judging: bytes a row held": held}


def sound_row(
    prober: str, sequence: int, zone: str, edge: str, mark: str, taken: float
) -> ProbeResult:
    """Return the row of a probe in which every step succeeded, at monotonic time `taken`."""
    row = ProbeResult(prober, prober, sequence, zone, edge, WATCHED, False, time.time(), mark)
    row.started_at, row.age_seconds, row.ttfb_ms = taken, 1.0, 12.0
    row.reachable = row.manifest_valid = row.object_fetchable = True
    return row
