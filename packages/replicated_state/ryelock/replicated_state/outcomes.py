"""What came of log entries that carry an id, so that one that is sent again gets its first answer.

Each kind of entry has room of its own: a stream of purges does not push out what came of a change.
The outcome of the change that made the present version is never forgotten, whatever else happens.
"""

from collections import OrderedDict

Outcome = dict[str, object]
REMEMBERED_MOST = 2000
"""Outcomes that are remembered of each kind of entry."""


class Outcomes:
    """Outcomes by kind and id; the same on every replica that applied the same entries."""

    __slots__ = ("by_kind", "standing")

    def __init__(self) -> None:
        self.by_kind: dict[str, OrderedDict[str, Outcome]] = {}
        self.standing: tuple[str, str] = ("", "")

    def find(self, kind: str, identity: str) -> Outcome | None:
        """The first outcome of an entry, or None where it is not known."""
        known = self.by_kind.get(kind)
        return None if known is None else known.get(identity)

    def remember(self, kind: str, identity: str, outcome: Outcome) -> None:
        """Keep an outcome; the oldest of its kind gives way, but never that of the standing one."""
        known = self.by_kind.setdefault(kind, OrderedDict())
        known[identity] = outcome
        if len(known) <= REMEMBERED_MOST:
            return
        oldest = next(other for other in known if (kind, other) != self.standing)
        del known[oldest]

    def stand(self, kind: str, identity: str) -> None:
        """The entry whose outcome holds as long as no other takes its place."""
        self.standing = (kind, identity)

    def to_wire(self) -> list[object]:
        """The form in which a snapshot holds it."""
        kinds = [[kind, list(known.items())] for kind, known in sorted(self.by_kind.items())]
        return [list(self.standing), kinds]


def outcomes_of(plain: object) -> Outcomes:
    """Outcomes from a snapshot, also from one written before kinds had room of their own.

    Raises ValueError where the plain form is neither.
    """
    outcomes = Outcomes()
    match plain:
        case [[str(kind), str(identity)], list(kinds)]:
            outcomes.standing = (kind, identity)
            for name, known in kinds:
                outcomes.by_kind[name] = OrderedDict((one, outcome) for one, outcome in known)
        case list(joined):
            for key, outcome in joined:
                kind, _, identity = str(key).partition(":")
                outcomes.by_kind.setdefault(kind, OrderedDict())[identity] = outcome
        case _:
            raise ValueError("not outcomes")
    return outcomes
