"""Drains: edges and zones that take no new traffic."""

from typing import TypedDict

from ryelock.replicated_state.errors import MalformedSnapshotError

ZONE_PREFIX = "zone:"
"""Before a zone's name among drained targets; an edge's name stands alone."""


class Drain(TypedDict):
    """Why an edge or a zone is drained, in the form that snapshots and the control API have.

    Attributes:
        index: log index of the command.
        reason: the operator's reason.
        forced: whether the operator overrode the control plane, which had spoken against it.
    """

    index: int
    reason: str
    forced: bool


def drain_from_wire(data: object) -> Drain:
    """Return a drain from a snapshot.

    Raises:
        MalformedSnapshotError: it has another form.
    """
    match data:
        case {"index": int(index), "reason": str(reason), "forced": bool(forced)}:
            return Drain(index=index, reason=reason, forced=forced)
        case _:
            raise MalformedSnapshotError("drains", f"not a drain: {data!r}")
