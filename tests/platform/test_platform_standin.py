"""The simulated platform itself: behaviour of its servers, and checks that detect violations.

Clients connect to the servers directly, without an edge.
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


class DirectTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.deployment = Deployment(1, {"a": "north"}, servers=1)
        self.instance = self.deployment.servers_of("pages")[0]
        self.deployment.entrance.fronts["direct"] = self.instance.address
        self.client = self.deployment.client("direct")
        self.deployment.client_node.scheduler.create_task(self.tick(), name="tick")

    async def tick(self) -> None:
        """Advance the simulated time in small steps while no other event is due."""
        while True:
            await self.deployment.client_node.scheduler.sleep(0.005)

    def request(
        self,
        target: str = "/plain/1",
        fields: Fields | None = None,
        method: str = "GET",
        deadline: float = 1.0,
        client: Client | None = None,
    ) -> AttemptRecord:
        return self.deployment.request(
            SAFE if method == "GET" else UNSAFE,
            method,
            target,
            edge="direct",
            fields=fields,
            deadline=deadline,
            client=client or self.client,
        )

    def request_concurrently(self, count: int, deadline: float = 1.0) -> list[AttemptRecord]:
        """Send concurrent requests, each on its own connection; return their records."""
        before = len(self.deployment.records)
        for number in range(count):
            client = self.deployment.client(f"many{before}-{number}")
            self.deployment.client_node.scheduler.create_task(
                self.send_request(client, deadline), name="many"
            )
        self.deployment.world.run(deadline + 1)
        return self.deployment.records[before:]

    async def send_request(self, client: Client, deadline: float) -> None:
        await client.request(SAFE, "GET", HOST, "/plain/1", b"", deadline, None, 1, "direct")


class ServerTests(DirectTestCase):
    def test_a_response_has_its_identity_and_a_seal(self) -> None:
        record = self.request()
        self.assertTrue(record.served)
        self.assertEqual(record.identity.encode(), record.field(b"Attempt-Id"))
        self.assertEqual(self.instance.service.seal("/plain/1", 0), record.field(b"Server-Seal"))
        self.assertEqual(b'"r0"', record.field(b"ETag"))
        self.assertEqual(b"shelf-plain own-plain-1", record.field(b"Object-Labels"))
        self.assertEqual([], self.deployment.violations())

    def test_a_request_for_another_instance_gets_421_and_is_not_executed(self) -> None:
        record = self.request(fields=[(b"Expected-Instance", b"i-other")])
        self.assertEqual(421, record.status)
        self.assertIsNotNone(record.field(b"Not-Executed"))
        self.assertEqual(self.instance.identifier.encode(), record.field(b"Instance-Id"))
        self.assertEqual(0, self.deployment.execution_count(record))
        self.assertTrue(
            self.request(fields=[(b"Expected-Instance", self.instance.identifier.encode())]).served
        )

    def test_requests_beyond_slots_and_queue_are_rejected(self) -> None:
        service = self.instance.service
        service.slots, service.queue, service.work_seconds = 2, 3, 0.2
        records = self.request_concurrently(9, 3.0)
        self.assertEqual(5, sum(record.served for record in records))
        rejected = [record for record in records if not record.served]
        self.assertEqual({503}, {record.status for record in rejected})
        self.assertTrue(all(record.field(b"Not-Executed") for record in rejected))
        self.assertEqual(0, self.instance.working)

    def test_a_deadline_that_expires_in_the_queue_gets_503(self) -> None:
        service = self.instance.service
        service.slots, service.queue, service.work_seconds = 1, 3, 1.0
        self.request_concurrently(2, 3.0)
        self.deployment.history.clear()
        for deadline, client in ((0.9, "first"), (0.3, "second")):
            self.deployment.client_node.scheduler.create_task(
                self.send_request(self.deployment.client(client), deadline), name=client
            )
            self.deployment.world.run(0.05)
        self.deployment.world.run(3)
        statuses = {arrival.status: arrival.ran for arrival in self.deployment.history}
        self.assertIn((503, False), statuses.items())

    def test_a_full_server_of_a_hanging_service_does_not_respond(self) -> None:
        service = self.instance.service
        service.slots, service.queue, service.work_seconds, service.hangs = 1, 0, 0.2, True
        records = self.request_concurrently(3)
        self.assertEqual(1, sum(record.served for record in records))
        self.assertEqual({0}, {record.status for record in records if not record.served})

    def test_requests_over_the_services_rate_get_429(self) -> None:
        self.instance.service.rate = 3
        self.instance.service.slots = 20
        records = self.request_concurrently(8)
        self.assertEqual([200] * 3 + [429] * 5, sorted(record.status for record in records))

    def test_connections_over_the_limit_are_reset(self) -> None:
        self.instance.listener.limits.max_connections = 2
        self.instance.service.work_seconds = 0.5
        self.assertEqual(2, sum(record.served for record in self.request_concurrently(5)))

    def test_manners_are_visible_to_clients(self) -> None:
        expected: dict[Manner, Callable[[AttemptRecord], bool]] = {
            Manner.FULL: lambda record: (
                record.status == 503 and record.field(b"Not-Executed") is not None
            ),
            Manner.LIMITED: lambda record: (
                record.status == 429 and record.field(b"Not-Executed") is not None
            ),
            Manner.LOST: lambda record: record.status == 0,
            Manner.CUT: lambda record: record.status == 200 and not record.complete,
            Manner.WRONG: lambda record: record.status == 0,
            Manner.UNSEALED: lambda record: record.served and record.field(b"Server-Seal") is None,
            Manner.CLOSING: lambda record: (
                record.served and record.field(b"Connection") == b"close"
            ),
        }
        for manner, matches in expected.items():
            self.instance.manners.append(manner)
            record = self.request()
            self.assertTrue(matches(record), f"{manner}: {record.status} {record.ending}")

    def test_a_duplicate_response_is_read_as_the_next_one(self) -> None:
        self.instance.manners.append(Manner.TWIN)
        first = self.request()
        second = self.request("/plain/2")
        self.assertEqual(first.identity.encode(), second.field(b"Attempt-Id"))
        self.assertIn("answer of another order", " ".join(self.deployment.violations()))

    def test_bytes_after_a_response_corrupt_the_next_one_on_the_connection(self) -> None:
        self.instance.manners.append(Manner.BEHIND)
        self.assertTrue(self.request().served)
        self.assertFalse(self.request("/plain/2").served)

    def test_range_and_conditional_requests(self) -> None:
        complete = self.request()
        part = self.request(fields=[(b"Range", b"bytes=10-19")])
        self.assertEqual((206, complete.response_body[10:20]), (part.status, part.response_body))
        rest = self.request(fields=[(b"Range", b"bytes=590-")])
        self.assertEqual((206, complete.response_body[590:]), (rest.status, rest.response_body))
        self.assertEqual(416, self.request(fields=[(b"Range", b"bytes=600-")]).status)
        self.assertEqual(304, self.request(fields=[(b"If-None-Match", b'"r0"')]).status)
        self.instance.service.objects.change("/plain/1", 0.0)
        self.assertTrue(self.request(fields=[(b"If-None-Match", b'"r0"')]).served)
        self.assertEqual([], self.deployment.violations())

    def test_the_health_check_fails_once_the_server_drains(self) -> None:
        record = self.request("/health")
        self.assertEqual(
            (200, self.instance.identifier.encode()), (record.status, record.field(b"Instance-Id"))
        )
        self.deployment.platform.drain(self.instance)
        self.assertEqual(503, self.request("/health").status)


class CheckTests(DirectTestCase):
    """Each check on records with one violation."""

    def add_record(self, identity: str, kind: str = UNSAFE, status: int = 200) -> AttemptRecord:
        record = AttemptRecord(0.0, "edge", kind, "POST", HOST, "/orders/1", identity, b"body", 1.0)
        record.status = status
        self.deployment.records.append(record)
        return record

    def add_arrival(
        self,
        record: AttemptRecord,
        ran: bool = True,
        at: float = 0.1,
        service: str = "desks",
        **changed: Any,
    ) -> Arrival:
        arrival = Arrival.__new__(Arrival)
        instance: ServerInstance = self.deployment.servers_of(service)[0]
        values = {
            "at": at,
            "service": service,
            "identifier": instance.identifier,
            "method": record.method,
            "target": record.target,
            "host": record.host,
            "identity": record.identity,
            "expected": "",
            "deadline": 1.0,
            "body": record.body,
            "connection": "",
            "ran": ran,
            "status": 200,
            **changed,
        }
        for name, value in values.items():
            setattr(arrival, name, value)
        self.deployment.history.append(arrival)
        return arrival

    def assert_violation(self, prefix: str) -> None:
        """Assert that a violation is detected whose text starts with a prefix."""
        self.assertTrue(
            any(line.startswith(prefix) for line in self.deployment.violations()),
            f"{prefix}: {self.deployment.violations()}",
        )

    def test_a_second_execution_is_detected(self) -> None:
        record = self.add_record("x-1", status=502)
        self.add_arrival(record)
        self.assertEqual([], self.deployment.violations())
        self.add_arrival(record, ran=False)
        self.assertEqual([], self.deployment.violations())
        self.add_arrival(record)
        self.assert_violation("twice")

    def test_an_execution_despite_a_not_executed_status_is_detected(self) -> None:
        self.add_arrival(self.add_record("x-1", status=503))
        self.assert_violation("promised")

    def test_an_execution_by_another_service_is_detected(self) -> None:
        self.add_arrival(self.add_record("x-1", status=502), service="pages")
        self.assert_violation("route")

    def test_a_modified_request_is_detected(self) -> None:
        changes: dict[str, Any] = {"method": "PUT", "target": "/orders/2", "body": b""}
        for name, value in changes.items():
            record = self.add_record(f"x-{name}", status=502)
            setattr(self.add_arrival(record), name, value)
            self.assert_violation(f"unasked: x-{name}")

    def test_an_execution_without_a_client_request_is_detected(self) -> None:
        own = AttemptRecord(0.0, "", SAFE, "GET", HOST, "/covers/1", "nobody", b"", 1.0)
        self.add_arrival(own, service="pages")
        self.assertEqual([], self.deployment.violations())
        for method, target in (
            ("POST", "/orders/1"),
            ("GET", "/plain/1"),
            ("POST", "/covers/1"),
            ("GET", "/none/1"),
        ):
            self.deployment.history.clear()
            self.add_arrival(
                AttemptRecord(0.0, "", UNSAFE, method, HOST, target, "nobody", b"", 1.0)
            )
            self.assert_violation("unasked")

    def test_an_incomplete_or_unsealed_success_is_detected(self) -> None:
        profile = PLATFORM_FORMAT.profile
        service = self.deployment.services["desks"]
        good: Fields = [(profile.identity, b"x-1"), (profile.seal, service.seal("/orders/1", 0))]
        body = service.body("/orders/1", 0)
        record = self.add_record("x-1")
        record.complete, record.fields, record.response_body = True, good, body
        self.assertEqual([], self.deployment.violations())
        for fields, response_body in (
            (good, body[:-1]),
            (good[:1], body),
            (good[1:], body),
            ([good[0], (profile.seal, b"0.nobody")], body),
            ([(profile.identity, b"x-2"), good[1]], body),
            ([good[0], (profile.seal, service.seal("/orders/1", 1))], body),
            ([*good, (b"Content-Encoding", b"gzip")], body),
        ):
            record.fields, record.response_body = fields, response_body
            self.assert_violation("mixed")

    def test_requests_over_the_rate_are_detected(self) -> None:
        for number in range(60):
            self.add_arrival(self.add_record(f"x{number}-1", status=502), at=number * 0.08)
        self.assertEqual([], rate_violations(self.deployment.history, "desks", 12.0))
        self.assertEqual([], rate_violations(self.deployment.history, "pages", 0.0))
        self.assertNotEqual([], rate_violations(self.deployment.history, "desks", 9.0))

    def test_retries_over_the_budget_are_detected(self) -> None:
        for number in range(100):
            record = self.add_record(f"x{number}-1", SAFE)
            self.add_arrival(record, at=0.01 * number)
            if number < 88:
                self.add_arrival(record, at=0.01 * number + 0.005)
        args = (
            self.deployment.records,
            self.deployment.history,
            "desks",
            self.deployment.allowed_services,
        )
        self.assertEqual([], retry_violations(*args))
        record = self.deployment.records[0]
        self.add_arrival(record, at=1.0)
        self.assertNotEqual([], retry_violations(*args))
