"""Copies of answers as an edge refreshes them, and the conditions that are not a copy's own."""

from ryelock.cache import Copy, freshness
from ryelock.exchange import AnswerHead, end_to_end, field

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


def refreshed(known: Copy, head: AnswerHead, sent: float, now: float) -> Copy:
    """A copy that its server says is still the same, with its newer fields."""
    newer = {name.lower() for name, _ in head.fields}
    fields = [(name, value) for name, value in known.fields if name.lower() not in newer]
    fields += [pair for pair in end_to_end(head.fields) if pair[0].lower() != b"age"]
    given_age = field(head.fields, b"age")
    age = float(given_age) if given_age is not None and given_age.isdigit() else 0.0
    whole = AnswerHead(known.status, known.reason, 1, fields)
    lifetime = freshness(fields)
    return Copy(
        whole,
        fields,
        known.body,
        now,
        age + (now - sent),
        known.lifetime if lifetime is None else lifetime,
        known.vary,
    )
