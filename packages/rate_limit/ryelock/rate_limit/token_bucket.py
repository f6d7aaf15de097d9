"""The edge's side of rate limits: a token bucket that fills by the edge's quota share.

A bucket starts empty, so that an edge that starts again brings no fresh burst. For a narrow
service it has no share but grants of whole requests, each of which expires.
"""

from ryelock.rate_limit.shared_bucket import Grant

INFINITE = float("inf")


class TokenBucket:
    """Requests that one edge may send to one service; all, where the service is not limited.

    Attributes:
        limited: whether the service has a rate.
        filled_at: monotonic time up to which it is filled, in seconds.
        burst_seconds: seconds of its share that the bucket may save up.
        share: requests per second that may be sent.
        share_expires_at: monotonic time at which the share expires, in seconds.
        tokens: requests that may be sent at once.
        uses_grants: whether the service is narrow, so that grants count and no share does.
        grants: monotonic times at which the granted requests expire, oldest first.
        expected_rate: granted requests per second that may be expected.
        expected_tokens: requests that may be expected to be granted at once.
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
            burst_seconds: seconds of its share that the bucket may save up.
            limited: False for a service without a rate, for which every request is allowed.
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
        """Add what came up to now; nothing comes after the share expired."""
        until = min(now, self.share_expires_at)
        if until > self.filled_at:
            self.tokens += self.share * (until - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.tokens = min(self.tokens, self.capacity())

    def capacity(self) -> float:
        """Return the most tokens that the bucket may save up: one at least."""
        return max(1.0, self.burst_seconds * self.share)

    def assign_share(self, share: float, expires_at: float, now: float) -> None:
        """Replace the share: requests per second that may be sent until `expires_at`."""
        self.fill(now)
        if self.uses_grants:
            self.uses_grants, self.grants, self.tokens = False, [], 0.0
        self.share = share
        self.share_expires_at = expires_at
        self.tokens = min(self.tokens, self.capacity())

    def add_grants(self, grant: Grant, expires_at: float) -> None:
        """Add granted requests that may be sent until `expires_at`; there is no share any more."""
        if not self.uses_grants:
            self.uses_grants, self.tokens, self.share = True, 0.0, 0.0
        self.grants += [expires_at] * grant.granted
        self.expected_rate = grant.expected_rate
        self.expected_tokens = grant.expected_tokens

    def count_grants(self, now: float) -> int:
        """Drop expired grants and count the requests that may still be sent."""
        self.grants = [expires_at for expires_at in self.grants if expires_at > now]
        return len(self.grants)

    def current_share(self, now: float) -> float:
        """Return the share in requests per second, 0 once it has expired."""
        return self.share if now < self.share_expires_at else 0.0

    def allow(self, now: float) -> bool:
        """Take a token for one request; False where there is none."""
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

    def wait_for(self, now: float, ahead: int) -> float:
        """Return the seconds until a request behind so many others may be sent; perhaps inf."""
        if not self.limited:
            return 0.0
        if self.uses_grants:
            missing = ahead + 1 - self.count_grants(now) - self.expected_tokens
            return max(0.0, missing / self.expected_rate) if self.expected_rate > 0 else INFINITE
        self.fill(now)
        if self.share <= 0 or now >= self.share_expires_at:
            return INFINITE
        return max(0.0, (ahead + 1 - self.tokens) / self.share)
