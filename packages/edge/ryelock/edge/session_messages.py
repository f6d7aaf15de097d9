"""Messages between a node's session and the control plane: renewals, claims and goodbyes.

The field names are those of the code; where the wire has another name, the field's type says so.
The keys go out in the order in which the fields stand here.
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
"""Key of the version vector under which a node gives its applied log index."""


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What a node says of itself whenever it asks for a lease.

    Attributes:
        session: the node's session in its wire form.
        sequence: number of the report; one that is not above the last is rejected.
        versions: version known here by source: the log index, server lists, members, failures.
        demand: requests a second that lately came, by service.
        held_shares: quota shares held, in requests a second by service.
        wanted: requests that wait for a grant, by service.
        failed_callers: fingerprints of callers whose requests failed since the last report.
        recent_objects: route, host and target of an object lately served, for derived probes.
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
    """Return a renewal request; the leader may hold the answer back for `hold_seconds`."""
    return {"kind": RENEWAL, "hold": hold_seconds, **encode(report)}


def quorum_lease_request(report: NodeReport, lease_seconds: float) -> Message:
    """Return the request to a voter to follow no leader for `lease_seconds`."""
    return {"kind": QUORUM_LEASE, "seconds": lease_seconds, **encode(report)}


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """The version of the upstream server list; its servers only where the node lacks them.

    Attributes:
        source: where the list was read.
        version: number of the reading at that source.
        since_age: seconds since the platform was asked for it.
        seen_age: seconds since the platform had answered.
        servers: the servers in wire form, None where the version is known to the node.
    """

    source: str
    version: Natural
    since_age: Annotated[float, WireName("age")]
    seen_age: Annotated[float, WireName("fresh")]
    servers: list[object] | None = None


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """All members, or those that changed since a version.

    Attributes:
        source: control node that numbers the versions.
        version: version after this update.
        sessions: sessions in wire form, of all members or of those that changed.
        lost: sessions of edges that were lost without a goodbye; always all of them.
        since: version that the changes start from, None where all members are given.
        removed: names that are members no more.
    """

    source: str
    version: Natural
    sessions: list[object]
    lost: Annotated[list[object], WireName("gone")]
    since: Natural | None = None
    removed: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FailedCallersUpdate:
    """Callers whose requests failed at other edges: a retry may reach any edge."""

    source: str
    version: Natural
    callers: list[bytes]


@dataclass(frozen=True, slots=True)
class RenewalResponse:
    """The leader's answer to a renewal.

    Attributes:
        majority_age: seconds since the leader's last proof of its majority; the lease is as much
            shorter.
        index: log index that the snapshot or the entries bring the node to.
        confirmed: whether the lease is granted; without it the answer brings no state.
        snapshot: replicated state at `index`, in place of entries.
        entries: index and data of each log entry after the node's.
        shares: quota shares in requests a second, by service; None for nodes that are no edges.
        edges: number of edges that are members.
        grants: requests granted, expected a second, and found at the next renewal, by service.
        server_list: the upstream server list.
        members: the members, where they changed.
        failed_callers: failures at other edges.
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
    """What a voter's answer brings beside its vote."""

    server_list: Annotated[ServerListUpdate | None, WireName("listing")] = None


@dataclass(frozen=True, slots=True)
class IdempotencyKeyRequest:
    """Claims or releases an idempotency key for one request."""

    kind: str
    key: bytes
    request: Annotated[str, WireName("order")]


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A planned goodbye: the node is a member no more and is not missed."""

    kind: str
    name: str
    incarnation: str
