"""Purges: invalidation of cached responses."""

from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from ryelock.replicated_state.errors import Fault, MalformedSnapshotError

MAX_SCOPES = 1000
"""Maximum scopes in one purge command."""
HOST_FIELD = "host"


class PurgeKind(StrEnum):
    """How a purge selects responses; the values are stored and shown."""

    ROUTE = "route"
    PREFIX = "prefix"
    PATH = "path"
    LABEL = "label"


PATH_KINDS = (PurgeKind.PREFIX, PurgeKind.PATH)


@dataclass(frozen=True, slots=True)
class PurgeScope:
    """The set of cached responses that a purge invalidates.

    Attributes:
        kind: how `text` selects responses.
        host: host of the responses, empty for any host.
        text: name of a route, path prefix, path, or label, depending on `kind`.
    """

    kind: PurgeKind
    host: str
    text: str


@dataclass(frozen=True, slots=True)
class Purge:
    """A committed purge of one scope.

    Attributes:
        number: sequence number, one higher than that of the previous purge.
        kind: how `text` selects responses.
        host: host of the responses, empty for any host.
        text: name of a route, path prefix, path, or label, depending on `kind`.
    """

    number: int
    kind: PurgeKind
    host: str
    text: str

    def to_wire(self) -> list[object]:
        """Return the form used by snapshots; see `from_wire`."""
        return [self.number, self.kind.value, self.host, self.text]

    @classmethod
    def from_wire(cls, data: object) -> "Purge":
        """Parse a purge of a snapshot.

        Raises:
            MalformedSnapshotError: the data has another form or an unknown kind.
        """
        match data:
            case [int(number), str(kind), str(host), str(text)] if kind in tuple(PurgeKind):
                return cls(number, PurgeKind(kind), host, text)
            case _:
                raise MalformedSnapshotError(
                    "purges", f"expected [number, kind, host, text], got {data!r}"
                )


def parse_purge_scopes(data: object) -> Result[list[PurgeScope], Fault]:
    """Parse the scopes of a purge command; return the first fault if there is one."""
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
    """Parse one scope of a purge command; return the fault if it is invalid."""
    if not isinstance(data, dict) or set(data) - {*PurgeKind, HOST_FIELD}:
        reason = "a scope has a route, a prefix, a path or a label, and perhaps a host"
        return Error(Fault("scopes", reason))
    kinds = [kind for kind in PurgeKind if kind in data]
    if len(kinds) != 1 or not all(isinstance(value, str) for value in data.values()):
        return Error(Fault("scopes", "a scope has exactly one of route, prefix, path and label"))
    kind = kinds[0]
    if kind in PATH_KINDS and not data[kind].startswith("/"):
        return Error(Fault("scopes", "a path starts with '/'"))
    return Ok(PurgeScope(kind, data.get(HOST_FIELD, ""), data[kind]))
