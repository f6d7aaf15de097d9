"""A shared HTTP cache according to RFC 9111, configured per route.

`storing` decides which responses are stored, `freshness` how long a stored response may be reused,
and `serving` builds responses to requests from it. `store` holds the stored responses and the
fetches in progress, and applies purges to both.
"""

from ryelock.cache.freshness import freshen, may_reuse
from ryelock.cache.serving import CONDITIONAL_FIELDS, answer_from
from ryelock.cache.store import CacheKey, CacheStore, Fill
from ryelock.cache.stored_response import StoredResponse
from ryelock.cache.storing import storable_response

__all__ = [
    "CONDITIONAL_FIELDS",
    "CacheKey",
    "CacheStore",
    "Fill",
    "StoredResponse",
    "answer_from",
    "freshen",
    "may_reuse",
    "storable_response",
]
