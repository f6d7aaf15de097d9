"""What operators may set: services, routes and watches, read and checked by dacite.

A part that names a field nobody knows is declined, and so is a whole that does not fit
together. Checking gathers every fault with the path to it. Numbers may be whole where a
fraction is allowed.
"""

from dataclasses import asdict, dataclass, field, fields

import dacite
from expression import Error, Ok, Result

NAME_MOST = 100
PARTS = ("services", "routes", "watches", "limits")
ANNOTATION_MOST = 20_000


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of server; how much it may be sent.

    `limited` false: the service has no rate of its own. `links` is the most links that one server
    takes from all callers together, 0 where nobody said. `annotation` is the operator's own
    text, kept and given back as it came.
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
    """Which orders go to which service, and what may be done with them.

    `split` divides orders among several services by weight; `service` is then one of them.
    `target_seconds` is the time within which an answer is of full worth, `priority` its rank
    (0 first), `attempts` the most servers that one order may be sent to.
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
        """Whether this route's orders may go to a service."""
        return self.split.get(service, 0) > 0 if self.split else service == self.service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take; 0: as the process's own settings say."""

    head_bytes: int = 0
    body_bytes: int = 0
    head_seconds: float = 0.0
    idle_seconds: float = 0.0
    annotation: str = ""


@dataclass(frozen=True, slots=True)
class Watch:
    """The object that proves a route is served, and how its age is judged."""

    route: str
    object: str
    manifest: str = ""
    host: str = ""
    marker: str = ""
    dating: str = "last-modified"
    stale_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Configuration:
    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    watches: dict[str, Watch] = field(default_factory=dict)
    limits: dict[str, CallerLimits] = field(default_factory=dict)

    def to_wire(self) -> dict[str, object]:
        return {
            part: {name: asdict(value) for name, value in getattr(self, part).items()}
            for part in PARTS
        }


Fault = dict[str, str]
DATINGS = ("last-modified", "date", "etag", "none")


def fault(path: str, text: str) -> Fault:
    return {"path": path, "fault": text}


def whole_numbers_as_fractions(kind: type, plain: dict[str, object]) -> dict[str, object]:
    fractions = {part.name for part in fields(kind) if part.type in (float, "float")}
    return {
        key: float(value)
        if key in fractions
        and isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) < 1e15
        else value
        for key, value in plain.items()
    }


Part = Service | Route | Watch | CallerLimits


def part_of(kind: type[Part], path: str, plain: object, faults: list[Fault]) -> Part | None:
    if isinstance(plain, kind):
        return plain
    if not isinstance(plain, dict) or not all(isinstance(key, str) for key in plain):
        faults.append(fault(path, "not an object"))
        return None
    known = {part.name for part in fields(kind)}
    unknown = [key for key in plain if key not in known]
    faults.extend(fault(f"{path}.{key}", "unknown field") for key in unknown)
    try:
        return dacite.from_dict(
            kind,
            whole_numbers_as_fractions(
                kind, {key: value for key, value in plain.items() if key in known}
            ),
            dacite.Config(strict=True, check_types=True),
        )
    except dacite.MissingValueError as error:
        faults.append(fault(f"{path}.{error.field_path}", "missing"))
    except dacite.WrongTypeError as error:
        faults.append(fault(f"{path}.{error.field_path}", "of the wrong kind"))
    except dacite.DaciteError as error:
        faults.append(fault(path, str(error)))
    return None


def within(faults: list[Fault], path: str, value: float, lowest: float, highest: float) -> None:
    if not lowest <= value <= highest:
        faults.append(fault(path, f"not between {lowest:g} and {highest:g}"))


def plain_text(value: str, most: int = 2000) -> bool:
    return len(value) <= most and all(33 <= ord(character) < 127 for character in value)


def check_service(path: str, service: Service, faults: list[Fault]) -> None:
    if service.limited:
        within(faults, f"{path}.rate", service.rate, 0.1, 1e6)
    within(faults, f"{path}.burst_seconds", service.burst_seconds, 0.01, 0.4)
    within(faults, f"{path}.flight", service.flight, 1, 100_000)
    within(faults, f"{path}.queue", service.queue, 0, 100_000)
    within(faults, f"{path}.answer_seconds", service.answer_seconds, 0.05, 600)
    within(faults, f"{path}.repeat_share", service.repeat_share, 0, 0.2)
    within(faults, f"{path}.repeat_allowance", service.repeat_allowance, 0, 1000)
    within(faults, f"{path}.links", service.links, 0, 1_000_000)
    within(faults, f"{path}.annotation", len(service.annotation), 0, ANNOTATION_MOST)


def check_route(path: str, route: Route, whole: Configuration, faults: list[Fault]) -> None:
    if not route.path.startswith("/") or not plain_text(route.path):
        faults.append(fault(f"{path}.path", "not a path of plain characters from '/'"))
    if any(character in route.path for character in "?#"):
        faults.append(fault(f"{path}.path", "a path has no query"))
    if route.host and (not plain_text(route.host, 255) or route.host != route.host.lower()):
        faults.append(fault(f"{path}.host", "not a lower-case host"))
    if route.service not in whole.services:
        faults.append(fault(f"{path}.service", f"no service {route.service!r}"))
    for name, weight in route.split.items():
        if name not in whole.services:
            faults.append(fault(f"{path}.split.{name}", f"no service {name!r}"))
        within(faults, f"{path}.split.{name}", weight, 0, 1e9)
    if route.split and not sum(route.split.values()) > 0:
        faults.append(fault(f"{path}.split", "the weights sum to 0"))
    if route.split and route.service not in route.split:
        faults.append(fault(f"{path}.service", "not one of the split"))
    within(faults, f"{path}.target_seconds", route.target_seconds, 0, 600)
    within(faults, f"{path}.priority", route.priority, 0, 1_000_000)
    within(faults, f"{path}.attempts", route.attempts, 1, 100)
    within(faults, f"{path}.annotation", len(route.annotation), 0, ANNOTATION_MOST)
    within(faults, f"{path}.lifetime_seconds", route.lifetime_seconds, 0, 31_536_000)
    within(faults, f"{path}.share", route.share, 0.01, 1)
    within(faults, f"{path}.deadline_seconds", route.deadline_seconds, 0, 600)
    if route.once and route.cached:
        faults.append(fault(f"{path}.cached", "a route that runs once is not cached"))
    if route.lifetime_seconds and not route.cached:
        faults.append(fault(f"{path}.lifetime_seconds", "the route is not cached"))


def check_watch(path: str, watch: Watch, whole: Configuration, faults: list[Fault]) -> None:
    route = whole.routes.get(watch.route)
    if route is None:
        faults.append(fault(f"{path}.route", f"no route {watch.route!r}"))
    elif route.once:
        faults.append(fault(f"{path}.route", "a route that runs once cannot be probed"))
    for name in ("object", "manifest"):
        value = str(getattr(watch, name))
        if name == "manifest" and not value:
            continue
        if not value.startswith("/") or not plain_text(value):
            faults.append(fault(f"{path}.{name}", "not a path of plain characters from '/'"))
        elif route is not None and not value.startswith(route.path):
            faults.append(fault(f"{path}.{name}", f"not under {route.path!r} of its route"))
    if watch.host and not plain_text(watch.host, 255):
        faults.append(fault(f"{path}.host", "not a host"))
    if len(watch.marker.encode()) > 64:
        faults.append(fault(f"{path}.marker", "longer than the 64 bytes that are looked at"))
    if watch.dating not in DATINGS:
        faults.append(fault(f"{path}.dating", f"not one of {', '.join(DATINGS)}"))
    within(faults, f"{path}.stale_seconds", watch.stale_seconds, 0, 1e6)


def parse_configuration(plain: object) -> Result[Configuration, list[Fault]]:
    """A whole configuration, or every fault in it."""
    faults: list[Fault] = []
    if not isinstance(plain, dict):
        return Error([fault("", "not an object")])
    faults.extend(fault(str(key), "unknown field") for key in plain if key not in PARTS)
    services: dict[str, Service] = {}
    routes: dict[str, Route] = {}
    watches: dict[str, Watch] = {}
    limits: dict[str, CallerLimits] = {}
    kinds: tuple[type[Part], ...] = (Service, Route, Watch, CallerLimits)
    for part, kind in zip(PARTS, kinds, strict=True):
        given = plain.get(part, {})
        if not isinstance(given, dict):
            faults.append(fault(part, "not an object"))
            continue
        for name, value in given.items():
            path = f"{part}.{name}"
            if not isinstance(name, str) or not name or not plain_text(name, NAME_MOST):
                faults.append(fault(path, "not a name"))
                continue
            found = part_of(kind, path, value, faults)
            match found:
                case Service():
                    services[name] = found
                case Route():
                    routes[name] = found
                case Watch():
                    watches[name] = found
                case CallerLimits():
                    limits[name] = found
    whole = Configuration(services, routes, watches, limits)
    if faults:
        return Error(faults)
    for name, service in services.items():
        check_service(f"services.{name}", service, faults)
    places: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        check_route(f"routes.{name}", route, whole, faults)
        other = places.setdefault((route.host, route.path), name)
        if other != name:
            faults.append(fault(f"routes.{name}.path", f"the same place as route {other!r}"))
    for name, watch in watches.items():
        check_watch(f"watches.{name}", watch, whole, faults)
    for name, limit in limits.items():
        check_limits(f"limits.{name}", name, limit, faults)
    return Error(faults) if faults else Ok(whole)


def check_limits(path: str, name: str, limits: CallerLimits, faults: list[Fault]) -> None:
    if name != "callers":
        faults.append(fault(path, "only 'callers' have limits"))
    within(faults, f"{path}.head_bytes", limits.head_bytes, 0, 1 << 20)
    within(faults, f"{path}.body_bytes", limits.body_bytes, 0, 1 << 30)
    within(faults, f"{path}.head_seconds", limits.head_seconds, 0, 3600)
    within(faults, f"{path}.idle_seconds", limits.idle_seconds, 0, 3600)
    within(faults, f"{path}.annotation", len(limits.annotation), 0, ANNOTATION_MOST)


CHANGE_FIELDS = ("id", "base", "put", "remove", "whole", "patch", "version")


def patched(current: Configuration, patch: object) -> Result[Configuration, list[Fault]]:
    """The configuration that a JSON Patch (RFC 6902) makes of the current one, or its faults.

    The library is loaded at the first patch: edges and most cores never see one.
    """
    import jsonpatch
    import jsonpointer

    before = current.to_wire()
    if not isinstance(patch, list) or not patch:
        return Error([fault("patch", "not a list of operations")])
    try:
        after = jsonpatch.JsonPatch(patch).apply(before)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        KeyError,
        TypeError,
        ValueError,
        IndexError,
        RecursionError,
    ) as error:
        return Error([fault("patch", str(error)[:300])])
    if not isinstance(after, dict):
        return Error([fault("patch", "does not leave an object")])
    merged: dict[str, object] = dict(after)
    for part in PARTS:
        values, known, old = after.get(part), getattr(current, part), before[part]
        if isinstance(values, dict) and isinstance(old, dict):
            merged[part] = {
                name: known[name] if name in known and old[name] == value else value
                for name, value in values.items()
            }
    return parse_configuration(merged)


def plan_change(current: Configuration, after: Configuration) -> dict[str, object]:
    """What would be added, removed and changed, part by part, by name."""
    plan: dict[str, object] = {}
    for part in PARTS:
        old, new = getattr(current, part), getattr(after, part)
        plan[part] = {
            "added": sorted(name for name in new if name not in old),
            "removed": sorted(name for name in old if name not in new),
            "changed": {
                name: {
                    field.name: [getattr(old[name], field.name), getattr(new[name], field.name)]
                    for field in fields(new[name])
                    if getattr(old[name], field.name) != getattr(new[name], field.name)
                }
                for name in sorted(new)
                if name in old and old[name] != new[name]
            },
        }
    return plan


def merge_change(current: Configuration, change: object) -> Result[Configuration, list[Fault]]:
    """The configuration that a change makes of the current one, or every fault."""
    if not isinstance(change, dict):
        return Error([fault("", "not an object")])
    faults = [fault(str(key), "unknown field") for key in change if key not in CHANGE_FIELDS]
    identity = change.get("id")
    if not isinstance(identity, str) or not identity or len(identity) > 200:
        faults.append(fault("id", "not a name of 1 to 200 characters"))
    base = change.get("base")
    if isinstance(base, bool) or not isinstance(base, int) or base < 0:
        faults.append(fault("base", "not the version the change was made against"))
    version = change.get("version", 1 << 62)
    if (
        isinstance(version, bool)
        or not isinstance(version, int)
        or not (isinstance(base, int) and base < version <= 1 << 62)
    ):
        faults.append(fault("version", "not a number above the version it was made against"))
    if "patch" in change:
        faults += [
            fault(key, "does not go with a patch")
            for key in ("put", "remove", "whole")
            if key in change
        ]
        return Error(faults) if faults else patched(current, change["patch"])
    whole = change.get("whole", False)
    if not isinstance(whole, bool):
        faults.append(fault("whole", "neither true nor false"))
    put = change.get("put", {})
    remove = change.get("remove", {})
    merged: dict[str, dict[str, object]] = {part: {} for part in PARTS}
    if whole is not True:
        merged = {part: dict(getattr(current, part)) for part in PARTS}
    if not isinstance(put, dict):
        faults.append(fault("put", "not an object"))
        put = {}
    if not isinstance(remove, dict):
        faults.append(fault("remove", "not an object"))
        remove = {}
    for part, names in remove.items():
        if part not in PARTS:
            faults.append(fault(f"remove.{part}", "unknown field"))
        elif not isinstance(names, list):
            faults.append(fault(f"remove.{part}", "not a list of names"))
        else:
            for name in names:
                if not isinstance(name, str) or merged[part].pop(name, None) is None:
                    faults.append(fault(f"remove.{part}.{name}", "there is none"))
    for part, values in put.items():
        if part not in PARTS:
            faults.append(fault(f"put.{part}", "unknown field"))
        elif not isinstance(values, dict):
            faults.append(fault(f"put.{part}", "not an object"))
        else:
            merged[part].update({str(name): value for name, value in values.items()})
    if faults:
        return Error(faults)
    return parse_configuration(merged)
