"""The aggregator: rows of all probers, a window per target, a verdict per zone and network.

history.py holds rows, bounded, and the daily summary; judge.py is the rule from rows to
verdicts; weights.py turns what edges served into each zone's share of visitors.
"""

from ryelock.verdict.history import History
from ryelock.verdict.judge import Judged, Rules, Verdict, ZoneVerdict, gone_watches, judge
from ryelock.verdict.weights import Weights

__all__ = [
    "History",
    "Judged",
    "Rules",
    "Verdict",
    "Weights",
    "ZoneVerdict",
    "gone_watches",
    "judge",
]
