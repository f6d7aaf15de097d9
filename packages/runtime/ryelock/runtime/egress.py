"""Pacing of bulk answers, so that their queue forms in this process and not in the machine's link.

A link carries packets in the order in which they were sent. Where answers are sent as fast as the
sockets take them, a heartbeat or a request to a server waits behind all of them, on a slow link
for a second and more. Bulk connections therefore take turns at a rate a little below the link's;
everything else is sent at once and only counted.
"""

from typing import Protocol

from ryelock.runtime.tasks import Queue, Scheduler

USED_LINK_FRACTION = 0.92
"""Part of the link's rate that is used; the rest is for headers and acknowledgements."""
TURN_SECONDS = 0.008
"""A connection's turn is what the link carries in this time, in seconds."""
MIN_TURN_BYTES = 2_800
"""A turn is at least two full packets."""
MAX_DEBT_SECONDS = 0.2
"""What is sent at once may use up so much of the bulk connections' time ahead, in seconds."""


class BulkSender(Protocol):
    """A connection whose bytes are paced."""

    def send_some(self, max_bytes: int) -> int:
        """Send at most so many of the queued bytes; returns how many the socket took."""
        ...

    @property
    def has_more(self) -> bool:
        """Whether bytes are queued that the socket would take now."""
        ...


class EgressPacer:
    """Token bucket in bytes, from which bulk connections take turns."""

    __slots__ = (
        "bytes_per_second",
        "refilled_at",
        "scheduler",
        "tokens",
        "turn_bytes",
        "waiting_senders",
        "wakeups",
    )

    def __init__(self, scheduler: Scheduler, link_bytes_per_second: float) -> None:
        """Create a pacer with a full bucket and start its task."""
        self.scheduler = scheduler
        self.bytes_per_second = link_bytes_per_second * USED_LINK_FRACTION
        self.turn_bytes = max(MIN_TURN_BYTES, int(self.bytes_per_second * TURN_SECONDS))
        self.tokens = float(self.turn_bytes)
        self.refilled_at = scheduler.now()
        self.waiting_senders: dict[BulkSender, None] = {}
        self.wakeups: Queue[bool] = Queue(scheduler)
        scheduler.create_task(self.run(), name="egress", urgent=True)

    def refill(self) -> None:
        """Add the bytes that the link carried since the last look."""
        now = self.scheduler.now()
        earned = (now - self.refilled_at) * self.bytes_per_second
        self.tokens = min(float(self.turn_bytes), self.tokens + earned)
        self.refilled_at = now

    def count_unpaced(self, sent: int) -> None:
        """Count bytes that were sent without waiting for a turn."""
        self.refill()
        debt_most = self.bytes_per_second * MAX_DEBT_SECONDS
        self.tokens = max(-debt_most, self.tokens - sent)

    def submit(self, sender: BulkSender) -> None:
        """Let a connection with queued bytes send, now or when its turn comes."""
        if sender in self.waiting_senders:
            return
        self.waiting_senders[sender] = None
        self.send_turns()
        if self.waiting_senders and not len(self.wakeups):
            self.wakeups.put(True)

    def send_turns(self) -> None:
        """Give turns to the waiting connections while there are tokens."""
        self.refill()
        while self.waiting_senders and self.tokens > 0:
            sender = next(iter(self.waiting_senders))
            del self.waiting_senders[sender]
            self.tokens -= sender.send_some(self.turn_bytes)
            if sender.has_more:
                self.waiting_senders[sender] = None

    async def run(self) -> None:
        """Give turns as tokens come, for the life of the process."""
        while True:
            if not self.waiting_senders:
                await self.wakeups.get()
                continue
            self.send_turns()
            if self.waiting_senders:
                await self.scheduler.sleep(max(0.001, -self.tokens / self.bytes_per_second))
