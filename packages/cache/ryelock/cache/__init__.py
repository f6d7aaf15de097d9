"""A shared HTTP cache by RFC 9111, as far as a route allows.

`storing` says what may be stored, `freshness` for how long a stored response may be used,
`serving` what it answers; `store` holds stored responses, the fetches that are under way, and what
purges do to both.
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
