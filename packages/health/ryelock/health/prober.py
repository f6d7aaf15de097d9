"""The prober: probes every target of its zone at its interval, and keeps the results.

Which edges there are comes from the control plane's members, which watches from the current
configuration. A probe or two a round goes to an edge of another zone: it tells a prober whose
own network is broken from one that sees a broken zone. Results wait in a bounded store until the
present aggregator has acknowledged them, and go to a new aggregator from the start. A probe that
was rejected because servers are full tells of the load, not of the edge: no result comes of it.
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
"""Results that are sent to the aggregator at once."""
CROSS_ZONE_KEY = ("", "", "")
"""Key under which all targets of other zones together have their turn."""


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """An edge to be probed for a watch.

    Attributes:
        zone: zone of the edge.
        edge: name of the edge.
        address: host:port where the edge takes requests.
        watch_name: name of the watch.
        watch: what to fetch.
        cross_zone: whether the edge stands in another zone than the prober.
        min_interval_seconds: least time between two probes; 0 where the prober's own
            interval is meant.
        watch_fingerprint: tells this watch from another of its name.
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
        """Derive the fingerprint."""
        object.__setattr__(self, "watch_fingerprint", watch_fingerprint(self.watch))

    @property
    def key(self) -> tuple[str, str, str]:
        """What tells targets apart: edge, watch and the watch's fingerprint."""
        return self.edge, self.watch_name, self.watch_fingerprint


class Prober:
    """Runs the probes of one node and keeps their results."""

    __slots__ = (
        "credentials",
        "cross_zone_turn",
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
        """Create a prober; `start` makes it run.

        Args:
            scheduler: clock and timers.
            network: where connections are opened.
            name: name of this node.
            secret: secret of this node's session, by which edges know its probes.
            machine: machine this node runs on.
            zone: zone of this node.
            interval_seconds: time between two probes of one target.
            timeout_seconds: deadline of one probe.
            max_in_flight: how many probes run at once.
            retention_seconds: how long results are retained.
            list_targets: returns the present targets.
            profile: header field names of the deployment.
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
        self.cross_zone_turn = 0
        self.tasks: list[Task] = []

    def start(self) -> None:
        """Start probing."""
        for _ in range(self.max_in_flight):
            self.free_slots.put(True)
        self.tasks.append(self.scheduler.create_task(self.run(), name="prober"))

    def stop(self) -> None:
        """Cancel all probes."""
        for running in self.tasks:
            running.cancel()

    async def run(self) -> None:
        """Probe each target when it is due, with at most `max_in_flight` probes at once."""
        while True:
            now = self.scheduler.now()
            for target in self.round_targets():
                if self.is_due(target, now):
                    await self.start_probe(target, now)
            await self.scheduler.sleep(min(1.0, self.interval_seconds / 10))

    def round_targets(self) -> list[ProbeTarget]:
        """Return the targets of this zone and the one of another zone whose turn it is."""
        targets = self.list_targets()
        self.forget_others({target.key for target in targets})
        own_zone = [target for target in targets if not target.cross_zone]
        cross_zone = [target for target in targets if target.cross_zone]
        if cross_zone:
            own_zone.append(cross_zone[self.cross_zone_turn % len(cross_zone)])
        return own_zone

    def forget_others(self, present: set[tuple[str, str, str]]) -> None:
        """Drop what is kept of targets that are no more."""
        for key in list(self.next_probe_at):
            if key not in present and key != CROSS_ZONE_KEY:
                del self.next_probe_at[key]
                self.tag_timers.pop(key, None)

    def is_due(self, target: ProbeTarget, now: float) -> bool:
        """Tell whether a target is to be probed now; a new one gets its first time."""
        key = schedule_key(target)
        if key not in self.next_probe_at:
            self.next_probe_at[key] = now + self.phase_of(target)
        return self.next_probe_at[key] <= now

    async def start_probe(self, target: ProbeTarget, now: float) -> None:
        """Start a probe as soon as one of the slots is free; `now` is the start of the round."""
        if target.cross_zone:
            self.cross_zone_turn += 1
        interval = max(self.interval_seconds, target.min_interval_seconds)
        self.next_probe_at[schedule_key(target)] = now + interval
        await self.free_slots.get()
        self.tasks = [running for running in self.tasks if not running.done]
        self.tasks.append(
            self.scheduler.create_task(self.probe(target), name=f"probe of {target.edge}")
        )

    def phase_of(self, target: ProbeTarget) -> float:
        """Return the seconds until a target is first probed: 0, or spread over a longer interval.

        Targets that are probed seldom, for the sake of their service, must not all come at once.
        """
        extra = max(0.0, target.min_interval_seconds - self.interval_seconds)
        spread = zlib.crc32(f"{self.name} {target.edge} {target.watch_name}".encode()) / 2**32
        return extra * spread

    async def probe(self, target: ProbeTarget) -> None:
        """Probe one target and keep the result, unless the service was only overloaded."""
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
        """Keep a result, and drop those that are too old."""
        self.results.append(result)
        now = self.scheduler.now()
        while self.results and now - self.results[0].started_at > self.retention_seconds:
            self.results.popleft()

    def results_since(
        self, sequence: int, max_results: int = MAX_SENT_RESULTS
    ) -> list[ProbeResult]:
        """Return the results that an aggregator which has up to a sequence lacks, oldest first.

        Results are stored when a probe ends, so sequences may stand out of order; the aggregator
        has a result where it named that one or one that was stored later.
        """
        results = list(self.results)
        for position in range(len(results) - 1, -1, -1):
            if results[position].sequence == sequence:
                return results[position + 1 : position + 1 + max_results]
        return results[:max_results]


def schedule_key(target: ProbeTarget) -> tuple[str, str, str]:
    """Return the key under which a target's next probe is scheduled."""
    return CROSS_ZONE_KEY if target.cross_zone else target.key
