"""Health of zones by probes of real objects: from one fetch to a verdict for the network.

probe.py is one probe of one target; prober.py runs probes at their cadence and keeps the results
that a new aggregator asks for again. history.py holds the results of all probers, bounded, and the
daily summary; evaluation.py is the rule from results to verdicts; weights.py turns what edges
served into each zone's share of visitors.
"""

from ryelock.health.evaluation import (
    Evaluation,
    Rules,
    Verdict,
    ZoneVerdict,
    evaluate,
    gone_watches,
)
from ryelock.health.history import History
from ryelock.health.probe import Dater, Probe, ProbeResult, decode_probe_result, watch_mark
from ryelock.health.prober import Prober, Target
from ryelock.health.weights import Weights

__all__ = [
    "Dater",
    "Evaluation",
    "History",
    "Probe",
    "ProbeResult",
    "Prober",
    "Rules",
    "Target",
    "Verdict",
    "Weights",
    "ZoneVerdict",
    "decode_probe_result",
    "evaluate",
    "gone_watches",
    "watch_mark",
]
