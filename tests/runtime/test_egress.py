"""Bulk responses are paced below the uplink's rate, round-robin; other data is sent at once."""

import socket

import testtools
from clocks import SteppedClock, raise_fault

from ryelock.runtime.egress import MIN_TURN_BYTES, USED_LINK_FRACTION, EgressPacer
from ryelock.runtime.reactor import Reactor, SocketConnection
from ryelock.runtime.tasks import Scheduler

LINK_BYTES_PER_SECOND = 500_000.0
STEP_SECONDS = 0.001


class FakeSender:
    """Connection whose socket accepts all bytes, or none while `full` is set."""

    def __init__(self, queued: int) -> None:
        self.queued = queued
        self.sent = 0
        self.full = False

    def send_some(self, max_bytes: int) -> int:
        sent = 0 if self.full else min(max_bytes, self.queued)
        self.queued -= sent
        self.sent += sent
        return sent

    @property
    def has_more(self) -> bool:
        return self.queued > 0 and not self.full


class PacerTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = SteppedClock()
        self.scheduler = Scheduler(self.clock, raise_fault)
        self.pacer = EgressPacer(self.scheduler, LINK_BYTES_PER_SECOND)

    def run_seconds(self, seconds: float) -> None:
        until = self.clock.time + seconds
        while self.clock.time < until:
            self.scheduler.run_ready()
            self.clock.time += STEP_SECONDS

    def test_bulk_stays_below_the_link_rate_and_uses_it(self) -> None:
        sender = FakeSender(10_000_000)
        self.pacer.submit(sender)
        self.run_seconds(2.0)
        allowed = LINK_BYTES_PER_SECOND * USED_LINK_FRACTION * 2.0
        self.assertLessEqual(sender.sent, allowed + 2 * self.pacer.turn_bytes)
        self.assertGreaterEqual(sender.sent, 0.97 * allowed)

    def test_connections_take_turns(self) -> None:
        """A short response is not delayed by a long one that was queued before it."""
        large = FakeSender(2_000_000)
        self.pacer.submit(large)
        self.run_seconds(0.5)
        small = FakeSender(6_000)
        self.pacer.submit(small)
        self.run_seconds(0.1)
        self.assertEqual(0, small.queued)
        self.assertGreater(large.queued, 0)

    def test_unpaced_bytes_are_charged_to_bulk(self) -> None:
        sender = FakeSender(10_000_000)
        self.pacer.submit(sender)
        self.run_seconds(0.5)
        before = sender.sent
        self.pacer.count_unpaced(40_000)
        self.run_seconds(0.5)
        allowed = LINK_BYTES_PER_SECOND * USED_LINK_FRACTION * 0.5 - 40_000
        self.assertLessEqual(sender.sent - before, allowed + 2 * self.pacer.turn_bytes)

    def test_bulk_is_never_starved_by_one_large_message(self) -> None:
        sender = FakeSender(10_000_000)
        self.pacer.submit(sender)
        self.pacer.count_unpaced(100_000_000)
        self.run_seconds(0.5)
        self.assertGreater(sender.sent, 0)

    def test_a_full_socket_does_not_block_others(self) -> None:
        blocked, other = FakeSender(50_000), FakeSender(50_000)
        blocked.full = True
        self.pacer.submit(blocked)
        self.pacer.submit(other)
        self.run_seconds(1.0)
        self.assertEqual(0, other.queued)
        blocked.full = False
        self.pacer.submit(blocked)
        self.run_seconds(1.0)
        self.assertEqual(0, blocked.queued)

    def test_a_turn_is_two_packets_at_least(self) -> None:
        slow = EgressPacer(self.scheduler, 10_000.0)
        self.assertEqual(MIN_TURN_BYTES, slow.turn_bytes)


class SocketConnectionTests(testtools.TestCase):
    """Connections over a socket pair; no tokens are refilled while the clock stands still."""

    def pair(self, reactor: Reactor, bulk: bool) -> tuple[SocketConnection, socket.socket]:
        local, remote = socket.socketpair()
        self.addCleanup(remote.close)
        local.setblocking(False)
        remote.setblocking(False)
        connection = SocketConnection(reactor, local, "peer:1")
        connection.connected = True
        connection.bulk = bulk
        reactor.connections[local] = connection
        self.addCleanup(connection.abort)
        return connection, remote

    def paced_reactor(self) -> Reactor:
        reactor = Reactor(raise_fault)
        reactor.scheduler.clock = SteppedClock()
        reactor.pacer = EgressPacer(reactor.scheduler, LINK_BYTES_PER_SECOND)
        return reactor

    def test_a_heartbeat_overtakes_a_queued_response(self) -> None:
        reactor = self.paced_reactor()
        response, client = self.pair(reactor, bulk=True)
        heartbeat, leader = self.pair(reactor, bulk=False)
        response.write(bytes(200_000))
        received = len(client.recv(200_000))
        self.assertLessEqual(received, 2 * MIN_TURN_BYTES)
        self.assertEqual(200_000 - received, response.unsent_bytes)
        heartbeat.write(b"heartbeat")
        self.assertEqual(b"heartbeat", leader.recv(100))

    def test_an_unpaced_reactor_sends_at_once(self) -> None:
        reactor = Reactor(raise_fault)
        response, client = self.pair(reactor, bulk=True)
        response.write(bytes(20_000))
        self.assertEqual(20_000, len(client.recv(200_000)))

    def test_a_closed_connection_sends_what_was_queued_then_ends(self) -> None:
        reactor = self.paced_reactor()
        clock = reactor.scheduler.clock
        assert isinstance(clock, SteppedClock)
        response, client = self.pair(reactor, bulk=True)
        response.write(bytes(20_000))
        response.close()
        self.assertFalse(response.closed)
        received = 0
        for _ in range(200):
            clock.time += STEP_SECONDS
            reactor.scheduler.run_ready()
            try:
                received += len(client.recv(200_000))
            except BlockingIOError:
                continue
        self.assertEqual(20_000, received)
        self.assertTrue(response.closed)

    def test_an_ended_connection_loses_its_turn(self) -> None:
        reactor = self.paced_reactor()
        clock = reactor.scheduler.clock
        assert isinstance(clock, SteppedClock)
        aborted, _ = self.pair(reactor, bulk=True)
        response, client = self.pair(reactor, bulk=True)
        aborted.write(bytes(50_000))
        response.write(bytes(5_000))
        aborted.abort()
        for _ in range(100):
            clock.time += STEP_SECONDS
            reactor.scheduler.run_ready()
        self.assertEqual(5_000, len(client.recv(200_000)))
