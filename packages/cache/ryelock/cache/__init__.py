"""Copies of answers, by RFC 9111 for a shared cache, as far as a route allows.

rules.py says what may be kept, for how long, and what a copy may answer; store.py holds the
copies, the fills that are under way, and what purges do to both.
"""

from ryelock.cache.rules import (
    CONDITIONAL_FIELDS,
    StoredResponse,
    answer_from,
    copy_of,
    freshen,
    freshness,
    may_use,
    vary_key,
)
from ryelock.cache.store import CacheStore, Fill

__all__ = [
    "CONDITIONAL_FIELDS",
    "CacheStore",
    "Fill",
    "StoredResponse",
    "answer_from",
    "copy_of",
    "freshen",
    "freshness",
    "may_use",
    "vary_key",
]
