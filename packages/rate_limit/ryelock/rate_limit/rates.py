"""How much of a service's rate may be given out, so that no window has too many requests.

The rule that the network keeps: in any RATE_WINDOW_SECONDS a service gets at most MAX_OVERSHOOT
times its rate. Rates are in requests per second.
"""

import math

RATE_WINDOW_SECONDS = 5.0
MAX_OVERSHOOT = 1.1
"""What the rule allows in a window, as a multiple of the rate."""
SHARE_OVERSHOOT = 1.08
"""What shares may come to in a window, burst included; the rest is left for delays."""
NARROW_FRACTION = 0.9
"""A service is narrow where shares could use less than this part of its rate."""
RESERVE_FRACTION = 0.2
"""Part of a narrow service's rate that the last leader may have granted just before it was lost."""
GRANT_LIFETIME_SECONDS = 0.3
"""How long a grant is good for, counted from before the edge asked for it."""
GRANT_DELAY_SECONDS = 0.1
"""How much later than that a request may arrive which was sent at the end of its grant."""
SHARED_BUCKET_SECONDS = 0.15
"""Seconds of its rate that the leader's bucket of a narrow service may save up."""
ROUNDING_TOKENS = 0.02
"""Part of a token that is left out, so that rounding stays on the safe side."""


def is_narrow(rate: float, burst_seconds: float, edges: int) -> bool:
    """Tell whether too little of a rate is left to give each of so many edges a share."""
    return usable_rate(rate, burst_seconds, edges) < NARROW_FRACTION * rate


def usable_rate(rate: float, burst_seconds: float, edges: int) -> float:
    """Return the rate that may be given out as shares to so many edges, each with its own bucket.

    A bucket holds `burst_seconds` of its share, and at least one token.
    """
    burst = burst_seconds * rate + edges
    usable = (RATE_WINDOW_SECONDS * SHARE_OVERSHOOT * rate - burst) / RATE_WINDOW_SECONDS
    return max(0.0, min(rate, usable))


def leaderless_share(rate: float, burst_seconds: float, edges: int) -> float:
    """Return an edge's share of a narrow service while there is no leader to grant requests.

    It leaves room for what the last leader may have granted just before.
    """
    usable = usable_rate(rate, burst_seconds, edges) - RESERVE_FRACTION * rate
    return max(0.0, usable) / max(1, edges)


def max_saved_tokens(rate: float) -> float:
    """Return how many tokens the leader's bucket of a narrow service may save up."""
    return max(1.0, SHARED_BUCKET_SECONDS * rate)


def refill_rate(rate: float) -> float:
    """Return the rate at which the leader's bucket of a narrow service may fill.

    A full bucket can be granted at once, and a grant be used at its very end and arrive late; no
    window has more whole requests than the rule allows even then.
    """
    allowed = max(1, math.floor(RATE_WINDOW_SECONDS * MAX_OVERSHOOT * rate))
    window = RATE_WINDOW_SECONDS + GRANT_LIFETIME_SECONDS + GRANT_DELAY_SECONDS
    return min(rate, (allowed + 1 - ROUNDING_TOKENS - max_saved_tokens(rate)) / window)
