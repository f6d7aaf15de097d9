"""Distributed rate limiting: many edges together keep to the rate of a service.

The leader divides the rate into quota shares (`quota_allocator`, with the arithmetic in `rates`).
The rate of a low-rate service is too low to divide, so that the leader grants single requests of it
(`shared_bucket`). A share counts against the rate until the edge returns it or it expires. An edge
admits requests through a `token_bucket`, and retries through a `retry_budget`.
"""

from ryelock.rate_limit.quota_allocator import OutstandingShares, QuotaAllocator, QuotaRequest
from ryelock.rate_limit.rates import GRANT_LIFETIME_SECONDS, is_low_rate, leaderless_share
from ryelock.rate_limit.retry_budget import RetryBudget
from ryelock.rate_limit.shared_bucket import Grant
from ryelock.rate_limit.token_bucket import TokenBucket

__all__ = [
    "GRANT_LIFETIME_SECONDS",
    "Grant",
    "OutstandingShares",
    "QuotaAllocator",
    "QuotaRequest",
    "RetryBudget",
    "TokenBucket",
    "is_low_rate",
    "leaderless_share",
]
