"""How much a service may be sent: shares of its rate, budgets of repeats, bounded queues.

divide.py is the leader's side: it divides a rate by demand and never has more given out than
the rate, since a share counts until it was given back or its term ended. bucket.py is the
edge's side: it spends a share.
"""

from ryelock.rate_limit.quota_allocator import QuotaAllocator, is_narrow, reserve
from ryelock.rate_limit.token_bucket import RetryBudget, TokenBucket

__all__ = ["QuotaAllocator", "RetryBudget", "TokenBucket", "is_narrow", "reserve"]
