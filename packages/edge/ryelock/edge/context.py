"""What all steps of a request's path share: the edge's parts, and a server's answer."""

from random import Random

from ryelock.cache import Store
from ryelock.edge.gate import Gate
from ryelock.edge.member import Member
from ryelock.edge.metrics import EdgeMetrics
from ryelock.edge.orders import Failed, Keys, Orders
from ryelock.edge.peers import Peers
from ryelock.edge.plan import Plan
from ryelock.edge.servers import Servers, ServerState
from ryelock.events import Log
from ryelock.http import (
    Answer,
    AnswerHead,
    Dialect,
    Reader,
)
from ryelock.runtime import Link, Network, Scheduler
from ryelock.settings import Env

REPEAT_SECONDS = 30.0


class UpstreamAnswer:
    """A server's answer: its head, what was read of its body, and the rest to come."""

    __slots__ = ("answer", "first", "head", "link", "reader", "sent", "server", "whole")

    def __init__(
        self,
        head: AnswerHead,
        first: bytes,
        whole: bool,
        answer: Answer,
        link: Link,
        reader: Reader,
        server: ServerState,
        sent: float,
    ) -> None:
        self.head = head
        self.first = first
        self.whole = whole
        self.answer = answer
        self.link = link
        self.reader = reader
        self.server = server
        self.sent = sent


class EdgeContext:
    """The parts of one edge that an order needs on its way."""

    __slots__ = (
        "dialect",
        "env",
        "failed",
        "gates",
        "keys",
        "lately",
        "log",
        "member",
        "metrics",
        "name",
        "network",
        "orders",
        "peers",
        "plan",
        "random",
        "scheduler",
        "sequence",
        "served",
        "servers",
        "store",
    )

    def __init__(
        self,
        env: Env,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        member: Member,
        random: Random,
        dialect: Dialect,
    ) -> None:
        self.env = env
        self.dialect = dialect
        self.name = env.name
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.member = member
        self.random = random
        self.plan = Plan(0, member.register.configuration)
        self.servers = Servers(scheduler, log, env, random)
        self.store = Store(env.cache_bytes, dialect.labels)
        self.gates: dict[str, Gate] = {}
        self.metrics = EdgeMetrics(self.gates, scheduler)
        self.orders = Orders(env.explain_orders)
        self.keys = Keys()
        self.peers = Peers(scheduler, env.name, env.zone, env.regions) if env.share_copies else None
        self.failed = Failed(REPEAT_SECONDS)
        self.sequence = 0
        self.served = 0
        self.lately: dict[str, tuple[str, str]] = {}
