"""Pacing of bulk responses, so that they queue in this process and not on the machine's uplink.

The uplink sends packets first in, first out. If bulk responses are sent as fast as the sockets
accept them, a heartbeat or a request to a server waits behind all of them: on a slow uplink for
more than a second. Bulk connections are therefore served round-robin at a rate slightly below the
uplink's. All other data is sent immediately and only charged to the token bucket.
"""

from typing import Protocol

from ryelock.runtime.tasks import Queue, Scheduler

USED_LINK_FRACTION = 0.92
"""The rest of the uplink's rate is left to packet headers and acknowledgements."""
TURN_SECONDS = 0.008
"""A connection sends in one turn as many bytes as the uplink carries in this time."""
MIN_TURN_BYTES = 2_800
"""Two full packets."""
MAX_DEBT_SECONDS = 0.2
"""Limit on how long unpaced data can hold back bulk connections."""


class BulkSender(Protocol):
    """A connection whose bytes are paced."""

    def send_some(self, max_bytes: int) -> int:
        """Send up to `max_bytes` queued bytes; return the number that the socket accepted."""
        ...

    @property
    def has_more(self) -> bool:
        """True if bytes are queued and the socket is writable."""
        ...


class EgressPacer:
    """Token bucket, in bytes, that bulk connections share round-robin."""

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
        """Add the tokens earned since the last refill."""
        now = self.scheduler.now()
        earned = (now - self.refilled_at) * self.bytes_per_second
        self.tokens = min(float(self.turn_bytes), self.tokens + earned)
        self.refilled_at = now

    def count_unpaced(self, sent: int) -> None:
        """Charge bytes that were sent without pacing; the bucket may go into debt."""
        self.refill()
        max_debt = self.bytes_per_second * MAX_DEBT_SECONDS
        self.tokens = max(-max_debt, self.tokens - sent)

    def submit(self, sender: BulkSender) -> None:
        """Queue a connection with unsent bytes; it sends now or when its turn comes."""
        if sender in self.waiting_senders:
            return
        self.waiting_senders[sender] = None
        self.send_turns()
        if self.waiting_senders and not len(self.wakeups):
            self.wakeups.put(True)

    def send_turns(self) -> None:
        """Let the waiting connections send, one turn each, while there are tokens."""
        self.refill()
        while self.waiting_senders and self.tokens > 0:
            sender = next(iter(self.waiting_senders))
            del self.waiting_senders[sender]
            self.tokens -= sender.send_some(self.turn_bytes)
            if sender.has_more:
                self.waiting_senders[sender] = None

    async def run(self) -> None:
        """Serve the waiting connections as tokens are refilled; never returns."""
        while True:
            if not self.waiting_senders:
                await self.wakeups.get()
                continue
            self.send_turns()
            if self.waiting_senders:
                await self.scheduler.sleep(max(0.001, -self.tokens / self.bytes_per_second))
