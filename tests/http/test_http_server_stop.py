"""A stopping server handles no request that it cannot answer before its process exits."""

import testtools

from ryelock.events import RecordingLog
from ryelock.http import HttpExchange, HttpServer, Limits
from ryelock.http.server import IDLE_GRACE_SECONDS
from ryelock.runtime import Connection
from ryelock.testing.simulated import World

SLOW_SECONDS = 3.0
STOP_SECONDS = 4.0


class StopTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World(1)
        self.world.spikes = 0.0
        self.node = self.world.add("server", "server", "10.0.0.1")
        self.client = self.world.add("client", "client", "10.0.0.2")
        self.handled: list[bytes] = []
        self.server = HttpServer(
            self.node.scheduler,
            self.node.network,
            RecordingLog("server"),
            "10.0.0.1:80",
            Limits(),
            self.serve,
        )

    async def serve(self, exchange: HttpExchange) -> None:
        self.handled.append(exchange.head.target)
        if exchange.head.target == b"/retryable":
            exchange.may_refuse = True
            await self.node.scheduler.sleep(2 * STOP_SECONDS)
        if exchange.head.target == b"/not-retryable":
            await self.node.scheduler.sleep(2 * STOP_SECONDS)
        if exchange.head.target == b"/slow":
            await self.node.scheduler.sleep(SLOW_SECONDS)
        await exchange.respond(200, [], b"answer")

    def connection(self) -> Connection:
        connection = self.client.network.connect("10.0.0.1:80")
        self.assertTrue(self.world.run_until(lambda: connection.connected, 1))
        return connection

    def send(self, connection: Connection, target: bytes) -> None:
        connection.write(b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n")

    def begin_stop(self) -> list[bool]:
        done: list[bool] = []

        async def stop() -> None:
            self.server.stop_accepting()
            done.append(await self.server.finish(STOP_SECONDS))

        self.node.scheduler.create_task(stop(), name="stop")
        return done

    def received(self, connection: Connection) -> bytes:
        return b"".join(connection.received.items)

    def test_an_idle_connection_is_closed_while_another_request_is_in_progress(self) -> None:
        active, idle = self.connection(), self.connection()
        self.send(active, b"/slow")
        self.world.run(0.1)
        done = self.begin_stop()
        self.world.run(IDLE_GRACE_SECONDS + 0.5)
        self.assertTrue(idle.closed)
        self.send(idle, b"/late")
        self.world.run(SLOW_SECONDS)
        self.assertEqual([b"/slow"], self.handled)
        self.assertIn(b"answer", self.received(active))
        self.assertEqual([True], done)

    def test_a_request_on_its_way_is_still_answered(self) -> None:
        active, idle = self.connection(), self.connection()
        self.send(active, b"/slow")
        self.world.run(0.1)
        self.begin_stop()
        self.world.run(IDLE_GRACE_SECONDS / 2)
        self.send(idle, b"/soon")
        self.world.run(0.2)
        self.assertEqual([b"/slow", b"/soon"], self.handled)
        self.assertIn(b"Connection: close", self.received(idle))
        self.assertIn(b"answer", self.received(idle))

    def test_an_idle_server_stops_after_the_grace_period(self) -> None:
        idle = self.connection()
        done = self.begin_stop()
        self.world.run(IDLE_GRACE_SECONDS + 0.1)
        self.assertEqual([True], done)
        self.assertTrue(idle.closed)

    def test_a_waiting_retryable_request_is_rejected_before_the_deadline(self) -> None:
        retryable, not_retryable = self.connection(), self.connection()
        self.send(retryable, b"/retryable")
        self.send(not_retryable, b"/not-retryable")
        self.world.run(0.2)
        self.begin_stop()
        self.world.run(STOP_SECONDS - 0.1)
        self.assertIn(b"503 Service Unavailable", self.received(retryable))
        self.assertIn(b"Retry-After", self.received(retryable))
        self.assertIn(b"Connection: close", self.received(retryable))
        self.assertTrue(retryable.closed)
        # A 503 would invite a retry of a request that may already have been executed.
        self.assertEqual(b"", self.received(not_retryable))
