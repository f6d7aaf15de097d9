"""A request ends at its route's timeout, whatever it is waiting for, and not before.

Incident: docs/incidents/held-past-the-timeout.md.
"""

import unittest

from concurrent_requests import amend_routes, finish, send_together

from deployment import HOST, Deployment
from ryelock.http import Reader, read_response
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE

TIMEOUT_MS = 1500
CLIENT_DEADLINE_SECONDS = 12.0
LATE_SECONDS = 0.5
"""A request has its final answer this long after the route's timeout."""
LONG_ANSWER_BYTES = 200_000
"""Longer than what an edge reads before it forwards the head."""
PART_BYTES = 90_000
SILENT_SECONDS = 600.0
REQUESTS = 8
LONG_TIMEOUT_MS = 19_000
LONG_WORK_SECONDS = 12.0


class HeldRequestTests(unittest.TestCase):
    def slow_answers(self, seed: int, part_bytes: int, interval_seconds: float) -> Deployment:
        """Return a deployment whose answers are long and come in parts."""
        deployment = Deployment(seed).set_up()
        for service in deployment.services.values():
            service.objects.size = LONG_ANSWER_BYTES
            service.part_bytes = part_bytes
            service.part_interval_seconds = interval_seconds
            service.slots = 2 * REQUESTS
        return deployment

    def check_ends(self, deployment: Deployment, kind: str, prefix: str) -> None:
        edge = deployment.edges[0]
        tasks = send_together(
            deployment, kind, prefix, edge, REQUESTS, deadline=CLIENT_DEADLINE_SECONDS
        )
        latest = TIMEOUT_MS / 1000 + LATE_SECONDS
        for record in finish(deployment, tasks):
            self.assertLessEqual(record.seconds, latest, record.ending)
            self.assertFalse(record.complete and record.status == 200)

    def test_a_server_that_falls_silent_in_its_answer(self) -> None:
        """Guards against a client that is held while the edge waits for the rest of an answer."""
        self.check_ends(self.slow_answers(121, PART_BYTES, SILENT_SECONDS), SAFE, "/plain/")

    def test_a_server_that_sends_a_few_bytes_at_times(self) -> None:
        """Guards against a timeout that starts again with each byte of the answer."""
        self.check_ends(self.slow_answers(122, 100, 0.3), SAFE, "/plain/")

    def test_a_server_that_falls_silent_in_an_object(self) -> None:
        self.check_ends(self.slow_answers(123, PART_BYTES, SILENT_SECONDS), CACHEABLE, "/covers/")

    def test_servers_are_free_again_at_the_timeout(self) -> None:
        deployment = self.slow_answers(124, PART_BYTES, SILENT_SECONDS)
        self.check_ends(deployment, SAFE, "/plain/")
        deployment.world.run(LATE_SECONDS)
        busy = [len(server.listener.connections) for server in deployment.servers_of("pages")]
        self.assertLessEqual(sum(busy), len(busy) * len(deployment.edges), "only probes remain")
        self.assertEqual(0, sum(server.working for server in deployment.servers_of("pages")))

    def test_a_body_that_does_not_come(self) -> None:
        """Guards against an upload that is waited for past the route's timeout."""
        deployment = Deployment(125).set_up()
        node, front = deployment.client_node, deployment.entrance.fronts[deployment.edges[0]]

        async def send_half() -> tuple[int, float]:
            connection = node.network.connect(front)
            await connection.wait_connected(1.0)
            started = node.scheduler.now()
            connection.write(
                b"POST /orders/a HTTP/1.1\r\nHost: %s\r\nAttempt-Id: half\r\n"
                b"Deadline-Remaining: 12000\r\nContent-Length: 10\r\n\r\nhalf" % HOST.encode()
            )
            reader = Reader(node.scheduler, connection)
            found = await read_response(reader, b"POST", 8192, started + 20)
            return found.ok.head.status if found.is_ok() else 0, node.scheduler.now() - started

        status, seconds = deployment.world.task(node, send_half(), 30)
        self.assertEqual(408, status)
        self.assertLessEqual(seconds, TIMEOUT_MS / 1000 + LATE_SECONDS)
        self.assertEqual([], [arrival.identity for arrival in deployment.history])

    def test_a_route_with_a_long_timeout_has_all_of_it(self) -> None:
        """Guards against the listener's limit on requests ending a route's longer one."""
        deployment = Deployment(126).set_up()
        amend_routes(
            deployment, {"timeout_ms": LONG_TIMEOUT_MS, "target_ms": LONG_TIMEOUT_MS}, "r5", "r6"
        )
        for service in deployment.services.values():
            service.work_seconds = LONG_WORK_SECONDS
        edge = deployment.edges[0]
        seconds = LONG_TIMEOUT_MS / 1000
        for kind, method, target in (
            (SAFE, "GET", "/plain/long"),
            (CACHEABLE, "GET", "/covers/long"),
            (UNSAFE, "POST", "/orders/long"),
        ):
            record = deployment.request(kind, method, target, edge=edge, deadline=seconds)
            self.assertEqual(200, record.status, kind)


if __name__ == "__main__":
    unittest.main()
