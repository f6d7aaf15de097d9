"""Application of renewal responses to a node's replicated state."""

from enum import Enum, auto

from ryelock.edge.session_messages import RenewalResponse
from ryelock.replicated_state import ReplicatedState


class UpdateOutcome(Enum):
    """Effect of a response on the replicated state."""

    STALE = auto()
    """The response's index is below the applied index."""
    UNCHANGED = auto()
    CHANGED = auto()


def apply_update(replicated_state: ReplicatedState, response: RenewalResponse) -> UpdateOutcome:
    """Restore a response's snapshot, or apply its log entries after the node's index.

    A stale response comes from a former leader or arrived out of order; nothing else in it may be
    used.

    Raises:
        KeyError, TypeError, ValueError: the snapshot or an entry is malformed.
    """
    if response.snapshot is not None:
        if response.index < replicated_state.index:
            return UpdateOutcome.STALE
        replicated_state.restore(response.snapshot)
    else:
        for index, data in response.entries:
            if index > replicated_state.index:
                replicated_state.apply(index, data)
    if response.index < replicated_state.index:
        return UpdateOutcome.STALE
    replicated_state.index = response.index
    if response.snapshot is None and not response.entries:
        return UpdateOutcome.UNCHANGED
    return UpdateOutcome.CHANGED
