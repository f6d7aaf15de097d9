"""Copies as an edge fills and refreshes them, and conditions that only their caller sets."""

from ryelock.cache import Fill, StoredResponse, freshness
from ryelock.http import ResponseHead, end_to_end, field

CONDITIONS = frozenset(
    [
        b"range",
        b"if-range",
        b"if-none-match",
        b"if-modified-since",
        b"if-match",
        b"if-unmodified-since",
    ]
)


class Filling:
    """A fill, the copy that may turn out to be unchanged, and the purges known at its start."""

    __slots__ = ("fill", "known", "purged")

    def __init__(self, fill: Fill, known: StoredResponse | None, purged: int) -> None:
        self.fill = fill
        self.known = known
        self.purged = purged


def refreshed(known: StoredResponse, head: ResponseHead, sent: float, now: float) -> StoredResponse:
    """A copy that its server says is still the same, with its newer fields."""
    newer = {name.lower() for name, _ in head.fields}
    fields = [(name, value) for name, value in known.fields if name.lower() not in newer]
    fields += [pair for pair in end_to_end(head.fields) if pair[0].lower() != b"age"]
    given_age = field(head.fields, b"age")
    age = float(given_age) if given_age is not None and given_age.isdigit() else 0.0
    whole = ResponseHead(known.status, known.reason, 1, fields)
    lifetime = freshness(fields)
    return StoredResponse(
        whole,
        fields,
        known.body,
        now,
        age + (now - sent),
        known.lifetime if lifetime is None else lifetime,
        known.vary,
    )
