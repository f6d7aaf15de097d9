"""The platform's entrance: it checks the nodes' readiness and hands callers to ready ones."""

from ryelock.http import fetch
from ryelock.runtime import Network, Scheduler

MISSED_MOST = 2
"""Readiness checks that a node may miss in a row before it gets no callers."""


class Entrance:
    """Asks nodes every second whether they are ready, and hands callers to those that are."""

    __slots__ = ("asked", "fronts", "missed", "network", "readiness", "scheduler", "zones")

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        """Create an entrance without nodes."""
        self.scheduler = scheduler
        self.network = network
        self.fronts: dict[str, str] = {}
        self.readiness: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.missed: dict[str, int] = {}
        self.asked = 0

    def add(self, name: str, zone: str, front: str, readiness: str) -> None:
        """Add a node by its request and readiness addresses; it starts as not ready."""
        self.fronts[name], self.readiness[name], self.zones[name] = front, readiness, zone
        self.missed[name] = MISSED_MOST

    async def work(self) -> None:
        """Check every node's readiness each second."""
        while True:
            for name in self.fronts:
                self.scheduler.create_task(self.check_readiness(name), name=f"asks {name}")
            await self.scheduler.sleep(1.0)

    async def check_readiness(self, name: str) -> None:
        """Check one node's readiness."""
        found = await fetch(
            self.scheduler, self.network, self.readiness[name], b"GET", b"/readiness", [], b"", 0.9
        )
        self.asked += 1
        ready = found.is_ok() and found.ok[0].status == 200
        self.missed[name] = 0 if ready else self.missed[name] + 1

    def candidates(self, zone: str) -> list[str]:
        """The nodes that get a zone's callers: the ready ones, all where too few are."""
        mine = [name for name, other in self.zones.items() if other == zone]
        ready = [name for name in mine if self.missed[name] < MISSED_MOST]
        if not ready:
            return [name for name in self.zones if self.missed[name] < MISSED_MOST] or mine
        return ready if len(ready) * 2 >= len(mine) else mine
