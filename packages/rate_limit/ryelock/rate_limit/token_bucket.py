"""The edge's side of a rate: a bucket that fills by its share, and a budget of repeats.

A bucket starts empty, so that an edge that starts again brings no fresh burst. For a narrow
service it holds no share but grants of whole orders, each with an end. Repeats earn
their room from first orders, a little less than the share they may take, so that rounding
stays on the safe side in any window.
"""


class TokenBucket:
    """Orders that may be sent to one service by one edge; all, where it is not limited."""

    __slots__ = (
        "at",
        "burst",
        "counted",
        "ends",
        "expected",
        "found",
        "grants",
        "limited",
        "room",
        "share",
    )

    def __init__(self, now: float, burst: float, limited: bool = True) -> None:
        """Create an empty bucket that holds no share yet.

        Args:
            now: monotonic time in seconds.
            burst: seconds of its share that the bucket may save up.
            limited: False for a service without a rate, for which every request is allowed.
        """
        self.limited = limited
        self.at = now
        self.burst = burst
        self.share = 0.0
        self.ends = now
        self.room = 0.0
        self.counted = False
        self.grants: list[float] = []
        self.expected = 0.0
        self.found = 0.0

    def fill(self, now: float) -> None:
        """Add what came up to now; nothing comes after the share's term."""
        until = min(now, self.ends)
        if until > self.at:
            self.room += self.share * (until - self.at)
        self.at = max(self.at, now)
        self.room = min(self.room, max(1.0, self.burst * self.share))

    def give(self, share: float, ends: float, now: float) -> None:
        """Replace the share: requests per second that may be sent until `ends`."""
        self.fill(now)
        if self.counted:
            self.counted, self.grants, self.room = False, [], 0.0
        self.share = share
        self.ends = ends
        self.room = min(self.room, max(1.0, self.burst * share))

    def grant(self, granted: int, expected: float, found: float, until: float) -> None:
        """So many whole orders may be sent until a moment; no share is held any more."""
        if not self.counted:
            self.counted, self.room, self.share = True, 0.0, 0.0
        self.grants += [until] * granted
        self.expected = expected
        self.found = found

    def granted(self, now: float) -> int:
        """Count the granted requests that may still be sent, dropping expired grants."""
        self.grants = [until for until in self.grants if until > now]
        return len(self.grants)

    def holding(self, now: float) -> float:
        """Return the share in requests per second, 0 once it has expired."""
        return self.share if now < self.ends else 0.0

    def allow(self, now: float) -> bool:
        """Take room for one order."""
        if not self.limited:
            return True
        if self.counted:
            if not self.granted(now):
                return False
            self.grants.pop(0)
            return True
        self.fill(now)
        if now >= self.ends or self.room < 1.0:
            return False
        self.room -= 1.0
        return True

    def wait_for(self, now: float, ahead: int) -> float:
        """Seconds until there is room for an order behind so many others."""
        if not self.limited:
            return 0.0
        if self.counted:
            missing = ahead + 1 - self.granted(now) - self.found
            return max(0.0, missing / self.expected) if self.expected > 0 else float("inf")
        self.fill(now)
        if self.share <= 0 or now >= self.ends:
            return float("inf")
        return max(0.0, (ahead + 1 - self.room) / self.share)


class RetryBudget:
    """Repeats that one edge may send to one service."""

    __slots__ = ("allowance", "room", "share")

    def __init__(self, share: float, allowance: float) -> None:
        """Create a budget that has room for one retry at most.

        Args:
            share: retries earned by each first request, as a fraction.
            allowance: most retries that may be saved up.
        """
        self.share = share * 0.9
        self.allowance = allowance
        self.room = min(1.0, allowance)

    def resize(self, share: float, allowance: float) -> None:
        """Take a new share and allowance; room above the new allowance is lost."""
        self.share = share * 0.9
        self.allowance = allowance
        self.room = min(self.room, max(allowance, 0.0))

    def first(self) -> None:
        """A first order was sent: it earns room for a part of a repeat."""
        self.room = min(self.allowance, self.room + self.share)

    def repeat(self) -> bool:
        """Take room for one repeat."""
        if self.room < 1.0:
            return False
        self.room -= 1.0
        return True
