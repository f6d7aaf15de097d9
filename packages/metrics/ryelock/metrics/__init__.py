"""Metrics of one process: counters and gauges, served in the Prometheus text format.

Counting is one dictionary update; all other work is done when the metrics are read. The Prometheus
library is imported at the first read, so that a node whose metrics are never read does not need the
memory for it.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from ryelock.events import METRICS_LOGGED, Log
from ryelock.http import HttpExchange, HttpServer, Limits
from ryelock.runtime import Network, Scheduler

if TYPE_CHECKING:
    from prometheus_client import Metric

Labels = tuple[str, ...]
"""Names of a metric's labels, or their values in the same order."""
ReadGauge = Callable[[], Mapping[Labels, float]]
"""Returns the current values of a gauge by label values."""
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Counter:
    """A monotonically increasing sum for each combination of label values."""

    __slots__ = ("help", "labels", "name", "values")

    def __init__(self, name: str, help: str, labels: Labels) -> None:
        """Create a counter without values.

        Args:
            name: name of the metric, without the suffix `_total`.
            help: one line that describes what is counted, with the unit.
            labels: names of the labels.
        """
        self.name = name
        self.help = help
        self.labels = labels
        self.values: defaultdict[Labels, float] = defaultdict(float)

    def add(self, *values: str, amount: float = 1.0) -> None:
        """Add `amount` to the sum for these label values, given in the order of the label names."""
        self.values[values] += amount


class Gauge:
    """A value for each combination of label values, evaluated when the metrics are read."""

    __slots__ = ("help", "labels", "name", "read")

    def __init__(self, name: str, help: str, labels: Labels, read: ReadGauge) -> None:
        """Create a gauge; see Counter. `read` returns the current values."""
        self.name = name
        self.help = help
        self.labels = labels
        self.read = read


class Metrics:
    """All metrics of one process."""

    __slots__ = ("counters", "gauges")

    def __init__(self) -> None:
        """Create a registry without metrics."""
        self.counters: list[Counter] = []
        self.gauges: list[Gauge] = []

    def counter(self, name: str, help: str, *labels: str) -> Counter:
        """Add a counter, exposed with the prefix `ryelock_` and the suffix `_total`."""
        counter = Counter(f"ryelock_{name}", help, labels)
        self.counters.append(counter)
        return counter

    def gauge(self, name: str, help: str, read: ReadGauge, *labels: str) -> None:
        """Add a gauge, exposed with the prefix `ryelock_`."""
        self.gauges.append(Gauge(f"ryelock_{name}", help, labels, read))

    def collect(self) -> "Iterator[Metric]":
        """Yield the metrics with their current values; called by prometheus_client."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for counter in self.counters:
            counter_family = CounterMetricFamily(counter.name, counter.help, labels=counter.labels)
            for values, amount in sorted(counter.values.items()):
                counter_family.add_metric(values, amount)
            yield counter_family
        for gauge in self.gauges:
            gauge_family = GaugeMetricFamily(gauge.name, gauge.help, labels=gauge.labels)
            for values, amount in sorted(gauge.read().items()):
                gauge_family.add_metric(values, amount)
            yield gauge_family

    def to_dict(self) -> dict[str, float]:
        """Return all current values by `name/label value/...`, as written to the log."""
        result: dict[str, float] = {}
        for counter in self.counters:
            for values, amount in sorted(counter.values.items()):
                result["/".join((counter.name, *values))] = amount
        for gauge in self.gauges:
            for values, amount in sorted(gauge.read().items()):
                result["/".join((gauge.name, *values))] = round(amount, 4)
        return result

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


class MetricsServer:
    """HTTP server for the metrics of a process; it serves them at every path."""

    __slots__ = ("listener", "metrics")

    def __init__(
        self, scheduler: Scheduler, network: Network, log: Log, address: str, metrics: Metrics
    ) -> None:
        """Listen on host:port; raises NetworkError if that fails."""
        self.metrics = metrics
        self.listener = HttpServer(scheduler, network, log, address, Limits(), self.serve)

    async def serve(self, exchange: HttpExchange) -> None:
        """Respond to one request with all metrics."""
        await exchange.read_body()
        fields = [(b"Content-Type", CONTENT_TYPE), (b"Cache-Control", b"no-store")]
        await exchange.respond(200, fields, self.metrics.exposition())


async def log_metrics(
    scheduler: Scheduler, log: Log, metrics: Metrics, interval_seconds: float
) -> None:
    """Write all metrics to the log at a fixed interval; never returns."""
    while True:
        await scheduler.sleep(interval_seconds)
        log.write(METRICS_LOGGED, figures=metrics.to_dict())


def export_metrics(
    scheduler: Scheduler,
    network: Network,
    log: Log,
    metrics: Metrics,
    address: str,
    log_interval_seconds: float,
) -> None:
    """Serve and log the metrics of a process as configured.

    Args:
        scheduler: runs the tasks.
        network: network to listen on.
        log: log of the process.
        metrics: metrics that are served and logged.
        address: host:port to listen on; empty disables the server.
        log_interval_seconds: interval between two log events; 0 disables them.

    Raises:
        NetworkError: listening on the address failed.
    """
    if address:
        MetricsServer(scheduler, network, log, address, metrics)
    if log_interval_seconds:
        scheduler.create_task(
            log_metrics(scheduler, log, metrics, log_interval_seconds), name="metrics"
        )
