"""Messages of a lease renewal and their wire format."""

from dataclasses import dataclass

from ryelock.control_plane.configuration_updates import ConfigurationUpdate
from ryelock.control_plane.errors import MalformedRenewalError
from ryelock.control_plane.failed_callers import DIGEST_BYTES, MAX_FAILED_CALLERS
from ryelock.control_plane.quota_shares import EdgeQuota
from ryelock.membership import Session
from ryelock.replicated_state import MAX_DERIVED_WATCHES, vector_from_wire
from ryelock.rpc import Message

STATE_SOURCE = "register"
"""Key of the applied log index among the versions that a node reports."""
MAX_AMOUNT = 1e9
"""Exclusive upper bound of requests and of requests per second."""
MAX_HOST_AND_TARGET_CHARACTERS = 1000
"""Exclusive upper bound of the combined length of an object's host and target."""
CachedObject = tuple[str, str]
"""Host and target of a request that a cached object answers."""


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """A node's request to renew its session and, if it is an edge, its lease.

    Attributes:
        session: the node's report of itself.
        versions: the version of each source's state that the node has, by source.
        sequence: increases with each request of one run of the node.
        demand: requests per second that the node wants to send, by service.
        holding: requests per second that the node holds as quota shares, by service.
        waiting: requests in the node's queues, by service.
        hold_seconds: how long the response may be held until there is new state.
        failed_callers: digests of callers that recently got a failure from this node.
        served_objects: an object that the node recently served, by route.
    """

    session: Session
    versions: dict[str, int]
    sequence: int
    demand: dict[str, float]
    holding: dict[str, float]
    waiting: dict[str, int]
    hold_seconds: float
    failed_callers: list[bytes]
    served_objects: dict[str, CachedObject]

    @classmethod
    def from_wire(cls, message: Message) -> "RenewalRequest":
        """Return the request in a message.

        Raises:
            MalformedRenewalError: a field is missing or malformed.
        """
        try:
            return cls.parse(message)
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedRenewalError(error) from error

    @classmethod
    def parse(cls, message: Message) -> "RenewalRequest":
        """Return the request in a message.

        Raises:
            KeyError: a field is missing.
            TypeError: a field has another type.
            ValueError: a field is malformed or out of bounds.
        """
        session = Session.from_wire(message["session"])
        versions = vector_from_wire(message["vector"])
        sequence = message["sequence"]
        demand = parse_amounts(message["demand"])
        holding = parse_amounts(message["holding"])
        waiting = {name: int(count) for name, count in parse_amounts(message["wanted"]).items()}
        hold_seconds = float(str(message["hold"]))
        failed_callers = parse_callers(message["failed"])
        served_objects = parse_objects(message.get("objects", []))
        if isinstance(sequence, bool) or not isinstance(sequence, int):
            raise ValueError("sequence")
        return cls(
            session=session,
            versions=versions,
            sequence=sequence,
            demand=demand,
            holding=holding,
            waiting=waiting,
            hold_seconds=hold_seconds,
            failed_callers=failed_callers,
            served_objects=served_objects,
        )

    @property
    def applied_index(self) -> int:
        """Log index that the node has applied; 0 if it has no state."""
        return self.versions.get(STATE_SOURCE, 0)

    @property
    def node_run(self) -> tuple[str, str]:
        """Name and incarnation of the node."""
        return self.session.name, self.session.incarnation


def parse_callers(value: object) -> list[bytes]:
    """Return the digests in a list of callers; raises ValueError."""
    if not isinstance(value, list) or len(value) > MAX_FAILED_CALLERS:
        raise ValueError("not callers")
    if not all(isinstance(caller, bytes) and len(caller) == DIGEST_BYTES for caller in value):
        raise ValueError("not callers")
    return value


def parse_objects(value: object) -> dict[str, CachedObject]:
    """Return the host and target of an object by route; raises ValueError."""
    if not isinstance(value, list) or len(value) > MAX_DERIVED_WATCHES:
        raise ValueError("not objects")
    objects: dict[str, CachedObject] = {}
    for item in value:
        match item:
            case [str(route), str(host), str(target)] if (
                len(host) + len(target) < MAX_HOST_AND_TARGET_CHARACTERS
            ):
                objects[route] = (host, target)
            case _:
                raise ValueError("not objects")
    return objects


def parse_amounts(value: object) -> dict[str, float]:
    """Return non-negative numbers by service; raises ValueError."""
    if not isinstance(value, dict):
        raise ValueError("not amounts")
    amounts: dict[str, float] = {}
    for name, amount in value.items():
        if not isinstance(name, str) or isinstance(amount, bool):
            raise ValueError("not amounts")
        if not isinstance(amount, int | float) or not 0 <= amount < MAX_AMOUNT:
            raise ValueError("not amounts")
        amounts[name] = float(amount)
    return amounts


@dataclass(frozen=True, slots=True)
class RenewalResponse:
    """A response that renews the session, grants a lease and updates the node's state.

    Attributes:
        majority_age_seconds: age of the leader's last contact with a majority; the lease counts
            from that contact.
        update: update of the replicated state.
        quota: quota of an edge; None for other nodes.
        server_list: update of the platform's server list; None if no recent list is known.
        failed_callers: update of the callers that got failures from other edges.
        members: update of the membership; None if the node has the current version.
    """

    majority_age_seconds: float
    update: ConfigurationUpdate
    quota: EdgeQuota | None
    server_list: Message | None
    failed_callers: Message
    members: Message | None

    def to_wire(self) -> Message:
        """Return the response in wire format."""
        message: Message = {"ok": True, "age": self.majority_age_seconds, "term": True}
        message.update(self.update.to_wire())
        if self.quota is not None:
            message.update(self.quota.to_wire())
        if self.server_list is not None:
            message["listing"] = self.server_list
        message["failed"] = self.failed_callers
        if self.members is not None:
            message["members"] = self.members
        return message


@dataclass(frozen=True, slots=True)
class UnconfirmedRenewalResponse:
    """A response without a lease or state, since another leader may have committed newer state.

    Attributes:
        majority_age_seconds: age of this leader's last contact with a majority.
        applied_index: log index that the node reported, sent back unchanged.
    """

    majority_age_seconds: float
    applied_index: int

    def to_wire(self) -> Message:
        """Return the response in wire format."""
        return {
            "ok": True,
            "age": self.majority_age_seconds,
            "term": False,
            "words": [],
            "index": self.applied_index,
        }


@dataclass(frozen=True, slots=True)
class NotLeaderResponse:
    """This node does not lead.

    Attributes:
        leader_address: address of the leader; empty if unknown.
    """

    leader_address: str

    def to_wire(self) -> Message:
        """Return the response in wire format."""
        return {"ok": False, "leader": self.leader_address}


@dataclass(frozen=True, slots=True)
class RejectedRenewalResponse:
    """The request is malformed, or older than one that was already processed."""

    reason: str

    def to_wire(self) -> Message:
        """Return the response in wire format."""
        return {"ok": False, "fault": self.reason}
