"""Bulk answers are paced below the link's rate and take turns; everything else goes at once."""

import socket

import testtools
from clocks import SteppedClock, raise_fault

from ryelock.runtime.egress import MIN_TURN_BYTES, USED_LINK_FRACTION, EgressPacer
from ryelock.runtime.reactor import Reactor, SocketConnection
from ryelock.runtime.tasks import Scheduler

CONNECTION_BYTES_PER_SECOND = 500_000.0
STEP_SECONDS = 0.001


class Sender:
    """A connection whose socket takes whatever it is given, or nothing while it is full."""

    def __init__(self, queued: int) -> None:
        self.queued = queued
        self.sent = 0
        self.full = False

    def send_some(self, most: int) -> int:
        sent = 0 if self.full else min(most, self.queued)
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
        self.pacer = EgressPacer(self.scheduler, CONNECTION_BYTES_PER_SECOND)

    def run_seconds(self, seconds: float) -> None:
        until = self.clock.time + seconds
        while self.clock.time < until:
            self.scheduler.run_ready()
            self.clock.time += STEP_SECONDS

    def test_bulk_stays_below_the_link_and_uses_it(self) -> None:
        sender = Sender(10_000_000)
        self.pacer.submit(sender)
        self.run_seconds(2.0)
        allowed = CONNECTION_BYTES_PER_SECOND * USED_LINK_FRACTION * 2.0
        self.assertLessEqual(sender.sent, allowed + 2 * self.pacer.turn_bytes)
        self.assertGreaterEqual(sender.sent, 0.97 * allowed)

    def test_connections_take_turns(self) -> None:
        """A short answer isn't held up by a long one that was there before it."""
        large = Sender(2_000_000)
        self.pacer.submit(large)
        self.run_seconds(0.5)
        small = Sender(6_000)
        self.pacer.submit(small)
        self.run_seconds(0.1)
        self.assertEqual(0, small.queued)
        self.assertGreater(large.queued, 0)

    def test_what_is_sent_at_once_takes_from_bulk(self) -> None:
        sender = Sender(10_000_000)
        self.pacer.submit(sender)
        self.run_seconds(0.5)
        before = sender.sent
        self.pacer.count_unpaced(40_000)
        self.run_seconds(0.5)
        allowed = CONNECTION_BYTES_PER_SECOND * USED_LINK_FRACTION * 0.5 - 40_000
        self.assertLessEqual(sender.sent - before, allowed + 2 * self.pacer.turn_bytes)

    def test_bulk_is_never_starved_by_one_large_message(self) -> None:
        sender = Sender(10_000_000)
        self.pacer.submit(sender)
        self.pacer.count_unpaced(100_000_000)
        self.run_seconds(0.5)
        self.assertGreater(sender.sent, 0)

    def test_a_full_socket_leaves_the_turns_to_others(self) -> None:
        stuck, other = Sender(50_000), Sender(50_000)
        stuck.full = True
        self.pacer.submit(stuck)
        self.pacer.submit(other)
        self.run_seconds(1.0)
        self.assertEqual(0, other.queued)
        stuck.full = False
        self.pacer.submit(stuck)
        self.run_seconds(1.0)
        self.assertEqual(0, stuck.queued)

    def test_a_turn_is_two_packets_at_least(self) -> None:
        slow = EgressPacer(self.scheduler, 10_000.0)
        self.assertEqual(MIN_TURN_BYTES, slow.turn_bytes)


class SocketConnectionTests(testtools.TestCase):
    """Connections over a pair of sockets; the clock isn't moved, so no tokens come."""

    def pair(self, reactor: Reactor, bulk: bool) -> tuple[SocketConnection, socket.socket]:
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        theirs.setblocking(False)
        connection = SocketConnection(reactor, ours, "peer:1")
        connection.connected = True
        connection.bulk = bulk
        reactor.connections[ours] = connection
        self.addCleanup(connection.abort)
        return connection, theirs

    def paced_reactor(self) -> Reactor:
        reactor = Reactor(raise_fault)
        reactor.scheduler.clock = SteppedClock()
        reactor.pacer = EgressPacer(reactor.scheduler, CONNECTION_BYTES_PER_SECOND)
        return reactor

    def test_a_heartbeat_passes_a_queued_answer(self) -> None:
        reactor = self.paced_reactor()
        answer, caller = self.pair(reactor, bulk=True)
        heartbeat, leader = self.pair(reactor, bulk=False)
        answer.write(bytes(200_000))
        received = len(caller.recv(200_000))
        self.assertLessEqual(received, 2 * MIN_TURN_BYTES)
        self.assertEqual(200_000 - received, answer.unsent_bytes)
        heartbeat.write(b"heartbeat")
        self.assertEqual(b"heartbeat", leader.recv(100))

    def test_an_unpaced_reactor_sends_at_once(self) -> None:
        reactor = Reactor(raise_fault)
        answer, caller = self.pair(reactor, bulk=True)
        answer.write(bytes(20_000))
        self.assertEqual(20_000, len(caller.recv(200_000)))

    def test_a_closed_connection_sends_what_was_queued_then_ends(self) -> None:
        reactor = self.paced_reactor()
        clock = reactor.scheduler.clock
        assert isinstance(clock, SteppedClock)
        answer, caller = self.pair(reactor, bulk=True)
        answer.write(bytes(20_000))
        answer.close()
        self.assertFalse(answer.closed)
        received = 0
        for _ in range(200):
            clock.time += STEP_SECONDS
            reactor.scheduler.run_ready()
            try:
                received += len(caller.recv(200_000))
            except BlockingIOError:
                continue
        self.assertEqual(20_000, received)
        self.assertTrue(answer.closed)

    def test_an_ended_connection_loses_its_turn(self) -> None:
        reactor = self.paced_reactor()
        clock = reactor.scheduler.clock
        assert isinstance(clock, SteppedClock)
        gone, _ = self.pair(reactor, bulk=True)
        answer, caller = self.pair(reactor, bulk=True)
        gone.write(bytes(50_000))
        answer.write(bytes(5_000))
        gone.abort()
        for _ in range(100):
            clock.time += STEP_SECONDS
            reactor.scheduler.run_ready()
        self.assertEqual(5_000, len(caller.recv(200_000)))
