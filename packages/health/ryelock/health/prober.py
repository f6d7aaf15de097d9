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

from ryelock.health.probe import CROWDED, Dater, Probe, ProbeResult, watch_mark
from ryelock.http import ProtocolProfile
from ryelock.replicated_state import Watch
from ryelock.runtime import Network, Queue, Scheduler, Task

ROWS_KEPT = 4000


@dataclass(frozen=True, slots=True)
class Target:
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
    outside: bool
    seconds: float = 0.0
    mark: str = field(init=False)

    def __post_init__(self) -> None:
        """Work out the mark."""
        object.__setattr__(self, "mark", watch_mark(self.watch))

    @property
    def key(self) -> tuple[str, str, str]:
        """What tells targets apart: edge, watch and the watch's mark."""
        return self.edge, self.watch_name, self.mark


class Prober:
    """Runs the probes of one node and keeps their rows."""

    __slots__ = (
        "cadence",
        "daters",
        "dialect",
        "due",
        "in_flight",
        "machine",
        "name",
        "network",
        "room",
        "rows",
        "says",
        "scheduler",
        "sequence",
        "span",
        "targets",
        "tasks",
        "timeout",
        "turn",
        "zone",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        name: str,
        mark: str,
        machine: str,
        zone: str,
        cadence: float,
        timeout: float,
        in_flight: int,
        span: float,
        targets: Callable[[], list[Target]],
        dialect: ProtocolProfile | None = None,
    ) -> None:
        """Create a prober; `start` makes it run.

        Args:
            scheduler: clock and timers.
            network: where connections are opened.
            name: name of this node.
            mark: secret of this node's session, by which edges know its probes.
            machine: machine this node runs on.
            zone: zone of this node.
            cadence: seconds between two probes of one target.
            timeout: deadline of one probe in seconds.
            in_flight: most probes at once.
            span: seconds for which rows are kept.
            targets: returns the present targets.
            dialect: field names of the deployment.
        """
        self.dialect = dialect or ProtocolProfile()
        self.scheduler = scheduler
        self.network = network
        self.name = name
        self.says = f"{name} {mark}"
        self.machine = machine
        self.zone = zone
        self.cadence = cadence
        self.timeout = timeout
        self.in_flight = in_flight
        self.span = span
        self.targets = targets
        self.rows: deque[ProbeResult] = deque(maxlen=ROWS_KEPT)
        self.due: dict[tuple[str, str, str], float] = {}
        self.daters: dict[tuple[str, str, str], Dater] = {}
        self.room: Queue[bool] = Queue(scheduler)
        self.sequence = 0
        self.turn = 0
        self.tasks: list[Task] = []

    def start(self) -> None:
        """Start probing."""
        for _ in range(self.in_flight):
            self.room.put(True)
        self.tasks.append(self.scheduler.create_task(self.work(), name="prober"))

    def stop(self) -> None:
        """Cancel all probes."""
        for running in self.tasks:
            running.cancel()

    async def work(self) -> None:
        """Start each target when it is due, as far as the flight has room."""
        while True:
            now = self.scheduler.now()
            targets = self.targets()
            inside = [target for target in targets if not target.outside]
            outside = [target for target in targets if target.outside]
            known = {target.key for target in targets}
            for key in [key for key in self.due if key not in known and key[1] != ""]:
                del self.due[key]
                self.daters.pop(key, None)
            if outside:
                inside.append(outside[self.turn % len(outside)])
            for target in inside:
                key = ("", "", "") if target.outside else target.key
                if key not in self.due:
                    self.due[key] = now + self.phase_of(target)
                if self.due.get(key, 0.0) > now:
                    continue
                if target.outside:
                    self.turn += 1
                self.due[key] = now + max(self.cadence, target.seconds)
                await self.room.get()
                self.tasks = [running for running in self.tasks if not running.done]
                self.tasks.append(
                    self.scheduler.create_task(self.probe(target), name=f"probe of {target.edge}")
                )
            await self.scheduler.sleep(min(1.0, self.cadence / 10))

    def phase_of(self, target: Target) -> float:
        """Seconds until a target is probed first: at once, or spread over a longer cadence.

        Targets that are probed seldom, for the sake of their service, must not all come at once.
        """
        extra = max(0.0, target.seconds - self.cadence)
        spread = zlib.crc32(f"{self.name} {target.edge} {target.watch_name}".encode()) / 2**32
        return extra * spread

    async def probe(self, target: Target) -> None:
        """Probe one target and keep the row, unless the service was only overloaded."""
        self.sequence += 1
        row = ProbeResult(
            self.name,
            self.machine,
            self.sequence,
            target.zone,
            target.edge,
            target.watch_name,
            target.outside,
            self.scheduler.clock.wall(),
            target.mark,
        )
        dater = self.daters.setdefault(target.key, Dater())
        probe = Probe(
            self.scheduler,
            self.network,
            target.address,
            target.watch,
            self.timeout,
            self.says,
            self.dialect,
        )
        try:
            await probe.run(row, dater)
        finally:
            self.room.put(True)
        if row.error == CROWDED:
            return
        self.rows.append(row)
        while self.rows and self.scheduler.now() - self.rows[0].taken > self.span:
            self.rows.popleft()

    def results_since(self, sequence: int, most: int = 200) -> list[ProbeResult]:
        """Rows that an aggregator which has up to a sequence lacks, oldest first.

        Rows are stored when a probe ends, so sequences may stand out of order; a row counts
        as had when the aggregator named it or a later stored one.
        """
        rows = list(self.rows)
        for position in range(len(rows) - 1, -1, -1):
            if rows[position].sequence == sequence:
                return rows[position + 1 : position + 1 + most]
        return rows[:most]
