"""The messages of the consensus group, as typed values.

The attributes have Raft's terms; the names on the wire are older and stay: `epoch` is the term,
`disk` the sender, `said` a payload of the process around the group, `image` a snapshot. The order
of the fields is the order on the wire. Entries, snapshot chunks and payloads are carried as they
are and read by `entries.entry_from_wire` and `transfer.chunk_from_wire`: they are on the
replication path.
"""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Protocol

from ryelock.rpc import Message
from ryelock.rpc.codec import AsIs, Natural, OmitDefault, WireName, encode

Term = Annotated[Natural, WireName("epoch")]
Sender = Annotated[str, WireName("disk")]
Recipient = Annotated[str, WireName("to")]
"""The disk that a message is for: an address may have been taken over by another disk."""
Payload = Annotated[dict[str, object] | None, WireName("said"), AsIs(dict), OmitDefault()]
"""What the process tells its peers excluding the log."""


class Request(Protocol):
    """A message with a kind on the wire."""

    KIND: ClassVar[str]


def request_to_wire(request: Request) -> Message:
    """Return the map of a request, its kind first."""
    return {"kind": request.KIND, **encode(request)}


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderHeader:
    """What decides whether a leader may be followed; of both kinds of a leader's requests."""

    recipient: Recipient
    term: Term


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendEntriesRequest:
    """A heartbeat, with the entries that the follower lacks (Raft, section 5.3)."""

    KIND: ClassVar[str] = "council.beat"
    recipient: Recipient
    leader: Sender
    address: str
    term: Term
    previous_index: Annotated[Natural, WireName("previous")]
    previous_term: Annotated[Natural, WireName("previous_epoch")]
    entries: Annotated[list[object], AsIs(list)]
    commit_index: Annotated[Natural, WireName("commit")]
    payload: Payload = None


@dataclass(frozen=True, slots=True, kw_only=True)
class InstallSnapshotRequest:
    """One chunk of a snapshot (Raft, section 7)."""

    KIND: ClassVar[str] = "council.image"
    recipient: Recipient
    leader: Sender
    address: str
    term: Term
    chunk: Annotated[list[object], WireName("piece"), AsIs(list)]


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """A follower's answer to entries or to a snapshot chunk.

    Attributes:
        ok: Whether the follower's log agrees with the leader's up to last_index.
        last_index: Up to where the logs agree, or at most may agree where `ok` is False.
        other_disk: The address is that of another disk than the recipient's.
        lease_granted: The follower granted a lease to an edge and follows no leader for now.
        snapshot_agrees: The follower's snapshot ends at last_index, so all before it is committed.
        conflict_term: The term of the follower's entries behind last_index.
        disk_failed: The follower's disk refused the entries; the logs may well agree.
        received: Bytes of the snapshot that have arrived so far.
    """

    sender: Sender = ""
    term: Annotated[Natural | None, WireName("epoch")] = None
    ok: bool = False
    last_index: Annotated[Natural | None, WireName("last")] = None
    other_disk: Annotated[bool, WireName("stranger"), OmitDefault()] = False
    lease_granted: Annotated[bool, WireName("promised"), OmitDefault()] = False
    snapshot_agrees: Annotated[bool, WireName("agreed"), OmitDefault()] = False
    conflict_term: Annotated[Natural | None, WireName("conflict"), OmitDefault()] = None
    disk_failed: Annotated[bool, WireName("failed"), OmitDefault()] = False
    received: Annotated[Natural | None, OmitDefault()] = None
    payload: Payload = None


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """A candidate's request (Raft, section 5.2).

    Attributes:
        pre_vote: Whether it only asks how a vote would go (dissertation, section 9.6).
        transfer: Whether the leader named this candidate its successor (section 3.10).
    """

    KIND: ClassVar[str] = "council.vote"
    recipient: Recipient
    candidate: Sender
    term: Term
    pre_vote: Annotated[bool, WireName("trial")]
    transfer: Annotated[bool, WireName("handed")] = False
    last_index: Natural
    last_term: Annotated[Natural, WireName("last_epoch")]


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """A voter's answer; `other_disk` as in AppendReply."""

    sender: Sender = ""
    term: Annotated[Natural | None, WireName("epoch")] = None
    granted: bool = False
    other_disk: Annotated[bool, WireName("stranger"), OmitDefault()] = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """An edge without a leader asks a voter to follow none for so many seconds."""

    KIND: ClassVar[str] = "council.promise"
    seconds: object


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReply:
    """A voter's answer to an edge.

    Attributes:
        voters: The disks of the voters that this voter knows.
        last_command_index: The last command in its log, committed or not.
        configuration: Term and index up to which it certainly knows the newest voters.
    """

    granted: bool
    sender: Sender
    voters: list[str]
    last_command_index: Annotated[int, WireName("last")]
    configuration: Annotated[list[object], AsIs(list)]


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """Asks a member who it is and whom it follows."""

    KIND: ClassVar[str] = "council.who"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusReply:
    """Who a member is, and whom it follows; leader and its address are empty where it knows none.

    Attributes:
        empty: Whether nothing was ever written to its disk.
        applied_index: The last index that it has applied.
    """

    sender: Sender
    empty: bool
    term: Term
    leader: str
    leader_address: str
    voters: Annotated[dict[str, str], AsIs(dict)]
    name: str
    applied_index: Annotated[Natural, WireName("applied")]


@dataclass(frozen=True, slots=True, kw_only=True)
class SeedReply:
    """What joining needs of a StatusReply, or of the answer of a process without a disk."""

    sender: Sender = ""
    empty: bool = False
    leader_address: str = ""
    diskless: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class JoinRequest:
    """Asks the leader to replicate its log to the sender."""

    KIND: ClassVar[str] = "council.join"
    sender: Sender
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeoutNowRequest:
    """The leader asks its successor to campaign at once (dissertation, section 3.10)."""

    KIND: ClassVar[str] = "council.takeover"
    term: Term


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeoutNowReply:
    """Whether the successor campaigns."""

    ok: bool = False
