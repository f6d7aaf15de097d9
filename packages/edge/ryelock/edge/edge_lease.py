"""The lease under which an edge serves."""

from ryelock.events import LEASE_ACQUIRED, LEASE_EXPIRED, Log
from ryelock.runtime import Scheduler


class EdgeLease:
    """A node's lease from the control plane, not held until first granted.

    The lease period starts before the request is sent, so it expires here before the control plane
    considers it expired.
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
        """True if the lease was granted and has not expired."""
        return self.expires_at is not None and self.scheduler.now() < self.expires_at

    @property
    def seconds_left(self) -> float:
        """Seconds until the lease expires, 0 if it is not held."""
        if self.expires_at is None:
            return 0.0
        return max(0.0, self.expires_at - self.scheduler.now())

    def extend(self, expires_at: float) -> None:
        """Extend the lease to a monotonic time; has no effect once the lease is released."""
        if self.released:
            return
        # Responses may arrive out of order: an earlier one must not shorten the lease.
        if self.expires_at is None or expires_at > self.expires_at:
            self.expires_at = expires_at

    def release(self) -> None:
        """Give up the lease permanently."""
        self.released = True
        self.expires_at = None

    def log_transition(self) -> None:
        """Log an event if the lease was acquired or has expired since the last call."""
        held = self.held
        if held != self.logged_as_held:
            self.logged_as_held = held
            self.log.write(LEASE_ACQUIRED if held else LEASE_EXPIRED)
