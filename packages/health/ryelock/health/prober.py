"""The prober: every target of its zone at its cadence, few in flight, rows kept and told again.

Which edges there are comes from the control plane's members, which watches from the current
configuration. A row or two a round goes to an edge of another zone: it tells a prober whose
own network is broken from one that sees a broken zone. Rows wait in a bounded store until the
present aggregator has said it has them, and go to a new aggregator from the start. A probe that
was declined because servers are full tells of the crowd, not of the edge: no row comes of it.
"""

import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ryelock.health.probe import CROWDED, OutdatedTagTimer, Probe, ProbeResult, watch_fingerprint
from ryelock.http import ProtocolProfile
from ryelock.replicated_state import Watch
from ryelock.runtime import Network, Queue, Scheduler, Task

MAX_STORED_RESULTS = 4000


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """An edge to be probed for a watch.

    Attributes:
        zone: zone of the edge.
        edge: name of the edge.
        address: host:port where the edge takes requests.
        watch_name: name of the watch.
        watch: what to fetch.
        outside: whether the edge stands in another zone than the prober.
        seconds: least time between two probes; 0 where the prober's own cadence is meant.
        mark: tells this watch from another of its name.
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
        """Work out the mark."""
        object.__setattr__(self, "watch_fingerprint", watch_fingerprint(self.watch))

    @property
    def key(self) -> tuple[str, str, str]:
        """What tells targets apart: edge, watch and the watch's mark."""
        return self.edge, self.watch_name, self.watch_fingerprint


class Prober:
    """Runs the probes of one node and keeps their rows."""

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
        """Start each target when it is due, as far as the flight has room."""
        while True:
            now = self.scheduler.now()
            targets = self.list_targets()
            inside = [target for target in targets if not target.cross_zone]
            outside = [target for target in targets if target.cross_zone]
            known = {target.key for target in targets}
            for key in [key for key in self.next_probe_at if key not in known and key[1] != ""]:
                del self.next_probe_at[key]
                self.tag_timers.pop(key, None)
            if outside:
                inside.append(outside[self.cross_zone_turn % len(outside)])
            for target in inside:
                key = ("", "", "") if target.cross_zone else target.key
                if key not in self.next_probe_at:
                    self.next_probe_at[key] = now + self.phase_of(target)
                if self.next_probe_at.get(key, 0.0) > now:
                    continue
                if target.cross_zone:
                    self.cross_zone_turn += 1
                self.next_probe_at[key] = now + max(
                    self.interval_seconds, target.min_interval_seconds
                )
                await self.free_slots.get()
                self.tasks = [running for running in self.tasks if not running.done]
                self.tasks.append(
                    self.scheduler.create_task(self.probe(target), name=f"probe of {target.edge}")
                )
            await self.scheduler.sleep(min(1.0, self.interval_seconds / 10))

    def phase_of(self, target: ProbeTarget) -> float:
        """Seconds until a target is probed first: at once, or spread over a longer cadence.

        Targets that are probed seldom, for the sake of their service, must not all come at once.
        """
        extra = max(0.0, target.min_interval_seconds - self.interval_seconds)
        spread = zlib.crc32(f"{self.name} {target.edge} {target.watch_name}".encode()) / 2**32
        return extra * spread

    async def probe(self, target: ProbeTarget) -> None:
        """Probe one target and keep the row, unless the service was only overloaded."""
        self.sequence += 1
        row = ProbeResult(
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
        dater = self.tag_timers.setdefault(target.key, OutdatedTagTimer())
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
            await probe.run(row, dater)
        finally:
            self.free_slots.put(True)
        if row.error == CROWDED:
            return
        self.results.append(row)
        while (
            self.results
            and self.scheduler.now() - self.results[0].started_at > self.retention_seconds
        ):
            self.results.popleft()

    def results_since(self, sequence: int, max_results: int = 200) -> list[ProbeResult]:
        """Rows that an aggregator which has up to a sequence lacks, oldest first.

        Rows are stored when a probe ends, so sequences may stand out of order; a row counts
        as had when the aggregator named it or a later stored one.
        """
        rows = list(self.results)
        for position in range(len(rows) - 1, -1, -1):
            if rows[position].sequence == sequence:
                return rows[position + 1 : position + 1 + max_results]
        return rows[:max_results]
