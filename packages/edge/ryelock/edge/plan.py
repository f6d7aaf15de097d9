"""One version of the configuration, laid out for orders: names are indices from here on.

A plan lives as long as its version. Routes are found by host and by the longest path prefix
that ends at a '/' or, where the prefix itself has none, at the end of the path.
"""

from ryelock.replicated_state import Configuration, Route, Service


class Plan:
    __slots__ = (
        "route_names",
        "route_services",
        "routes",
        "service_indices",
        "service_names",
        "services",
        "table",
        "version",
    )

    def __init__(self, version: int, configuration: Configuration) -> None:
        self.version = version
        self.service_names = sorted(configuration.services)
        self.service_indices = {name: index for index, name in enumerate(self.service_names)}
        self.services: list[Service] = [configuration.services[name] for name in self.service_names]
        self.route_names = sorted(configuration.routes)
        self.routes: list[Route] = [configuration.routes[name] for name in self.route_names]
        self.route_services = [self.service_indices[route.service] for route in self.routes]
        self.table: dict[str, dict[str, list[int]]] = {}
        for index, route in enumerate(self.routes):
            paths = self.table.setdefault(route.host, {})
            paths.setdefault(route.path.rstrip("/"), []).append(index)
        for paths in self.table.values():
            for found in paths.values():
                found.sort(key=lambda index: len(self.routes[index].path), reverse=True)

    def begins(self, prefix: str, path: str) -> bool:
        """Whether a route's path begins an order's; one with a slash at its end needs that too."""
        return not prefix.endswith("/") or path.startswith(prefix)

    def resolve(self, host: str, path: str) -> int:
        """The index of an order's route, or -1."""
        for paths in (self.table.get(host), self.table.get("")):
            if not paths:
                continue
            place = path.rstrip("/")
            while True:
                for index in paths.get(place, ()):
                    if self.begins(self.routes[index].path, path):
                        return index
                if not place:
                    break
                place = place[: place.rfind("/")]
        return -1


def host_of(value: bytes | None) -> str:
    """A Host field without its port, in lower case."""
    host = (value or b"").decode("latin-1").strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def path_of(target: str) -> str:
    """The path of a target, also of one in absolute form."""
    path = target.partition("?")[0]
    lowered = path[:8].lower()
    if lowered.startswith(("http://", "https://")):
        _, _, rest = path.partition("://")
        _, slash, path = rest.partition("/")
        path = slash + path
    return path or "/"


def has_dots(path: str) -> bool:
    """Whether a path has '.' or '..' steps, plain or escaped, which servers read differently."""
    lowered = path.lower().replace("%2e", ".")
    return any(
        step in (".", "..")
        for step in lowered.replace("\\", "/").replace("%2f", "/").replace("%5c", "/").split("/")
    )
