"""Edges that may still serve without a log entry."""

import testtools

from ryelock.control_plane.edge_leases import Lease, LeaseTable

EDGE = ("edge-0", "run-1")
RESTARTED_EDGE = ("edge-0", "run-2")


class LeaseTableTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = LeaseTable()

    def test_an_edge_with_a_lease_below_the_index_is_lagging(self) -> None:
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.assertEqual([EDGE], self.table.lagging_edges(5, now=9.0))
        self.assertEqual([], self.table.lagging_edges(4, now=9.0))

    def test_an_edge_is_not_lagging_once_its_lease_expired(self) -> None:
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.assertEqual([], self.table.lagging_edges(5, now=10.0))

    def test_an_edge_that_acknowledged_the_entry_is_not_lagging(self) -> None:
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.table.acknowledge(EDGE, 5)
        self.assertEqual([], self.table.lagging_edges(5, now=1.0))

    def test_a_late_older_acknowledgement_is_ignored(self) -> None:
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.table.acknowledge(EDGE, 5)
        self.table.acknowledge(EDGE, 3)
        self.assertEqual([], self.table.lagging_edges(5, now=1.0))

    def test_a_new_lease_does_not_end_one_of_a_lower_index(self) -> None:
        """The response with the new lease may get lost; the edge then serves on the older one."""
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.table.grant(EDGE, Lease(index=6, expires_at=12.0), now=2.0)
        self.assertEqual([EDGE], self.table.lagging_edges(5, now=9.0))
        self.assertEqual([], self.table.lagging_edges(5, now=11.0))

    def test_a_restarted_edge_holds_no_lease_of_its_earlier_run(self) -> None:
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.table.acknowledge(RESTARTED_EDGE, 5)
        self.assertEqual([EDGE], self.table.lagging_edges(5, now=1.0))

    def test_an_edge_with_a_revoked_lease_is_not_lagging(self) -> None:
        self.table.grant(EDGE, Lease(index=4, expires_at=10.0), now=0.0)
        self.table.revoke(EDGE)
        self.assertEqual([], self.table.lagging_edges(5, now=1.0))
