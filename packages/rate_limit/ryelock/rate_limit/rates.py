"""Limits on the shares and grants of a service's rate, so that bursts never exceed the rate limit.

The rate limit: in any window of RATE_WINDOW_SECONDS a service gets at most MAX_OVERSHOOT times its
rate. Rates are in requests per second.
"""

import math

RATE_WINDOW_SECONDS = 5.0
MAX_OVERSHOOT = 1.1
"""Maximum requests in a window, as a multiple of the rate."""
SHARE_OVERSHOOT = 1.08
"""Maximum requests in a window by shares, bursts included; the rest is reserved for delays."""
MIN_USABLE_FRACTION = 0.9
"""A service is a low-rate service if shares could use less than this fraction of its rate."""
RESERVE_FRACTION = 0.2
"""Fraction of a low-rate service's rate that a lost leader may have granted just before."""
GRANT_LIFETIME_SECONDS = 0.3
"""Lifetime of a grant, counted from before the edge requested it."""
MAX_SEND_DELAY_SECONDS = 0.1
"""Maximum delay until a request that was sent as its grant expired reaches the server."""
SHARED_BUCKET_SECONDS = 0.15
"""Capacity of the leader's bucket of a low-rate service, in seconds of the rate."""
ROUNDING_MARGIN_TOKENS = 0.02
"""Subtracted from the refill, so that rounding errors never exceed the limit."""


def is_low_rate(rate: float, burst_seconds: float, edges: int) -> bool:
    """Return True if the rate is too low to divide into shares for this number of edges."""
    return usable_rate(rate, burst_seconds, edges) < MIN_USABLE_FRACTION * rate


def usable_rate(rate: float, burst_seconds: float, edges: int) -> float:
    """Return the part of the rate that may be issued as shares to this number of edges.

    Each edge has a bucket that may send `burst_seconds` of its share, and at least one request, as
    a burst.
    """
    burst = burst_seconds * rate + edges
    usable = (RATE_WINDOW_SECONDS * SHARE_OVERSHOOT * rate - burst) / RATE_WINDOW_SECONDS
    return max(0.0, min(rate, usable))


def leaderless_share(rate: float, burst_seconds: float, edges: int) -> float:
    """Return an edge's share of a low-rate service while there is no leader to grant requests.

    The share leaves a reserve for requests that the last leader granted just before.
    """
    usable = usable_rate(rate, burst_seconds, edges) - RESERVE_FRACTION * rate
    return max(0.0, usable) / max(1, edges)


def max_saved_tokens(rate: float) -> float:
    """Return the capacity of the leader's bucket of a low-rate service, in tokens."""
    return max(1.0, SHARED_BUCKET_SECONDS * rate)


def refill_rate(rate: float) -> float:
    """Return the rate at which the leader's bucket of a low-rate service is refilled.

    A full bucket may be granted at once, and a grant may be used as it expires and the request
    arrive late. The rate limit must hold even then.
    """
    allowed = max(1, math.floor(RATE_WINDOW_SECONDS * MAX_OVERSHOOT * rate))
    window = RATE_WINDOW_SECONDS + GRANT_LIFETIME_SECONDS + MAX_SEND_DELAY_SECONDS
    return min(rate, (allowed + 1 - ROUNDING_MARGIN_TOKENS - max_saved_tokens(rate)) / window)
