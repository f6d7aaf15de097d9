"""The lease under which an edge serves."""

from ryelock.events import LEASE_ACQUIRED, LEASE_EXPIRED, Log
from ryelock.runtime import Scheduler


class EdgeLease:
    """A node's lease from the control plane; it is not held until it was granted once.

    A lease is counted from before the request that it answers, so it ends here before the control
    plane takes it for ended.
    """

    __slots__ = ("expires_at", "log", "logged_as_held", "released", "scheduler")

    def __init__(self, scheduler: Scheduler, log: Log) -> None:
        """Create a lease that is not held."""
        self.scheduler = scheduler
        self.log = log
        self.expires_at: float | None = None
        self.released = False
        self.logged_as_held = False

    @property
    def held(self) -> bool:
        """Whether the lease is granted and has not expired."""
        return self.expires_at is not None and self.scheduler.now() < self.expires_at

    @property
    def seconds_left(self) -> float:
        """Seconds until the lease expires, 0 where it is not held."""
        if self.expires_at is None:
            return 0.0
        return max(0.0, self.expires_at - self.scheduler.now())

    def extend(self, expires_at: float) -> None:
        """Hold the lease until a monotonic time; a released lease is never held again."""
        if self.released:
            return
        # An answer that was overtaken by a later one must not shorten the lease.
        if self.expires_at is None or expires_at > self.expires_at:
            self.expires_at = expires_at

    def release(self) -> None:
        """Give the lease up for good."""
        self.released = True
        self.expires_at = None

    def log_transition(self) -> None:
        """Write an event where the lease was acquired or has expired since the last call."""
        held = self.held
        if held != self.logged_as_held:
            self.logged_as_held = held
            self.log.write(LEASE_ACQUIRED if held else LEASE_EXPIRED)
