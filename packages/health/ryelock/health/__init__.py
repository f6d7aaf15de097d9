"""Health checks: probes of real objects, and the health status of targets, zones and the network.

`probe` runs one probe of one target, and `ages` computes the age of the served object. `prober`
schedules probes and stores their `results`, which are sent again to a new aggregator. `history`
holds the results of all probers and daily summaries. `evaluation` is the rule that turns results
into a `health_status`. `weights` computes each zone's share of the traffic.
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
