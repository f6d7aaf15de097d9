"""Outcomes of commands that carry an id, so that a command sent again gets its first outcome.

Each kind of command has a limit of its own: a stream of purges does not push out the outcome of a
change. The outcome of the change that made the present version is never forgotten.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum

from ryelock.replicated_state.errors import Fault, MalformedSnapshotError, faults_to_wire

Outcome = dict[str, object]
"""What a command came to, as the control API shows it: a `status` and fields beside it."""
MAX_OUTCOMES_PER_KIND = 2000


class CommandStatus(StrEnum):
    """The `status` of an outcome; the values are stored and shown."""

    ACCEPTED = "accepted"
    INVALID = "invalid"
    """It has faults, which stand beside."""
    CONFLICT = "conflict"
    """It was made against another version, the present one stands beside."""
    MALFORMED = "malformed"
    """No replica can read it."""
    FENCED = "fenced"
    """It bears an older fencing token, or comes from a node that does not own the role."""
    CLAIMED = "claimed"
    KNOWN = "known"
    """Another request has claimed the idempotency key."""
    RELEASED = "released"


def make_outcome(status: CommandStatus, **fields: object) -> Outcome:
    """Return an outcome with the fields in the order in which they are stored."""
    return {"status": status.value, **fields}


def invalid_outcome(faults: Iterable[Fault], **fields: object) -> Outcome:
    """Return the outcome of a command with faults."""
    return make_outcome(CommandStatus.INVALID, faults=faults_to_wire(faults), **fields)


class Outcomes:
    """Outcomes by kind and id; the same on every replica that applied the same commands."""

    __slots__ = ("by_kind", "pinned")

    def __init__(self) -> None:
        """Create an empty memory."""
        self.by_kind: dict[str, OrderedDict[str, Outcome]] = {}
        self.pinned: tuple[str, str] = ("", "")

    def find(self, kind: str, identity: str) -> Outcome | None:
        """Return the first outcome of a command; None where it is not known."""
        known = self.by_kind.get(kind)
        return None if known is None else known.get(identity)

    def remember(self, kind: str, identity: str, outcome: Outcome) -> None:
        """Keep an outcome; the oldest of its kind gives way, but never the pinned one."""
        known = self.by_kind.setdefault(kind, OrderedDict())
        known[identity] = outcome
        if len(known) <= MAX_OUTCOMES_PER_KIND:
            return
        oldest = next(other for other in known if (kind, other) != self.pinned)
        del known[oldest]

    def pin(self, kind: str, identity: str) -> None:
        """Keep the outcome of one command for as long as no other is pinned in its place."""
        self.pinned = (kind, identity)

    def to_wire(self) -> list[object]:
        """Return the form in which a snapshot holds it; see `from_wire`."""
        kinds = [[kind, list(known.items())] for kind, known in sorted(self.by_kind.items())]
        return [list(self.pinned), kinds]

    @classmethod
    def from_wire(cls, data: object) -> "Outcomes":
        """Return outcomes from a snapshot.

        Snapshots of earlier versions, which had one list for all kinds, are read too.

        Raises:
            MalformedSnapshotError: it is neither form.
        """
        outcomes = cls()
        match data:
            case [[str(kind), str(identity)], list(kinds)]:
                outcomes.pinned = (kind, identity)
                for name, known in kinds:
                    outcomes.by_kind[name] = OrderedDict((one, outcome) for one, outcome in known)
            case list(joined):
                for key, outcome in joined:
                    kind, _, identity = str(key).partition(":")
                    outcomes.by_kind.setdefault(kind, OrderedDict())[identity] = outcome
            case _:
                raise MalformedSnapshotError("outcomes", "not a list")
        return outcomes
