"""Failures of a request, and errors of one attempt at a server."""

from dataclasses import dataclass
from enum import StrEnum

from ryelock.http import ClientError


class FailureKind(StrEnum):
    """Kind of a failure; the values are labels of the metrics."""

    CLIENT_DISCONNECTED = "caller left"
    KEY_IN_USE = "idempotency key in use"
    KEY_NOT_CLAIMED = "idempotency key not claimed"
    NO_LEASE = "no lease"
    NO_ROUTE = "no route"
    NO_SERVER = "no server"
    NO_SHARE = "no share of the rate"
    NOT_CACHED = "not cached"
    OUTDATED_VERSION = "older version here"
    OVER_RATE = "over the rate"
    OWNER_OVER_RATE = "owner over the rate"
    RETRY_BUDGET = "over the retry budget"
    ROUTE_CHANGED = "lease or route changed"
    SERVER_FAILED = "server failed"
    SERVER_LEAVING = "server leaving"
    SERVER_REJECTED = "server rejected"
    SERVER_SILENT = "server silent"
    SERVICE_UNKNOWN = "service unknown"


@dataclass(frozen=True, slots=True)
class Failure:
    """A request that ends without a server's response.

    Attributes:
        kind: kind for the metrics.
        status: HTTP status for the client.
        reason: reason for the client and explain.
        outcome_unknown: whether a server may have run the request.
        retry_after: seconds after which the client should retry.
        capacity_in: seconds until the service's rate limit is expected to allow a request; 0 if the
            limit is not the reason, infinite if the time is unknown.
    """

    kind: FailureKind
    status: int
    reason: str
    outcome_unknown: bool = False
    retry_after: float = 1.0
    capacity_in: float = 0.0


class AttemptCancelledError(ClientError):
    """This edge cancelled the attempt for a reason unrelated to the server."""

    def __init__(self, kind: FailureKind, reason: str, sent: bool = False) -> None:
        """Create the error.

        Args:
            kind: kind of the request's failure.
            reason: reason for the client and explain.
            sent: whether the server may have received the request.
        """
        super().__init__(reason, sent)
        self.kind = kind


class ConnectFailedError(ClientError):
    """The connection to the server was not established, so nothing was sent."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no link to the server", False)


class ServerRejectedError(ClientError):
    """The server stated that it did not run the request."""

    def __init__(self, status: int) -> None:
        """Create the error with the response's status."""
        super().__init__(f"the server declined: {status}", False, status)


class ServerBusyError(ClientError):
    """The server reported that it is busy, without stating that it did not run the request."""

    def __init__(self, status: int) -> None:
        """Create the error with the response's status."""
        super().__init__(f"the server failed: {status}", True)


class MismatchedResponseError(ClientError):
    """The response does not have the request's identity."""

    def __init__(self, reason: str) -> None:
        """Create the error with the reason."""
        super().__init__(reason, True)


class UnsealedResponseError(ClientError):
    """The response is a success without the server's seal."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("a success without its server's mark", True)


class StrayBytesError(ClientError):
    """Bytes arrived on the connection before the request, which therefore was not sent."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("bytes came before the request was sent", False)
