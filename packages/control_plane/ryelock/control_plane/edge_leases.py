"""Leases given to edges by this leader, and which edges may still serve without a configuration.

An edge serves callers only under a lease. Each lease is recorded with the log index that the edge
was brought up to when the lease was granted. A log entry is in force at all edges once each lease
granted below its index was either renewed by an edge that has applied the entry, or expired.
"""

from dataclasses import dataclass

from ryelock.consensus import Consensus, Role
from ryelock.runtime import Scheduler
from ryelock.settings import Settings

CLOCK_MARGIN = 1.05
"""An edge's clock may run slower than the leader's by this factor: a lease counts for longer."""
ACKNOWLEDGEMENT_POLL_SECONDS = 0.01
EdgeRun = tuple[str, str]
"""Name and incarnation of an edge: a restarted edge holds no lease of its earlier run."""


@dataclass(frozen=True, slots=True)
class Lease:
    """One lease granted to an edge.

    Attributes:
        index: log index that the edge gets with the lease.
        expires_at: monotonic time of the leader at which it has certainly expired, in seconds.
    """

    index: int
    expires_at: float


class LeaseTable:
    """Unexpired leases, and the log index that each edge has acknowledged, by run of an edge."""

    __slots__ = ("acknowledged", "leases")

    def __init__(self) -> None:
        """Create a table without leases."""
        self.leases: dict[EdgeRun, list[Lease]] = {}
        self.acknowledged: dict[EdgeRun, int] = {}

    def grant(self, edge: EdgeRun, lease: Lease, now: float) -> None:
        """Record a lease; an older one with the same index is superseded by it."""
        unexpired = [
            other
            for other in self.leases.get(edge, ())
            if other.expires_at > now and other.index != lease.index
        ]
        self.leases[edge] = [*unexpired, lease]

    def revoke(self, edge: EdgeRun) -> None:
        """Drop the leases of an edge that has stopped serving."""
        self.leases.pop(edge, None)

    def acknowledge(self, edge: EdgeRun, index: int) -> None:
        """Record that an edge has applied the log up to an index."""
        self.acknowledged[edge] = max(index, self.acknowledged.get(edge, 0))

    def lagging_edges(self, index: int, now: float) -> list[EdgeRun]:
        """Return the edges that may still serve without the log entry at an index."""
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
    """The leases of the present Raft term, with the durations that follow from the settings."""

    __slots__ = ("consensus", "scheduler", "settings", "table", "term")

    def __init__(self, settings: Settings, scheduler: Scheduler, consensus: Consensus) -> None:
        """Create a record without leases."""
        self.settings = settings
        self.scheduler = scheduler
        self.consensus = consensus
        self.table = LeaseTable()
        self.term = 0

    def begin_term(self) -> bool:
        """Forget the leases of an earlier Raft term; True where this node leads in a new one."""
        if self.term == self.consensus.term:
            return False
        self.term = self.consensus.term
        self.table = LeaseTable()
        return True

    @property
    def lease_seconds(self) -> float:
        """How long a lease counts as unexpired after it was granted."""
        return self.settings.term_seconds * CLOCK_MARGIN

    @property
    def takeover_seconds(self) -> float:
        """How long after its election a leader can't know what an earlier leader's edges hold.

        Where edges serve on after their lease has expired nothing ends by itself: there, how long
        edges that are in contact need to report what they hold.
        """
        if self.settings.serve_lapsed:
            return min(self.lease_seconds, self.settings.settle_seconds)
        return self.lease_seconds

    def takeover_is_complete(self, now: float) -> bool:
        """Tell whether all that an earlier leader granted is expired or reported."""
        return now >= self.consensus.leader_ready_at + self.takeover_seconds

    def grant(self, edge: EdgeRun, now: float) -> None:
        """Grant a lease that comes with everything applied here."""
        lease = Lease(self.consensus.applied_index, now + self.lease_seconds)
        self.table.grant(edge, lease, now)

    async def wait_until_in_force(self, index: int) -> None:
        """Wait until no edge can still serve without the log entry at an index.

        Leases granted by earlier leaders are unknown here, so a whole lease must have passed since
        this leader's election. A leader that is deposed meanwhile waits a whole lease instead: by
        then its own leases have expired, and those of its successor come with the entry.
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
