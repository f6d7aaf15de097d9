"""The edge's side of rate limiting: a token bucket that is refilled at the edge's quota share.

A bucket starts empty, so that a restart of the edge does not allow another burst. For a low-rate
service it has grants of single requests instead of a share; each grant expires.
"""

from ryelock.rate_limit.shared_bucket import Grant

INFINITE = float("inf")


class TokenBucket:
    """The token bucket of one edge for one service.

    Attributes:
        limited: False if the service has no rate limit, so that every request is allowed.
        filled_at: monotonic time of the last refill, in seconds.
        burst_seconds: capacity in seconds of the share.
        share: refill rate in requests per second.
        share_expires_at: monotonic time at which the share expires, in seconds.
        tokens: number of requests that may be sent now under the share.
        uses_grants: True for a low-rate service, which is limited by grants and not by a share.
        grants: monotonic time at which each unused grant expires, oldest first.
        expected_rate: predicted rate of further grants, in requests per second.
        expected_tokens: predicted number of requests that the next renewal grants at once.
    """

    __slots__ = (
        "burst_seconds",
        "expected_rate",
        "expected_tokens",
        "filled_at",
        "grants",
        "limited",
        "share",
        "share_expires_at",
        "tokens",
        "uses_grants",
    )

    def __init__(self, now: float, burst_seconds: float, limited: bool = True) -> None:
        """Create an empty bucket that has no share yet.

        Args:
            now: monotonic time in seconds.
            burst_seconds: capacity in seconds of the share.
            limited: False for a service without a rate limit.
        """
        self.limited = limited
        self.filled_at = now
        self.burst_seconds = burst_seconds
        self.share = 0.0
        self.share_expires_at = now
        self.tokens = 0.0
        self.uses_grants = False
        self.grants: list[float] = []
        self.expected_rate = 0.0
        self.expected_tokens = 0.0

    def fill(self, now: float) -> None:
        """Refill the bucket up to now, or up to the time at which the share expired."""
        until = min(now, self.share_expires_at)
        if until > self.filled_at:
            self.tokens += self.share * (until - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.tokens = min(self.tokens, self.capacity())

    def capacity(self) -> float:
        """Return the capacity in tokens, at least 1."""
        return max(1.0, self.burst_seconds * self.share)

    def assign_share(self, share: float, expires_at: float, now: float) -> None:
        """Set the share, in requests per second, until `expires_at`; grants are dropped."""
        self.fill(now)
        if self.uses_grants:
            self.uses_grants, self.grants, self.tokens = False, [], 0.0
        self.share = share
        self.share_expires_at = expires_at
        self.tokens = min(self.tokens, self.capacity())

    def add_grants(self, grant: Grant, expires_at: float) -> None:
        """Add grants that expire at `expires_at`; the share is dropped."""
        if not self.uses_grants:
            self.uses_grants, self.tokens, self.share = True, 0.0, 0.0
        self.grants += [expires_at] * grant.granted
        self.expected_rate = grant.expected_rate
        self.expected_tokens = grant.expected_tokens

    def count_grants(self, now: float) -> int:
        """Drop expired grants and count the others."""
        self.grants = [expires_at for expires_at in self.grants if expires_at > now]
        return len(self.grants)

    def current_share(self, now: float) -> float:
        """Return the share in requests per second, 0 if it has expired."""
        return self.share if now < self.share_expires_at else 0.0

    def allow(self, now: float) -> bool:
        """Take a token or grant for one request; return False if there is none."""
        if not self.limited:
            return True
        if self.uses_grants:
            if not self.count_grants(now):
                return False
            self.grants.pop(0)
            return True
        self.fill(now)
        if now >= self.share_expires_at or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def seconds_until_allowed(self, now: float, ahead: int) -> float:
        """Return the seconds until a request may be sent after `ahead` others, or infinity."""
        if not self.limited:
            return 0.0
        if self.uses_grants:
            missing = ahead + 1 - self.count_grants(now) - self.expected_tokens
            return max(0.0, missing / self.expected_rate) if self.expected_rate > 0 else INFINITE
        self.fill(now)
        if self.share <= 0 or now >= self.share_expires_at:
            return INFINITE
        return max(0.0, (ahead + 1 - self.tokens) / self.share)
