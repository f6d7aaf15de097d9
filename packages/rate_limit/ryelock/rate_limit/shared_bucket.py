"""The leader's token bucket of a narrow service, and the grants that come from it."""

from dataclasses import dataclass

from ryelock.rate_limit.rates import max_saved_tokens, refill_rate

QUEUE_REPORT_SECONDS = 0.5
"""How long an edge's report of queued requests counts."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Whole requests granted to an edge of a narrow service.

    Attributes:
        granted: requests that may be sent now.
        expected_rate: requests per second that the edge may expect to be granted.
        expected_tokens: requests that it may expect to be granted at once when it asks again.
    """

    granted: int
    expected_rate: float
    expected_tokens: float

    def to_wire(self) -> list[object]:
        """Return the form in which the answer to a renewal has it."""
        return [self.granted, self.expected_rate, self.expected_tokens]


class SharedTokenBucket:
    """Tokens of one narrow service, of which edges are granted some.

    Attributes:
        filled_at: monotonic time up to which it is filled, in seconds.
        tokens: requests that may be granted.
        queued_at: when each edge last reported queued requests, by name.
    """

    __slots__ = ("filled_at", "queued_at", "tokens")

    def __init__(self, now: float) -> None:
        """Create an empty bucket; `now` is monotonic time in seconds."""
        self.filled_at = now
        self.tokens = 0.0
        self.queued_at: dict[str, float] = {}

    def reset(self, now: float) -> None:
        """Empty the bucket."""
        self.filled_at, self.tokens = now, 0.0

    def fill(self, rate: float, outstanding: float, now: float) -> None:
        """Add what came up to now, less what shares given earlier still take of the rate."""
        refill = max(0.0, refill_rate(rate) - outstanding)
        added = refill * max(0.0, now - self.filled_at)
        self.tokens = min(max_saved_tokens(rate), self.tokens + added)
        self.filled_at = now

    def take(self, wanted: int) -> int:
        """Take so many whole tokens or as many as there are; return how many."""
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken

    def report_queued(self, edge: str, queued: int, now: float) -> None:
        """Note whether an edge has requests queued for the service."""
        if queued:
            self.queued_at[edge] = now
        else:
            self.queued_at.pop(edge, None)

    def other_waiting_edges(self, edge: str, now: float) -> int:
        """Count the other edges that lately had requests queued."""
        return sum(
            name != edge and now - reported_at < QUEUE_REPORT_SECONDS
            for name, reported_at in self.queued_at.items()
        )

    def seconds_until_token(self, rate: float, now: float) -> float:
        """Return the seconds until it has a whole token, 0 where it has one."""
        refill = refill_rate(rate)
        missing = 1.0 - self.tokens - refill * (now - self.filled_at)
        return max(0.0, missing / refill)
