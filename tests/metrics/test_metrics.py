"""Metrics: the exposition format, and the rejections that an edge counts."""

import unittest

from deployment import Deployment
from ryelock.http import Reader, read_response, send_request
from ryelock.metrics import Metrics
from ryelock.testing.hosting_platform.attempts import SAFE

METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465


def read_metrics(deployment: Deployment, name: str, port: int = METRICS_PORT) -> str:
    """Fetch the metrics of a process over HTTP, as the platform does."""
    address = f"{deployment.node(name).host}:{port}"

    async def fetch() -> bytes:
        connection = deployment.client_node.network.connect(address)
        await connection.wait_connected(1.0)
        reader = Reader(deployment.client_node.scheduler, connection)
        send_request(connection, b"GET", b"/metrics", [(b"Host", b"figures")], b"")
        deadline = deployment.client_node.scheduler.now() + 1.0
        response = await read_response(reader, b"GET", 32_768, deadline)
        body = await response.ok.body.read_all(1 << 20, deadline)
        connection.close()
        return body

    return deployment.world.task(deployment.client_node, fetch(), 10).decode()


class MetricsTests(unittest.TestCase):
    def test_counters_and_gauges_are_exposed_by_label_values(self) -> None:
        metrics = Metrics()
        refusals = metrics.counter("refusals", "Requests refused.", "service", "reason")
        refusals.add("pages", "over the rate")
        refusals.add("pages", "over the rate")
        refusals.add('a "b"\n', "no server", amount=3)
        metrics.gauge("share", "Share.", lambda: {("pages",): 2.5}, "service")
        lines = metrics.exposition().decode().splitlines()
        self.assertIn('ryelock_refusals_total{reason="over the rate",service="pages"} 2.0', lines)
        self.assertIn(
            'ryelock_refusals_total{reason="no server",service="a \\"b\\"\\n"} 3.0', lines
        )
        self.assertIn('ryelock_share{service="pages"} 2.5', lines)
        self.assertIn("# TYPE ryelock_refusals_total counter", lines)
        self.assertIn("# TYPE ryelock_share gauge", lines)

    def test_the_age_of_the_server_list_shows_whether_it_is_read(self) -> None:
        deployment = Deployment(42).set_up()
        scraped = [
            *((name, METRICS_PORT) for name in deployment.edges),
            *((name, CONTROL_METRICS_PORT) for name in deployment.cores),
        ]
        deployment.world.run(3)
        for name, port in scraped:
            self.assertLess(self.server_list_age(deployment, name, port), 3.0, name)
        deployment.platform.silent = True
        deployment.world.run(6)
        for name, port in scraped:
            self.assertGreater(self.server_list_age(deployment, name, port), 5.0, name)

    def server_list_age(self, deployment: Deployment, name: str, port: int) -> float:
        """Return the age of the server list that a process reports, in seconds."""
        prefix = "ryelock_server_list_age "
        lines = read_metrics(deployment, name, port).splitlines()
        (line,) = (line for line in lines if line.startswith(prefix))
        return float(line.removeprefix(prefix))

    def test_an_edge_counts_rejections_by_reason(self) -> None:
        deployment = Deployment(41).set_up()
        record = deployment.request(SAFE, "GET", "/plain/a")
        self.assertEqual(200, record.status)
        for instance in deployment.servers_of("pages"):
            deployment.platform.crash(instance)
        deployment.world.run(8)
        record = deployment.request(SAFE, "GET", "/plain/b")
        self.assertEqual(503, record.status)
        lines = read_metrics(deployment, deployment.edges[0]).splitlines()
        self.assertIn(
            'ryelock_refusals_total{asked_by="client",reason="no server",service="pages"} 1.0',
            lines,
        )
        self.assertIn('ryelock_attempts_total{service="pages"} 1.0', lines)
        self.assertEqual([], deployment.violations())
