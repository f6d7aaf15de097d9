"""Servers whose requests take a while, and the record of each request that reached one."""

from dataclasses import dataclass
from random import Random

from ryelock.events import Log
from ryelock.http import HttpExchange
from ryelock.http.errors import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Network, Scheduler
from ryelock.testing.stand_ins.servers import Objects, PlatformStandIn, ServedRequest, ServerStandIn

SHORT_WORK_SECONDS = 0.02
LONG_WORK_SECONDS = 2.5
LONG_WORK_FRACTION = 0.1
"""Fraction of the requests that take up to LONG_WORK_SECONDS."""
POLL_SECONDS = 0.02
LEAVING_SECONDS = 4.0
"""How long a server is listed as leaving before it ends; longer than any request takes."""
PLATFORM_ADDRESS = "127.0.9.1:0"
SERVER_ADDRESS = "127.0.9.2:0"


@dataclass(slots=True, eq=False)
class Arrival:
    """One request at a server.

    Attributes:
        at: monotonic time at which it was read.
        address: host:port of the server.
        ends_at: monotonic time at which the server responds.
        server_closed: whether the server itself ended the connection.
    """

    at: float
    address: str
    ends_at: float
    server_closed: bool = False


Arrivals = dict[str, list[Arrival]]
"""Arrivals by the identity of the request."""


class WorkingServer(ServerStandIn):
    """A server that works on each request for a while and then answers whole."""

    __slots__ = ("arrivals", "closed", "random")

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        service: str,
        address: str,
        objects: Objects,
        history: list[ServedRequest],
        arrivals: Arrivals,
        random: Random,
    ) -> None:
        """Start a server; see ServerStandIn.

        Args:
            scheduler: the clock.
            network: the network to listen on.
            log: receives an event for each malformed request.
            service: name of its service.
            address: host:port to listen on.
            objects: the objects of the service.
            history: gets what the server runs.
            arrivals: gets each request that reaches the server.
            random: draws how long a request takes.
        """
        self.arrivals = arrivals
        self.random = random
        self.closed = False
        super().__init__(scheduler, network, log, service, address, objects, history)

    def close(self) -> None:
        """End at once: every connection is reset."""
        self.closed = True
        super().close()

    async def serve(self, exchange: HttpExchange) -> None:
        """Work on one request, until it is done or its connection ends."""
        try:
            await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        target = exchange.head.target.decode("latin-1")
        revision = self.objects.revision(target)
        served = self.served_request(exchange.head, target, revision)
        self.history.append(served)
        now = self.scheduler.now()
        arrival = Arrival(now, self.address, now + self.draw_work_seconds())
        self.arrivals.setdefault(served.identity, []).append(arrival)
        try:
            if await self.work(exchange, arrival):
                await self.answer(exchange, target, revision)
        finally:
            arrival.server_closed = self.closed

    def draw_work_seconds(self) -> float:
        """Return how long a request takes."""
        if self.random.random() < LONG_WORK_FRACTION:
            return self.random.uniform(SHORT_WORK_SECONDS, LONG_WORK_SECONDS)
        return SHORT_WORK_SECONDS * self.random.random()

    async def work(self, exchange: HttpExchange, arrival: Arrival) -> bool:
        """Wait until a request is done; return False if its connection ends before."""
        while (now := self.scheduler.now()) < arrival.ends_at:
            if exchange.client_disconnected:
                return False
            await self.scheduler.sleep(min(POLL_SECONDS, arrival.ends_at - now))
        return True


class WorkingServers:
    """The servers of a run, and the platform's list of them."""

    __slots__ = (
        "arrivals",
        "history",
        "log",
        "network",
        "objects",
        "platform",
        "random",
        "scheduler",
        "servers",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        random: Random,
        objects: dict[str, Objects],
        history: list[ServedRequest],
        arrivals: Arrivals,
    ) -> None:
        """Start the platform's list without servers; see WorkingServer for the arguments."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.random = random
        self.objects = objects
        self.history = history
        self.arrivals = arrivals
        self.servers: list[WorkingServer] = []
        self.platform = PlatformStandIn(scheduler, network, log, PLATFORM_ADDRESS)

    def add(self, service: str, zone: str) -> None:
        """Start a server and list it."""
        server = WorkingServer(
            self.scheduler,
            self.network,
            self.log,
            service,
            SERVER_ADDRESS,
            self.objects[service],
            self.history,
            self.arrivals,
            self.random,
        )
        self.servers.append(server)
        self.platform.show(service, server.address, zone, 1)

    async def replace_one(self) -> None:
        """Start a server; list another one of its service as leaving, and end it when idle."""
        entries = self.platform.servers
        staying = [one for one in self.servers if one.address in entries]
        staying = [one for one in staying if not entries[one.address]["leaving"]]
        leaving = self.random.choice(staying)
        zone = str(entries[leaving.address]["zone"])
        self.add(leaving.service, zone)
        self.platform.show(leaving.service, leaving.address, zone, 1, leaving=True)
        await self.scheduler.sleep(LEAVING_SECONDS)
        self.platform.hide(leaving.address)
        leaving.close()
