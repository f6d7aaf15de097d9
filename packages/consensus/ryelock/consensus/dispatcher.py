"""Dispatch of requests from other processes: decodes, handles and replies."""

from collections.abc import Callable
from typing import Any

from ryelock.consensus.election import Election
from ryelock.consensus.joining import Joining
from ryelock.consensus.log_receiver import LogReceiver
from ryelock.consensus.messages import (
    AppendEntriesRequest,
    InstallSnapshotRequest,
    JoinRequest,
    LeaseRequest,
    Request,
    StatusRequest,
    TimeoutNowRequest,
    VoteRequest,
)
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.rpc import Message, Reply
from ryelock.rpc.codec import decode, encode
from ryelock.rpc.errors import MalformedMessageError

Handler = Callable[[Any], object]
"""A function of a decoded request that returns the reply, a type of `messages`."""


class RequestDispatcher:
    """Dispatches requests to their handlers; `handle` runs only in the owner task.

    Attributes:
        handlers: The request type and handler, by kind on the wire.
    """

    __slots__ = ("handlers", "receiver")

    def __init__(
        self, receiver: LogReceiver, election: Election, lease: QuorumLease, joining: Joining
    ) -> None:
        """Create the table of handlers."""
        self.receiver = receiver
        self.handlers: dict[str, tuple[type[Request], Handler]] = {
            AppendEntriesRequest.KIND: (AppendEntriesRequest, receiver.on_heartbeat),
            InstallSnapshotRequest.KIND: (InstallSnapshotRequest, receiver.on_snapshot),
            VoteRequest.KIND: (VoteRequest, election.on_vote),
            TimeoutNowRequest.KIND: (TimeoutNowRequest, election.on_timeout_now),
            LeaseRequest.KIND: (LeaseRequest, lease.on_request),
            StatusRequest.KIND: (StatusRequest, joining.on_status),
            JoinRequest.KIND: (JoinRequest, joining.on_join),
        }

    def handles(self, message: Message) -> bool:
        """Return True if a message is a consensus request."""
        return str(message.get("kind")) in self.handlers

    def handle(self, message: Message, reply: Reply) -> None:
        """Handle a request that `handles` accepts; reply to a malformed one with the fault."""
        request_type, handler = self.handlers[str(message.get("kind"))]
        try:
            reply(encode(handler(decode(request_type, message))))
        except MalformedMessageError as error:
            reply(self.malformed_reply(request_type, message, error))

    def malformed_reply(
        self, request_type: type[Request], message: Message, error: MalformedMessageError
    ) -> Message:
        """Build the reply to a malformed request."""
        if request_type in (AppendEntriesRequest, InstallSnapshotRequest):
            rejection = self.receiver.rejection_of_malformed(message)
            if rejection is not None:
                return encode(rejection)
        return {"fault": f"malformed: {error}"}
