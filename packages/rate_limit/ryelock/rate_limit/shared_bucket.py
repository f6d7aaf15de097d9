"""The leader's token bucket of a low-rate service, and the grants that it issues from it."""

from dataclasses import dataclass

from ryelock.rate_limit.rates import max_saved_tokens, refill_rate

QUEUE_REPORT_SECONDS = 0.5
"""Lifetime of an edge's report of queued requests."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Requests of a low-rate service that the leader grants to an edge.

    Attributes:
        granted: number of requests that may be sent now.
        expected_rate: predicted rate of further grants, in requests per second.
        expected_tokens: predicted number of requests that the next renewal grants at once.
    """

    granted: int
    expected_rate: float
    expected_tokens: float

    def to_wire(self) -> list[object]:
        """Return the form used by the response to a lease renewal."""
        return [self.granted, self.expected_rate, self.expected_tokens]


class SharedTokenBucket:
    """The token bucket of one low-rate service, shared by all edges.

    Attributes:
        filled_at: monotonic time of the last refill, in seconds.
        tokens: number of requests that may be granted.
        queued_at: monotonic time of each edge's last report of queued requests, by edge.
    """

    __slots__ = ("filled_at", "queued_at", "tokens")

    def __init__(self, now: float) -> None:
        """Create an empty bucket; `now` is the monotonic time in seconds."""
        self.filled_at = now
        self.tokens = 0.0
        self.queued_at: dict[str, float] = {}

    def reset(self, now: float) -> None:
        """Empty the bucket."""
        self.filled_at, self.tokens = now, 0.0

    def fill(self, rate: float, outstanding: float, now: float) -> None:
        """Refill the bucket at its rate less the outstanding shares, in requests per second."""
        refill = max(0.0, refill_rate(rate) - outstanding)
        added = refill * max(0.0, now - self.filled_at)
        self.tokens = min(max_saved_tokens(rate), self.tokens + added)
        self.filled_at = now

    def take(self, count: int) -> int:
        """Take up to this number of tokens; return how many were taken."""
        taken = min(count, int(self.tokens))
        self.tokens -= taken
        return taken

    def report_queued(self, edge: str, queued: int, now: float) -> None:
        """Record whether an edge has requests queued for the service."""
        if queued:
            self.queued_at[edge] = now
        else:
            self.queued_at.pop(edge, None)

    def other_waiting_edges(self, edge: str, now: float) -> int:
        """Count the other edges that recently reported queued requests."""
        return sum(
            name != edge and now - reported_at < QUEUE_REPORT_SECONDS
            for name, reported_at in self.queued_at.items()
        )

    def seconds_until_token(self, rate: float, now: float) -> float:
        """Return the seconds until the bucket has a token, 0 if it has one."""
        refill = refill_rate(rate)
        missing = 1.0 - self.tokens - refill * (now - self.filled_at)
        return max(0.0, missing / refill)
