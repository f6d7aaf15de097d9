"""Events of the owner's queue: everything that changes a member's state."""

from dataclasses import dataclass

from expression import Result

from ryelock.consensus.entries import Voters
from ryelock.consensus.followers import Follower
from ryelock.consensus.pending import Proposal
from ryelock.rpc import Message, Reply, RpcError
from ryelock.runtime import Queue


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A consensus request from another process."""

    message: Message
    reply: Reply


@dataclass(frozen=True, slots=True)
class FollowerReplied:
    """The result of a request to a follower, with its send time and term."""

    follower: Follower
    term: int
    sent_at: float
    result: Result[Message, RpcError]


@dataclass(frozen=True, slots=True)
class HigherTermSeen:
    """A reply contained a term above this member's."""

    term: int


@dataclass(frozen=True, slots=True)
class ElectionWon:
    """A majority voted for this member in a term."""

    term: int


@dataclass(frozen=True, slots=True)
class BootstrapCluster:
    """All seeds replied and are empty: bootstrap the cluster with these voters."""

    voters: Voters


MemberEvent = PeerRequest | FollowerReplied | HigherTermSeen | ElectionWon | BootstrapCluster
EventQueue = Queue[MemberEvent | Proposal]
