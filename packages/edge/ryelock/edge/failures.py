"""How a request can end without a server's answer, and how one attempt at a server can."""

from enum import StrEnum

from ryelock.http import ClientError


class FailureKind(StrEnum):
    """Why a request has no server's answer; the values are the labels of the metrics."""

    CALLER_LEFT = "caller left"
    KEY_IN_USE = "idempotency key in use"
    KEY_NOT_CLAIMED = "idempotency key not claimed"
    NO_LEASE = "no lease"
    NO_ROUTE = "no route"
    NO_SERVER = "no server"
    NO_SHARE = "no share of the rate"
    NOT_CACHED = "not cached"
    OLD_VERSION = "older version here"
    OVER_RATE = "over the rate"
    OWNER_OVER_RATE = "owner over the rate"
    RETRY_BUDGET = "over the retry budget"
    ROUTE_CHANGED = "lease or route changed"
    SERVER_FAILED = "server failed"
    SERVER_LEAVING = "server leaving"
    SERVER_REJECTED = "server rejected"
    SERVER_SILENT = "server silent"
    SERVICE_UNKNOWN = "service unknown"


class Failure:
    """Why a request has no server's answer, and whether it may have run."""

    __slots__ = ("back", "kind", "reason", "room_in", "status", "unknown")

    def __init__(
        self,
        kind: FailureKind,
        status: int,
        reason: str,
        unknown: bool = False,
        back: float = 1.0,
        room_in: float = 0.0,
    ) -> None:
        """Create a failure.

        Args:
            kind: why, in one of few words.
            status: HTTP status for the caller.
            reason: why, for the caller and the record of the request.
            unknown: whether a server may have run the request.
            back: seconds after which the caller should come back.
            room_in: seconds until the service's rate is expected to have room; 0 where the
                rate is not the reason, infinite where that is not known.
        """
        self.kind = kind
        self.status = status
        self.reason = reason
        self.unknown = unknown
        self.back = back
        self.room_in = room_in


class Withdrawn(ClientError):
    """An attempt that was given up here, for a reason that tells nothing of the server."""

    def __init__(self, kind: FailureKind, reason: str, sent: bool = False) -> None:
        """Create the error; `sent` tells whether the server may have got the request."""
        super().__init__(reason, sent)
        self.kind = kind
