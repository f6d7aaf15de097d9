"""What one probe found, and its form on the wire."""

import hashlib
from dataclasses import dataclass

from ryelock.replicated_state import Watch

FINGERPRINT_DIGITS = 12
MAX_ERROR_LENGTH = 200
MALFORMED_RESULT = "not a row"
"""Text of the error, which a control node answers with."""
OBJECT_GONE_ERRORS = tuple(f"manifest status {status}" for status in (401, 403, 404, 410))
"""Errors by which a server says that there is no such object, or no longer."""


class HealthError(Exception):
    """Base of the errors of this package."""


class MalformedProbeResultError(HealthError, ValueError):
    """Data from the wire is no probe result."""


def watch_fingerprint(watch: Watch) -> str:
    """Return what tells a watch from another of its name.

    Results of one prove nothing about the other. It is taken from the watch's `repr`, so that all
    nodes have to give its class and fields the same names.
    """
    return hashlib.sha256(repr(watch).encode()).hexdigest()[:FINGERPRINT_DIGITS]


@dataclass(slots=True, eq=False)
class ProbeResult:
    """What one probe came to; the probe fills it in step by step.

    Attributes:
        prober: name of the probing node.
        machine: machine it runs on.
        sequence: number of the probe at this prober.
        zone: zone of the edge.
        edge: name of the edge.
        watch: name of the watch.
        cross_zone: whether the edge stands in another zone than the prober.
        wall_time: seconds since 1970 by the prober's clock.
        watch_fingerprint: tells this watch from another of its name, see `watch_fingerprint`.
        started_at: monotonic time at which the probe began, by this process's clock, in seconds.
        reachable: whether the edge answered.
        manifest_valid: whether the first step succeeded.
        object_fetchable: whether the second step succeeded.
        age_seconds: age of the served object in seconds, None where unknown.
        ttfb_ms: milliseconds to the first byte of the manifest, None without an answer.
        error: why a step failed, empty where none did.
    """

    prober: str
    machine: str
    sequence: int
    zone: str
    edge: str
    watch: str
    cross_zone: bool
    wall_time: float
    watch_fingerprint: str
    started_at: float = 0.0
    reachable: bool = False
    manifest_valid: bool = False
    object_fetchable: bool = False
    age_seconds: float | None = None
    ttfb_ms: float | None = None
    error: str = ""

    @property
    def failed(self) -> bool:
        """Whether a step of the probe failed."""
        return not (self.reachable and self.manifest_valid and self.object_fetchable)

    @property
    def gone(self) -> bool:
        """Whether the server says that there is no such object, or no longer."""
        return self.error in OBJECT_GONE_ERRORS

    def to_wire(self, now: float) -> list[object]:
        """Return the result as a list for the wire; see `decode_probe_result`.

        When it began goes as seconds ago, since clocks of two nodes differ.
        """
        return [
            self.prober,
            self.machine,
            self.sequence,
            self.zone,
            self.edge,
            self.watch,
            self.cross_zone,
            self.wall_time,
            now - self.started_at,
            self.reachable,
            self.manifest_valid,
            self.object_fetchable,
            self.age_seconds,
            self.ttfb_ms,
            self.error,
            self.watch_fingerprint,
        ]

    def to_dict(self) -> dict[str, object]:
        """Return the result as the record of decisions shows it."""
        return {
            "prober": self.prober,
            "machine": self.machine,
            "edge": self.edge,
            "watch": self.watch,
            "wall": round(self.wall_time, 3),
            "reachable": self.reachable,
            "manifest_valid": self.manifest_valid,
            "segment_fetchable": self.object_fetchable,
            "segment_age_seconds": self.age_seconds,
            "ttfb_ms": self.ttfb_ms,
            "error": self.error,
        }


def decode_probe_result(data: object, now: float) -> ProbeResult:
    """Return a result from the list that `ProbeResult.to_wire` gives.

    Args:
        data: the list.
        now: monotonic time of this process, in seconds.

    Raises:
        MalformedProbeResultError: it has another form.
    """
    match data:
        case [
            str(prober),
            str(machine),
            int(sequence),
            str(zone),
            str(edge),
            str(watch),
            bool(cross_zone),
            int() | float() as wall,
            int() | float() as seconds_ago,
            bool(reachable),
            bool(valid),
            bool(fetchable),
            age,
            ttfb,
            str(error),
            str(fingerprint),
        ]:
            result = ProbeResult(
                prober, machine, sequence, zone, edge, watch, cross_zone, float(wall), fingerprint
            )
            result.started_at = now - max(0.0, float(seconds_ago))
            result.reachable, result.manifest_valid, result.object_fetchable = (
                reachable,
                valid,
                fetchable,
            )
            result.age_seconds = float(age) if isinstance(age, int | float) else None
            result.ttfb_ms = float(ttfb) if isinstance(ttfb, int | float) else None
            result.error = error[:MAX_ERROR_LENGTH]
            return result
        case _:
            raise MalformedProbeResultError(MALFORMED_RESULT)
