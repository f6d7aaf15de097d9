"""Use of a service's rate: one fetch of each object per lifetime, few rejections, few probes."""

import unittest
from collections import Counter, deque

from deployment import HOST, Deployment, route, service_item
from ryelock.edge.process import TrafficNode
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, AttemptRecord
from ryelock.testing.hosting_platform.checks import rate_violations

OBJECTS = 240
LIFETIME_SECONDS = 20.0
WIDE_RATE = 400.0
TIGHT_RATE = 16.0
"""A third above the rate of one fetch per object and lifetime, over nine edges."""
PROBED_RATE = 40.0
RUN_SECONDS = 15.0
CLIENTS = 60
REQUESTS_PER_CLIENT_PER_SECOND = 2.0


def busy_site(seed: int, rate: float, edges: int) -> Deployment:
    """Set up three zones of one region; clients request every object of a rate-limited service."""
    deployment = Deployment(seed, edges=edges)
    deployment.configuration = {
        "version": "r5",
        "routes": [
            route(
                "covers",
                "/covers/",
                CACHEABLE,
                cache_lifetime_s=LIFETIME_SECONDS,
                target_ms=600,
                timeout_ms=3000,
                attempt_limit=2,
            ),
        ],
        "services": [service_item("pages", rate_per_s=rate), service_item("desks")],
        "limits": deployment.configuration["limits"],
    }
    deployment.set_up()
    deployment.start_clients(CLIENTS, REQUESTS_PER_CLIENT_PER_SECOND, draw_request)
    return deployment


def draw_request(number: int) -> tuple[str, str, str]:
    return CACHEABLE, "GET", f"/covers/{number % OBJECTS}"


def rejected_fraction(records: list[AttemptRecord]) -> float:
    """Return the fraction of requests whose last attempt was rejected."""
    last_attempts: dict[str, AttemptRecord] = {}
    for record in records:
        last_attempts[record.request_name] = record
    return sum(record.status == 503 for record in last_attempts.values()) / len(last_attempts)


class RateSharingTests(unittest.TestCase):
    def test_a_region_fetches_an_object_once_per_lifetime(self) -> None:
        deployment = busy_site(71, WIDE_RATE, edges=4)
        deployment.world.run(RUN_SECONDS)
        deployment.clients_running = False
        fetches = Counter(
            arrival.target
            for arrival in deployment.history
            if arrival.host == HOST and arrival.identity
        )
        requested = {record.target for record in deployment.records}
        self.assertGreater(len(deployment.records), RUN_SECONDS * CLIENTS)
        self.assertLess(sum(fetches.values()), 1.15 * len(requested))
        self.assertLess(rejected_fraction(deployment.records), 0.02)
        self.assertEqual([], deployment.violations())

    def test_dividing_a_sufficient_rate_causes_few_rejections(self) -> None:
        deployment = busy_site(72, TIGHT_RATE, edges=3)
        deployment.world.run(1.5 * LIFETIME_SECONDS)
        warm_up_count = len(deployment.records)
        deployment.world.run(LIFETIME_SECONDS)
        deployment.clients_running = False
        self.assertGreater(len(deployment.records) - warm_up_count, LIFETIME_SECONDS * CLIENTS)
        self.assertLess(rejected_fraction(deployment.records[warm_up_count:]), 0.12)
        self.assertEqual([], rate_violations(deployment.history, "pages", TIGHT_RATE))
        self.assertEqual([], deployment.violations())

    def test_probes_of_derived_watches_use_a_small_part_of_the_rate(self) -> None:
        deployment = busy_site(73, PROBED_RATE, edges=3)
        deployment.world.run(LIFETIME_SECONDS)
        probes_per_second = 0.0
        for name in deployment.edges:
            node = deployment.node(name).inner
            assert isinstance(node, TrafficNode)
            probes_per_second += sum(
                1.0 / max(node.settings.probe_seconds, target.min_interval_seconds)
                for target in node.probe_targets.current()
                if not target.cross_zone
            )
        self.assertGreater(probes_per_second, 0.0)
        self.assertLess(probes_per_second, 0.07 * PROBED_RATE)


class SlowOwnerTests(unittest.TestCase):
    def test_a_hanging_owner_is_bypassed(self) -> None:
        """An owner that hangs after a 102 response costs far less than half of the deadline."""
        deployment = Deployment(74, edges=3)
        routes = [
            route("covers", "/covers/", CACHEABLE, target_ms=600, timeout_ms=8000, attempt_limit=3)
        ]
        deployment.configuration["routes"] = routes
        deployment.set_up()
        node = deployment.node(deployment.edges[0]).inner
        assert isinstance(node, TrafficNode) and node.handler is not None
        peers = node.handler.context.peers
        assert peers is not None
        requests_through_owner = 0
        for number in range(12):
            for name in deployment.edges:
                edge = deployment.node(name).inner
                assert isinstance(edge, TrafficNode) and edge.handler is not None
                edge.handler.context.admission_queues["pages"].budget.tokens = 20.0
            behaviors = deque([Manner.HANGING])
            for server in deployment.servers_of("pages"):
                server.manners = behaviors
            owner = peers.owner_to_ask((HOST, f"/covers/{number}"))
            record = deployment.request(CACHEABLE, "GET", f"/covers/{number}", deadline=8.0)
            self.assertTrue(record.served)
            if owner is not None:
                requests_through_owner += 1
                self.assertLess(record.seconds, 1.6)
        self.assertGreater(requests_through_owner, 3)
