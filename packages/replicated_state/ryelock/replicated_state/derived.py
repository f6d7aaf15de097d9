"""Watches that nobody wrote: which routes may have one, and what it looks like.

A watch is made up of an object that an edge really served, for one cached route of each service
that no operator's watch names. All of this follows from the configuration and from words alone,
so that it comes to the same on every node.
"""

from ryelock.replicated_state.configuration import Configuration, Fault, Route, Watch, check_watch

DERIVED = "derived "
MAX_DERIVED_WATCHES = 4
STALE_SLACK = 30.0


def derived_name(route: str) -> str:
    """The watch's name; no operator's watch has one with a space in it."""
    return DERIVED + route


def derivable_routes(configuration: Configuration, derived: dict[str, Watch]) -> frozenset[str]:
    """Cached routes of services that have no watch yet; none once there are enough watches."""
    if len(derived) >= MAX_DERIVED_WATCHES:
        return frozenset()
    routes = configuration.routes
    watched = {routes[watch.route].service for watch in configuration.watches.values()}
    watched |= {routes[name].service for name in derived}
    return frozenset(
        name for name, route in routes.items() if route.cached and route.service not in watched
    )


def derived_watch(configuration: Configuration, name: str, target: str, host: str) -> Watch | None:
    """A watch of an object under a route; None where it is no object of that route.

    A copy may be as old as the route's lifetime allows, and is stale only behind that.
    """
    route = configuration.routes.get(name)
    if route is None or (route.host and host != route.host):
        return None
    stale = route.lifetime_seconds + STALE_SLACK if route.lifetime_seconds else 0.0
    watch = Watch(name, target, host=host, dating="etag", stale_seconds=min(1e6, stale))
    faults: list[Fault] = []
    check_watch(name, watch, configuration, faults)
    return None if faults else watch


def derived_watches(configuration: Configuration, places: object) -> dict[str, Watch]:
    """Made-up watches by route, of the places that a word or an image names; others are left out.

    Raises ValueError where these are no places.
    """
    if not isinstance(places, dict):
        raise ValueError("not places")
    found: dict[str, Watch] = {}
    for name, place in sorted(places.items()):
        match place:
            case [str(host), str(target)]:
                watch = derived_watch(configuration, name, target, host)
                if watch is not None and name in derivable_routes(configuration, found):
                    found[name] = watch
            case _:
                raise ValueError("not a place")
    return found


def derived_targets(derived: dict[str, Watch]) -> dict[str, list[str]]:
    return {name: [watch.host, watch.object] for name, watch in sorted(derived.items())}


def rests_on(route: Route) -> tuple[object, ...]:
    """What a watch of a route rests on; where it changes the watch ends."""
    return (
        route.path,
        route.host,
        route.service,
        route.split,
        route.cached,
        route.lifetime_seconds,
    )


def still_standing(
    derived: dict[str, Watch], before: Configuration, after: Configuration
) -> dict[str, Watch]:
    """Those made-up watches that a change of the configuration leaves."""
    watched = {after.routes[watch.route].service for watch in after.watches.values()}
    return {
        name: watch
        for name, watch in derived.items()
        if name in after.routes
        and after.routes[name].service not in watched
        and rests_on(after.routes[name]) == rests_on(before.routes[name])
    }
