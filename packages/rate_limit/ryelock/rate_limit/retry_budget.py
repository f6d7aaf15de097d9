"""A retry budget: retries are a bounded part of the requests, also while servers fail."""

EARNING_FACTOR = 0.9
"""Requests earn a little less than the share, so that rounding is safe in any window."""


class RetryBudget:
    """Retries that one edge may send to one service.

    Attributes:
        share: retries earned by each first attempt, as a fraction.
        allowance: most retries that may be saved up.
        tokens: retries that may be sent now.
    """

    __slots__ = ("allowance", "share", "tokens")

    def __init__(self, share: float, allowance: float) -> None:
        """Create a budget that has one retry at most.

        Args:
            share: retries allowed per first attempt, as a fraction.
            allowance: most retries that may be saved up.
        """
        self.share = share * EARNING_FACTOR
        self.allowance = allowance
        self.tokens = min(1.0, allowance)

    def resize(self, share: float, allowance: float) -> None:
        """Take a new share and allowance; tokens above the new allowance are lost."""
        self.share = share * EARNING_FACTOR
        self.allowance = allowance
        self.tokens = min(self.tokens, max(allowance, 0.0))

    def record_request(self) -> None:
        """Earn a part of a retry: a first attempt was sent."""
        self.tokens = min(self.allowance, self.tokens + self.share)

    def try_retry(self) -> bool:
        """Take a token for one retry; False where there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
