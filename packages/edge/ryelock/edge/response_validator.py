"""Decides which of a server's responses is believed: whose it is, and whether it may be used.

A server may answer twice, late, or with what belongs to another request. Where the protocol's
profile has responses say whose they are, nothing that a response says is believed, neither success
nor "not run", unless it says that it belongs to this request.
"""

from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import (
    MismatchedResponseError,
    ServerBusyError,
    ServerRejectedError,
    UnsealedResponseError,
)
from ryelock.edge.request import Request, RequestClass
from ryelock.http import ClientError, ResponseHead, field

MISDIRECTED = 421
"""Status of a server that does not answer for this target (RFC 9110, 15.5.20)."""
SERVER_BUSY_STATUSES = (408, 425, 429, 503)


class ResponseValidator:
    """Judges the responses of servers."""

    __slots__ = ("context",)

    def __init__(self, context: EdgeContext) -> None:
        """Create the judge of an edge."""
        self.context = context

    def may_reuse_connection(self, request: Request) -> bool:
        """Whether a response to an earlier request could be told from this one's by its name.

        Servers repeat only names that callers gave. A probe bears none; and a name that was in
        use lately may stand in a late response as well, so a request that may run once and bears
        such a one gets a connection of its own, on which nothing was asked before.
        """
        at_most_once = request.request_class is RequestClass.AT_MOST_ONCE
        if self.context.profile.own:
            return not at_most_once
        if request.is_probe or not request.named_by_caller:
            return False
        return not at_most_once or request.identity not in self.context.recent_requests.by_identity

    def belongs_to(self, request: Request, head: ResponseHead) -> bool:
        """Whether a response says that it is this request's, where responses say whose they are."""
        identity_field = self.context.profile.identity
        if not identity_field:
            return True
        identity = field(head.fields, identity_field.lower())
        return identity is not None and identity.decode("latin-1") == request.identity

    def should_skip(self, request: Request, head: ResponseHead, reused: bool) -> bool:
        """Whether a response is to be skipped, since this request's may still follow it.

        A server may send one too many; it comes where the next request's is due. One under another
        name is skipped on any connection; one under no name only on a reused connection: on a new
        one nothing else can be due.
        """
        if request.is_probe or self.belongs_to(request, head):
            return False
        return reused or field(head.fields, self.context.profile.identity.lower()) is not None

    def find_error(self, request: Request, head: ResponseHead) -> ClientError | None:
        """Return why a response cannot go to the caller; None where it can.

        A probe's response is known by the connection, which no other request uses.
        """
        profile = self.context.profile
        if profile.own:
            return None
        if not request.is_probe and not self.belongs_to(request, head):
            return MismatchedResponseError(self.mismatch_reason(head))
        if head.status == MISDIRECTED or self.is_rejection(head):
            return ServerRejectedError(head.status)
        if not self.is_sealed(head):
            return UnsealedResponseError()
        if head.status in SERVER_BUSY_STATUSES:
            return ServerBusyError(head.status)
        return None

    def mismatch_reason(self, head: ResponseHead) -> str:
        """Return why a response is taken for another request's."""
        if field(head.fields, self.context.profile.identity.lower()) is None:
            return "an answer that does not say whose it is"
        return "an answer to another order"

    def is_rejection(self, head: ResponseHead) -> bool:
        """Whether a server says for certain that it did not run the request."""
        not_run = self.context.profile.not_run
        return (
            not_run != b""
            and head.status >= 400
            and field(head.fields, not_run.lower()) is not None
        )

    def is_sealed(self, head: ResponseHead) -> bool:
        """Whether a success bears its server's seal, where servers add one."""
        seal = self.context.profile.seal
        if not seal or not 200 <= head.status < 300:
            return True
        return field(head.fields, seal.lower()) is not None
