"""Claims of idempotency keys at the control leader: at most one request runs under a key."""

from enum import StrEnum

from ryelock.edge.leader_discovery import LeaderDiscovery
from ryelock.edge.session_messages import CLAIM, RELEASE, IdempotencyKeyRequest
from ryelock.rpc import RpcClients
from ryelock.rpc.codec import encode
from ryelock.runtime import Scheduler

CALL_TIMEOUT_SECONDS = 0.4
MIN_CALL_TIMEOUT_SECONDS = 0.05
RETRY_DELAY_SECONDS = 0.05
RELEASE_TIMEOUT_SECONDS = 30.0
RELEASE_STATUSES = ("released",)


class ClaimStatus(StrEnum):
    """Result of a claim; the values are those of the control leader's reply."""

    CLAIMED = "claimed"
    ALREADY_CLAIMED = "known"
    """Another request has the key."""
    TIMED_OUT = ""
    """No control node gave a final status in time."""


CLAIM_STATUSES = (ClaimStatus.CLAIMED.value, ClaimStatus.ALREADY_CLAIMED.value)


class IdempotencyClaims:
    """Client for claims and releases; uses any control node if the leader is unknown."""

    __slots__ = ("discovery", "rpc_clients", "scheduler")

    def __init__(
        self, scheduler: Scheduler, rpc_clients: RpcClients, discovery: LeaderDiscovery
    ) -> None:
        """Create the client; `discovery` provides the control nodes' addresses."""
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.discovery = discovery

    async def claim(self, key: bytes, request: str, timeout: float) -> ClaimStatus:
        """Claim a key for a request within `timeout` seconds.

        Claims are idempotent for a request, so they are repeated if a reply is lost.
        """
        message = IdempotencyKeyRequest(CLAIM, key, request)
        return ClaimStatus(await self.call(message, CLAIM_STATUSES, timeout))

    async def release(self, key: bytes, request: str) -> None:
        """Release a key whose request certainly did not run."""
        message = IdempotencyKeyRequest(RELEASE, key, request)
        await self.call(message, RELEASE_STATUSES, RELEASE_TIMEOUT_SECONDS)

    async def call(
        self, request: IdempotencyKeyRequest, final_statuses: tuple[str, ...], timeout: float
    ) -> str:
        """Retry a call until it gives a final status; return "" after `timeout` seconds."""
        message = encode(request)
        deadline = self.scheduler.now() + timeout
        attempt = 0
        while self.scheduler.now() < deadline:
            control_nodes = self.discovery.control_nodes
            address = self.discovery.leader or control_nodes[attempt % len(control_nodes)]
            attempt += 1
            remaining = max(MIN_CALL_TIMEOUT_SECONDS, deadline - self.scheduler.now())
            result = await self.rpc_clients.call(
                address, message, min(CALL_TIMEOUT_SECONDS, remaining)
            )
            status = str(result.ok.get("status")) if result.is_ok() else ""
            if status in final_statuses:
                return status
            await self.scheduler.sleep(RETRY_DELAY_SECONDS)
        return ""
