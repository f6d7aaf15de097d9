"""Leases that this leader granted to edges, and the log indexes the edges have applied.

An edge serves callers only under a lease. Each lease is recorded with the log index whose state was
sent with it. A log entry is in force at all edges once every lease granted at a lower index has
expired, or its edge has acknowledged the entry.
"""

from dataclasses import dataclass

from ryelock.consensus import Consensus, Role
from ryelock.runtime import Scheduler
from ryelock.settings import Settings

CLOCK_DRIFT_FACTOR = 1.05
"""The leader counts leases as longer by this factor, since an edge's clock may run slower."""
ACKNOWLEDGEMENT_POLL_SECONDS = 0.01
EdgeRun = tuple[str, str]
"""Name and incarnation of an edge; a restarted edge holds no lease of its earlier run."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted to an edge.

    Attributes:
        index: log index whose state is sent with the lease.
        expires_at: the leader's monotonic time in seconds, by which the lease has expired also
            by the edge's clock.
    """

    index: int
    expires_at: float


class LeaseTable:
    """Unexpired leases and acknowledged log indexes, by run of an edge."""

    __slots__ = ("acknowledged", "leases")

    def __init__(self) -> None:
        """Create a table without leases."""
        self.leases: dict[EdgeRun, list[Lease]] = {}
        self.acknowledged: dict[EdgeRun, int] = {}

    def grant(self, edge: EdgeRun, lease: Lease, now: float) -> None:
        """Record a lease; it replaces an older one of the same index.

        Leases of lower indexes stay until they expire: the response with the new lease may get
        lost, and the edge then serves on under the older one.
        """
        unexpired = [
            other
            for other in self.leases.get(edge, ())
            if other.expires_at > now and other.index != lease.index
        ]
        self.leases[edge] = [*unexpired, lease]

    def revoke(self, edge: EdgeRun) -> None:
        """Drop the leases of an edge that no longer serves."""
        self.leases.pop(edge, None)

    def acknowledge(self, edge: EdgeRun, index: int) -> None:
        """Record that an edge has applied the log up to an index."""
        self.acknowledged[edge] = max(index, self.acknowledged.get(edge, 0))

    def lagging_edges(self, index: int, now: float) -> list[EdgeRun]:
        """Return the edges that may still serve without the log entry at an index.

        Leases that have expired are dropped.
        """
        lagging: list[EdgeRun] = []
        for edge, leases in list(self.leases.items()):
            unexpired = [lease for lease in leases if lease.expires_at > now]
            if not unexpired:
                del self.leases[edge]
                self.acknowledged.pop(edge, None)
                continue
            is_behind = self.acknowledged.get(edge, 0) < index
            if is_behind and any(lease.index < index for lease in unexpired):
                lagging.append(edge)
        return lagging


class EdgeLeases:
    """Leases of the current Raft term, with the durations that follow from the settings."""

    __slots__ = ("consensus", "scheduler", "settings", "table", "term")

    def __init__(self, settings: Settings, scheduler: Scheduler, consensus: Consensus) -> None:
        """Create an empty lease table."""
        self.settings = settings
        self.scheduler = scheduler
        self.consensus = consensus
        self.table = LeaseTable()
        self.term = 0

    def begin_term(self) -> bool:
        """Drop the leases of an earlier Raft term; return True if the term has changed."""
        if self.term == self.consensus.term:
            return False
        self.term = self.consensus.term
        self.table = LeaseTable()
        return True

    @property
    def lease_seconds(self) -> float:
        """Time after its grant until the leader counts a lease as expired, in seconds."""
        return self.settings.term_seconds * CLOCK_DRIFT_FACTOR

    @property
    def takeover_seconds(self) -> float:
        """Time after its election until a leader knows what edges hold from earlier leaders.

        By then leases of earlier leaders have expired. With the `serve_lapsed` setting, edges go
        on serving after their lease; the time is then at most `settle_seconds`, in which edges in
        contact report what they hold.
        """
        if self.settings.serve_lapsed:
            return min(self.lease_seconds, self.settings.settle_seconds)
        return self.lease_seconds

    def takeover_is_complete(self, now: float) -> bool:
        """Return True if all grants of earlier leaders have expired or were reported."""
        return now >= self.consensus.leader_ready_at + self.takeover_seconds

    def grant(self, edge: EdgeRun, now: float) -> None:
        """Record a lease at the log index that this node has applied."""
        lease = Lease(self.consensus.applied_index, now + self.lease_seconds)
        self.table.grant(edge, lease, now)

    async def wait_until_in_force(self, index: int) -> None:
        """Wait until no edge can still serve without the log entry at an index.

        Leases granted by earlier leaders are unknown here, so a full lease must have passed since
        this leader's election. A leader that loses leadership meanwhile waits a full lease: by then
        its own leases have expired, and those of its successor are sent with the entry.
        """
        started = self.scheduler.now()
        term = self.consensus.term
        while self.scheduler.now() < started + self.takeover_seconds:
            now = self.scheduler.now()
            if (
                self.consensus.role == Role.LEADER
                and self.consensus.term == term
                and self.takeover_is_complete(now)
                and not self.table.lagging_edges(index, now)
            ):
                return
            await self.scheduler.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)
