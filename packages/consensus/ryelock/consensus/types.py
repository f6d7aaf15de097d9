"""What the layers of a member share: errors, pace, peers, and the entries of its queue."""

from collections.abc import Callable
from typing import Protocol

from expression import Result

from ryelock.consensus.log import RETAINED_BYTES
from ryelock.consensus.transfer import (
    OutgoingImage,
)
from ryelock.rpc import Message
from ryelock.runtime import Queue, Scheduler, Task

BATCH_BYTES = 1_048_576
"""The most bytes of entries in one heartbeat; halved for a peer that is late, then grown again."""
BATCH_BYTES_LEAST = 16_384


class ConsensusError(Exception):
    """A word was not taken; certain says whether that is beyond doubt."""

    def __init__(self, reason: str, certain: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.certain = certain


class StateMachine(Protocol):
    """The state that words change; must come to the same on every node."""

    def apply(self, index: int, data: bytes) -> object:
        """The outcome; a map in which `again` is True says that nothing was changed by it."""
        ...

    def snapshot(self) -> bytes: ...
    def restore(self, data: bytes) -> None: ...


class ConsensusSettings:
    """Intervals of heartbeats, elections and replacement, and when snapshots are written."""

    __slots__ = (
        "disk_bytes",
        "election_timeout",
        "heartbeat_seconds",
        "may_found",
        "promise_seconds",
        "replace_seconds",
        "retained_bytes",
        "snapshot_records",
    )

    def __init__(
        self,
        heartbeat_seconds: float = 0.15,
        election_timeout: float = 0.7,
        promise_seconds: float = 1.5,
        replace_seconds: float = 8.0,
        snapshot_records: int = 4000,
        may_found: bool = True,
        disk_bytes: int = 0,
        retained_bytes: int = RETAINED_BYTES,
    ) -> None:
        self.heartbeat_seconds = heartbeat_seconds
        self.election_timeout = election_timeout
        self.promise_seconds = promise_seconds
        self.replace_seconds = replace_seconds
        self.snapshot_records = snapshot_records
        self.may_found = may_found
        self.disk_bytes = disk_bytes
        self.retained_bytes = retained_bytes


class Command:
    """One entry of the owner's queue."""

    __slots__ = ("act",)

    def __init__(self, act: Callable[[], None]) -> None:
        self.act = act


class Peer:
    """Another disk as the leader sees it."""

    __slots__ = (
        "address",
        "batch_bytes",
        "disk",
        "gone",
        "heard",
        "match_index",
        "news",
        "next_index",
        "outgoing",
        "running",
        "stored",
    )

    def __init__(self, disk: str, address: str, following: int, scheduler: Scheduler) -> None:
        self.disk = disk
        self.address = address
        self.next_index = following
        self.match_index = 0
        self.batch_bytes = BATCH_BYTES
        self.outgoing: OutgoingImage | None = None
        self.heard = -1e9
        self.stored = -1e9
        self.gone = False
        self.news: Queue[bool] = Queue(scheduler)
        self.running: Task | None = None


Outcome = Result[object, ConsensusError]
"""What came of a proposal."""
Said = Callable[[], Message]
Hears = Callable[[str, Message, float | None], None]


class Proposal:
    __slots__ = ("box", "data", "kind")

    def __init__(self, kind: str, data: bytes, box: Queue[Outcome]) -> None:
        self.kind = kind
        self.data = data
        self.box = box
