"""A caller that leaves: its requests reach no server any more, and servers stop working on them."""

import socket
import unittest

from deployment import HOST, Deployment
from ryelock.edge.process import TrafficNode
from ryelock.http import send_request
from ryelock.runtime import Connection
from ryelock.runtime.reactor import Reactor, SocketConnection
from ryelock.testing.hosting_platform import Arrival, Manner
from ryelock.testing.hosting_platform.attempts import SAFE

STAYS_SECONDS = 0.3
"""A caller of these tests leaves so long after its request was sent."""
GRACE_SECONDS = 0.5
"""So long after it left, no server may still work for it."""


class Caller:
    """One connection to an edge, whose requests are given up midway."""

    def __init__(self, deployment: Deployment, edge: str, identity: str) -> None:
        self.deployment = deployment
        self.edge = edge
        self.identity = identity
        self.connection: Connection | None = None

    def send(self, method: bytes, target: bytes, body: bytes = b"") -> None:
        """Open a connection, send a request, and let it be worked on for a while."""
        self.deployment.world.task(self.deployment.outside, self.sending(method, target, body), 10)

    async def sending(self, method: bytes, target: bytes, body: bytes) -> None:
        outside = self.deployment.outside
        self.connection = outside.network.connect(self.deployment.entrance.fronts[self.edge])
        await self.connection.wait_connected(1.0)
        fields = [
            (b"Host", HOST.encode()),
            (b"Attempt-Id", self.identity.encode()),
            (b"Deadline-Remaining", b"20000"),
        ]
        send_request(self.connection, method, target, fields, body)

    def leave(self) -> None:
        assert self.connection is not None
        self.connection.abort()


def slow_deployment(seed: int) -> Deployment:
    """A deployment whose servers work five seconds on a request."""
    deployment = Deployment(seed).set_up()
    routes = deployment.configuration["routes"]
    assert isinstance(routes, list)
    slow = [{**item, "timeout_ms": 30_000, "target_ms": 20_000} for item in routes]
    status, said = deployment.amend(
        {"version": "r6", "upsert": {"routes": slow}, "remove": {}}, "r5"
    )
    assert status == 200, said
    deployment.world.run(3)
    for service in deployment.services.values():
        service.work_seconds = 5.0
        service.echoes_identity = lambda _identity: True
    return deployment


def working(deployment: Deployment) -> int:
    """How many requests the servers work on."""
    return sum(life.working for life in deployment.servers.values())


def arrivals(deployment: Deployment, identity: str) -> list[Arrival]:
    return [arrival for arrival in deployment.history if arrival.identity == identity]


class CallerLeavesTests(unittest.TestCase):
    def test_servers_stop_working_for_callers_that_left(self) -> None:
        for seed in (61, 62, 63):
            deployment = slow_deployment(seed)
            callers = [
                Caller(deployment, edge, f"left-{number}-{edge}")
                for edge in deployment.edges
                for number in range(3)
            ]
            for caller in callers:
                caller.send(b"GET", b"/plain/a")
            deployment.world.run(STAYS_SECONDS)
            self.assertEqual(len(callers), working(deployment), "all are worked on")
            for caller in callers:
                caller.leave()
            deployment.world.run(GRACE_SECONDS)
            self.assertEqual(0, working(deployment), f"seed {seed}: runs that went on")
            self.assertEqual(len(callers), len(deployment.history), "nothing is sent again")

    def test_one_that_leaves_a_mute_server_reaches_no_other_one(self) -> None:
        deployment = slow_deployment(64)
        for life in deployment.of_service("pages"):
            life.manner = Manner.HANGING
        caller = Caller(deployment, deployment.edges[0], "left-mute")
        caller.send(b"GET", b"/plain/a")
        deployment.world.run(STAYS_SECONDS)
        self.assertEqual(1, len(arrivals(deployment, "left-mute")))
        caller.leave()
        deployment.world.run(30)
        self.assertEqual(1, len(arrivals(deployment, "left-mute")))

    def test_the_server_is_not_blamed_and_serves_the_next(self) -> None:
        deployment = slow_deployment(65)
        edge = deployment.edges[0]
        for number in range(12):
            caller = Caller(deployment, edge, f"left-{number}")
            caller.send(b"GET", b"/plain/a")
            deployment.world.run(STAYS_SECONDS)
            caller.leave()
        deployment.world.run(GRACE_SECONDS)
        node = deployment.node(edge).inner
        assert isinstance(node, TrafficNode)
        assert node.handler is not None
        states = node.handler.context.servers.by_service["pages"]
        self.assertEqual([0] * len(states), [state.failures for state in states])
        self.assertEqual([0] * len(states), [state.in_flight for state in states])
        self.assertEqual(0, node.handler.context.admission_queues["pages"].in_flight)
        deployment.services["pages"].work_seconds = 0.02
        self.assertEqual(200, deployment.ask(SAFE, "GET", "/plain/b", edge=edge).status)

    def test_one_that_may_run_once_is_not_broken_off(self) -> None:
        deployment = slow_deployment(66)
        caller = Caller(deployment, deployment.edges[0], "left-once")
        caller.send(b"POST", b"/orders/a", b"body")
        deployment.world.run(STAYS_SECONDS)
        caller.leave()
        deployment.world.run(10)
        sent = arrivals(deployment, "left-once")
        self.assertEqual([(True, 200)], [(arrival.ran, arrival.status) for arrival in sent])

    def test_a_fetch_that_others_wait_for_goes_on(self) -> None:
        deployment = slow_deployment(67)
        edge = deployment.edges[0]
        caller = Caller(deployment, edge, "left-first")
        caller.send(b"GET", b"/covers/a")
        deployment.world.run(STAYS_SECONDS)
        caller.leave()
        note = deployment.ask(SAFE, "GET", "/covers/a", edge=edge, deadline=20.0)
        self.assertEqual(200, note.status)
        fetched = [arrival for arrival in deployment.history if arrival.identity]
        self.assertEqual(1, len(fetched), "both were served by one fetch")

    def test_a_request_that_waits_is_not_sent_after_its_caller_left(self) -> None:
        deployment = slow_deployment(68)
        for life in deployment.of_service("desks"):
            deployment.platform.crash(life)
        caller = Caller(deployment, deployment.edges[0], "left-unsafe")
        caller.send(b"POST", b"/orders/a", b"body")
        caller.leave()
        for zone in deployment.zones:
            deployment.add_server("desks", zone)
        deployment.world.run(10)
        self.assertEqual([], arrivals(deployment, "left-unsafe"))


class ResetTests(unittest.TestCase):
    """On real sockets: what an aborted connection still holds never arrives."""

    def is_reset(self, ending: str) -> bool:
        """End a connection on which a request was sent; whether the peer sees a reset."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            plain = socket.create_connection(listener.getsockname())
            peer, _ = listener.accept()
        plain.setblocking(False)
        peer.settimeout(10.0)
        reactor = Reactor(lambda name, error: self.fail(f"{name}: {error!r}"))
        connection = SocketConnection(reactor, plain, "peer:1")
        connection.connected = True
        reactor.connections[plain] = connection
        connection.want_read(True)
        connection.write(b"a request")
        getattr(connection, ending)()
        with peer:
            try:
                while peer.recv(100):
                    pass
            except ConnectionResetError:
                return True
        return False

    def test_an_aborted_connection_is_reset(self) -> None:
        self.assertTrue(self.is_reset("abort"))

    def test_a_closed_connection_is_not_reset(self) -> None:
        self.assertFalse(self.is_reset("close"))
