"""Series of a plan, played on the processes, the configuration and the servers of a run."""

import signal
from collections.abc import Awaitable, Callable
from random import Random

from ryelock.runtime import Scheduler
from ryelock.testing.processes.fleet import Process
from ryelock.testing.processes.shapes import Shape
from ryelock.testing.soak.operators import SoakOperator
from ryelock.testing.soak.plan import Series, SeriesKind
from ryelock.testing.soak.processes import Supervisor
from ryelock.testing.soak.servers import WorkingServers

SETTLE_SECONDS = 5.0
"""After a crash, breaks of requests are excused for this long: other processes notice it late."""
MAX_FROZEN_SECONDS = 3.0
MAX_PAUSE_SECONDS = 1.0
TERMINATE_TWICE_SIGNALS = 3


class SeriesPlayer:
    """Plays series; their repeats overlap.

    Attributes:
        running: number of series and repeats that have not ended.
    """

    __slots__ = (
        "actions",
        "names",
        "operator",
        "random",
        "running",
        "scheduler",
        "servers",
        "shape",
        "supervisor",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        random: Random,
        shape: Shape,
        supervisor: Supervisor,
        operator: SoakOperator,
        servers: WorkingServers,
    ) -> None:
        """Create the player of a run."""
        self.scheduler = scheduler
        self.random = random
        self.shape = shape
        self.supervisor = supervisor
        self.operator = operator
        self.servers = servers
        self.running = 0
        self.names = 0
        self.actions: dict[SeriesKind, Callable[[], Awaitable[None]]] = {
            SeriesKind.TERMINATE_EDGES: lambda: self.terminate("edge"),
            SeriesKind.TERMINATE_CONTROL_NODES: lambda: self.terminate("core"),
            SeriesKind.TERMINATE_PROBERS: lambda: self.terminate("prober"),
            SeriesKind.TERMINATE_TWICE: self.terminate_repeatedly,
            SeriesKind.HANG_UP: self.hang_up,
            SeriesKind.CHANGE: self.change,
            SeriesKind.PURGE: self.purge,
            SeriesKind.REPLACE_SERVERS: servers.replace_one,
            SeriesKind.KILL: self.kill,
            SeriesKind.FREEZE: self.freeze,
        }

    def start(self, series: Series) -> None:
        """Start a series."""
        self.running += 1
        self.scheduler.create_task(self.play(series), name=f"series {series.kind}")

    async def play(self, series: Series) -> None:
        """Start the repeats of a series."""
        await self.scheduler.sleep(series.starts_at)
        for _ in range(series.repeats):
            self.running += 1
            self.scheduler.create_task(self.repeat(series.kind), name=f"repeat {series.kind}")
            await self.scheduler.sleep(self.random.random() * series.gap_seconds)
        self.running -= 1

    async def repeat(self, kind: SeriesKind) -> None:
        """Play one repeat."""
        try:
            await self.actions[kind]()
        finally:
            self.running -= 1

    async def terminate(self, role: str) -> None:
        """Terminate any process of a role and start it again."""
        process = self.random.choice(self.supervisor.fleet.of_role(role))
        await self.supervisor.terminate(process.name, 1, self.draw_pause())

    async def terminate_repeatedly(self) -> None:
        """Send several SIGTERM to any process, and start it again."""
        name = self.pick_any().name
        await self.supervisor.terminate(name, TERMINATE_TWICE_SIGNALS, self.draw_pause())

    async def hang_up(self) -> None:
        """Send SIGHUP to any process."""
        self.pick_any().signal(signal.SIGHUP)

    async def change(self) -> None:
        """Add a route."""
        service = self.random.choice(list(self.shape.servers))
        await self.operator.add_route(self.new_name("added"), service)

    async def purge(self) -> None:
        """Purge the objects of the first kind of request."""
        await self.operator.purge(self.new_name("purge"), self.shape.kinds[0].path)

    async def kill(self) -> None:
        """Kill any process and start it again."""
        await self.supervisor.kill(self.pick_any().name, self.draw_pause(), SETTLE_SECONDS)

    async def freeze(self) -> None:
        """Stop any process from running for a while."""
        seconds = self.random.random() * MAX_FROZEN_SECONDS
        await self.supervisor.freeze(self.pick_any().name, seconds, SETTLE_SECONDS)

    def pick_any(self) -> Process:
        """Return any process."""
        return self.random.choice(list(self.supervisor.fleet.processes.values()))

    def draw_pause(self) -> float:
        """Return a pause in seconds."""
        return self.random.random() * MAX_PAUSE_SECONDS

    def new_name(self, start: str) -> str:
        """Return a name that no other repeat has."""
        self.names += 1
        return f"{start}{self.names}"
