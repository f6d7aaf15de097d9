"""The routing table of one configuration version.

A route matches by host and by the longest path prefix that ends at a path segment boundary.
"""

from ryelock.replicated_state import Configuration, Route


class Plan:
    """The routing table of one configuration version.

    Attributes:
        version: the configuration version.
        route_names: names of the routes by index.
        routes: the routes by index.
        table: indices of routes by host and by path without a trailing slash; the host "" matches
            any host.
    """

    __slots__ = (
        "route_names",
        "routes",
        "table",
        "version",
    )

    def __init__(self, version: int, configuration: Configuration) -> None:
        """Build the table of a configuration."""
        self.version = version
        self.route_names = sorted(configuration.routes)
        self.routes: list[Route] = [configuration.routes[name] for name in self.route_names]
        self.table: dict[str, dict[str, list[int]]] = {}
        for index, route in enumerate(self.routes):
            paths = self.table.setdefault(route.host, {})
            paths.setdefault(route.path.rstrip("/"), []).append(index)
        for paths in self.table.values():
            for indices in paths.values():
                indices.sort(key=lambda index: len(self.routes[index].path), reverse=True)

    def resolve(self, host: str, path: str) -> int:
        """Return the index of a request's route, or -1; an exact host precedes any host."""
        for paths in (self.table.get(host), self.table.get("")):
            if not paths:
                continue
            prefix = path.rstrip("/")
            while True:
                for index in paths.get(prefix, ()):
                    if matches_prefix(self.routes[index].path, path):
                        return index
                if not prefix:
                    break
                prefix = prefix[: prefix.rfind("/")]
        return -1


def matches_prefix(prefix: str, path: str) -> bool:
    """Return True if a route's path matches, including its trailing slash if it has one.

    The path is known to start with the prefix up to that slash.
    """
    return not prefix.endswith("/") or path.startswith(prefix)


def parse_host(value: bytes | None) -> str:
    """Return the host of a Host field (RFC 9110, 7.2) without its port, in lower case."""
    host = (value or b"").decode("latin-1").strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def parse_path(target: str) -> str:
    """Return the path of a request target in origin or absolute form (RFC 9112, 3.2)."""
    path = target.partition("?")[0]
    scheme = path[:8].lower()
    if scheme.startswith(("http://", "https://")):
        _, _, rest = path.partition("://")
        _, slash, path = rest.partition("/")
        path = slash + path
    return path or "/"


def has_dot_segments(path: str) -> bool:
    """Return True if a path has '.' or '..' segments (RFC 3986, 3.3), literal or escaped.

    Servers resolve them differently, so such a request could reach a path outside its route.
    """
    lowered = path.lower().replace("%2e", ".")
    segments = lowered.replace("\\", "/").replace("%2f", "/").replace("%5c", "/").split("/")
    return any(segment in (".", "..") for segment in segments)
