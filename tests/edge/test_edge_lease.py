"""An edge's lease: it expires, is never shortened, and cannot be extended after its release."""

import testtools

from ryelock.edge.edge_lease import EdgeLease
from ryelock.testing.simulated import World


class EdgeLeaseTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World(1)
        self.node = self.world.add("e", "e", "10.0.0.9")
        self.lease = EdgeLease(self.node.scheduler, self.node.log)

    def test_it_is_not_held_before_it_was_granted(self) -> None:
        self.assertFalse(self.lease.held)
        self.assertEqual(0.0, self.lease.seconds_left)

    def test_it_is_held_until_it_expires(self) -> None:
        self.lease.extend(self.node.scheduler.now() + 1.0)
        self.assertTrue(self.lease.held)
        self.world.run(0.5)
        self.assertTrue(self.lease.held)
        self.assertAlmostEqual(0.5, self.lease.seconds_left)
        self.world.run(0.6)
        self.assertFalse(self.lease.held)
        self.assertEqual(0.0, self.lease.seconds_left)

    def test_a_response_out_of_order_does_not_shorten_it(self) -> None:
        now = self.node.scheduler.now()
        self.lease.extend(now + 2.0)
        self.lease.extend(now + 1.0)
        self.assertEqual(now + 2.0, self.lease.expires_at)

    def test_a_released_lease_cannot_be_extended(self) -> None:
        self.lease.extend(self.node.scheduler.now() + 1.0)
        self.lease.release()
        self.assertFalse(self.lease.held)
        self.lease.extend(self.node.scheduler.now() + 9.0)
        self.assertFalse(self.lease.held)
