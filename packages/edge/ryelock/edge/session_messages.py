"""Messages between a node's session and the control plane: renewals, claims, and leave requests.

`WireName` gives a field's name on the wire where it differs from the attribute. Keys are encoded in
the order in which the fields are declared.
"""

from dataclasses import dataclass, field
from typing import Annotated

from ryelock.rpc import Message
from ryelock.rpc.codec import Natural, WireName, encode

RENEWAL = "renew"
QUORUM_LEASE = "council.promise"
LEADER_QUERY = "council.who"
CLAIM = "claim"
RELEASE = "release"
LEAVE = "leave"

CONFIGURATION_SOURCE = "register"
"""Key of the version vector that holds the node's applied log index."""


@dataclass(frozen=True, slots=True)
class NodeReport:
    """State and demand of a node, sent with every lease request.

    Attributes:
        session: the node's session in wire form.
        sequence: number of the report; the leader rejects one that is not above the last.
        versions: version vector by source: log index, server lists, members, failed callers.
        demand: recent request rate in requests per second, by service.
        held_shares: quota shares held, in requests per second by service.
        wanted: number of requests waiting for a grant, by service.
        failed_callers: fingerprints of callers whose requests failed since the last report.
        recent_objects: route, host and target of recently served objects, for derived watches.
    """

    session: dict[str, object]
    sequence: int
    versions: Annotated[dict[str, int], WireName("vector")]
    demand: dict[str, float]
    held_shares: Annotated[dict[str, float], WireName("holding")]
    wanted: dict[str, int]
    failed_callers: Annotated[list[bytes], WireName("failed")]
    recent_objects: Annotated[list[list[str]], WireName("objects")]


def renewal_request(report: NodeReport, hold_seconds: float) -> Message:
    """Return a renewal request; the leader may hold its response for `hold_seconds`."""
    return {"kind": RENEWAL, "hold": hold_seconds, **encode(report)}


def quorum_lease_request(report: NodeReport, lease_seconds: float) -> Message:
    """Return a request for a voter's promise to follow no leader for `lease_seconds`."""
    return {"kind": QUORUM_LEASE, "seconds": lease_seconds, **encode(report)}


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """A version of the upstream server list, with the servers if the node lacks that version.

    Attributes:
        source: control node that read the list from the platform.
        version: version of the list at that source.
        request_age: seconds since the platform was asked for the list.
        response_age: seconds since the platform returned the list.
        servers: the servers in wire form, None if the node already has the version.
    """

    source: str
    version: Natural
    request_age: Annotated[float, WireName("age")]
    response_age: Annotated[float, WireName("fresh")]
    servers: list[object] | None = None


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """All members, or the changes since a version.

    Attributes:
        source: control node that numbers the versions.
        version: version after this update.
        sessions: sessions in wire form, of all members or of those that changed.
        lost: sessions of all edges that disappeared without a leave request.
        since: version that the changes apply to, None for a full list.
        removed: names of former members.
    """

    source: str
    version: Natural
    sessions: list[object]
    lost: Annotated[list[object], WireName("gone")]
    since: Natural | None = None
    removed: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FailedCallersUpdate:
    """Callers whose requests failed at other edges, since a retry may reach any edge."""

    source: str
    version: Natural
    callers: list[bytes]


@dataclass(frozen=True, slots=True)
class RenewalResponse:
    """The leader's response to a renewal.

    Attributes:
        majority_age: seconds since the leader last confirmed its majority; shortens the lease.
        index: log index of the node after applying the snapshot or the entries.
        confirmed: True if the lease is granted; otherwise the response carries no state.
        snapshot: replicated state at `index`, in place of entries.
        entries: index and data of each log entry that the node lacks.
        shares: quota shares in requests per second, by service; None for nodes other than edges.
        edges: number of edges among the members.
        grants: the fields of a `Grant` by service: requests granted, requests expected per second,
            and requests expected at the next renewal.
        server_list: the upstream server list.
        members: membership update, if anything changed.
        failed_callers: callers whose requests failed at other edges.
    """

    majority_age: Annotated[float, WireName("age")]
    index: Natural
    confirmed: Annotated[bool, WireName("term")] = False
    snapshot: Annotated[bytes | None, WireName("image")] = None
    entries: Annotated[list[tuple[int, bytes]], WireName("words")] = field(default_factory=list)
    shares: dict[str, float] | None = None
    edges: int | None = None
    grants: dict[str, tuple[int, float, float]] | None = None
    server_list: Annotated[ServerListUpdate | None, WireName("listing")] = None
    members: MembershipUpdate | None = None
    failed_callers: Annotated[FailedCallersUpdate | None, WireName("failed")] = None


@dataclass(frozen=True, slots=True)
class QuorumLeaseUpdate:
    """State that a voter's response carries besides its vote."""

    server_list: Annotated[ServerListUpdate | None, WireName("listing")] = None


@dataclass(frozen=True, slots=True)
class IdempotencyKeyRequest:
    """Claim or release of an idempotency key for one request."""

    kind: str
    key: bytes
    request: Annotated[str, WireName("order")]


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Planned departure of a node, so that it is not reported as lost."""

    kind: str
    name: str
    incarnation: str
