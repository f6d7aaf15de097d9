"""Checks that a server's response belongs to the request and may be used.

A server may respond twice, late, or to another request. If the protocol profile has identities, a
response without the request's identity is an error, whether it reports a success or a rejection.
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
"""Status of a server that does not serve this target (RFC 9110, 15.5.20)."""
SERVER_BUSY_STATUSES = (408, 425, 429, 503)


class ResponseValidator:
    """Validates the responses of servers."""

    __slots__ = ("context",)

    def __init__(self, context: EdgeContext) -> None:
        """Create the validator."""
        self.context = context

    def may_reuse_connection(self, request: Request) -> bool:
        """Return True if a late response to an earlier request could be recognized.

        It is recognized by its identity, and servers echo only identities that clients gave; a
        probe has none. An at-most-once request whose identity was used recently gets a new
        connection, since a late response to the earlier request would carry the same identity.
        Without identities, each at-most-once request gets a new connection.
        """
        at_most_once = request.request_class is RequestClass.AT_MOST_ONCE
        if self.context.profile.own:
            return not at_most_once
        if request.is_probe or not request.has_client_identity:
            return False
        return not at_most_once or request.identity not in self.context.recent_requests.by_identity

    def belongs_to(self, request: Request, head: ResponseHead) -> bool:
        """Return True if a response has the request's identity, or if there are no identities."""
        identity_field = self.context.profile.identity
        if not identity_field:
            return True
        identity = field(head.fields, identity_field.lower())
        return identity is not None and identity.decode("latin-1") == request.identity

    def should_skip(self, request: Request, head: ResponseHead, reused: bool) -> bool:
        """Return True if a response belongs to another request and this one's may follow.

        A server's duplicate response arrives where the response to the next request is expected.
        A response with another identity is skipped on any connection, one without an identity only
        on a reused connection: on a new one it can only be the response to this request.
        """
        if request.is_probe or self.belongs_to(request, head):
            return False
        return reused or field(head.fields, self.context.profile.identity.lower()) is not None

    def find_error(self, request: Request, head: ResponseHead) -> ClientError | None:
        """Return the error of a response that cannot be forwarded; None if it can.

        A probe's response needs no identity: no other request uses the connection.
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
        """Return the reason why a response does not match the request."""
        if field(head.fields, self.context.profile.identity.lower()) is None:
            return "an answer that does not say whose it is"
        return "an answer to another order"

    def is_rejection(self, head: ResponseHead) -> bool:
        """Return True if a response states that the server did not run the request."""
        not_run = self.context.profile.not_run
        return (
            not_run != b""
            and head.status >= 400
            and field(head.fields, not_run.lower()) is not None
        )

    def is_sealed(self, head: ResponseHead) -> bool:
        """Return True unless a 2xx response lacks the seal that the protocol profile requires."""
        seal = self.context.profile.seal
        if not seal or not 200 <= head.status < 300:
            return True
        return field(head.fields, seal.lower()) is not None
