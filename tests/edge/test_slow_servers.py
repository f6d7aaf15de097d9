"""Servers that are slow but at work: a request is not broken off before its deadline.

Incident: docs/incidents/slow-servers-broken-off.md.
"""

import unittest
from random import Random

from concurrent_requests import REQUESTS, amend_routes, finish, send_together

from deployment import Deployment
from ryelock.edge.process import TrafficNode
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, AttemptRecord

TIMEOUT_MS = 4000
TARGET_MS = 400
MOST_OF_THE_TIME_SECONDS = 2.8
"""Servers take 0.7 to 1.3 times this: the longest work ends before the deadline."""
STOPPED_AFTER_SECONDS = 0.02
GRACE_PERIOD_SECONDS = 6.0
"""`grace_period_s` of the simulated deployment."""


def new_deployment(seed: int, target_ms: int = TARGET_MS) -> Deployment:
    """Return a deployment whose servers take most of the time that requests have."""
    deployment = Deployment(seed).set_up()
    amend_routes(
        deployment,
        {"timeout_ms": TIMEOUT_MS, "target_ms": target_ms, "attempt_limit": 2},
        "r5",
        "r6",
    )
    for service in deployment.services.values():
        service.work_seconds = MOST_OF_THE_TIME_SECONDS
        service.slots = 16
        service.echoes_identity = lambda _identity: True
    return deployment


def traffic_node(deployment: Deployment, edge: str) -> TrafficNode:
    node = deployment.node(edge).inner
    assert isinstance(node, TrafficNode)
    return node


def set_retry_tokens(deployment: Deployment, edge: str, tokens: float) -> None:
    """Set the tokens of the retry budget of every service at one edge."""
    handler = traffic_node(deployment, edge).handler
    assert handler is not None
    for queue in handler.context.admission_queues.values():
        queue.budget.allowance = tokens
        queue.budget.tokens = tokens
        queue.budget.ratio = 0.0


class MeanRandom(Random):
    """Makes servers work for exactly the mean time."""

    def random(self) -> float:
        return 0.5


class SlowServerTests(unittest.TestCase):
    def served(self, records: list[AttemptRecord]) -> None:
        self.assertEqual([200] * len(records), [record.status for record in records])

    def test_a_request_that_needs_most_of_its_time_is_served(self) -> None:
        """Guards against ending an attempt for a retry that has less time than the attempt."""
        deployment = new_deployment(101)
        edge = deployment.edges[0]
        records = finish(deployment, send_together(deployment, SAFE, "/plain/", edge))
        self.served(records)
        self.assertEqual([], deployment.violations())

    def test_without_retry_budget_the_first_server_is_waited_for(self) -> None:
        """Guards against a 502 of the edge while a server works and no retry is allowed."""
        deployment = new_deployment(102)
        edge = deployment.edges[0]
        set_retry_tokens(deployment, edge, 0.0)
        records = finish(deployment, send_together(deployment, SAFE, "/plain/", edge))
        self.served(records)
        self.assertEqual([1] * REQUESTS, [len(deployment.arrivals(one)) for one in records])

    def test_a_stopping_edge_waits_for_servers_at_work(self) -> None:
        """Guards against breaking off, after SIGTERM, requests that servers work on."""
        deployment = new_deployment(103)
        edge = deployment.edges[0]
        tasks = send_together(deployment, SAFE, "/plain/", edge)
        deployment.world.run(STOPPED_AFTER_SECONDS)
        node = deployment.node(edge)
        node.scheduler.create_task(node.traffic.stop(), name="stop")
        self.served(finish(deployment, tasks))

    def test_a_stopping_edge_waits_for_servers_until_the_grace_period_ends(self) -> None:
        """Guards against a 503 shortly before the last sixth of the grace period."""
        deployment = new_deployment(110)
        amend_routes(deployment, {"timeout_ms": 8000, "target_ms": 8000}, "r6", "r7")
        for service in deployment.services.values():
            service.work_seconds = 5 / 6 * GRACE_PERIOD_SECONDS
        for instance in deployment.servers.values():
            instance.random = MeanRandom()
        edge = deployment.edges[0]
        tasks = send_together(deployment, SAFE, "/plain/", edge, deadline=8.0)
        deployment.world.run(STOPPED_AFTER_SECONDS)
        node = deployment.node(edge)
        node.scheduler.create_task(node.traffic.stop(), name="stop")
        stopped_at = node.scheduler.now()
        records = finish(deployment, tasks)
        # A connection whose first packet is lost is opened later, and so is its request sent.
        at_work = [one for one in records if deployment.arrivals(one)[0].at <= stopped_at]
        self.assertGreaterEqual(len(at_work), REQUESTS // 2)
        self.served(at_work)

    def test_a_route_that_changes_meanwhile_does_not_end_the_attempt(self) -> None:
        """Guards against a 503 for a changed route while a server works on the request."""
        deployment = new_deployment(104)
        edge = deployment.edges[0]
        tasks = send_together(deployment, SAFE, "/plain/", edge)
        deployment.world.run(STOPPED_AFTER_SECONDS)
        routes = deployment.configuration["routes"]
        assert isinstance(routes, list)
        moved = [{**item, "service": "desks"} for item in routes]
        status, body = deployment.amend(
            {"version": "r7", "upsert": {"routes": moved}, "remove": {}}, "r6"
        )
        self.assertEqual(200, status, body)
        self.served(finish(deployment, tasks))

    def test_objects_of_an_owner_are_waited_for(self) -> None:
        """Guards against dropping an owner at work for a fetch that has less time."""
        deployment = new_deployment(105, target_ms=TIMEOUT_MS // 2)
        for edge in deployment.edges[:3]:
            records = finish(
                deployment, send_together(deployment, CACHEABLE, f"/covers/{edge}/", edge)
            )
            self.served(records)
        self.assertEqual([], deployment.violations())

    def test_objects_of_an_owner_are_waited_for_without_a_free_rate(self) -> None:
        """Guards against a 503 over the rate while the owner's server works on the request."""
        deployment = new_deployment(106, target_ms=TIMEOUT_MS // 2)
        edge = deployment.edges[0]
        handler = traffic_node(deployment, edge).handler
        assert handler is not None
        queue = handler.context.admission_queues["pages"]
        queue.bucket.limited = True
        set_retry_tokens(deployment, edge, 100.0)
        tasks = send_together(deployment, CACHEABLE, "/covers/", edge)
        records = finish(deployment, tasks)
        owned = [
            record for record in records if record.status != 503 or deployment.arrivals(record)
        ]
        self.assertGreater(len(owned), 0, "some objects have another edge as their owner")
        self.served(owned)


class HedgedRequestTests(unittest.TestCase):
    def test_a_second_server_answers_for_a_silent_one(self) -> None:
        deployment = new_deployment(107)
        deployment.services["pages"].work_seconds = 0.1
        for instance in deployment.servers_of("pages"):
            instance.manners.append(Manner.HANGING)
        edge = deployment.edges[0]
        for instance in deployment.servers_of("pages")[1:]:
            instance.manners.clear()
        tasks = send_together(deployment, SAFE, "/plain/", edge, count=REQUESTS)
        records = finish(deployment, tasks)
        self.assertEqual([200] * REQUESTS, [record.status for record in records])
        self.assertTrue(all(len(deployment.arrivals(one)) <= 2 for one in records))

    def test_both_servers_stop_working_once_the_client_left(self) -> None:
        deployment = new_deployment(108)
        for service in deployment.services.values():
            service.work_seconds = 30.0
        edge = deployment.edges[0]
        tasks = send_together(deployment, SAFE, "/plain/", edge, count=1)
        deployment.world.run(3.0)
        working = sum(instance.working for instance in deployment.servers.values())
        self.assertEqual(2, working, "the request is at two servers")
        finish(deployment, tasks)
        deployment.world.run(0.5)
        self.assertEqual(0, sum(instance.working for instance in deployment.servers.values()))
        handler = traffic_node(deployment, edge).handler
        assert handler is not None
        states = handler.context.servers.by_service["pages"]
        self.assertEqual([0] * len(states), [state.in_flight for state in states])
        self.assertEqual(0, handler.context.admission_queues["pages"].in_flight)

    def test_the_slower_server_is_released_after_the_first_response(self) -> None:
        deployment = new_deployment(109)
        first = deployment.servers_of("pages")
        for instance in first:
            instance.speed = 1.0
        edge = deployment.edges[0]
        tasks = send_together(deployment, SAFE, "/plain/", edge, count=1)
        deployment.world.run(0.2)
        for instance in deployment.servers.values():
            if not instance.working:
                instance.speed = 0.01
        record = finish(deployment, tasks)[0]
        self.assertEqual(200, record.status)
        deployment.world.run(0.5)
        self.assertEqual(0, sum(instance.working for instance in deployment.servers.values()))


if __name__ == "__main__":
    unittest.main()
