"""Drains: edges and zones that get no new traffic."""

from typing import TypedDict

from ryelock.replicated_state.errors import MalformedSnapshotError

ZONE_PREFIX = "zone:"
"""Prefix of a zone's name among drained targets; edges have no prefix."""


class Drain(TypedDict):
    """A drain of an edge or a zone, in the form used by snapshots and the control API.

    Attributes:
        index: log index of the command.
        reason: reason given by the operator.
        forced: True if the operator overrode the control plane's objection to the drain.
    """

    index: int
    reason: str
    forced: bool


def drain_from_wire(data: object) -> Drain:
    """Parse a drain of a snapshot.

    Raises:
        MalformedSnapshotError: a field is missing or of another type.
    """
    match data:
        case {"index": int(index), "reason": str(reason), "forced": bool(forced)}:
            return Drain(index=index, reason=reason, forced=forced)
        case _:
            raise MalformedSnapshotError(
                "drains", f"expected index, reason and forced, got {data!r}"
            )
