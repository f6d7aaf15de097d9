"""Figures of one process: counters and gauges, served as text in the Prometheus format.

A counter costs a dictionary entry where it is counted; everything else happens when somebody
asks. The library that writes the format is loaded at the first such request: it is larger than
what most nodes need, and a node that nobody looks at never pays for it.
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
Read = Callable[[], Mapping[Labels, float]]
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Counter:
    """A sum that only grows, one for each combination of its labels' values."""

    __slots__ = ("help", "labels", "name", "values")

    def __init__(self, name: str, help: str, labels: Labels) -> None:
        """Create a counter at zero; `labels` are the labels' names, `note` its line of help."""
        self.name = name
        self.help = help
        self.labels = labels
        self.values: defaultdict[Labels, float] = defaultdict(float)

    def add(self, *values: str, amount: float = 1.0) -> None:
        """Add to the sum of these label values, given in the order of the labels' names."""
        self.values[values] += amount


class Gauge:
    """A figure that is read when it is asked for, by its labels' values."""

    __slots__ = ("help", "labels", "name", "read")

    def __init__(self, name: str, help: str, labels: Labels, read: Read) -> None:
        """Create a gauge; see Counter."""
        self.name = name
        self.help = help
        self.labels = labels
        self.read = read


class Metrics:
    """All figures of one process."""

    __slots__ = ("counters", "gauges")

    def __init__(self) -> None:
        """Create a collection without figures."""
        self.counters: list[Counter] = []
        self.gauges: list[Gauge] = []

    def counter(self, name: str, help: str, *labels: str) -> Counter:
        """Add a counter; its name is shown with `ryelock_` before and `_total` behind."""
        counter = Counter(f"ryelock_{name}", help, labels)
        self.counters.append(counter)
        return counter

    def gauge(self, name: str, help: str, read: Read, *labels: str) -> None:
        """Add a gauge; its name is shown with `ryelock_` before."""
        self.gauges.append(Gauge(f"ryelock_{name}", help, labels, read))

    def collect(self) -> "Iterator[Metric]":
        """Yield the figures as they are now; prometheus_client calls this."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for counter in self.counters:
            sums = CounterMetricFamily(counter.name, counter.help, labels=counter.labels)
            for values, amount in sorted(counter.values.items()):
                sums.add_metric(values, amount)
            yield sums
        for gauge in self.gauges:
            figures = GaugeMetricFamily(gauge.name, gauge.help, labels=gauge.labels)
            for values, amount in sorted(gauge.read().items()):
                figures.add_metric(values, amount)
            yield figures

    def to_dict(self) -> dict[str, float]:
        """Return all figures by name and label values, as one line of the log has them."""
        found: dict[str, float] = {}
        for counter in self.counters:
            for values, amount in sorted(counter.values.items()):
                found["/".join((counter.name, *values))] = amount
        for gauge in self.gauges:
            for values, amount in sorted(gauge.read().items()):
                found["/".join((gauge.name, *values))] = round(amount, 4)
        return found

    def exposition(self) -> bytes:
        """Return all figures in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


class MetricsServer:
    """Serves the figures of a process over HTTP, whatever the path."""

    __slots__ = ("listener", "metrics")

    def __init__(
        self, scheduler: Scheduler, network: Network, log: Log, address: str, metrics: Metrics
    ) -> None:
        """Listen at host:port; raises NetworkError where that cannot be had."""
        self.metrics = metrics
        self.listener = HttpServer(scheduler, network, log, address, Limits(), self.serve)

    async def serve(self, exchange: HttpExchange) -> None:
        """Answer one request with all figures."""
        await exchange.read_body()
        fields = [(b"Content-Type", CONTENT_TYPE), (b"Cache-Control", b"no-store")]
        await exchange.respond(200, fields, self.metrics.exposition())


async def log_metrics(
    scheduler: Scheduler, log: Log, metrics: Metrics, interval_seconds: float
) -> None:
    """Write all figures to the log again and again, once in so many seconds."""
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
    """Serve figures at an address unless that is empty, log them unless `seconds` is 0."""
    if address:
        MetricsServer(scheduler, network, log, address, metrics)
    if log_interval_seconds:
        scheduler.create_task(
            log_metrics(scheduler, log, metrics, log_interval_seconds), name="figures"
        )
