"""Components and state of one edge that the steps of the request path share."""

from random import Random

from ryelock.cache import CacheStore
from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.edge.idempotency import IdempotencyKeys
from ryelock.edge.member import EdgeSession
from ryelock.edge.metrics import EdgeMetrics
from ryelock.edge.peers import Peers
from ryelock.edge.plan import Plan
from ryelock.edge.request import RecentRequests
from ryelock.edge.retry_detector import RetryDetector
from ryelock.edge.servers import Servers
from ryelock.events import Log
from ryelock.http import ProtocolProfile
from ryelock.runtime import Network, Scheduler
from ryelock.settings import Settings

RETRY_WINDOW_SECONDS = 30.0


class EdgeContext:
    """Components and state of one edge that requests use.

    Attributes:
        plan: routing plan of the configuration version in force; replaced with each version.
        admission_queues: admission queues by service.
        peers: the other edges of the region; None if edges do not share their caches.
        requests_opened: number of requests since the start; part of the identities generated here.
        requests_served: number of routed requests from clients, not from probers or peers.
    """

    __slots__ = (
        "admission_queues",
        "idempotency_keys",
        "log",
        "member",
        "metrics",
        "name",
        "network",
        "peers",
        "plan",
        "profile",
        "random",
        "recent_requests",
        "requests_opened",
        "requests_served",
        "retry_detector",
        "scheduler",
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
        profile: ProtocolProfile,
    ) -> None:
        """Create the components of an edge that starts."""
        self.settings = settings
        self.profile = profile
        self.name = settings.name
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.member = member
        self.random = random
        self.plan = Plan(0, member.replicated_state.configuration)
        self.servers = Servers(scheduler, log, settings, random)
        self.store = CacheStore(settings.cache_bytes, profile.labels)
        self.admission_queues: dict[str, AdmissionQueue] = {}
        self.metrics = EdgeMetrics(self.admission_queues, scheduler)
        self.recent_requests = RecentRequests(settings.explain_orders)
        self.idempotency_keys = IdempotencyKeys()
        self.peers = (
            Peers(scheduler, settings.name, settings.zone, settings.regions)
            if settings.share_copies
            else None
        )
        self.retry_detector = RetryDetector(RETRY_WINDOW_SECONDS)
        self.requests_opened = 0
        self.requests_served = 0
