"""A rate for a service, spent by many edges.

The leader divides the rate (`quota_allocator`, with the arithmetic in `rates`), or grants whole
requests of a narrow service one by one (`shared_bucket`). A share counts as spent until it was
given back or has expired. An edge spends its share through a `token_bucket`, and retries through a
`retry_budget`.
"""

from ryelock.rate_limit.quota_allocator import OutstandingShares, QuotaAllocator, QuotaRequest
from ryelock.rate_limit.rates import GRANT_LIFETIME_SECONDS, is_narrow, leaderless_share
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
    "is_narrow",
    "leaderless_share",
]
