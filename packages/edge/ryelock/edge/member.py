"""A node's session with the control plane: replicated state, membership and lease.

The session is passive: lease_renewal.py updates it, the request path reads it.
"""

from dataclasses import dataclass

from ryelock.edge.edge_lease import EdgeLease
from ryelock.edge.idempotency_claims import ClaimStatus, IdempotencyClaims
from ryelock.edge.leader_discovery import LeaderDiscovery
from ryelock.edge.membership_view import MembershipView
from ryelock.edge.server_list_view import ServerListView
from ryelock.events import Log
from ryelock.membership import Session
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import RpcClients
from ryelock.runtime import Scheduler

HOLD_SECONDS = 0.15


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Settings of a session.

    Attributes:
        seeds: addresses of control nodes from the settings.
        lease_seconds: duration of a lease.
        server_list_seconds: validity period of an upstream server list.
        hold_seconds: how long the leader may hold a response that carries no news.
        serve_lapsed: True if an edge keeps serving after its lease has expired.
    """

    seeds: tuple[str, ...]
    lease_seconds: float
    server_list_seconds: float
    hold_seconds: float = HOLD_SECONDS
    serve_lapsed: bool = False


class EdgeSession:
    """State that a node receives from the control plane, and the lease that lets it serve."""

    __slots__ = (
        "claims",
        "discovery",
        "edges",
        "lease",
        "membership",
        "replicated_state",
        "scheduler",
        "server_lists",
        "session",
        "settings",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: RpcClients,
        log: Log,
        replicated_state: ReplicatedState,
        session: Session,
        settings: SessionSettings,
    ) -> None:
        """Create a session without state and lease.

        Args:
            scheduler: the clock.
            rpc_clients: connections to the control nodes.
            log: event log for acquired and expired leases.
            replicated_state: the node's replica of the configuration.
            session: the node's own entry in the membership.
            settings: settings of the session.
        """
        self.scheduler = scheduler
        self.replicated_state = replicated_state
        self.session = session
        self.settings = settings
        self.lease = EdgeLease(scheduler, log)
        self.membership = MembershipView()
        self.server_lists = ServerListView(scheduler, settings.server_list_seconds)
        self.discovery = LeaderDiscovery(scheduler, rpc_clients, self.membership, settings.seeds)
        self.claims = IdempotencyClaims(scheduler, rpc_clients, self.discovery)
        self.edges = 1

    @property
    def serving(self) -> bool:
        """True if requests may be served: under a lease or, with `serve_lapsed`, without one."""
        if self.settings.serve_lapsed:
            return self.replicated_state.version > 0
        return self.lease.held

    @property
    def leader(self) -> str:
        """Address of the control leader, empty if none is known."""
        return self.discovery.leader

    @property
    def members(self) -> dict[str, Session]:
        """Members by name."""
        return self.membership.members

    async def claim(self, key: bytes, request: str, timeout: float) -> ClaimStatus:
        """Claim an idempotency key; see `IdempotencyClaims.claim`."""
        return await self.claims.claim(key, request, timeout)

    async def release(self, key: bytes, request: str) -> None:
        """Release an idempotency key; see `IdempotencyClaims.release`."""
        await self.claims.release(key, request)

    def zone_statuses(self) -> dict[str, str]:
        """Return the health status of each zone."""
        zones = self.replicated_state.verdict.get("zones")
        if not isinstance(zones, dict):
            return {}
        return {str(zone): str(evaluated.get("verdict")) for zone, evaluated in zones.items()}
