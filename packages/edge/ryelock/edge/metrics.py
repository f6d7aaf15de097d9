"""Metrics of an edge's request path, by service."""

from collections.abc import Callable, Mapping
from enum import StrEnum

from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.metrics import Labels, Metrics
from ryelock.runtime import Scheduler


class HedgeOutcome(StrEnum):
    """Which server answered a hedged request first; the values are labels of the metrics."""

    FIRST_SERVER = "first server"
    OTHER_SERVER = "other server"


class EdgeMetrics:
    """Counters of an edge's request path, and gauges that read its admission queues."""

    __slots__ = (
        "admission_queues",
        "all",
        "attempts",
        "cache",
        "cancelled",
        "hedges",
        "refusals",
        "scheduler",
    )

    def __init__(
        self, admission_queues: Mapping[str, AdmissionQueue], scheduler: Scheduler
    ) -> None:
        """Create the metrics.

        Args:
            admission_queues: the edge's admission queues by service; the mapping may change.
            scheduler: the clock.
        """
        self.admission_queues = admission_queues
        self.scheduler = scheduler
        self.all = Metrics()
        self.refusals = self.all.counter(
            "refusals", "Requests without a server's answer.", "service", "asked_by", "reason"
        )
        self.attempts = self.all.counter("attempts", "Requests sent to servers.", "service")
        self.cancelled = self.all.counter(
            "cancelled", "Attempts ended since their caller had left.", "service"
        )
        self.hedges = self.all.counter(
            "hedges", "Hedged requests, by the server that answered.", "service", "answered_by"
        )
        self.cache = self.all.counter(
            "cache", "Requests on cached routes.", "service", "asked_by", "outcome"
        )
        self.add_gauge("rate_share", "Requests a second that may be sent.", self.share_of)
        self.add_gauge("rate_room", "Requests that may be sent now.", self.tokens_of)
        self.add_gauge("demand", "Requests a second that lately came.", lambda queue: queue.demand)
        self.add_gauge("in_flight", "Requests let through.", lambda queue: queue.in_flight)
        self.add_gauge("waiting", "Requests that wait for room.", lambda queue: queue.waiting)
        self.add_gauge(
            "retries_left", "Retries that may be sent.", lambda queue: queue.budget.tokens
        )

    def add_gauge(self, name: str, help_text: str, read: Callable[[AdmissionQueue], float]) -> None:
        """Add a gauge that is read from the admission queue of each service on every scrape."""

        def read_all() -> dict[Labels, float]:
            return {(service,): read(queue) for service, queue in self.admission_queues.items()}

        self.all.gauge(name, help_text, read_all, "service")

    def share_of(self, queue: AdmissionQueue) -> float:
        """Return a service's quota share in requests per second, 0 if none is held."""
        return queue.bucket.current_share(self.scheduler.now())

    def tokens_of(self, queue: AdmissionQueue) -> float:
        """Return the number of tokens in the bucket after refilling it."""
        queue.bucket.fill(self.scheduler.now())
        return queue.bucket.tokens
