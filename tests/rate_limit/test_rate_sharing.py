"""What a service's rate is spent on: each object once, whoever asks for it."""

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
"""A third more than one fetch of each object a lifetime takes, over nine edges."""
PROBED_RATE = 40.0
SECONDS = 15.0
CLIENTS = 60
REQUESTS_PER_CLIENT = 2.0


def busy_site(seed: int, rate: float, edges: int) -> Deployment:
    """Three zones of one region before a service with a rate, whose objects all are asked for."""
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
    deployment.crowd(CLIENTS, REQUESTS_PER_CLIENT, objects)
    return deployment


def objects(drawn: int) -> tuple[str, str, str]:
    return CACHEABLE, "GET", f"/covers/{drawn % OBJECTS}"


def refused(notes: list[AttemptRecord]) -> float:
    """The part of the requests whose last try was refused."""
    last: dict[str, AttemptRecord] = {}
    for note in notes:
        last[note.request_name] = note
    return sum(note.status == 503 for note in last.values()) / len(last)


class RateSharingTests(unittest.TestCase):
    def test_a_region_fetches_an_object_once_a_lifetime(self) -> None:
        deployment = busy_site(71, WIDE_RATE, edges=4)
        deployment.world.run(SECONDS)
        deployment.callers_on = False
        fetched = Counter(
            arrival.target
            for arrival in deployment.history
            if arrival.host == HOST and arrival.identity
        )
        asked = {note.target for note in deployment.notes}
        self.assertGreater(len(deployment.notes), SECONDS * CLIENTS)
        self.assertLess(sum(fetched.values()), 1.15 * len(asked))
        self.assertLess(refused(deployment.notes), 0.02)
        self.assertEqual([], deployment.broken())

    def test_a_rate_that_suffices_is_not_refused_for_its_division(self) -> None:
        deployment = busy_site(72, TIGHT_RATE, edges=3)
        deployment.world.run(1.5 * LIFETIME_SECONDS)
        warm = len(deployment.notes)
        deployment.world.run(LIFETIME_SECONDS)
        deployment.callers_on = False
        self.assertGreater(len(deployment.notes) - warm, LIFETIME_SECONDS * CLIENTS)
        self.assertLess(refused(deployment.notes[warm:]), 0.12)
        self.assertEqual([], rate_violations(deployment.history, "pages", TIGHT_RATE))
        self.assertEqual([], deployment.broken())

    def test_probes_that_nobody_ordered_take_little_of_a_rate(self) -> None:
        deployment = busy_site(73, PROBED_RATE, edges=3)
        deployment.world.run(LIFETIME_SECONDS)
        planned = 0.0
        for name in deployment.edges:
            node = deployment.node(name).inner
            assert isinstance(node, TrafficNode)
            planned += sum(
                1.0 / max(node.settings.probe_seconds, target.min_interval_seconds)
                for target in node.probe_targets.current()
                if not target.cross_zone
            )
        self.assertGreater(planned, 0.0)
        self.assertLess(planned, 0.07 * PROBED_RATE)


class SlowOwnerTests(unittest.TestCase):
    def test_an_owner_that_works_on_for_long_is_passed_by(self) -> None:
        """One that said 102 and hangs costs a part of the aim, not half of the deadline."""
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
        asked = 0
        for number in range(12):
            for name in deployment.edges:
                edge = deployment.node(name).inner
                assert isinstance(edge, TrafficNode) and edge.handler is not None
                edge.handler.context.admission_queues["pages"].budget.tokens = 20.0
            shared = deque([Manner.HANGING])
            for life in deployment.of_service("pages"):
                life.manners = shared
            owner = peers.owner((HOST, f"/covers/{number}"))
            note = deployment.ask(CACHEABLE, "GET", f"/covers/{number}", deadline=8.0)
            self.assertTrue(note.served)
            if owner is not None:
                asked += 1
                self.assertLess(note.seconds, 1.6)
        self.assertGreater(asked, 3)
