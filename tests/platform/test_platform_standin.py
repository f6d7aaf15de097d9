"""The stand-in itself: servers do as the platform's page has them, and its checks can fail.

Callers go straight to the servers here, with no edge between.
"""

from collections.abc import Callable
from typing import Any

import testtools

from deployment import HOST, PLATFORM_FORMAT, Deployment
from ryelock.http import Fields
from ryelock.testing.hosting_platform import Arrival, Manner, ServerInstance
from ryelock.testing.hosting_platform.attempts import SAFE, UNSAFE, AttemptRecord
from ryelock.testing.hosting_platform.checks import rate_violations, retry_violations
from ryelock.testing.hosting_platform.clients import Client


class Direct(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.deployment = Deployment(1, {"a": "north"}, servers=1)
        self.life = self.deployment.of_service("pages")[0]
        self.deployment.entrance.fronts["direct"] = self.life.address
        self.client = self.deployment.client("direct")
        self.deployment.outside.scheduler.create_task(self.tick(), name="tick")

    async def tick(self) -> None:
        """Time moves in small steps, though nothing else goes on here."""
        while True:
            await self.deployment.outside.scheduler.sleep(0.005)

    def ask(
        self,
        target: str = "/plain/1",
        fields: Fields | None = None,
        method: str = "GET",
        deadline: float = 1.0,
        client: Client | None = None,
    ) -> AttemptRecord:
        return self.deployment.ask(
            SAFE if method == "GET" else UNSAFE,
            method,
            target,
            edge="direct",
            fields=fields,
            deadline=deadline,
            client=client or self.client,
        )

    def many(self, count: int, deadline: float = 1.0) -> list[AttemptRecord]:
        """So many callers at once, each over a link of its own."""
        before = len(self.deployment.notes)
        for number in range(count):
            client = self.deployment.client(f"many{before}-{number}")
            self.deployment.outside.scheduler.create_task(self.one(client, deadline), name="many")
        self.deployment.world.run(deadline + 1)
        return self.deployment.notes[before:]

    async def one(self, client: Client, deadline: float) -> None:
        await client.request(SAFE, "GET", HOST, "/plain/1", b"", deadline, None, 1, "direct")


class ServerTests(Direct):
    def test_an_answer_is_named_and_sealed(self) -> None:
        note = self.ask()
        self.assertTrue(note.served)
        self.assertEqual(note.identity.encode(), note.field(b"Attempt-Id"))
        self.assertEqual(self.life.service.seal("/plain/1", 0), note.field(b"Server-Seal"))
        self.assertEqual(b'"r0"', note.field(b"ETag"))
        self.assertEqual(b"shelf-plain own-plain-1", note.field(b"Object-Labels"))
        self.assertEqual([], self.deployment.broken())

    def test_another_lifes_order_is_told_421_and_not_run(self) -> None:
        note = self.ask(fields=[(b"Expected-Instance", b"i-other")])
        self.assertEqual(421, note.status)
        self.assertIsNotNone(note.field(b"Not-Executed"))
        self.assertEqual(self.life.identifier.encode(), note.field(b"Instance-Id"))
        self.assertEqual(0, self.deployment.runs(note))
        self.assertTrue(
            self.ask(fields=[(b"Expected-Instance", self.life.identifier.encode())]).served
        )

    def test_slots_and_queue_are_kept_to(self) -> None:
        service = self.life.service
        service.slots, service.queue, service.work_seconds = 2, 3, 0.2
        notes = self.many(9, 3.0)
        self.assertEqual(5, sum(note.served for note in notes))
        turned_away = [note for note in notes if not note.served]
        self.assertEqual({503}, {note.status for note in turned_away})
        self.assertTrue(all(note.field(b"Not-Executed") for note in turned_away))
        self.assertEqual(0, self.life.working)

    def test_a_deadline_that_passes_in_the_queue_is_503_and_at_work_504(self) -> None:
        service = self.life.service
        service.slots, service.queue, service.work_seconds = 1, 3, 1.0
        self.many(2, 3.0)
        self.deployment.history.clear()
        for deadline, client in ((0.9, "first"), (0.3, "second")):
            self.deployment.outside.scheduler.create_task(
                self.one(self.deployment.client(client), deadline), name=client
            )
            self.deployment.world.run(0.05)
        self.deployment.world.run(3)
        statuses = {arrival.status: arrival.ran for arrival in self.deployment.history}
        self.assertIn((503, False), statuses.items())

    def test_a_full_server_of_a_hanging_service_says_nothing(self) -> None:
        service = self.life.service
        service.slots, service.queue, service.work_seconds, service.hangs = 1, 0, 0.2, True
        notes = self.many(3)
        self.assertEqual(1, sum(note.served for note in notes))
        self.assertEqual({0}, {note.status for note in notes if not note.served})

    def test_over_the_services_rate_all_its_servers_say_429(self) -> None:
        self.life.service.rate = 3
        self.life.service.slots = 20
        notes = self.many(8)
        self.assertEqual([200] * 3 + [429] * 5, sorted(note.status for note in notes))

    def test_links_above_the_most_are_reset(self) -> None:
        self.life.listener.limits.max_connections = 2
        self.life.service.work_seconds = 0.5
        self.assertEqual(2, sum(note.served for note in self.many(5)))

    def test_the_manners_show(self) -> None:
        shown: dict[Manner, Callable[[AttemptRecord], bool]] = {
            Manner.FULL: lambda note: (
                note.status == 503 and note.field(b"Not-Executed") is not None
            ),
            Manner.LIMITED: lambda note: (
                note.status == 429 and note.field(b"Not-Executed") is not None
            ),
            Manner.LOST: lambda note: note.status == 0,
            Manner.CUT: lambda note: note.status == 200 and not note.complete,
            Manner.WRONG: lambda note: note.status == 0,
            Manner.UNSEALED: lambda note: note.served and note.field(b"Server-Seal") is None,
            Manner.CLOSING: lambda note: note.served and note.field(b"Connection") == b"close",
        }
        for manner, fits in shown.items():
            self.life.manners.append(manner)
            note = self.ask()
            self.assertTrue(fits(note), f"{manner}: {note.status} {note.ending}")

    def test_a_late_second_answer_comes_where_the_next_is_due(self) -> None:
        self.life.manners.append(Manner.TWIN)
        first = self.ask()
        second = self.ask("/plain/2")
        self.assertEqual(first.identity.encode(), second.field(b"Attempt-Id"))
        self.assertIn("answer of another order", " ".join(self.deployment.broken()))

    def test_bytes_behind_an_answer_spoil_the_next_for_who_takes_them(self) -> None:
        self.life.manners.append(Manner.BEHIND)
        self.assertTrue(self.ask().served)
        self.assertFalse(self.ask("/plain/2").served)

    def test_parts_and_unchanged_objects(self) -> None:
        whole = self.ask()
        part = self.ask(fields=[(b"Range", b"bytes=10-19")])
        self.assertEqual((206, whole.response_body[10:20]), (part.status, part.response_body))
        rest = self.ask(fields=[(b"Range", b"bytes=590-")])
        self.assertEqual((206, whole.response_body[590:]), (rest.status, rest.response_body))
        self.assertEqual(416, self.ask(fields=[(b"Range", b"bytes=600-")]).status)
        self.assertEqual(304, self.ask(fields=[(b"If-None-Match", b'"r0"')]).status)
        self.life.service.objects.change("/plain/1", 0.0)
        self.assertTrue(self.ask(fields=[(b"If-None-Match", b'"r0"')]).served)
        self.assertEqual([], self.deployment.broken())

    def test_its_fitness_is_told_until_it_leaves(self) -> None:
        note = self.ask("/health")
        self.assertEqual(
            (200, self.life.identifier.encode()), (note.status, note.field(b"Instance-Id"))
        )
        self.deployment.platform.drain(self.life)
        self.assertEqual(503, self.ask("/health").status)


class CheckTests(Direct):
    """Each check on planted violations."""

    def note(self, identity: str, kind: str = UNSAFE, status: int = 200) -> AttemptRecord:
        note = AttemptRecord(0.0, "edge", kind, "POST", HOST, "/orders/1", identity, b"body", 1.0)
        note.status = status
        self.deployment.notes.append(note)
        return note

    def arrive(
        self,
        note: AttemptRecord,
        ran: bool = True,
        at: float = 0.1,
        service: str = "desks",
        **changed: Any,
    ) -> Arrival:
        arrival = Arrival.__new__(Arrival)
        instance: ServerInstance = self.deployment.of_service(service)[0]
        plain = {
            "at": at,
            "service": service,
            "identifier": instance.identifier,
            "method": note.method,
            "target": note.target,
            "host": note.host,
            "identity": note.identity,
            "expected": "",
            "deadline": 1.0,
            "body": note.body,
            "connection": "",
            "ran": ran,
            "status": 200,
            **changed,
        }
        for name, value in plain.items():
            setattr(arrival, name, value)
        self.deployment.history.append(arrival)
        return arrival

    def found(self, word: str) -> None:
        self.assertTrue(
            any(line.startswith(word) for line in self.deployment.broken()),
            f"{word}: {self.deployment.broken()}",
        )

    def test_a_second_run_is_found(self) -> None:
        note = self.note("x-1", status=502)
        self.arrive(note)
        self.assertEqual([], self.deployment.broken())
        self.arrive(note, ran=False)
        self.assertEqual([], self.deployment.broken())
        self.arrive(note)
        self.found("twice")

    def test_a_run_after_a_promise_is_found(self) -> None:
        self.arrive(self.note("x-1", status=503))
        self.found("promised")

    def test_a_run_by_another_service_is_found(self) -> None:
        self.arrive(self.note("x-1", status=502), service="pages")
        self.found("route")

    def test_a_changed_order_is_found(self) -> None:
        changes: dict[str, Any] = {"method": "PUT", "target": "/orders/2", "body": b""}
        for name, value in changes.items():
            note = self.note(f"x-{name}", status=502)
            setattr(self.arrive(note), name, value)
            self.found(f"unasked: x-{name}")

    def test_a_run_that_nobody_asked_for_is_found(self) -> None:
        own = AttemptRecord(0.0, "", SAFE, "GET", HOST, "/covers/1", "nobody", b"", 1.0)
        self.arrive(own, service="pages")
        self.assertEqual([], self.deployment.broken())
        for method, target in (
            ("POST", "/orders/1"),
            ("GET", "/plain/1"),
            ("POST", "/covers/1"),
            ("GET", "/none/1"),
        ):
            self.deployment.history.clear()
            self.arrive(AttemptRecord(0.0, "", UNSAFE, method, HOST, target, "nobody", b"", 1.0))
            self.found("unasked")

    def test_a_success_that_is_not_whole_or_not_marked_is_found(self) -> None:
        dialect = PLATFORM_FORMAT.profile
        service = self.deployment.services["desks"]
        good: Fields = [(dialect.identity, b"x-1"), (dialect.seal, service.seal("/orders/1", 0))]
        body = service.body("/orders/1", 0)
        note = self.note("x-1")
        note.complete, note.fields, note.response_body = True, good, body
        self.assertEqual([], self.deployment.broken())
        for fields, said in (
            (good, body[:-1]),
            (good[:1], body),
            (good[1:], body),
            ([good[0], (dialect.seal, b"0.nobody")], body),
            ([(dialect.identity, b"x-2"), good[1]], body),
            ([good[0], (dialect.seal, service.seal("/orders/1", 1))], body),
            ([*good, (b"Content-Encoding", b"gzip")], body),
        ):
            note.fields, note.response_body = fields, said
            self.found("mixed")

    def test_too_many_orders_are_found(self) -> None:
        for number in range(60):
            self.arrive(self.note(f"x{number}-1", status=502), at=number * 0.08)
        self.assertEqual([], rate_violations(self.deployment.history, "desks", 12.0))
        self.assertEqual([], rate_violations(self.deployment.history, "pages", 0.0))
        self.assertNotEqual([], rate_violations(self.deployment.history, "desks", 9.0))

    def test_too_many_repeats_are_found(self) -> None:
        for number in range(100):
            note = self.note(f"x{number}-1", SAFE)
            self.arrive(note, at=0.01 * number)
            if number < 88:
                self.arrive(note, at=0.01 * number + 0.005)
        args = (self.deployment.notes, self.deployment.history, "desks", self.deployment.allowed)
        self.assertEqual([], retry_violations(*args))
        note = self.deployment.notes[0]
        self.arrive(note, at=1.0)
        self.assertNotEqual([], retry_violations(*args))
