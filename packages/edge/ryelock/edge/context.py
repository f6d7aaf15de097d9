"""What all steps of a request's path share: the edge's parts, and a server's answer."""

from random import Random

from ryelock.cache import CacheStore
from ryelock.edge.gate import AdmissionQueue
from ryelock.edge.member import EdgeSession
from ryelock.edge.metrics import EdgeMetrics
from ryelock.edge.orders import Failed, Keys, RecentRequests
from ryelock.edge.peers import Peers
from ryelock.edge.plan import Plan
from ryelock.edge.servers import Servers, ServerState
from ryelock.events import Log
from ryelock.http import (
    ProtocolProfile,
    Reader,
    Response,
    ResponseHead,
)
from ryelock.runtime import Connection, Network, Scheduler
from ryelock.settings import Settings

REPEAT_SECONDS = 30.0


class UpstreamResponse:
    """A server's answer: its head, what was read of its body, and the rest to come."""

    __slots__ = ("answer", "connection", "first", "head", "reader", "sent", "server", "whole")

    def __init__(
        self,
        head: ResponseHead,
        first: bytes,
        whole: bool,
        answer: Response,
        connection: Connection,
        reader: Reader,
        server: ServerState,
        sent: float,
    ) -> None:
        self.head = head
        self.first = first
        self.whole = whole
        self.answer = answer
        self.connection = connection
        self.reader = reader
        self.server = server
        self.sent = sent


class EdgeContext:
    """The parts of one edge that an order needs on its way."""

    __slots__ = (
        "dialect",
        "failed",
        "gates",
        "keys",
        "lately",
        "log",
        "member",
        "metrics",
        "name",
        "network",
        "peers",
        "plan",
        "random",
        "recent_requests",
        "scheduler",
        "sequence",
        "served",
        "servers",
        "settings",
        "store",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        member: EdgeSession,
        random: Random,
        dialect: ProtocolProfile,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.name = settings.name
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.member = member
        self.random = random
        self.plan = Plan(0, member.replicated_state.configuration)
        self.servers = Servers(scheduler, log, settings, random)
        self.store = CacheStore(settings.cache_bytes, dialect.labels)
        self.gates: dict[str, AdmissionQueue] = {}
        self.metrics = EdgeMetrics(self.gates, scheduler)
        self.recent_requests = RecentRequests(settings.explain_orders)
        self.keys = Keys()
        self.peers = (
            Peers(scheduler, settings.name, settings.zone, settings.regions)
            if settings.share_copies
            else None
        )
        self.failed = Failed(REPEAT_SECONDS)
        self.sequence = 0
        self.served = 0
        self.lately: dict[str, tuple[str, str]] = {}
