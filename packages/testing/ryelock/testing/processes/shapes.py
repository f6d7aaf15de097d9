"""The shapes of fleets: where machines stand, what they run, which configuration and traffic.

`small` is the quick start. `buchfalter` and `wanjiru` are the two deployments of the users, at
their counts of machines, zones, disks and servers and at their mix of orders.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine of a shape.

    Attributes:
        name: name of the machine.
        zone: zone it stands in.
        disk: whether it has a disk and so runs a control node.
        prober: whether it runs a prober.
        probe: whether its edge also probes.
    """

    name: str
    zone: str
    disk: bool
    prober: bool
    probe: bool


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request in the mix.

    Attributes:
        part: its fraction of all requests.
        method: HTTP method.
        path: path that the object's number is appended to.
        objects: how many different objects are asked for.
        body: bytes of the request's body.
    """

    part: float
    method: str
    path: str
    objects: int
    body: int = 0


@dataclass(frozen=True, slots=True)
class Shape:
    """Machines, servers, configuration and traffic of one fleet.

    Attributes:
        name: name of the shape.
        machines: all machines.
        servers: number of upstream servers by service.
        configuration: what is applied first.
        kinds: the mix of requests.
        rate: requests a second from all callers.
    """

    name: str
    machines: list[Machine]
    servers: dict[str, int]
    configuration: dict[str, object]
    kinds: list[Kind]
    rate: float

    @property
    def zones(self) -> list[str]:
        """Names of all zones, sorted."""
        return sorted({machine.zone for machine in self.machines})


def machines_of(plan: dict[str, tuple[int, int]]) -> list[Machine]:
    """Per zone: machines with a disk, which also run a prober, and edges, which also probe."""
    found: list[Machine] = []
    for zone, (disks, edges) in plan.items():
        found += [
            Machine(f"core-{zone}{number}", zone, True, True, False)
            for number in range(1, disks + 1)
        ]
        found += [
            Machine(f"edge-{zone}{number}", zone, False, False, True)
            for number in range(1, edges + 1)
        ]
    return found


def small() -> Shape:
    """Return the shape of the quick start."""
    machines = [
        Machine("core-1", "north", True, False, False),
        Machine("core-2", "south", True, False, False),
        Machine("core-3", "north", True, False, False),
    ]
    for zone in ("north", "south"):
        for number in (1, 2):
            machines.append(Machine(f"edge-{zone}-{number}", zone, False, False, False))
            machines.append(Machine(f"prober-{zone}-{number}", zone, False, True, False))
    configuration: dict[str, object] = {
        "services": {"pages": {"rate": 200}, "orders": {"rate": 40, "flight": 16}},
        "routes": {
            "covers": {
                "path": "/covers",
                "service": "pages",
                "cached": True,
                "lifetime_seconds": 20,
            },
            "orders": {"path": "/orders", "service": "orders", "once": True},
            "status": {"path": "/status", "service": "orders"},
        },
        "watches": {
            "covers": {
                "route": "covers",
                "object": "/covers/watched",
                "marker": "OBJECT",
                "dating": "etag",
            }
        },
    }
    kinds = [
        Kind(0.8, "GET", "/covers/", 50),
        Kind(0.1, "GET", "/status/", 1000),
        Kind(0.1, "POST", "/orders/", 1000, 64),
    ]
    return Shape("small", machines, {"pages": 2, "orders": 2}, configuration, kinds, 40.0)


def buchfalter() -> Shape:
    """Return the shape of the first deployment."""
    configuration: dict[str, object] = {
        "services": {"catalogue": {"rate": 200}, "orders": {"rate": 60, "flight": 32}},
        "routes": {
            "covers": {
                "path": "/covers",
                "service": "catalogue",
                "cached": True,
                "lifetime_seconds": 30,
            },
            "listings": {
                "path": "/listings",
                "service": "catalogue",
                "cached": True,
                "lifetime_seconds": 5,
            },
            "reservations": {"path": "/reservations", "service": "orders", "once": True},
            "stock": {"path": "/stock", "service": "orders", "share": 0.7},
        },
        "watches": {
            "covers": {
                "route": "covers",
                "object": "/covers/watched",
                "marker": "OBJECT",
                "dating": "etag",
            },
            "listings": {
                "route": "listings",
                "object": "/listings/watched",
                "marker": "OBJECT",
                "dating": "date",
            },
        },
    }
    kinds = [
        Kind(0.70, "GET", "/covers/", 400),
        Kind(0.14, "GET", "/listings/", 60),
        Kind(0.08, "GET", "/stock/", 2000),
        Kind(0.08, "POST", "/reservations/", 5000, 200),
    ]
    return Shape(
        "buchfalter",
        machines_of({"a": (2, 2), "b": (2, 2), "c": (1, 3), "d": (1, 3)}),
        {"catalogue": 4, "orders": 8},
        configuration,
        kinds,
        150.0,
    )


def wanjiru() -> Shape:
    """Return the shape of the second deployment."""
    configuration: dict[str, object] = {
        "services": {"pages": {"rate": 800}, "desks": {"rate": 80, "flight": 32}},
        "routes": {
            "gates": {"path": "/gates", "service": "pages", "cached": True, "lifetime_seconds": 2},
            "rules": {"path": "/rules", "service": "pages", "cached": True, "lifetime_seconds": 30},
            "permits": {"path": "/permits", "service": "desks", "once": True},
            "lookups": {"path": "/lookups", "service": "desks", "share": 0.6},
        },
        "watches": {
            "gates": {
                "route": "gates",
                "object": "/gates/watched",
                "marker": "OBJECT",
                "dating": "date",
            },
            "rules": {
                "route": "rules",
                "object": "/rules/watched",
                "marker": "OBJECT",
                "dating": "etag",
            },
        },
    }
    kinds = [
        Kind(0.82, "GET", "/gates/", 200),
        Kind(0.10, "GET", "/rules/", 100),
        Kind(0.05, "GET", "/lookups/", 3000),
        Kind(0.03, "POST", "/permits/", 5000, 200),
    ]
    return Shape(
        "wanjiru",
        machines_of({"a": (2, 3), "b": (2, 3), "c": (1, 3)}),
        {"pages": 4, "desks": 8},
        configuration,
        kinds,
        900.0,
    )


SHAPES = {"small": small, "buchfalter": buchfalter, "wanjiru": wanjiru}
