"""The configuration that operators set: services, routes, watches and limits of callers.

The names of classes and fields are outside names: the control API and stored snapshots carry the
fields, and the fingerprint of a watch is taken from its `repr`.
"""

from dataclasses import asdict, dataclass, field

SECTIONS = ("services", "routes", "watches", "limits")
"""The parts of a configuration, in the order in which they are stored and shown."""
MAX_NAME_LENGTH = 100
MAX_ANNOTATION_LENGTH = 20_000
DATINGS = ("last-modified", "date", "etag", "none")
"""How the age of a watched object is judged; see `Watch.dating`."""


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of server, and how much it may be sent.

    Attributes:
        rate: requests per second that it may be sent.
        burst_seconds: seconds of the rate that may be saved up.
        flight: requests that may be in flight to one server.
        queue: requests that one edge queues for it.
        answer_seconds: time within which a server has to answer.
        repeat_share: retries allowed as a fraction of first attempts.
        repeat_allowance: retries that may be saved up.
        limited: whether the rate holds.
        links: most connections that one server takes from all callers together, 0 where unknown.
        annotation: the operator's own text, kept and given back as it came.
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
    """Which requests go to which service, and what may be done with them.

    Attributes:
        path: prefix of the request's path.
        service: service that serves it.
        host: host that it holds for, empty for every host.
        once: whether its requests run at most once.
        cached: whether its responses may be cached.
        lifetime_seconds: how long a cached response is fresh, 0 where the response says it.
        share: fraction of the service's capacity that its requests may take.
        deadline_seconds: time within which a request is answered, 0 for the service's own.
        target_seconds: latency target (SLO): up to it an answer has its full value.
        priority: rank under overload, 0 first.
        attempts: most servers that one request may be sent to.
        split: weights of several services that share its requests; `service` is one of them.
        annotation: the operator's own text, kept and given back as it came.
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
        """Whether this route's requests may go to a service."""
        return self.split.get(service, 0) > 0 if self.split else service == self.service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take; 0: as the process's own settings say.

    Attributes:
        head_bytes: most bytes of a request's head.
        body_bytes: most bytes of a request's body.
        head_seconds: time within which a head has to arrive.
        idle_seconds: time after which an idle connection is closed.
        annotation: the operator's own text, kept and given back as it came.
    """

    head_bytes: int = 0
    body_bytes: int = 0
    head_seconds: float = 0.0
    idle_seconds: float = 0.0
    annotation: str = ""


@dataclass(frozen=True, slots=True)
class Watch:
    """The object that proves that a route is served, and how its age is judged.

    Attributes:
        route: name of the route.
        object: path of the object.
        manifest: path that is fetched uncached first, empty for the object itself.
        host: host that is asked for, empty for the edge's address.
        marker: text that the manifest starts with, empty where any will do.
        dating: one of DATINGS.
        stale_seconds: age above which the object is stale, 0 for the deployment's own.
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
    """One version of all that operators set, each section by name."""

    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    watches: dict[str, Watch] = field(default_factory=dict)
    limits: dict[str, CallerLimits] = field(default_factory=dict)

    def section(self, name: str) -> dict[str, Item]:
        """Return a new map of the items of one of SECTIONS."""
        return dict(getattr(self, name))

    def to_wire(self) -> dict[str, object]:
        """Return the form in which it is stored and shown; see `parse_configuration`."""
        return {
            section: {name: asdict(item) for name, item in self.section(section).items()}
            for section in SECTIONS
        }
