"""Health of zones by probes of real objects: from one fetch to a verdict for the network.

probe.py is one probe of one target; prober.py runs probes at their cadence and keeps the results
that a new aggregator asks for again. history.py holds the results of all probers, bounded, and the
daily summary; evaluation.py is the rule from results to verdicts; weights.py turns what edges
served into each zone's share of visitors.
"""

from ryelock.health.evaluation import (
    Evaluation,
    EvaluationRules,
    Verdict,
    ZoneVerdict,
    evaluate,
    find_gone_watches,
)
from ryelock.health.history import History
from ryelock.health.probe import (
    OutdatedTagTimer,
    Probe,
    ProbeResult,
    decode_probe_result,
    watch_fingerprint,
)
from ryelock.health.prober import Prober, ProbeTarget
from ryelock.health.weights import ZoneWeights

__all__ = [
    "Evaluation",
    "EvaluationRules",
    "History",
    "OutdatedTagTimer",
    "Probe",
    "ProbeResult",
    "ProbeTarget",
    "Prober",
    "Verdict",
    "ZoneVerdict",
    "ZoneWeights",
    "decode_probe_result",
    "evaluate",
    "find_gone_watches",
    "watch_fingerprint",
]
