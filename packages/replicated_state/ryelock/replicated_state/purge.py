"""Purges: which cached responses may not be served any more."""

from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from ryelock.replicated_state.errors import Fault, MalformedSnapshotError

MAX_SCOPES = 1000
"""Scopes in one purge command."""
HOST_FIELD = "host"


class PurgeKind(StrEnum):
    """What a purge's text names; the values are stored and shown."""

    ROUTE = "route"
    PREFIX = "prefix"
    PATH = "path"
    LABEL = "label"


KINDS_OF_PATHS = (PurgeKind.PREFIX, PurgeKind.PATH)


@dataclass(frozen=True, slots=True)
class PurgeScope:
    """What one purge covers.

    Attributes:
        kind: what the text names.
        host: host that it holds for, empty for every host.
        text: a route's name, a prefix of paths, one path, or a label of responses.
    """

    kind: PurgeKind
    host: str
    text: str


@dataclass(frozen=True, slots=True)
class Purge:
    """One agreed purge.

    Attributes:
        number: grows by one with every purge.
        kind: what the text names.
        host: host that it holds for, empty for every host.
        text: a route's name, a prefix of paths, one path, or a label of responses.
    """

    number: int
    kind: PurgeKind
    host: str
    text: str

    def to_wire(self) -> list[object]:
        """Return the form in which a snapshot holds it; see `from_wire`."""
        return [self.number, self.kind.value, self.host, self.text]

    @classmethod
    def from_wire(cls, data: object) -> "Purge":
        """Return a purge from a snapshot.

        Raises:
            MalformedSnapshotError: it has another form or is of an unknown kind.
        """
        match data:
            case [int(number), str(kind), str(host), str(text)] if kind in tuple(PurgeKind):
                return cls(number, PurgeKind(kind), host, text)
            case _:
                raise MalformedSnapshotError("purges", f"not a purge: {data!r}")


def parse_purge_scopes(data: object) -> Result[list[PurgeScope], Fault]:
    """Return the scopes of a purge command, or its first fault."""
    if not isinstance(data, list) or not 0 < len(data) <= MAX_SCOPES:
        return Error(Fault("scopes", "not a list of 1 to 1000 scopes"))
    scopes: list[PurgeScope] = []
    for item in data:
        scope = parse_purge_scope(item)
        if scope.is_error():
            return Error(scope.error)
        scopes.append(scope.ok)
    return Ok(scopes)


def parse_purge_scope(data: object) -> Result[PurgeScope, Fault]:
    """Return one scope of a purge command, or its fault."""
    if not isinstance(data, dict) or set(data) - {*PurgeKind, HOST_FIELD}:
        reason = "a scope has a route, a prefix, a path or a label, and perhaps a host"
        return Error(Fault("scopes", reason))
    kinds = [kind for kind in PurgeKind if kind in data]
    if len(kinds) != 1 or not all(isinstance(value, str) for value in data.values()):
        return Error(Fault("scopes", "a scope has exactly one of route, prefix, path and label"))
    kind = kinds[0]
    if kind in KINDS_OF_PATHS and not data[kind].startswith("/"):
        return Error(Fault("scopes", "a path starts with '/'"))
    return Ok(PurgeScope(kind, data.get(HOST_FIELD, ""), data[kind]))
