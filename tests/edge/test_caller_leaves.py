"""Client disconnects: requests are not sent any more, and attempts in progress are aborted."""

import socket
import unittest

from deployment import HOST, Deployment
from ryelock.edge.process import TrafficNode
from ryelock.http import send_request
from ryelock.runtime import Connection
from ryelock.runtime.reactor import Reactor, SocketConnection
from ryelock.testing.hosting_platform import Arrival, Manner
from ryelock.testing.hosting_platform.attempts import SAFE

CONNECTED_SECONDS = 0.3
"""Time from a client's request to its disconnect."""
GRACE_SECONDS = 0.5
"""Time after a disconnect within which servers must have stopped working on the request."""


class Client:
    """A client with one connection to an edge, which disconnects before the response."""

    def __init__(self, deployment: Deployment, edge: str, identity: str) -> None:
        self.deployment = deployment
        self.edge = edge
        self.identity = identity
        self.connection: Connection | None = None

    def send(self, method: bytes, target: bytes, body: bytes = b"") -> None:
        """Open a connection and send a request."""
        self.deployment.world.task(
            self.deployment.client_node, self.sending(method, target, body), 10
        )

    async def sending(self, method: bytes, target: bytes, body: bytes) -> None:
        outside = self.deployment.client_node
        self.connection = outside.network.connect(self.deployment.entrance.fronts[self.edge])
        await self.connection.wait_connected(1.0)
        fields = [
            (b"Host", HOST.encode()),
            (b"Attempt-Id", self.identity.encode()),
            (b"Deadline-Remaining", b"20000"),
        ]
        send_request(self.connection, method, target, fields, body)

    def disconnect(self) -> None:
        assert self.connection is not None
        self.connection.abort()


def slow_deployment(seed: int) -> Deployment:
    """Return a deployment whose servers take five seconds for a request."""
    deployment = Deployment(seed).set_up()
    routes = deployment.configuration["routes"]
    assert isinstance(routes, list)
    slow = [{**item, "timeout_ms": 30_000, "target_ms": 20_000} for item in routes]
    status, body = deployment.amend(
        {"version": "r6", "upsert": {"routes": slow}, "remove": {}}, "r5"
    )
    assert status == 200, body
    deployment.world.run(3)
    for service in deployment.services.values():
        service.work_seconds = 5.0
        service.echoes_identity = lambda _identity: True
    return deployment


def working_requests(deployment: Deployment) -> int:
    """Return the number of requests that servers work on."""
    return sum(instance.working for instance in deployment.servers.values())


def arrivals(deployment: Deployment, identity: str) -> list[Arrival]:
    return [arrival for arrival in deployment.history if arrival.identity == identity]


class ClientDisconnectTests(unittest.TestCase):
    def test_servers_stop_working_for_disconnected_clients(self) -> None:
        for seed in (61, 62, 63):
            deployment = slow_deployment(seed)
            clients = [
                Client(deployment, edge, f"left-{number}-{edge}")
                for edge in deployment.edges
                for number in range(3)
            ]
            for client in clients:
                client.send(b"GET", b"/plain/a")
            deployment.world.run(CONNECTED_SECONDS)
            self.assertEqual(
                len(clients), working_requests(deployment), "all requests are in progress"
            )
            for client in clients:
                client.disconnect()
            deployment.world.run(GRACE_SECONDS)
            self.assertEqual(
                0, working_requests(deployment), f"seed {seed}: requests still in progress"
            )
            self.assertEqual(len(clients), len(deployment.history), "no request is retried")

    def test_no_other_server_is_tried_after_a_disconnect(self) -> None:
        deployment = slow_deployment(64)
        for instance in deployment.servers_of("pages"):
            instance.manner = Manner.HANGING
        client = Client(deployment, deployment.edges[0], "left-mute")
        client.send(b"GET", b"/plain/a")
        deployment.world.run(CONNECTED_SECONDS)
        self.assertEqual(1, len(arrivals(deployment, "left-mute")))
        client.disconnect()
        deployment.world.run(30)
        self.assertEqual(1, len(arrivals(deployment, "left-mute")))

    def test_a_disconnect_does_not_count_against_the_server(self) -> None:
        deployment = slow_deployment(65)
        edge = deployment.edges[0]
        for number in range(12):
            client = Client(deployment, edge, f"left-{number}")
            client.send(b"GET", b"/plain/a")
            deployment.world.run(CONNECTED_SECONDS)
            client.disconnect()
        deployment.world.run(GRACE_SECONDS)
        node = deployment.node(edge).inner
        assert isinstance(node, TrafficNode)
        assert node.handler is not None
        states = node.handler.context.servers.by_service["pages"]
        self.assertEqual([0] * len(states), [state.failures for state in states])
        self.assertEqual([0] * len(states), [state.in_flight for state in states])
        self.assertEqual(0, node.handler.context.admission_queues["pages"].in_flight)
        deployment.services["pages"].work_seconds = 0.02
        self.assertEqual(200, deployment.request(SAFE, "GET", "/plain/b", edge=edge).status)

    def test_an_at_most_once_request_is_not_aborted(self) -> None:
        deployment = slow_deployment(66)
        client = Client(deployment, deployment.edges[0], "left-once")
        client.send(b"POST", b"/orders/a", b"body")
        deployment.world.run(CONNECTED_SECONDS)
        client.disconnect()
        deployment.world.run(10)
        sent = arrivals(deployment, "left-once")
        self.assertEqual([(True, 200)], [(arrival.ran, arrival.status) for arrival in sent])

    def test_a_fetch_that_others_wait_for_is_not_aborted(self) -> None:
        deployment = slow_deployment(67)
        edge = deployment.edges[0]
        client = Client(deployment, edge, "left-first")
        client.send(b"GET", b"/covers/a")
        deployment.world.run(CONNECTED_SECONDS)
        client.disconnect()
        record = deployment.request(SAFE, "GET", "/covers/a", edge=edge, deadline=20.0)
        self.assertEqual(200, record.status)
        fetched = [arrival for arrival in deployment.history if arrival.identity]
        self.assertEqual(1, len(fetched), "both were served by one fetch")

    def test_a_queued_request_is_not_sent_after_a_disconnect(self) -> None:
        deployment = slow_deployment(68)
        for instance in deployment.servers_of("desks"):
            deployment.platform.crash(instance)
        client = Client(deployment, deployment.edges[0], "left-unsafe")
        client.send(b"POST", b"/orders/a", b"body")
        client.disconnect()
        for zone in deployment.zones:
            deployment.add_server("desks", zone)
        deployment.world.run(10)
        self.assertEqual([], arrivals(deployment, "left-unsafe"))


class ResetTests(unittest.TestCase):
    """On real sockets: an aborted connection drops data that was not sent yet."""

    def is_reset(self, method: str) -> bool:
        """Send a request, end the connection; return True if the peer sees a reset."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            plain = socket.create_connection(listener.getsockname())
            peer, _ = listener.accept()
        plain.setblocking(False)
        peer.settimeout(10.0)
        reactor = Reactor(lambda name, error: self.fail(f"{name}: {error!r}"))
        connection = SocketConnection(reactor, plain, "peer:1")
        connection.connected = True
        reactor.connections[plain] = connection
        connection.poll_readable(True)
        connection.write(b"a request")
        getattr(connection, method)()
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
