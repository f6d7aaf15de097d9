"""How a request can end without a server's response, and how one attempt at a server can."""

from dataclasses import dataclass
from enum import StrEnum

from ryelock.http import ClientError


class FailureKind(StrEnum):
    """Why a request has no server's answer; the values are the labels of the metrics."""

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
    """Why a request has no server's response.

    Attributes:
        kind: why, as the metrics count it.
        status: HTTP status for the caller.
        reason: why, for the caller and for explain.
        outcome_unknown: whether a server may have run the request.
        retry_after: seconds after which the caller should come back.
        capacity_in: seconds until the service's rate is expected to have room; 0 where the rate is
            not the reason, infinite where that is not known.
    """

    kind: FailureKind
    status: int
    reason: str
    outcome_unknown: bool = False
    retry_after: float = 1.0
    capacity_in: float = 0.0


class AttemptCancelledError(ClientError):
    """An attempt that was given up here, for a reason that tells nothing of the server."""

    def __init__(self, kind: FailureKind, reason: str, sent: bool = False) -> None:
        """Create the error; `sent` tells whether the server may have got the request."""
        super().__init__(reason, sent)
        self.kind = kind


class ConnectFailedError(ClientError):
    """No connection to the server came about, so nothing was sent."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no link to the server", False)


class ServerRejectedError(ClientError):
    """The server says for certain that it did not run the request."""

    def __init__(self, status: int) -> None:
        """Create the error of a response's status."""
        super().__init__(f"the server declined: {status}", False, status)


class ServerBusyError(ClientError):
    """The server answers that it is busy, which does not say that it did not run the request."""

    def __init__(self, status: int) -> None:
        """Create the error of a response's status."""
        super().__init__(f"the server failed: {status}", True)


class MismatchedResponseError(ClientError):
    """The response does not say that it belongs to this request."""

    def __init__(self, reason: str) -> None:
        """Create the error with what the response says instead."""
        super().__init__(reason, True)


class UnsealedResponseError(ClientError):
    """The response is a success without its server's seal."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("a success without its server's mark", True)


class StrayBytesError(ClientError):
    """Bytes stood on the connection before the request was sent, so nothing was."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("bytes came before the request was sent", False)
