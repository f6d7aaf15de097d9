"""Operators of a soak run: changes and purges, and what was acknowledged of them."""

from dataclasses import dataclass
from random import Random

from ryelock.control_client import ControlResponse, call_control_api
from ryelock.http import fetch
from ryelock.runtime import Network, Scheduler
from ryelock.testing.processes.fleet import Fleet, Process

ACCEPTED, CONFLICT = 200, 409
MAX_CHANGE_SECONDS = 60.0
RETRY_SECONDS = 0.1
EDGES_CHECKED_PER_CHANGE = 3
CHECK_TIMEOUT_SECONDS = 5.0
NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A change that was acknowledged.

    Attributes:
        route: name of the route that it added.
        version: version of the configuration after it.
    """

    route: str
    version: int


class SoakOperator:
    """Adds routes and purges objects at any node, and reads the configuration back.

    Attributes:
        acknowledged: changes that were acknowledged.
        purges: number of purges that were acknowledged.
        faults: rules that were broken for operators.
    """

    __slots__ = ("acknowledged", "faults", "fleet", "network", "purges", "random", "scheduler")

    def __init__(
        self, scheduler: Scheduler, network: Network, random: Random, fleet: Fleet
    ) -> None:
        """Create an operator of a fleet."""
        self.scheduler = scheduler
        self.network = network
        self.random = random
        self.fleet = fleet
        self.acknowledged: list[Acknowledged] = []
        self.purges = 0
        self.faults: list[str] = []

    @property
    def newest_version(self) -> int:
        """Newest version that was acknowledged."""
        return max((change.version for change in self.acknowledged), default=0)

    async def call(
        self, method: str, target: str, body: object = None, node: Process | None = None
    ) -> ControlResponse:
        """Send a request to a node, any one by default; status 0 without an answer."""
        if node is None:
            running = [one for one in self.fleet.processes.values() if not one.over]
            node = self.random.choice(running or list(self.fleet.processes.values()))
        found = await call_control_api(
            self.scheduler, self.network, node.control, method, target, body
        )
        return found.ok if found.is_ok() else ControlResponse(0, {})

    async def read_configuration(self, node: Process | None = None) -> ControlResponse:
        """Read the configuration; note a fault if it is older than what was acknowledged."""
        newest = self.newest_version
        response = await self.call("GET", "/configuration", None, node)
        version = response.body.get("version")
        if response.status == ACCEPTED and isinstance(version, int) and version < newest:
            self.faults.append(f"a read gave version {version} after {newest} was acknowledged")
        return response

    async def put(self, name: str, items: dict[str, object], route: str = "") -> bool:
        """Send a change until it is acknowledged; return False if it is not in time.

        It is retried under its id. It gets a new id where another change came first, since the
        outcome of an id stays.

        Args:
            name: start of the change's id.
            items: items to put, by section.
            route: name of the route that is among them, to be checked afterwards.
        """
        until = self.scheduler.now() + MAX_CHANGE_SECONDS
        identity = name
        while self.scheduler.now() < until:
            base = (await self.read_configuration()).body.get("version")
            if isinstance(base, int):
                change = {"id": identity, "base": base, "put": items}
                status, body = await self.call("POST", "/changes", change)
                if status == ACCEPTED:
                    self.acknowledged.append(Acknowledged(route, int(str(body["version"]))))
                    return True
                if status == CONFLICT:
                    identity += "+"
            await self.scheduler.sleep(RETRY_SECONDS)
        return False

    async def add_route(self, name: str, service: str) -> None:
        """Add a route; once it is acknowledged, no edge may answer that there is none."""
        items: dict[str, object] = {"routes": {name: {"path": f"/{name}/", "service": service}}}
        if not await self.put(name, items, name):
            self.faults.append(f"change {name} was not acknowledged")
            return
        edges = self.fleet.of_role("edge")
        for edge in self.random.sample(edges, min(EDGES_CHECKED_PER_CHANGE, len(edges))):
            found = await fetch(
                self.scheduler,
                self.network,
                edge.request_address,
                b"GET",
                b"/%s/1" % name.encode(),
                [],
                b"",
                CHECK_TIMEOUT_SECONDS,
            )
            if found.is_ok() and found.ok[0].status == NOT_FOUND:
                self.faults.append(f"{edge.name} has no route {name} after its acknowledgement")

    async def purge(self, name: str, prefix: str) -> None:
        """Send a purge once."""
        body = {"id": name, "scopes": [{"prefix": prefix}]}
        status, _ = await self.call("POST", "/purges", body)
        self.purges += status == ACCEPTED

    async def check_configuration(self, node: Process) -> bool:
        """Check that a node's configuration has all that was acknowledged; False if unreadable."""
        status, body = await self.read_configuration(node)
        configuration = body.get("configuration")
        routes = configuration.get("routes") if isinstance(configuration, dict) else None
        if status != ACCEPTED or not isinstance(routes, dict):
            return False
        self.faults += [
            f"{node.name}: route {change.route} is missing, though acknowledged"
            for change in self.acknowledged
            if change.route and change.route not in routes
        ]
        return True
