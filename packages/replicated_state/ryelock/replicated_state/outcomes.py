"""Stored outcomes of commands with an id, so that a retried command gets its first outcome.

The number of outcomes is limited for each kind of command, so that many purges do not evict the
outcome of a change. The outcome of the change that made the current version is never evicted.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum

from ryelock.replicated_state.errors import Fault, MalformedSnapshotError, faults_to_wire

Outcome = dict[str, object]
"""The result of a command in the form of the control API: a `status` and further fields."""
MAX_OUTCOMES_PER_KIND = 2000


class CommandStatus(StrEnum):
    """The `status` of an outcome; the values are stored and shown."""

    ACCEPTED = "accepted"
    INVALID = "invalid"
    """The command has faults, listed in `faults`."""
    CONFLICT = "conflict"
    """The change is based on another version than the current one, which is in `version`."""
    MALFORMED = "malformed"
    """The command cannot be decoded, or a field is malformed."""
    FENCED = "fenced"
    """The fencing token is stale, or the sender does not own the singleton role."""
    CLAIMED = "claimed"
    ALREADY_CLAIMED = "known"
    """Another request has claimed the idempotency key."""
    RELEASED = "released"


def make_outcome(status: CommandStatus, **fields: object) -> Outcome:
    """Return an outcome; the order of the fields is the order in which they are stored."""
    return {"status": status.value, **fields}


def invalid_outcome(faults: Iterable[Fault], **fields: object) -> Outcome:
    """Return the outcome of a command with faults."""
    return make_outcome(CommandStatus.INVALID, faults=faults_to_wire(faults), **fields)


class Outcomes:
    """Outcomes by the kind and id of the command, limited in number for each kind."""

    __slots__ = ("by_kind", "pinned")

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_kind: dict[str, OrderedDict[str, Outcome]] = {}
        self.pinned: tuple[str, str] = ("", "")

    def find(self, kind: str, identity: str) -> Outcome | None:
        """Return the first outcome of a command; None if it was never recorded or was evicted."""
        outcomes = self.by_kind.get(kind)
        return None if outcomes is None else outcomes.get(identity)

    def record(self, kind: str, identity: str, outcome: Outcome) -> None:
        """Store an outcome; at the limit, evict the oldest of its kind that is not pinned."""
        outcomes = self.by_kind.setdefault(kind, OrderedDict())
        outcomes[identity] = outcome
        if len(outcomes) <= MAX_OUTCOMES_PER_KIND:
            return
        oldest = next(other for other in outcomes if (kind, other) != self.pinned)
        del outcomes[oldest]

    def pin(self, kind: str, identity: str) -> None:
        """Protect one outcome from eviction, in place of the one pinned before."""
        self.pinned = (kind, identity)

    def to_wire(self) -> list[object]:
        """Return the form used by snapshots; see `from_wire`."""
        kinds = [[kind, list(stored.items())] for kind, stored in sorted(self.by_kind.items())]
        return [list(self.pinned), kinds]

    @classmethod
    def from_wire(cls, data: object) -> "Outcomes":
        """Parse the outcomes of a snapshot.

        Snapshots of older versions have one list of outcomes for all kinds.

        Raises:
            MalformedSnapshotError: the data has neither form.
        """
        outcomes = cls()
        match data:
            case [[str(kind), str(identity)], list(kinds)]:
                outcomes.pinned = (kind, identity)
                for name, stored in kinds:
                    outcomes.by_kind[name] = OrderedDict((key, outcome) for key, outcome in stored)
            case list(all_kinds):
                for key, outcome in all_kinds:
                    kind, _, identity = str(key).partition(":")
                    outcomes.by_kind.setdefault(kind, OrderedDict())[identity] = outcome
            case _:
                raise MalformedSnapshotError(
                    "outcomes", f"expected a list, got {type(data).__name__}"
                )
        return outcomes
