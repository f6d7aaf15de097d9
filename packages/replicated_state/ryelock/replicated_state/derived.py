"""Derived watches: health checks of services that no configured watch covers.

A watch is derived from an object that an edge served, for one cached route of each such service.
Derived watches depend on the configuration and on commands only, so that they are the same on every
replica.
"""

from ryelock.replicated_state.configuration import Configuration, Route, Watch
from ryelock.replicated_state.errors import MalformedCommandError
from ryelock.replicated_state.validation import check_watch

MAX_DERIVED_WATCHES = 4
DERIVED_NAME_PREFIX = "derived "
STALE_SLACK_SECONDS = 30.0
"""Tolerance above the route's freshness lifetime before a derived watch's object is stale."""
MAX_STALE_SECONDS = 1e6


def derived_name(route: str) -> str:
    """Return the name of a route's derived watch; configured names cannot contain its space."""
    return DERIVED_NAME_PREFIX + route


def derivable_routes(configuration: Configuration, derived: dict[str, Watch]) -> frozenset[str]:
    """Return the cached routes of services without a watch; none at MAX_DERIVED_WATCHES."""
    if len(derived) >= MAX_DERIVED_WATCHES:
        return frozenset()
    routes = configuration.routes
    watched = watched_services(configuration)
    watched |= {routes[name].service for name in derived}
    return frozenset(
        name for name, route in routes.items() if route.cached and route.service not in watched
    )


def watched_services(configuration: Configuration) -> set[str]:
    """Return the services that configured watches cover."""
    return {configuration.routes[watch.route].service for watch in configuration.watches.values()}


def derive_watch(configuration: Configuration, name: str, target: str, host: str) -> Watch | None:
    """Return a watch of an object of a route; None if the route does not match the object.

    A cached response may get as old as the route's freshness lifetime, so that it counts as stale
    only above that.
    """
    route = configuration.routes.get(name)
    if route is None or (route.host and host != route.host):
        return None
    stale = route.lifetime_seconds + STALE_SLACK_SECONDS if route.lifetime_seconds else 0.0
    watch = Watch(
        name, target, host=host, dating="etag", stale_seconds=min(MAX_STALE_SECONDS, stale)
    )
    is_valid = next(check_watch(name, watch, configuration), None) is None
    return watch if is_valid else None


def derived_watches(configuration: Configuration, targets: object) -> dict[str, Watch]:
    """Return the derived watches by route for the targets in a command or snapshot.

    Targets of routes that may not have a derived watch are left out.

    Args:
        configuration: the current configuration.
        targets: [host, path] of the watched object by the name of the route.

    Raises:
        MalformedCommandError: the targets have another form.
    """
    if not isinstance(targets, dict):
        raise MalformedCommandError("places", f"expected a map, got {type(targets).__name__}")
    watches: dict[str, Watch] = {}
    for name, target in sorted(targets.items()):
        match target:
            case [str(host), str(path)]:
                watch = derive_watch(configuration, name, path, host)
                if watch is not None and name in derivable_routes(configuration, watches):
                    watches[name] = watch
            case _:
                raise MalformedCommandError("places", f"expected [host, path] for {name!r}")
    return watches


def derived_targets(derived: dict[str, Watch]) -> dict[str, list[str]]:
    """Return [host, path] of each derived watch by route, as commands and snapshots store it."""
    return {name: [watch.host, watch.object] for name, watch in sorted(derived.items())}


def watch_basis(route: Route) -> tuple[object, ...]:
    """Return the fields of a route that end its derived watch when they change."""
    return (
        route.path,
        route.host,
        route.service,
        route.split,
        route.cached,
        route.lifetime_seconds,
    )


def retained_watches(
    derived: dict[str, Watch], before: Configuration, after: Configuration
) -> dict[str, Watch]:
    """Return the derived watches that stay valid after a change of the configuration."""
    watched = watched_services(after)
    return {
        name: watch
        for name, watch in derived.items()
        if name in after.routes
        and after.routes[name].service not in watched
        and watch_basis(after.routes[name]) == watch_basis(before.routes[name])
    }
