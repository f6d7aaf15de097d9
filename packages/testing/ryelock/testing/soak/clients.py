"""Clients that keep using their connection to an edge until the process is gone."""

from dataclasses import dataclass
from random import Random

from ryelock.runtime import Network, Scheduler
from ryelock.testing.processes.fleet import Process
from ryelock.testing.processes.shapes import Kind, Shape
from ryelock.testing.stand_ins.callers import NO_CONNECTION, Caller, RequestRecord

CLIENT_TIMEOUT_SECONDS = 30.0
"""Longer than an edge holds a request, so that a client never leaves first."""
MAX_PAUSE_SECONDS = 0.4
SWITCH_FRACTION = 0.01
"""Fraction of the requests after which a client changes to another edge without need."""


@dataclass(slots=True, eq=False)
class SoakRequest:
    """One request of a client.

    Attributes:
        process: name of the edge.
        record: the request and its answer.
        ended_at: monotonic time at which the client had its answer or its connection ended.
    """

    process: str
    record: RequestRecord
    ended_at: float


class SoakClient:
    """One client; each of its requests has an identity of its own and is sent once."""

    __slots__ = (
        "caller",
        "edges",
        "is_over",
        "name",
        "random",
        "records",
        "requests",
        "scheduler",
        "sent",
        "shape",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        name: str,
        random: Random,
        shape: Shape,
        edges: list[Process],
        requests: list[SoakRequest],
    ) -> None:
        """Create a client of some edges; its requests are appended to `requests`."""
        self.scheduler = scheduler
        self.name = name
        self.random = random
        self.shape = shape
        self.edges = edges
        self.requests = requests
        self.records: list[RequestRecord] = []
        self.caller = Caller(scheduler, network, random, self.records, CLIENT_TIMEOUT_SECONDS)
        self.sent = 0
        self.is_over = False

    async def run(self, until: float) -> None:
        """Send requests one after another until a monotonic time."""
        edge = self.random.choice(self.edges)
        while self.scheduler.now() < until:
            request = await self.send(edge)
            if request.record.ending == NO_CONNECTION or self.random.random() < SWITCH_FRACTION:
                edge = self.random.choice(self.edges)
            await self.scheduler.sleep(self.random.random() * MAX_PAUSE_SECONDS)
        self.caller.close()
        self.is_over = True

    async def send(self, edge: Process) -> SoakRequest:
        """Send one request, on the connection that is open if there is one."""
        kind = self.draw_kind()
        self.sent += 1
        record = await self.caller.request(
            edge.request_address,
            kind.method,
            f"{kind.path}{self.random.randrange(kind.objects)}",
            f"{self.name}-{self.sent}",
            None,
            b"x" * kind.body,
        )
        request = SoakRequest(edge.name, record, self.scheduler.now())
        self.requests.append(request)
        return request

    def draw_kind(self) -> Kind:
        """Return a kind of request, each as often as its part says."""
        kinds = self.shape.kinds
        return self.random.choices(kinds, [kind.part for kind in kinds])[0]
