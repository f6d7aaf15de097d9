"""Per-follower state of a leader: "volatile state on leaders" in figure 2 of the Raft paper."""

from collections.abc import Collection

from ryelock.consensus.entries import Snapshot
from ryelock.consensus.state import MemberState, seconds_since
from ryelock.consensus.transfer import OutgoingSnapshot
from ryelock.runtime import Queue, Scheduler, Task

MAX_BATCH_BYTES = 1_048_576
"""Maximum bytes of entries in a heartbeat."""
MIN_BATCH_BYTES = 16_384
"""Lower bound of the batch size, which is halved on timeouts and grows on success."""
RELEASE_EXPIRY_SECONDS = 3.0
"""How long a released member is excluded from commit quorums."""


class Follower:
    """A voter or learner that the leader replicates its log to.

    Attributes:
        next_index: The index of the next entry to send.
        match_index: The highest index that it is known to store.
        batch_bytes: The current batch size, reduced on timeouts.
        outgoing: The snapshot transfer in progress, if any.
        last_contact_at: The send time of the newest request that it answered in this term.
        last_stored_at: The send time of the newest request whose data it stored.
        disk_replaced: True if another disk replies at its address.
        notifications: Makes the follower's task send before the next heartbeat is due.
    """

    __slots__ = (
        "address",
        "batch_bytes",
        "disk",
        "disk_replaced",
        "last_contact_at",
        "last_stored_at",
        "match_index",
        "next_index",
        "notifications",
        "outgoing",
        "task",
    )

    def __init__(self, disk: str, address: str, next_index: int, scheduler: Scheduler) -> None:
        """Create a follower that has not replied yet."""
        self.disk = disk
        self.address = address
        self.next_index = next_index
        self.match_index = 0
        self.batch_bytes = MAX_BATCH_BYTES
        self.outgoing: OutgoingSnapshot | None = None
        self.last_contact_at: float | None = None
        self.last_stored_at: float | None = None
        self.disk_replaced = False
        self.notifications: Queue[bool] = Queue(scheduler)
        self.task: Task | None = None

    def notify(self) -> None:
        """Make the follower's task send its next request immediately."""
        self.notifications.put(True)

    def record_contact(self, sent_at: float) -> None:
        """Record that it answered a request of this term that was sent at `sent_at`."""
        self.last_contact_at = later_of(self.last_contact_at, sent_at)

    def record_stored(self, sent_at: float) -> None:
        """Record that it stored the data of a request, and increase the batch size."""
        self.last_stored_at = later_of(self.last_stored_at, sent_at)
        self.batch_bytes = min(MAX_BATCH_BYTES, self.batch_bytes + self.batch_bytes // 8)

    def record_timeout(self) -> None:
        """Halve the batch size after a timeout, since too large a batch would never arrive."""
        self.batch_bytes = max(MIN_BATCH_BYTES, self.batch_bytes // 2)

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Start the transfer of a snapshot."""
        self.outgoing = OutgoingSnapshot(snapshot)

    def stop(self) -> None:
        """Cancel the task that sends requests to it."""
        if self.task is not None:
            self.task.cancel()


def later_of(known: float | None, moment: float) -> float:
    """Return the later of two times, of which the first may be None."""
    return moment if known is None else max(known, moment)


class Followers:
    """The followers, learners and released members of this leader.

    Attributes:
        by_disk: Voters and learners that receive the log, by disk ID.
        learners: The address and the time of the last join request, by disk ID.
        released_at: When a member was released, by disk ID.
    """

    __slots__ = ("by_disk", "learners", "released_at", "state")

    def __init__(self, state: MemberState) -> None:
        """Create an empty set of followers."""
        self.state = state
        self.by_disk: dict[str, Follower] = {}
        self.learners: dict[str, tuple[str, float]] = {}
        self.released_at: dict[str, float] = {}

    def begin_term(self) -> None:
        """Clear the learners and released members of an earlier term."""
        self.learners = {}
        self.released_at = {}

    def notify_all(self) -> None:
        """Make every follower's task send its next request immediately."""
        for follower in self.by_disk.values():
            follower.notify()

    def drop(self, disk: str) -> None:
        """Stop replication to a disk."""
        follower = self.by_disk.pop(disk, None)
        if follower is not None:
            follower.stop()

    def drop_all(self) -> None:
        """Stop replication to all followers."""
        for follower in self.by_disk.values():
            follower.stop()
        self.by_disk = {}

    def drop_learner(self, disk: str) -> None:
        """Remove a learner that stopped sending join requests; a voter stays a follower."""
        self.learners.pop(disk, None)
        if disk not in self.state.voters:
            self.drop(disk)

    def drop_removed_voters(self) -> None:
        """Stop replication to disks that are neither voters nor learners."""
        for disk in list(self.by_disk):
            if disk not in self.state.voters and disk not in self.learners:
                self.drop(disk)

    def match_index_of(self, disk: str) -> int:
        """Return the highest index that a disk is known to store; 0 if unknown."""
        if disk == self.state.disk:
            return self.state.last_index
        follower = self.by_disk.get(disk)
        return follower.match_index if follower is not None else 0

    def release(self, disk: str) -> None:
        """Exclude a disk from commit quorums for a while, as its process may stop any time."""
        self.released_at[disk] = self.state.now()

    def majority_match_index(self) -> int | None:
        """Return the highest index that a majority of the voters stores (section 5.3)."""
        now = self.state.now()
        released = {
            disk for disk, at in self.released_at.items() if now - at < RELEASE_EXPIRY_SECONDS
        }
        matches = sorted(
            0 if disk in released else self.match_index_of(disk) for disk in self.state.voters
        )
        return matches[len(matches) - self.state.majority] if matches else None

    def most_up_to_date(self, excluding: Collection[str] = ()) -> str:
        """Return the voter with the longest log among those in contact; empty if none."""
        now = self.state.now()
        candidates = [
            (follower.match_index, disk)
            for disk, follower in self.by_disk.items()
            if disk in self.state.voters
            and disk not in excluding
            and seconds_since(now, follower.last_contact_at) < self.state.settings.election_timeout
        ]
        return max(candidates)[1] if candidates else ""
