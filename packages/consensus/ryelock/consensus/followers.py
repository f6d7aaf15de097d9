"""The followers as a leader sees them: Raft's figure 2, "volatile state on leaders"."""

from collections.abc import Collection

from ryelock.consensus.entries import Snapshot
from ryelock.consensus.state import MemberState, seconds_since
from ryelock.consensus.transfer import OutgoingSnapshot
from ryelock.runtime import Queue, Scheduler, Task

MAX_BATCH_BYTES = 1_048_576
"""The most bytes of entries in one heartbeat; halved for a follower that is late, then grown."""
MIN_BATCH_BYTES = 16_384
RELEASE_EXPIRY_SECONDS = 3.0
"""What a disk stored counts again so long after its process was released."""


class Follower:
    """Another disk that the leader replicates its log to.

    Attributes:
        next_index: The index of the next entry to send.
        match_index: The last index that the disk is known to hold.
        batch_bytes: The most bytes of entries that it takes in time at present.
        outgoing: The snapshot that is being sent to it, if any.
        last_contact_at: When the newest request was sent that it answered in this term.
        last_stored_at: The same of the newest request whose data it stored.
        disk_replaced: Whether another disk answers at its address.
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
        """Create a follower of which nothing is known yet."""
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
        """Have the follower's task send its next request at once."""
        self.notifications.put(True)

    def record_contact(self, sent_at: float) -> None:
        """Note that it answered, as a follower of this term, a request sent at that moment."""
        self.last_contact_at = later_of(self.last_contact_at, sent_at)

    def record_stored(self, sent_at: float) -> None:
        """Note that it stored what a request carried; the next may be larger."""
        self.last_stored_at = later_of(self.last_stored_at, sent_at)
        self.batch_bytes = min(MAX_BATCH_BYTES, self.batch_bytes + self.batch_bytes // 8)

    def record_timeout(self) -> None:
        """Note that no answer came in time; a batch that is too large would never arrive."""
        self.batch_bytes = max(MIN_BATCH_BYTES, self.batch_bytes // 2)

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot from here on, until it has arrived."""
        self.outgoing = OutgoingSnapshot(snapshot)

    def stop(self) -> None:
        """Cancel the task that sends to it."""
        if self.task is not None:
            self.task.cancel()


def later_of(known: float | None, moment: float) -> float:
    """Return the later of two moments, of which one may not have come."""
    return moment if known is None else max(known, moment)


class Followers:
    """All followers of this leader by disk, its learners, and the disks that it released.

    Attributes:
        by_disk: Voters and learners that the log is sent to.
        learners: Address, and the moment of the last request to join, by disk.
        released_at: When a disk's process was released.
    """

    __slots__ = ("by_disk", "learners", "released_at", "state")

    def __init__(self, state: MemberState) -> None:
        """Create an empty set of followers."""
        self.state = state
        self.by_disk: dict[str, Follower] = {}
        self.learners: dict[str, tuple[str, float]] = {}
        self.released_at: dict[str, float] = {}

    def begin_term(self) -> None:
        """Forget what an earlier term's leader knew."""
        self.learners = {}
        self.released_at = {}

    def notify_all(self) -> None:
        """Have every follower's task send its next request at once."""
        for follower in self.by_disk.values():
            follower.notify()

    def drop(self, disk: str) -> None:
        """Send nothing more to a disk."""
        follower = self.by_disk.pop(disk, None)
        if follower is not None:
            follower.stop()

    def drop_all(self) -> None:
        """Send nothing more to anybody."""
        for follower in self.by_disk.values():
            follower.stop()
        self.by_disk = {}

    def drop_learner(self, disk: str) -> None:
        """Forget a disk that does not ask to join any more; a voter stays a follower."""
        self.learners.pop(disk, None)
        if disk not in self.state.voters:
            self.drop(disk)

    def drop_removed_voters(self) -> None:
        """Send nothing more to disks that are neither voters nor learners."""
        for disk in list(self.by_disk):
            if disk not in self.state.voters and disk not in self.learners:
                self.drop(disk)

    def match_index_of(self, disk: str) -> int:
        """Return the last index that a disk is known to hold; 0 where nothing is known."""
        if disk == self.state.disk:
            return self.state.last_index
        follower = self.by_disk.get(disk)
        return follower.match_index if follower is not None else 0

    def release(self, disk: str) -> None:
        """Count nothing that a disk stored for a while: its process may end at any moment."""
        self.released_at[disk] = self.state.now()

    def majority_match_index(self) -> int | None:
        """Return the last index that a majority of the voters is known to hold (section 5.3)."""
        now = self.state.now()
        released = {
            disk for disk, at in self.released_at.items() if now - at < RELEASE_EXPIRY_SECONDS
        }
        matches = sorted(
            0 if disk in released else self.match_index_of(disk) for disk in self.state.voters
        )
        return matches[len(matches) - self.state.majority] if matches else None

    def most_up_to_date(self, excluding: Collection[str] = ()) -> str:
        """Return the voter with the longest log of those in contact; empty if there is none."""
        now = self.state.now()
        candidates = [
            (follower.match_index, disk)
            for disk, follower in self.by_disk.items()
            if disk in self.state.voters
            and disk not in excluding
            and seconds_since(now, follower.last_contact_at) < self.state.settings.election_timeout
        ]
        return max(candidates)[1] if candidates else ""
