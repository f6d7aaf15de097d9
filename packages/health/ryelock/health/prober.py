"""The prober: probes its targets at their intervals and stores the results.

Besides its assigned targets, the prober probes targets of other zones in turn. This distinguishes a
prober whose own network is broken from a zone that is down. Results are kept in a bounded store, so
that a new aggregator can be sent all of them. A probe rejected because of overload says nothing
about the edge and yields no result.
"""

import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ryelock.health.ages import OutdatedTagTimer
from ryelock.health.probe import OVERLOADED, Probe
from ryelock.health.results import ProbeResult, watch_fingerprint
from ryelock.http import ProtocolProfile
from ryelock.replicated_state import Watch
from ryelock.runtime import Network, Queue, Scheduler, Task

MAX_STORED_RESULTS = 4000
MAX_SENT_RESULTS = 200
"""Results in one message to the aggregator."""
CROSS_ZONE_KEY = ("", "", "")
"""Schedule key shared by all cross-zone targets, which are probed in turn."""


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """An edge to probe for a watch.

    Attributes:
        zone: zone of the edge.
        edge: name of the edge.
        address: host:port of the edge's request server.
        watch_name: name of the watch.
        watch: the watch.
        cross_zone: True if the prober is not assigned to the edge and probes it only in turn, for
            comparison.
        min_interval_seconds: minimum time between two probes, if longer than the prober's
            interval.
        watch_fingerprint: fingerprint of the watch.
    """

    zone: str
    edge: str
    address: str
    watch_name: str
    watch: Watch
    cross_zone: bool
    min_interval_seconds: float = 0.0
    watch_fingerprint: str = field(init=False)

    def __post_init__(self) -> None:
        """Compute the fingerprint of the watch."""
        object.__setattr__(self, "watch_fingerprint", watch_fingerprint(self.watch))

    @property
    def key(self) -> tuple[str, str, str]:
        """Identity of the target: edge, watch and the watch's fingerprint."""
        return self.edge, self.watch_name, self.watch_fingerprint


class Prober:
    """Runs the probes of one node and stores their results."""

    __slots__ = (
        "credentials",
        "cross_zone_position",
        "free_slots",
        "interval_seconds",
        "list_targets",
        "machine",
        "max_in_flight",
        "name",
        "network",
        "next_probe_at",
        "profile",
        "results",
        "retention_seconds",
        "scheduler",
        "sequence",
        "tag_timers",
        "tasks",
        "timeout_seconds",
        "zone",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        name: str,
        secret: str,
        machine: str,
        zone: str,
        interval_seconds: float,
        timeout_seconds: float,
        max_in_flight: int,
        retention_seconds: float,
        list_targets: Callable[[], list[ProbeTarget]],
        profile: ProtocolProfile | None = None,
    ) -> None:
        """Create a prober; `start` starts its task.

        Args:
            scheduler: clock and timers.
            network: where connections are opened.
            name: name of this node.
            secret: secret of this node's session, by which edges authenticate its probes.
            machine: machine on which this node runs.
            zone: zone of this node.
            interval_seconds: time between two probes of one target.
            timeout_seconds: timeout of one probe.
            max_in_flight: maximum number of concurrent probes.
            retention_seconds: how long results are stored.
            list_targets: returns the current targets.
            profile: HTTP profile of the deployment.
        """
        self.profile = profile or ProtocolProfile()
        self.scheduler = scheduler
        self.network = network
        self.name = name
        self.credentials = f"{name} {secret}"
        self.machine = machine
        self.zone = zone
        self.interval_seconds = interval_seconds
        self.timeout_seconds = timeout_seconds
        self.max_in_flight = max_in_flight
        self.retention_seconds = retention_seconds
        self.list_targets = list_targets
        self.results: deque[ProbeResult] = deque(maxlen=MAX_STORED_RESULTS)
        self.next_probe_at: dict[tuple[str, str, str], float] = {}
        self.tag_timers: dict[tuple[str, str, str], OutdatedTagTimer] = {}
        self.free_slots: Queue[bool] = Queue(scheduler)
        self.sequence = 0
        self.cross_zone_position = 0
        self.tasks: list[Task] = []

    def start(self) -> None:
        """Start the probe task."""
        for _ in range(self.max_in_flight):
            self.free_slots.put(True)
        self.tasks.append(self.scheduler.create_task(self.run(), name="prober"))

    def stop(self) -> None:
        """Cancel all probes."""
        for task in self.tasks:
            task.cancel()

    async def run(self) -> None:
        """Probe each target when it is due, with at most `max_in_flight` probes at once."""
        while True:
            now = self.scheduler.now()
            for target in self.round_targets():
                if self.is_due(target, now):
                    await self.start_probe(target, now)
            await self.scheduler.sleep(min(1.0, self.interval_seconds / 10))

    def round_targets(self) -> list[ProbeTarget]:
        """Return the targets assigned to this prober, and the next cross-zone target."""
        targets = self.list_targets()
        self.drop_removed_targets({target.key for target in targets})
        own_zone = [target for target in targets if not target.cross_zone]
        cross_zone = [target for target in targets if target.cross_zone]
        if cross_zone:
            own_zone.append(cross_zone[self.cross_zone_position % len(cross_zone)])
        return own_zone

    def drop_removed_targets(self, current: set[tuple[str, str, str]]) -> None:
        """Drop the schedule and ETag timers of targets that no longer exist."""
        for key in list(self.next_probe_at):
            if key not in current and key != CROSS_ZONE_KEY:
                del self.next_probe_at[key]
                self.tag_timers.pop(key, None)

    def is_due(self, target: ProbeTarget, now: float) -> bool:
        """Return True if a target's next probe is due, after scheduling a new target."""
        key = schedule_key(target)
        if key not in self.next_probe_at:
            self.next_probe_at[key] = now + self.initial_delay(target)
        return self.next_probe_at[key] <= now

    async def start_probe(self, target: ProbeTarget, now: float) -> None:
        """Start a probe once a slot is free; `now` is the start of the round."""
        if target.cross_zone:
            self.cross_zone_position += 1
        interval = max(self.interval_seconds, target.min_interval_seconds)
        self.next_probe_at[schedule_key(target)] = now + interval
        await self.free_slots.get()
        self.tasks = [task for task in self.tasks if not task.done]
        self.tasks.append(
            self.scheduler.create_task(self.probe(target), name=f"probe of {target.edge}")
        )

    def initial_delay(self, target: ProbeTarget) -> float:
        """Return the seconds until the first probe of a target.

        Targets with a longer interval than the prober's are spread over the difference by a hash,
        to avoid bursts of probes to their service.
        """
        extra_seconds = max(0.0, target.min_interval_seconds - self.interval_seconds)
        fraction = zlib.crc32(f"{self.name} {target.edge} {target.watch_name}".encode()) / 2**32
        return extra_seconds * fraction

    async def probe(self, target: ProbeTarget) -> None:
        """Probe one target and store the result, unless the probe was rejected for overload."""
        self.sequence += 1
        result = ProbeResult(
            self.name,
            self.machine,
            self.sequence,
            target.zone,
            target.edge,
            target.watch_name,
            target.cross_zone,
            self.scheduler.clock.wall(),
            target.watch_fingerprint,
        )
        timer = self.tag_timers.setdefault(target.key, OutdatedTagTimer())
        probe = Probe(
            self.scheduler,
            self.network,
            target.address,
            target.watch,
            self.timeout_seconds,
            self.credentials,
            self.profile,
        )
        try:
            await probe.run(result, timer)
        finally:
            self.free_slots.put(True)
        if result.error != OVERLOADED:
            self.store(result)

    def store(self, result: ProbeResult) -> None:
        """Store a result, and drop those older than the retention time."""
        self.results.append(result)
        now = self.scheduler.now()
        while self.results and now - self.results[0].started_at > self.retention_seconds:
            self.results.popleft()

    def results_since(
        self, sequence: int, max_results: int = MAX_SENT_RESULTS
    ) -> list[ProbeResult]:
        """Return the results stored after the one with a sequence number, oldest first.

        Results are stored as probes end, so sequence numbers may be out of order. All results are
        returned if none has this number.
        """
        results = list(self.results)
        for position in range(len(results) - 1, -1, -1):
            if results[position].sequence == sequence:
                return results[position + 1 : position + 1 + max_results]
        return results[:max_results]


def schedule_key(target: ProbeTarget) -> tuple[str, str, str]:
    """Return the key under which a target's next probe is scheduled."""
    return CROSS_ZONE_KEY if target.cross_zone else target.key
