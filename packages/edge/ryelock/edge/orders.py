"""What is remembered of an order: for the way itself, and afterwards for explain."""

from collections import OrderedDict

from ryelock.replicated_state import Route

Caller = bytes
FRESH_MOST = 200


class Request:
    """One order from its first byte to the end of its answer, and what was decided on it."""

    __slots__ = (
        "allowance",
        "body",
        "cache",
        "dispatches",
        "host",
        "identity",
        "klass",
        "known",
        "method",
        "named",
        "outcome",
        "path",
        "peer",
        "peer_zone",
        "probe",
        "purged",
        "reason",
        "repeat",
        "route",
        "route_name",
        "rule",
        "seconds",
        "servers_given",
        "servers_left",
        "service",
        "started",
        "status",
        "target",
        "verdict",
        "version",
        "wall",
        "weighed",
    )

    def __init__(
        self, identity: str, method: str, target: str, host: str, started: float, wall: float
    ) -> None:
        self.identity = identity
        self.method = method
        self.target = target
        self.host = host
        self.path = ""
        self.started = started
        self.wall = wall
        self.body = b""
        self.named = False
        self.probe = False
        self.peer = False
        self.peer_zone = ""
        self.purged = 0
        self.known = 0
        self.servers_given: int | None = None
        self.servers_left = 0
        self.repeat = False
        self.route = -1
        self.rule: Route | None = None
        self.route_name = ""
        self.service = ""
        self.klass = ""
        self.version = 0
        self.verdict: dict[str, str] = {}
        self.cache = ""
        self.allowance = ""
        self.weighed: list[dict[str, object]] = []
        self.dispatches: list[dict[str, object]] = []
        self.status = 0
        self.outcome = ""
        self.reason = ""
        self.seconds = 0.0

    def charge_owner(self, servers: int) -> None:
        """The owner of an object may have sent this order to so many servers already.

        What is then sent from here is a repeat, to as many servers fewer.
        """
        if servers:
            self.servers_left = max(0, self.servers_left - servers)
            self.dispatches.append({"server": "the owner", "sent": True, "servers": servers})

    @property
    def servers_reached(self) -> int:
        """How many servers this order may have reached, by itself or through an owner."""
        return sum(
            servers if isinstance(servers := record.get("servers", 1), int) else 1
            for record in self.dispatches
            if record["sent"]
        )

    @property
    def may_have_run(self) -> bool:
        """Whether it reached a server that did not say for certain that it did not run it."""
        return any(record["sent"] and "declined" not in record for record in self.dispatches)

    @property
    def asked_by(self) -> str:
        """Who sent it: a client, another edge or a prober."""
        return "prober" if self.probe else "edge" if self.peer else "client"

    def plain(self) -> dict[str, object]:
        return {
            "order": self.identity,
            "wall": round(self.wall, 3),
            "method": self.method,
            "host": self.host,
            "target": self.target,
            "route": self.route_name,
            "service": self.service,
            "class": self.klass,
            "version": self.version,
            "verdicts": self.verdict,
            "cache": self.cache,
            "allowance": self.allowance,
            "repeat": self.repeat,
            "probe": self.probe,
            "servers_weighed": self.weighed,
            "dispatches": self.dispatches,
            "status": self.status,
            "outcome": self.outcome,
            "reason": self.reason,
            "seconds": round(self.seconds, 4),
        }


class RecentRequests:
    """The last orders of this edge, bounded."""

    __slots__ = ("kept", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.kept: OrderedDict[str, Request] = OrderedDict()

    def keep(self, request: Request) -> None:
        request.body = b""
        self.kept[request.identity] = request
        while len(self.kept) > self.most:
            self.kept.popitem(last=False)


class Failed:
    """Failures of orders that had been sent, as told to callers lately.

    A caller is an address, its client's name and its credentials; what it asks for is a method,
    host and target. Each failure accounts for one repeat: the next such order of such a caller.
    Many callers behind one address that ask for the same are told apart only by count: no more
    of their orders are taken for repeats than failures were told. What is told here is told to
    the other edges by the leader, a moment later.
    """

    __slots__ = ("fresh", "kept", "most", "seconds")

    def __init__(self, seconds: float, most: int = 20_000) -> None:
        self.seconds = seconds
        self.most = most
        self.kept: OrderedDict[Caller, list[float]] = OrderedDict()
        self.fresh: list[Caller] = []

    def tell(self, caller: Caller, now: float) -> None:
        if len(self.fresh) < FRESH_MOST:
            self.fresh.append(caller)
        self.hear(caller, now)

    def take_fresh(self) -> list[Caller]:
        """What was told since the last asking, to be told on."""
        fresh, self.fresh = self.fresh, []
        return fresh

    def hear(self, caller: Caller, now: float) -> None:
        self.kept.setdefault(caller, []).append(now)
        self.kept.move_to_end(caller)
        while len(self.kept) > self.most:
            self.kept.popitem(last=False)

    def repeats(self, caller: Caller, now: float) -> bool:
        """Whether an order follows a failure that was told lately."""
        told = self.kept.get(caller)
        return told is not None and now - told[-1] <= self.seconds

    def sent(self, caller: Caller) -> None:
        """A repeat was let through: it stands for one failure, the oldest."""
        told = self.kept.get(caller)
        if told is not None:
            told.pop(0)
            if not told:
                del self.kept[caller]


class Keys:
    """Idempotency keys that callers lately sent: under way, or seen."""

    __slots__ = ("kept", "most")

    def __init__(self, most: int = 20_000) -> None:
        self.most = most
        self.kept: OrderedDict[tuple[str, bytes], bool] = OrderedDict()

    def under_way(self, service: str, key: bytes) -> bool:
        return self.kept.get((service, key), False)

    def seen(self, service: str, key: bytes) -> bool:
        return (service, key) in self.kept

    def begin(self, service: str, key: bytes) -> None:
        self.kept[service, key] = True
        self.kept.move_to_end((service, key))
        while len(self.kept) > self.most:
            self.kept.popitem(last=False)

    def end(self, service: str, key: bytes) -> None:
        if (service, key) in self.kept:
            self.kept[service, key] = False
