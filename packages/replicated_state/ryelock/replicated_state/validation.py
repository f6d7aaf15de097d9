"""Validation rules of a configuration; each check yields every fault that it finds."""

from collections.abc import Iterator

from ryelock.replicated_state.configuration import (
    DATING_METHODS,
    MAX_ANNOTATION_LENGTH,
    CallerLimits,
    Configuration,
    Route,
    Service,
    Watch,
)
from ryelock.replicated_state.errors import Fault

MAX_PATH_LENGTH = 2000
MAX_HOST_LENGTH = 255
MAX_MARKER_BYTES = 64
"""The prober compares at most this many bytes of a manifest."""
CALLER_LIMITS_NAME = "callers"
"""The only item that the section of limits may have."""


def is_printable_ascii(text: str, max_length: int = MAX_PATH_LENGTH) -> bool:
    """Return True for printable ASCII without spaces, up to the maximum length."""
    return len(text) <= max_length and all(33 <= ord(character) < 127 for character in text)


def check_range(path: str, value: float, minimum: float, maximum: float) -> Iterator[Fault]:
    """Yield a fault if a value is outside the inclusive range."""
    if not minimum <= value <= maximum:
        yield Fault(path, f"not between {minimum:g} and {maximum:g}")


def check_annotation(path: str, annotation: str) -> Iterator[Fault]:
    """Yield a fault if an annotation is too long."""
    yield from check_range(f"{path}.annotation", len(annotation), 0, MAX_ANNOTATION_LENGTH)


def check_configuration(configuration: Configuration) -> Iterator[Fault]:
    """Yield every fault of a configuration whose fields all have the right types."""
    for name, service in configuration.services.items():
        yield from check_service(f"services.{name}", service)
    owners: dict[tuple[str, str], str] = {}
    for name, route in configuration.routes.items():
        yield from check_route(f"routes.{name}", route, configuration)
        owner = owners.setdefault((route.host, route.path), name)
        if owner != name:
            yield Fault(f"routes.{name}.path", f"the same place as route {owner!r}")
    for name, watch in configuration.watches.items():
        yield from check_watch(f"watches.{name}", watch, configuration)
    for name, limits in configuration.limits.items():
        yield from check_limits(f"limits.{name}", name, limits)


def check_service(path: str, service: Service) -> Iterator[Fault]:
    """Yield every fault of a service."""
    if service.limited:
        yield from check_range(f"{path}.rate", service.rate, 0.1, 1e6)
    yield from check_range(f"{path}.burst_seconds", service.burst_seconds, 0.01, 0.4)
    yield from check_range(f"{path}.flight", service.flight, 1, 100_000)
    yield from check_range(f"{path}.queue", service.queue, 0, 100_000)
    yield from check_range(f"{path}.answer_seconds", service.answer_seconds, 0.05, 600)
    yield from check_range(f"{path}.repeat_share", service.repeat_share, 0, 0.2)
    yield from check_range(f"{path}.repeat_allowance", service.repeat_allowance, 0, 1000)
    yield from check_range(f"{path}.links", service.links, 0, 1_000_000)
    yield from check_annotation(path, service.annotation)


def check_route(path: str, route: Route, configuration: Configuration) -> Iterator[Fault]:
    """Yield every fault of a route."""
    yield from check_route_match(path, route)
    yield from check_route_services(path, route, configuration)
    yield from check_range(f"{path}.target_seconds", route.target_seconds, 0, 600)
    yield from check_range(f"{path}.priority", route.priority, 0, 1_000_000)
    yield from check_range(f"{path}.attempts", route.attempts, 1, 100)
    yield from check_annotation(path, route.annotation)
    yield from check_range(f"{path}.lifetime_seconds", route.lifetime_seconds, 0, 31_536_000)
    yield from check_range(f"{path}.share", route.share, 0.01, 1)
    yield from check_range(f"{path}.deadline_seconds", route.deadline_seconds, 0, 600)
    if route.once and route.cached:
        yield Fault(f"{path}.cached", "a route that runs once is not cached")
    if route.lifetime_seconds and not route.cached:
        yield Fault(f"{path}.lifetime_seconds", "the route is not cached")


def check_route_match(path: str, route: Route) -> Iterator[Fault]:
    """Yield the faults of a route's path and host."""
    if not route.path.startswith("/") or not is_printable_ascii(route.path):
        yield Fault(f"{path}.path", "not a path of plain characters from '/'")
    if any(character in route.path for character in "?#"):
        yield Fault(f"{path}.path", "a path has no query")
    if not route.host:
        return
    if not is_printable_ascii(route.host, MAX_HOST_LENGTH) or route.host != route.host.lower():
        yield Fault(f"{path}.host", "not a lower-case host")


def check_route_services(path: str, route: Route, configuration: Configuration) -> Iterator[Fault]:
    """Yield the faults of a route's service and split."""
    if route.service not in configuration.services:
        yield Fault(f"{path}.service", f"no service {route.service!r}")
    for name, weight in route.split.items():
        if name not in configuration.services:
            yield Fault(f"{path}.split.{name}", f"no service {name!r}")
        yield from check_range(f"{path}.split.{name}", weight, 0, 1e9)
    if route.split and not sum(route.split.values()) > 0:
        yield Fault(f"{path}.split", "the weights sum to 0")
    if route.split and route.service not in route.split:
        yield Fault(f"{path}.service", "not one of the split")


def check_watch(path: str, watch: Watch, configuration: Configuration) -> Iterator[Fault]:
    """Yield every fault of a watch."""
    route = configuration.routes.get(watch.route)
    if route is None:
        yield Fault(f"{path}.route", f"no route {watch.route!r}")
    elif route.once:
        yield Fault(f"{path}.route", "a route that runs once cannot be probed")
    yield from check_watched_path(f"{path}.object", watch.object, route)
    if watch.manifest:
        yield from check_watched_path(f"{path}.manifest", watch.manifest, route)
    if watch.host and not is_printable_ascii(watch.host, MAX_HOST_LENGTH):
        yield Fault(f"{path}.host", "not a host")
    if len(watch.marker.encode()) > MAX_MARKER_BYTES:
        yield Fault(f"{path}.marker", "longer than the 64 bytes that are looked at")
    if watch.dating not in DATING_METHODS:
        yield Fault(f"{path}.dating", f"not one of {', '.join(DATING_METHODS)}")
    yield from check_range(f"{path}.stale_seconds", watch.stale_seconds, 0, 1e6)


def check_watched_path(path: str, target: str, route: Route | None) -> Iterator[Fault]:
    """Yield the faults of a path that a watch fetches; `route` is None if the route is unknown."""
    if not target.startswith("/") or not is_printable_ascii(target):
        yield Fault(path, "not a path of plain characters from '/'")
    elif route is not None and not target.startswith(route.path):
        yield Fault(path, f"not under {route.path!r} of its route")


def check_limits(path: str, name: str, limits: CallerLimits) -> Iterator[Fault]:
    """Yield every fault of an item of the section of limits."""
    if name != CALLER_LIMITS_NAME:
        yield Fault(path, "only 'callers' have limits")
    yield from check_range(f"{path}.head_bytes", limits.head_bytes, 0, 1 << 20)
    yield from check_range(f"{path}.body_bytes", limits.body_bytes, 0, 1 << 30)
    yield from check_range(f"{path}.head_seconds", limits.head_seconds, 0, 3600)
    yield from check_range(f"{path}.idle_seconds", limits.idle_seconds, 0, 3600)
    yield from check_annotation(path, limits.annotation)
