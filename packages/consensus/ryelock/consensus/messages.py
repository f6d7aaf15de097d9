"""RPC messages between members of the consensus group.

Attributes use Raft's terms, while the wire format keeps older names: `epoch` is the term, `disk`
the sender, `said` the process's payload, `image` a snapshot. Fields are declared in wire order.
Entries, snapshot chunks and payloads stay undecoded here, because they are on the replication path;
`entries.entry_from_wire` and `transfer.chunk_from_wire` decode them.
"""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Protocol

from ryelock.rpc import Message
from ryelock.rpc.codec import AsIs, Natural, OmitDefault, WireName, encode

Term = Annotated[Natural, WireName("epoch")]
Sender = Annotated[str, WireName("disk")]
Recipient = Annotated[str, WireName("to")]
"""The disk ID that a message is for; its address may now belong to another disk."""
Payload = Annotated[dict[str, object] | None, WireName("said"), AsIs(dict), OmitDefault()]
"""Data that the process exchanges with its peers in replication messages."""


class Request(Protocol):
    """A request message; `KIND` identifies it on the wire."""

    KIND: ClassVar[str]


def request_to_wire(request: Request) -> Message:
    """Encode a request as a message, with its kind as the first field."""
    return {"kind": request.KIND, **encode(request)}


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderHeader:
    """The fields of a leader's request that determine whether to follow the leader."""

    recipient: Recipient
    term: Term


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendEntriesRequest:
    """A heartbeat with the entries that the follower is missing (Raft, section 5.3)."""

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
    """A chunk of a snapshot (Raft, section 7)."""

    KIND: ClassVar[str] = "council.image"
    recipient: Recipient
    leader: Sender
    address: str
    term: Term
    chunk: Annotated[list[object], WireName("piece"), AsIs(list)]


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """A follower's reply to AppendEntries or to a snapshot chunk.

    Attributes:
        ok: True if the follower's log matches the leader's up to last_index.
        last_index: The index up to which the logs match; an upper bound for it if `ok` is False.
        other_disk: True if the address belongs to a disk other than the recipient.
        lease_granted: True if the follower granted a lease to an edge, and so follows no leader.
        snapshot_agrees: True if the follower's snapshot ends at last_index, so that all entries up
            to there are committed.
        conflict_term: The term of the follower's conflicting entries after last_index.
        disk_failed: True if the follower failed to store the entries; the logs may match.
        received: Bytes of the snapshot received so far.
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
    """A candidate's request for a vote (RequestVote; Raft, section 5.2).

    Attributes:
        pre_vote: True if the voter must not record a vote (dissertation, section 9.6).
        transfer: True if the leader transfers leadership to this candidate (section 3.10).
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
    """A voter's reply; `other_disk` as in AppendReply."""

    sender: Sender = ""
    term: Annotated[Natural | None, WireName("epoch")] = None
    granted: bool = False
    other_disk: Annotated[bool, WireName("stranger"), OmitDefault()] = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """An edge's request that a voter follow no leader for `seconds`."""

    KIND: ClassVar[str] = "council.promise"
    seconds: object


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReply:
    """A voter's reply to an edge's lease request.

    Attributes:
        voters: The disk IDs of the voters in this voter's newest configuration.
        last_command_index: The index of the last command in its log, committed or not.
        configuration: Term and index of that configuration, for comparing voters' replies.
    """

    granted: bool
    sender: Sender
    voters: list[str]
    last_command_index: Annotated[int, WireName("last")]
    configuration: Annotated[list[object], AsIs(list)]


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """A request for a member's identity and leader."""

    KIND: ClassVar[str] = "council.who"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusReply:
    """A member's identity, leader and log position.

    Attributes:
        empty: True if nothing was ever written to its disk.
        leader: The disk ID of its leader; empty, as leader_address, if it has none.
        applied_index: The highest index that it has applied.
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
    """The fields that joining needs of a StatusReply, or of the reply of a diskless process."""

    sender: Sender = ""
    empty: bool = False
    leader_address: str = ""
    diskless: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class JoinRequest:
    """A request to the leader to replicate its log to the sender."""

    KIND: ClassVar[str] = "council.join"
    sender: Sender
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeoutNowRequest:
    """The leader's request that its successor campaign immediately (dissertation, section 3.10)."""

    KIND: ClassVar[str] = "council.takeover"
    term: Term


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeoutNowReply:
    """The successor's reply; `ok` is True if it campaigns."""

    ok: bool = False
