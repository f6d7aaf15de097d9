"""A service of the platform: its objects, and the capacity of each of its servers."""

import hashlib
import math
from collections import deque
from collections.abc import Callable

from ryelock.testing.stand_ins.servers import Objects, body_for


class ServiceStandIn:
    """What all servers of a service have in common.

    `echoes_identity` tells which requests' names its answers bear: those that callers sent only.
    With `part_bytes`, answers are sent in parts of so many bytes, `part_interval_seconds` apart.
    """

    __slots__ = (
        "echoes_identity",
        "hangs",
        "health_path",
        "idle_seconds",
        "max_connections",
        "name",
        "objects",
        "part_bytes",
        "part_interval_seconds",
        "queue",
        "rate",
        "recent_requests",
        "slots",
        "work_seconds",
    )

    def __init__(
        self,
        name: str,
        rate: float = math.inf,
        slots: int = 8,
        queue: int = 4,
        hangs: bool = False,
        work_seconds: float = 0.02,
        size: int = 600,
    ) -> None:
        """Create a service.

        Args:
            name: name of the service.
            rate: requests a second above which a server answers 429.
            slots: requests that a server runs at once.
            queue: requests that wait at a server for a slot.
            hangs: whether a full server says nothing instead of 503.
            work_seconds: how long a request runs.
            size: bytes of an object.
        """
        self.name = name
        self.rate = rate
        self.slots = slots
        self.queue = queue
        self.hangs = hangs
        self.work_seconds = work_seconds
        self.part_bytes = 0
        self.part_interval_seconds = 0.0
        self.max_connections = 110
        self.idle_seconds = 5
        self.health_path = "/health"
        self.objects = Objects(size)
        self.recent_requests: deque[float] = deque()
        self.echoes_identity: Callable[[str], bool] = lambda _identity: True

    def over_rate(self, now: float) -> bool:
        """Count one more request of this second; those above the rate are counted as well."""
        while self.recent_requests and self.recent_requests[0] <= now - 1.0:
            self.recent_requests.popleft()
        self.recent_requests.append(now)
        return len(self.recent_requests) > self.rate

    def body(self, target: str, revision: int) -> bytes:
        """Return the body of an object at a revision."""
        return body_for(self.name, target, revision, self.objects.size)

    def seal(self, target: str, revision: int) -> bytes:
        """The mark of an object, the same for the whole and for its parts."""
        text = f"seal {self.name} {target} {revision}".encode()
        return b"%d." % revision + hashlib.sha256(text).hexdigest()[:24].encode()
