"""What an edge asks of the edge that keeps an object: what silence costs, and how many servers
one try reaches over both of them."""

from typing import Any

import testtools

from deployment import HOST, Deployment, route
from ryelock.edge.peers import owner_of
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, AttemptRecord
from ryelock.testing.hosting_platform.checks import retry_violations

ONE_ZONE = {"a": "north"}
MANNERS = (Manner.FAILING, Manner.LOST, Manner.WRONG, Manner.CUT, Manner.FULL)


def one_zone(seed: int, limit: int = 3) -> Deployment:
    """Three edges that share copies, four servers of each service, no spikes of delay."""
    deployment = Deployment(seed, ONE_ZONE, edges=3, servers=4)
    routes: Any = deployment.configuration["routes"]
    routes[1] = route("covers", "/covers/", CACHEABLE, attempt_limit=limit)
    deployment.set_up()
    deployment.world.spikes = 0.0
    return deployment


def kept_by(deployment: Deployment, asking: str, owner: str, number: int = 0) -> str:
    """An object that one edge keeps, as another edge finds it; each number names another."""
    handler = deployment.node(asking).traffic.handler
    assert handler is not None and handler.context.peers is not None
    handler.context.peers.update_members(handler.context.member.members)
    found = [
        target
        for target in (f"/covers/{place}" for place in range(400))
        if owner_of((HOST, target), handler.context.peers.zone_edge_names) == owner
    ]
    return found[number]


def repeats_left(deployment: Deployment, edge: str) -> float:
    handler = deployment.node(edge).traffic.handler
    assert handler is not None
    return handler.context.admission_queues["pages"].budget.tokens


def spend_all_repeats(deployment: Deployment, edge: str) -> None:
    handler = deployment.node(edge).traffic.handler
    assert handler is not None
    handler.context.admission_queues["pages"].budget.tokens = 0.0


def get(deployment: Deployment, target: str, edge: str, **more: Any) -> AttemptRecord:
    return deployment.ask(CACHEABLE, "GET", target, edge=edge, **more)


async def ask_one(client: Any, edge: str, target: str) -> None:
    await client.request(CACHEABLE, "GET", HOST, target, b"", 1.0, None, 1, edge)


class SilenceTests(testtools.TestCase):
    """What the silence of an object's owner costs the edge that asked it."""

    def test_an_ask_that_a_frozen_owner_swallowed_is_no_repeat(self) -> None:
        deployment = one_zone(1)
        asking, owner = deployment.edges[0], deployment.edges[1]
        target = kept_by(deployment, asking, owner)
        deployment.world.freeze(owner, True)
        spend_all_repeats(deployment, asking)
        note = get(deployment, target, asking, deadline=0.8)
        self.assertTrue(note.served, f"{note.status}")
        self.assertEqual(1, len(deployment.arrivals(note)))
        deployment.world.freeze(owner, False)
        deployment.world.run(2)
        self.assertEqual(1, len(deployment.arrivals(note)), "the owner sent it once it thawed")

    def test_a_frozen_owner_is_waited_for_a_bounded_time_and_then_passed_by(self) -> None:
        deployment = one_zone(2)
        asking, owner = deployment.edges[0], deployment.edges[1]
        deployment.world.freeze(owner, True)
        notes = [
            get(deployment, kept_by(deployment, asking, owner, number), asking, deadline=0.8)
            for number in range(6)
        ]
        self.assertTrue(all(note.served for note in notes))
        self.assertLess(notes[0].seconds, 0.25 + 0.1)
        self.assertTrue(all(note.seconds < 0.1 for note in notes[1:]))

    def test_an_owner_that_is_slow_is_waited_for_where_no_repeat_is_left(self) -> None:
        """Its fetch is under way at a server; from here nothing may be sent."""
        deployment = one_zone(3)
        asking, owner = deployment.edges[0], deployment.edges[1]
        deployment.services["pages"].work_seconds = 0.4
        spend_all_repeats(deployment, asking)
        note = get(deployment, kept_by(deployment, asking, owner), asking, deadline=1.0)
        self.assertTrue(note.served, f"{note.status}")
        self.assertEqual(1, len(deployment.arrivals(note)))

    def test_a_slow_fill_at_the_owner_is_not_fetched_by_every_edge_that_asked(self) -> None:
        """They wait for it; a fetch of their own would be a repeat, and none is left here."""
        deployment = one_zone(7)
        asking, owner, other = deployment.edges
        deployment.services["pages"].work_seconds = 0.4
        target = kept_by(deployment, asking, owner)
        for edge in (asking, other):
            spend_all_repeats(deployment, edge)
        for number, edge in enumerate((owner, asking, other)):
            client = deployment.client(f"slow{number}")
            deployment.outside.scheduler.create_task(
                ask_one(client, edge, target),
                name="slow",
            )
            deployment.world.run(0.01)
        deployment.world.run(2)
        self.assertEqual([True] * 3, [note.served for note in deployment.notes[-3:]])
        sent = [len(deployment.arrivals(note)) for note in deployment.notes[-3:]]
        self.assertEqual([0, 0, 1], sorted(sent))

    def test_a_fetch_that_an_owner_swallowed_is_charged_as_a_repeat(self) -> None:
        deployment = one_zone(4)
        asking, owner = deployment.edges[0], deployment.edges[1]
        for life in deployment.of_service("pages"):
            life.manner = Manner.HANGING
        for number in range(10):
            get(deployment, f"/covers/{300 + number}", deployment.edges[2], deadline=0.05)
        before = repeats_left(deployment, asking)
        self.assertGreaterEqual(before, 1.0)
        note = get(deployment, kept_by(deployment, asking, owner), asking, deadline=0.8)
        self.assertFalse(note.served)
        self.assertNotIn(note.status, (408, 421, 429, 503))
        self.assertEqual(2, len(deployment.arrivals(note)))
        self.assertAlmostEqual(before - 1.0, repeats_left(deployment, asking))

    def test_where_the_owner_may_have_sent_it_and_nothing_is_left_it_is_told_when_to_come(
        self,
    ) -> None:
        """503 promises nothing of a repeatable request, which may well have run."""
        deployment = one_zone(6)
        asking, owner = deployment.edges[0], deployment.edges[1]
        for life in deployment.of_service("pages"):
            life.manner = Manner.LOST
        spend_all_repeats(deployment, asking)
        note = get(deployment, kept_by(deployment, asking, owner), asking, deadline=0.8)
        self.assertGreater(deployment.runs(note), 0)
        self.assertEqual(503, note.status)
        self.assertIn(b"retry-after", {name.lower() for name, _ in note.fields})

    def test_frozen_owners_take_no_repeats_from_a_crowd(self) -> None:
        deployment = one_zone(5)
        deployment.crowd(12, 10.0, lambda number: (CACHEABLE, "GET", f"/covers/{number % 4000}"))
        deployment.world.run(2)
        deployment.world.freeze(deployment.edges[1], True)
        deployment.world.run(1.5)
        deployment.world.freeze(deployment.edges[1], False)
        deployment.world.run(3)
        deployment.callers_on = False
        deployment.world.run(2)
        self.assertEqual(
            [],
            retry_violations(
                deployment.notes, deployment.history, "pages", deployment.allowed, 0.2, 8
            ),
        )
        asked = [note for note in deployment.notes if note.edge != deployment.edges[1]]
        self.assertGreater(len(asked), 300)
        refused = [note for note in asked if note.complete and not note.served]
        self.assertEqual([], [(note.sent_at, note.status) for note in refused])
        self.assertEqual([], deployment.broken())


class ServersReachedTests(testtools.TestCase):
    """One try reaches no more servers than its route's limit, however many edges handle it."""

    def reached(self, deployment: Deployment, note: AttemptRecord) -> int:
        return len(deployment.arrivals(note))

    def test_over_an_ask_to_the_owner(self) -> None:
        for limit in (1, 2, 3):
            for manner in MANNERS:
                deployment = one_zone(10 + limit, limit)
                for life in deployment.of_service("pages"):
                    life.manner = manner
                for edge in deployment.edges:
                    for number in range(6):
                        note = get(deployment, f"/covers/{number}", edge, deadline=0.9)
                        self.assertFalse(note.served)
                        self.assertLessEqual(
                            self.reached(deployment, note), limit, f"{manner}, limit {limit}"
                        )
                self.assertEqual([], deployment.broken())

    def test_over_an_owner_that_falls_silent_within_its_fetch(self) -> None:
        for limit in (1, 2, 3):
            deployment = one_zone(20 + limit, limit)
            asking, owner = deployment.edges[0], deployment.edges[1]
            for life in deployment.of_service("pages"):
                life.manner = Manner.HANGING
            note = get(deployment, kept_by(deployment, asking, owner), asking, deadline=0.9)
            deployment.world.run(3)
            self.assertFalse(note.served)
            self.assertTrue(1 <= self.reached(deployment, note) <= limit, f"limit {limit}")

    def test_over_several_fills_and_joined_waiters(self) -> None:
        for limit in (1, 2, 3):
            deployment = one_zone(30 + limit, limit)
            deployment.services["pages"].work_seconds = 0.05
            for life in deployment.of_service("pages"):
                life.manner = Manner.FAILING
            clients = [deployment.client(f"joined{number}") for number in range(12)]
            for number, client in enumerate(clients):
                deployment.outside.scheduler.create_task(
                    ask_one(client, deployment.edges[number % 3], "/covers/7"), name="joined"
                )
            deployment.world.run(3)
            self.assertEqual(12, len(deployment.notes))
            for note in deployment.notes:
                self.assertLessEqual(self.reached(deployment, note), limit, f"limit {limit}")
            self.assertEqual([], deployment.broken())

    def test_an_owner_that_reached_one_server_in_vain_leaves_the_others(self) -> None:
        deployment = one_zone(40, 3)
        asking, owner = deployment.edges[0], deployment.edges[1]
        handler = deployment.node(owner).traffic.handler
        assert handler is not None
        spend_all_repeats(deployment, owner)
        lives = deployment.of_service("pages")
        for life in lives:
            life.manners.append(Manner.LOST)
        note = get(deployment, kept_by(deployment, asking, owner), asking, deadline=0.9)
        self.assertEqual(2, len(deployment.arrivals(note)))
