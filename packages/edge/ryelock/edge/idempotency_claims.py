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
    """What became of a claim; the values are those of the control leader's answer."""

    CLAIMED = "claimed"
    ALREADY_CLAIMED = "known"
    """Another request has the key."""
    TIMED_OUT = ""
    """Nobody answered in time."""


CLAIM_STATUSES = (ClaimStatus.CLAIMED.value, ClaimStatus.ALREADY_CLAIMED.value)


class IdempotencyClaims:
    """Claims and releases keys, through another control node where the leader is unknown."""

    __slots__ = ("discovery", "rpc_clients", "scheduler")

    def __init__(
        self, scheduler: Scheduler, rpc_clients: RpcClients, discovery: LeaderDiscovery
    ) -> None:
        """Create the client; `discovery` tells which control node to ask."""
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.discovery = discovery

    async def claim(self, key: bytes, request: str, timeout: float) -> ClaimStatus:
        """Claim a key for a request within `timeout` seconds.

        A request that claims again gets the same answer, so a lost answer does no harm.
        """
        message = IdempotencyKeyRequest(CLAIM, key, request)
        return ClaimStatus(await self.call(message, CLAIM_STATUSES, timeout))

    async def release(self, key: bytes, request: str) -> None:
        """Release a key whose request certainly did not run; retried for RELEASE_SECONDS."""
        message = IdempotencyKeyRequest(RELEASE, key, request)
        await self.call(message, RELEASE_STATUSES, RELEASE_TIMEOUT_SECONDS)

    async def call(
        self, request: IdempotencyKeyRequest, final_statuses: tuple[str, ...], timeout: float
    ) -> str:
        """Repeat a call until a control node gives a final status; "" after `timeout` seconds."""
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
