"""The configuration that operators set: services, routes, watches and limits of callers.

The names of fields are part of the control API and of stored snapshots. The name of `Watch` may not
change either: the fingerprint of a watch is computed from its `repr`.
"""

from dataclasses import asdict, dataclass, field

SECTIONS = ("services", "routes", "watches", "limits")
"""The sections of a configuration, in the order in which they are stored and shown."""
MAX_NAME_LENGTH = 100
MAX_ANNOTATION_LENGTH = 20_000
DATING_METHODS = ("last-modified", "date", "etag", "none")
"""Where the age of a watched object is read from; see `Watch.dating`."""


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of servers and the limits on the traffic that they are sent.

    Attributes:
        rate: rate limit in requests per second, over all edges.
        burst_seconds: token bucket capacity, in seconds of the rate.
        flight: maximum requests in flight to one server.
        queue: maximum requests that one edge queues for the service.
        answer_seconds: response timeout of a server.
        repeat_share: retry budget as a fraction of first attempts.
        repeat_allowance: maximum retries saved up in the budget.
        limited: False if the rate limit does not apply.
        links: maximum connections that one server accepts from all callers together, 0 if unknown.
        annotation: free text of the operator, stored and returned unchanged.
    """

    rate: float
    burst_seconds: float = 0.2
    flight: int = 64
    queue: int = 64
    answer_seconds: float = 5.0
    repeat_share: float = 0.2
    repeat_allowance: int = 10
    limited: bool = True
    links: int = 0
    annotation: str = ""


@dataclass(frozen=True, slots=True)
class Route:
    """A mapping of requests to a service, with rules for caching, retries and overload.

    Attributes:
        path: path prefix that requests must match.
        service: name of the service that requests are sent to.
        host: host that requests must match, empty for any host.
        once: True if a request runs at most once.
        cached: True if responses may be cached.
        lifetime_seconds: freshness lifetime of a cached response, 0 to use the response's own.
        share: maximum fraction of the service's capacity that the route's requests may use.
        deadline_seconds: deadline of a request, 0 to use the listener's deadline.
        target_seconds: latency target (SLO).
        priority: rank under overload; 0 is served first.
        attempts: maximum servers that one request may be sent to.
        split: weights of the services that the requests are split over, `service` included; empty
            for no split.
        annotation: free text of the operator, stored and returned unchanged.
    """

    path: str
    service: str
    host: str = ""
    once: bool = False
    cached: bool = False
    lifetime_seconds: float = 0.0
    share: float = 1.0
    deadline_seconds: float = 0.0
    target_seconds: float = 0.0
    priority: int = 0
    attempts: int = 3
    split: dict[str, float] = field(default_factory=dict)
    annotation: str = ""

    def allows(self, service: str) -> bool:
        """Return True if this route's requests may be sent to a service."""
        return self.split.get(service, 0) > 0 if self.split else service == self.service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers; 0 for the limit of the process's settings.

    Attributes:
        head_bytes: maximum size of a request head.
        body_bytes: maximum size of a request body.
        head_seconds: timeout for receiving a request head.
        idle_seconds: timeout after which an idle connection is closed.
        annotation: free text of the operator, stored and returned unchanged.
    """

    head_bytes: int = 0
    body_bytes: int = 0
    head_seconds: float = 0.0
    idle_seconds: float = 0.0
    annotation: str = ""


@dataclass(frozen=True, slots=True)
class Watch:
    """A health check of a route: an object that probers fetch, and when it counts as stale.

    Attributes:
        route: name of the route.
        object: path of the object.
        manifest: path that is fetched first, bypassing caches; empty for the object itself.
        host: value of the Host header, empty for the edge's address.
        marker: text that the manifest must start with, empty for any text.
        dating: where the object's age is read from, one of DATING_METHODS.
        stale_seconds: age above which the object is stale, 0 for the settings' value.
    """

    route: str
    object: str
    manifest: str = ""
    host: str = ""
    marker: str = ""
    dating: str = "last-modified"
    stale_seconds: float = 0.0


Item = Service | Route | Watch | CallerLimits


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration; each section maps names to items."""

    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    watches: dict[str, Watch] = field(default_factory=dict)
    limits: dict[str, CallerLimits] = field(default_factory=dict)

    def section(self, name: str) -> dict[str, Item]:
        """Return a copy of one of SECTIONS."""
        return dict(getattr(self, name))

    def to_wire(self) -> dict[str, object]:
        """Return the form used by snapshots and the control API; see `parse_configuration`."""
        return {
            section: {name: asdict(item) for name, item in self.section(section).items()}
            for section in SECTIONS
        }
