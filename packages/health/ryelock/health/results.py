"""The result of a probe, and its wire format."""

import hashlib
from dataclasses import dataclass

from ryelock.replicated_state import Watch

FINGERPRINT_DIGITS = 12
MAX_ERROR_LENGTH = 200
MALFORMED_RESULT = "not a row"
"""Error text that a control node returns to the prober."""
OBJECT_GONE_ERRORS = tuple(f"manifest status {status}" for status in (401, 403, 404, 410))
"""Errors that mean the server no longer offers the object."""


class HealthError(Exception):
    """Base class of this package's errors."""


class MalformedProbeResultError(HealthError, ValueError):
    """Data from the wire is not a valid probe result."""


def watch_fingerprint(watch: Watch) -> str:
    """Return a hash that identifies a version of a watch, since names are reused.

    It is derived from the watch's `repr`: the names of its class and fields must be the same on all
    nodes.
    """
    return hashlib.sha256(repr(watch).encode()).hexdigest()[:FINGERPRINT_DIGITS]


@dataclass(slots=True, eq=False)
class ProbeResult:
    """Result of one probe, filled in as its steps complete.

    Attributes:
        prober: name of the probing node.
        machine: machine on which the prober runs.
        sequence: sequence number of the probe at this prober.
        zone: zone of the edge.
        edge: name of the edge.
        watch: name of the watch.
        cross_zone: True if the prober is not assigned to the edge; see `ProbeTarget`.
        wall_time: seconds since 1970 by the prober's clock.
        watch_fingerprint: fingerprint of the watch, see `watch_fingerprint`.
        started_at: monotonic time in seconds at which the probe started, by this process's clock.
        reachable: True if the edge responded.
        manifest_valid: True if the first step succeeded.
        object_fetchable: True if the second step succeeded.
        age_seconds: age of the served object in seconds, None if unknown.
        ttfb_ms: milliseconds to the first byte of the manifest, None without a response.
        error: why a step failed, empty if none did.
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
        """True if a step of the probe failed."""
        return not (self.reachable and self.manifest_valid and self.object_fetchable)

    @property
    def gone(self) -> bool:
        """True if the server responded that it no longer offers the object."""
        return self.error in OBJECT_GONE_ERRORS

    def to_wire(self, now: float) -> list[object]:
        """Return the result as a list for the wire; see `decode_probe_result`.

        The start time is sent as an age in seconds, since the nodes' clocks differ.
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
        """Return the result in the form stored as evidence in decisions."""
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
    """Return the result encoded by `ProbeResult.to_wire`.

    Args:
        data: the decoded list.
        now: monotonic time of this process in seconds.

    Raises:
        MalformedProbeResultError: the data has another shape.
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
            int() | float() as wall_time,
            int() | float() as seconds_ago,
            bool(reachable),
            bool(manifest_valid),
            bool(object_fetchable),
            age_seconds,
            ttfb_ms,
            str(error),
            str(fingerprint),
        ]:
            result = ProbeResult(
                prober,
                machine,
                sequence,
                zone,
                edge,
                watch,
                cross_zone,
                float(wall_time),
                fingerprint,
            )
            result.started_at = now - max(0.0, float(seconds_ago))
            result.reachable, result.manifest_valid, result.object_fetchable = (
                reachable,
                manifest_valid,
                object_fetchable,
            )
            result.age_seconds = (
                float(age_seconds) if isinstance(age_seconds, int | float) else None
            )
            result.ttfb_ms = float(ttfb_ms) if isinstance(ttfb_ms, int | float) else None
            result.error = error[:MAX_ERROR_LENGTH]
            return result
        case _:
            raise MalformedProbeResultError(MALFORMED_RESULT)
