"""The figures of a process: the text that is served, and what an edge counts of its refusals."""

import unittest

from deployment import Deployment
from ryelock.http import Reader, read_response, send_request
from ryelock.metrics import Metrics
from ryelock.testing.hosting_platform.attempts import SAFE

METRICS_PORT = 9464


def read_metrics(deployment: Deployment, edge: str) -> str:
    """Fetch the figures of an edge as the platform does."""
    address = f"{deployment.node(edge).host}:{METRICS_PORT}"

    async def fetch() -> bytes:
        connection = deployment.client_node.network.connect(address)
        await connection.wait_connected(1.0)
        reader = Reader(deployment.client_node.scheduler, connection)
        send_request(connection, b"GET", b"/metrics", [(b"Host", b"figures")], b"")
        until = deployment.client_node.scheduler.now() + 1.0
        found = await read_response(reader, b"GET", 32_768, until)
        body = await found.ok.body.read_all(1 << 20, until)
        connection.close()
        return body

    return deployment.world.task(deployment.client_node, fetch(), 10).decode()


class MetricsTests(unittest.TestCase):
    def test_counters_and_gauges_are_written_by_their_labels(self) -> None:
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

    def test_an_edge_counts_why_it_rejected(self) -> None:
        deployment = Deployment(41).set_up()
        note = deployment.request(SAFE, "GET", "/plain/a")
        self.assertEqual(200, note.status)
        for life in deployment.servers_of("pages"):
            deployment.platform.crash(life)
        deployment.world.run(8)
        note = deployment.request(SAFE, "GET", "/plain/b")
        self.assertEqual(503, note.status)
        lines = read_metrics(deployment, deployment.edges[0]).splitlines()
        self.assertIn(
            'ryelock_refusals_total{asked_by="client",reason="no server",service="pages"} 1.0',
            lines,
        )
        self.assertIn('ryelock_attempts_total{service="pages"} 1.0', lines)
        self.assertEqual([], deployment.violations())
