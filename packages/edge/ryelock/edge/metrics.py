"""The figures that an edge tells of its request path, by service."""

from collections.abc import Callable, Mapping

from ryelock.edge.gate import AdmissionQueue
from ryelock.metrics import Labels, Metrics
from ryelock.runtime import Scheduler


class EdgeMetrics:
    """Counters of an edge's request path, and gauges that read its gates."""

    __slots__ = ("all", "attempts", "cache", "cancelled", "gates", "refusals", "scheduler")

    def __init__(self, gates: Mapping[str, AdmissionQueue], scheduler: Scheduler) -> None:
        """Create the figures; `gates` are the edge's gates by service, as they come and go."""
        self.gates = gates
        self.scheduler = scheduler
        self.all = Metrics()
        self.refusals = self.all.counter(
            "refusals", "Requests without a server's answer.", "service", "asked_by", "reason"
        )
        self.attempts = self.all.counter("attempts", "Requests sent to servers.", "service")
        self.cancelled = self.all.counter(
            "cancelled", "Attempts ended since their caller had left.", "service"
        )
        self.cache = self.all.counter(
            "cache", "Requests on cached routes.", "service", "asked_by", "outcome"
        )
        self.add_gauge("rate_share", "Requests a second that may be sent.", self.share_of)
        self.add_gauge("rate_room", "Requests that may be sent now.", self.room_of)
        self.add_gauge("demand", "Requests a second that lately came.", lambda gate: gate.demand)
        self.add_gauge("in_flight", "Requests let through.", lambda gate: gate.in_flight)
        self.add_gauge("waiting", "Requests that wait for room.", lambda gate: gate.waiting)
        self.add_gauge("retries_left", "Retries that may be sent.", lambda gate: gate.budget.tokens)

    def add_gauge(self, name: str, note: str, read: Callable[[AdmissionQueue], float]) -> None:
        """Add a gauge that is read from the gate of each service."""

        def read_all() -> dict[Labels, float]:
            return {(service,): read(gate) for service, gate in self.gates.items()}

        self.all.gauge(name, note, read_all, "service")

    def share_of(self, gate: AdmissionQueue) -> float:
        """Return a gate's share of its service's rate, 0 where there is none."""
        return gate.bucket.current_share(self.scheduler.now())

    def room_of(self, gate: AdmissionQueue) -> float:
        """Return how many requests a gate's bucket would let through at this moment."""
        gate.bucket.fill(self.scheduler.now())
        return gate.bucket.tokens
