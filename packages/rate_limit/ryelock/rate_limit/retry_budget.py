"""Retry budgets: limit retries to a fraction of first attempts, also while servers fail."""

RATIO_SAFETY_FACTOR = 0.9
"""Keeps retries below the ratio in any window, despite rounding."""


class RetryBudget:
    """The retry budget of one edge for one service.

    Attributes:
        ratio: tokens added for each first attempt.
        allowance: maximum tokens.
        tokens: number of retries that may be sent now.
    """

    __slots__ = ("allowance", "ratio", "tokens")

    def __init__(self, ratio: float, allowance: float) -> None:
        """Create a budget that starts with at most one token.

        Args:
            ratio: retries allowed per first attempt.
            allowance: maximum tokens.
        """
        self.ratio = ratio * RATIO_SAFETY_FACTOR
        self.allowance = allowance
        self.tokens = min(1.0, allowance)

    def resize(self, ratio: float, allowance: float) -> None:
        """Set a new ratio and allowance; tokens above the new allowance are dropped."""
        self.ratio = ratio * RATIO_SAFETY_FACTOR
        self.allowance = allowance
        self.tokens = min(self.tokens, max(allowance, 0.0))

    def record_request(self) -> None:
        """Add the tokens for a first attempt that was sent."""
        self.tokens = min(self.allowance, self.tokens + self.ratio)

    def try_retry(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
