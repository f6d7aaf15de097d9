"""Watches that no operator wrote: which routes may have one, and what it fetches.

A watch is derived from an object that an edge really served, for one cached route of each service
that no operator's watch names. All of this follows from the configuration and from commands alone,
so that every replica derives the same.
"""

from ryelock.replicated_state.configuration import Configuration, Route, Watch
from ryelock.replicated_state.errors import MalformedCommandError
from ryelock.replicated_state.validation import check_watch

MAX_DERIVED_WATCHES = 4
DERIVED_NAME_PREFIX = "derived "
STALE_SLACK_SECONDS = 30.0
"""Age beyond the route's lifetime from which a derived watch's object is stale."""
MAX_STALE_SECONDS = 1e6


def derived_name(route: str) -> str:
    """Return a derived watch's name; no operator's watch has one with a space in it."""
    return DERIVED_NAME_PREFIX + route


def derivable_routes(configuration: Configuration, derived: dict[str, Watch]) -> frozenset[str]:
    """Return the cached routes of services without a watch; none once there are enough watches."""
    if len(derived) >= MAX_DERIVED_WATCHES:
        return frozenset()
    routes = configuration.routes
    watched = watched_services(configuration)
    watched |= {routes[name].service for name in derived}
    return frozenset(
        name for name, route in routes.items() if route.cached and route.service not in watched
    )


def watched_services(configuration: Configuration) -> set[str]:
    """Return the services that the operators' watches fetch from."""
    return {configuration.routes[watch.route].service for watch in configuration.watches.values()}


def derive_watch(configuration: Configuration, name: str, target: str, host: str) -> Watch | None:
    """Return a watch of an object under a route; None where it is no object of that route.

    A cached response may be as old as the route's lifetime allows, and is stale only beyond that.
    """
    route = configuration.routes.get(name)
    if route is None or (route.host and host != route.host):
        return None
    stale = route.lifetime_seconds + STALE_SLACK_SECONDS if route.lifetime_seconds else 0.0
    watch = Watch(
        name, target, host=host, dating="etag", stale_seconds=min(MAX_STALE_SECONDS, stale)
    )
    sound = next(check_watch(name, watch, configuration), None) is None
    return watch if sound else None


def derived_watches(configuration: Configuration, targets: object) -> dict[str, Watch]:
    """Return the watches by route that host and path in a command or snapshot give.

    Targets of routes that may have no watch are left out.

    Raises:
        MalformedCommandError: the targets are no map of routes to host and path.
    """
    if not isinstance(targets, dict):
        raise MalformedCommandError("places", "not a map")
    found: dict[str, Watch] = {}
    for name, target in sorted(targets.items()):
        match target:
            case [str(host), str(path)]:
                watch = derive_watch(configuration, name, path, host)
                if watch is not None and name in derivable_routes(configuration, found):
                    found[name] = watch
            case _:
                raise MalformedCommandError("places", f"{name!r} has no host and path")
    return found


def derived_targets(derived: dict[str, Watch]) -> dict[str, list[str]]:
    """Return host and path of each derived watch by route, for commands and snapshots."""
    return {name: [watch.host, watch.object] for name, watch in sorted(derived.items())}


def watch_basis(route: Route) -> tuple[object, ...]:
    """Return what a derived watch of a route rests on; where it changes the watch ends."""
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
    """Return the derived watches that a change of the configuration leaves."""
    watched = watched_services(after)
    return {
        name: watch
        for name, watch in derived.items()
        if name in after.routes
        and after.routes[name].service not in watched
        and watch_basis(after.routes[name]) == watch_basis(before.routes[name])
    }
