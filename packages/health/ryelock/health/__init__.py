"""Health of zones by probes of real objects: from one fetch to a verdict for the network.

`probe` is one probe of one target, whose age `ages` judges; `prober` runs probes at their interval
and keeps the `results` that a new aggregator asks for again. `history` has the results of all
probers, bounded, and the daily summary; `evaluation` is the rule from results to `health_status`;
`weights` turns what edges served into each zone's share of visitors.
"""

from ryelock.health.ages import OutdatedTagTimer
from ryelock.health.evaluation import evaluate, find_gone_watches
from ryelock.health.health_status import Evaluation, EvaluationRules, HealthStatus, ZoneHealth
from ryelock.health.history import History, TargetKey
from ryelock.health.probe import Probe
from ryelock.health.prober import Prober, ProbeTarget
from ryelock.health.results import (
    HealthError,
    MalformedProbeResultError,
    ProbeResult,
    decode_probe_result,
    watch_fingerprint,
)
from ryelock.health.weights import ZoneShares, ZoneWeights

__all__ = [
    "Evaluation",
    "EvaluationRules",
    "HealthError",
    "HealthStatus",
    "History",
    "MalformedProbeResultError",
    "OutdatedTagTimer",
    "Probe",
    "ProbeResult",
    "ProbeTarget",
    "Prober",
    "TargetKey",
    "ZoneHealth",
    "ZoneShares",
    "ZoneWeights",
    "decode_probe_result",
    "evaluate",
    "find_gone_watches",
    "watch_fingerprint",
]
