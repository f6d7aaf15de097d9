"""What one bring-up has, and how much is measured of it."""

from dataclasses import KW_ONLY, dataclass

from ryelock.testing.processes.shapes import Machine, Shape

TERM_SECONDS = 1.5
LISTING_SECONDS = 1.8
CORES = 3
EDGE = "edge-real"
SERVICES = 2
SERVICE_RATE = 20_000
Figures = dict[str, float]
Plain = dict[str, object]


@dataclass(frozen=True, slots=True)
class Size:
    """The size of one bring-up and the length of its phases.

    Attributes:
        nodes: hollow nodes.
        zones: zones that all nodes are spread over.
        servers: upstream servers that the platform lists.
        routes: configured routes.
        processes: processes that the hollow nodes are spread over.
        seconds: length of the window at rest.
        changes: changes, and purges, that are timed one after another.
        restarts: restarted nodes, and changed listings.
        flood: purges a second in the flood, 0 for no flood.
        probe_seconds: cadence of the made-up probes, 0 for none.
        joins: nodes that join a second.
        losses: whether a zone, the leader and all cores are lost at the end.
    """

    nodes: int
    zones: int
    servers: int
    routes: int
    _: KW_ONLY
    processes: int = 1
    seconds: float = 4.0
    changes: int = 5
    restarts: int = 3
    flood: float = 42.0
    probe_seconds: float = 30.0
    joins: float = 20.0
    losses: bool = True

    def shape(self) -> Shape:
        """Return the real machines and their configuration."""
        return Shape("scale", self.machines(), {}, self.configuration(), [], 0.0)

    def machines(self) -> list[Machine]:
        """Return the machines of the control nodes and of the real edge."""
        cores = [
            Machine(f"core-{number}", zone_name(number, self.zones), True, False, False)
            for number in range(CORES)
        ]
        return [*cores, Machine(EDGE, zone_name(0, self.zones), False, False, False)]

    def configuration(self) -> Plain:
        """Return the first configuration: cached routes, and a watch of the first of them."""
        return {
            "services": {
                service_name(number): {"rate": SERVICE_RATE} for number in range(SERVICES)
            },
            "routes": {
                f"route-{number}": {
                    "path": f"/route-{number}",
                    "cached": True,
                    "service": service_name(number),
                }
                for number in range(self.routes)
            },
            "watches": {
                "watched": {"route": "route-0", "object": "/route-0/watched", "dating": "etag"}
            },
        }


def zone_name(number: int, zones: int) -> str:
    """Return the name of the zone that a node or server with this number stands in."""
    return f"zone-{number % zones:02d}"


def service_name(number: int) -> str:
    """Return the name of the service that a route or server with this number belongs to."""
    return f"service-{number % SERVICES}"
