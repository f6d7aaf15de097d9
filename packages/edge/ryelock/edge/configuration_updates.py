"""Bringing a node's replicated state up to the index of a renewal's answer."""

from enum import Enum, auto

from ryelock.edge.session_messages import RenewalResponse
from ryelock.replicated_state import ReplicatedState


class UpdateOutcome(Enum):
    """What an answer did to the replicated state."""

    STALE = auto()
    """The answer does not reach the index that is applied already."""
    UNCHANGED = auto()
    CHANGED = auto()


def apply_update(replicated_state: ReplicatedState, response: RenewalResponse) -> UpdateOutcome:
    """Restore the snapshot of an answer, or apply its log entries after the node's index.

    A stale answer comes from a former leader, or was overtaken: nothing else in it may be used.

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
