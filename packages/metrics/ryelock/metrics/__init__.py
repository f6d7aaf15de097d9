"""Metrics of one process: counters and gauges, served in the Prometheus text format.

A counter costs a dictionary entry where it is counted; everything else happens when the metrics are
read. The library that writes the format is loaded at the first such request: it is larger than
most of a node, and a node whose metrics nobody reads never loads it.
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
"""Values of a metric's labels, in the order of their names."""
ReadGauge = Callable[[], Mapping[Labels, float]]
"""Returns a gauge's present values by its labels' values."""
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Counter:
    """A sum that only grows, one for each combination of its labels' values."""

    __slots__ = ("help", "labels", "name", "values")

    def __init__(self, name: str, help: str, labels: Labels) -> None:
        """Create a counter without values.

        Args:
            name: the metric's name, without the ending `_total`.
            help: one line that says what is counted, with its unit.
            labels: the labels' names.
        """
        self.name = name
        self.help = help
        self.labels = labels
        self.values: defaultdict[Labels, float] = defaultdict(float)

    def add(self, *values: str, amount: float = 1.0) -> None:
        """Add to the sum of these label values, given in the order of the labels' names."""
        self.values[values] += amount


class Gauge:
    """A value that is read when the metrics are, for each combination of its labels' values."""

    __slots__ = ("help", "labels", "name", "read")

    def __init__(self, name: str, help: str, labels: Labels, read: ReadGauge) -> None:
        """Create a gauge; see Counter."""
        self.name = name
        self.help = help
        self.labels = labels
        self.read = read


class Metrics:
    """All metrics of one process."""

    __slots__ = ("counters", "gauges")

    def __init__(self) -> None:
        """Create an empty collection."""
        self.counters: list[Counter] = []
        self.gauges: list[Gauge] = []

    def counter(self, name: str, help: str, *labels: str) -> Counter:
        """Add a counter; its name is shown with `ryelock_` before and `_total` behind."""
        counter = Counter(f"ryelock_{name}", help, labels)
        self.counters.append(counter)
        return counter

    def gauge(self, name: str, help: str, read: ReadGauge, *labels: str) -> None:
        """Add a gauge; its name is shown with `ryelock_` before."""
        self.gauges.append(Gauge(f"ryelock_{name}", help, labels, read))

    def collect(self) -> "Iterator[Metric]":
        """Yield the present values; prometheus_client calls this."""
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
        """Return all values by name and label values, as one line of the log has them."""
        found: dict[str, float] = {}
        for counter in self.counters:
            for values, amount in sorted(counter.values.items()):
                found["/".join((counter.name, *values))] = amount
        for gauge in self.gauges:
            for values, amount in sorted(gauge.read().items()):
                found["/".join((gauge.name, *values))] = round(amount, 4)
        return found

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


class MetricsServer:
    """Serves the metrics of a process over HTTP, whatever the path."""

    __slots__ = ("listener", "metrics")

    def __init__(
        self, scheduler: Scheduler, network: Network, log: Log, address: str, metrics: Metrics
    ) -> None:
        """Listen at host:port; raises NetworkError where that is not possible."""
        self.metrics = metrics
        self.listener = HttpServer(scheduler, network, log, address, Limits(), self.serve)

    async def serve(self, exchange: HttpExchange) -> None:
        """Answer one request with all metrics."""
        await exchange.read_body()
        fields = [(b"Content-Type", CONTENT_TYPE), (b"Cache-Control", b"no-store")]
        await exchange.respond(200, fields, self.metrics.exposition())


async def log_metrics(
    scheduler: Scheduler, log: Log, metrics: Metrics, interval_seconds: float
) -> None:
    """Write all metrics to the log, once in so many seconds, without end."""
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
    """Serve and log the metrics of a process, as its settings say.

    Args:
        scheduler: runs the tasks.
        network: what listens.
        log: takes the lines.
        metrics: what is served and logged.
        address: host:port to serve at; empty for nowhere.
        log_interval_seconds: seconds between two lines of the log; 0 for none.

    Raises:
        NetworkError: the address cannot be listened on.
    """
    if address:
        MetricsServer(scheduler, network, log, address, metrics)
    if log_interval_seconds:
        scheduler.create_task(
            log_metrics(scheduler, log, metrics, log_interval_seconds), name="metrics"
        )
