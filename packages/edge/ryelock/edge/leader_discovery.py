"""Discovery of the control leader, avoiding one that stopped responding."""

from dataclasses import dataclass

from ryelock.edge.membership_view import MembershipView
from ryelock.edge.session_messages import LEADER_QUERY
from ryelock.rpc import RpcClients
from ryelock.runtime import Queue, Scheduler

CALL_TIMEOUT_SECONDS = 0.4
ROUND_SECONDS = 0.25
AVOID_SECONDS = 0.5
"""How long an unresponsive leader is not chosen again."""
RELAY_AFTER_SECONDS = 0.4
"""How long the leader must be unreachable before renewals are sent through another control node."""


@dataclass(frozen=True, slots=True)
class UnreachableLeader:
    """A leader that did not respond, avoided until a monotonic time."""

    address: str
    avoid_until: float


class LeaderDiscovery:
    """Addresses of the control nodes, and of the one assumed to be the leader.

    Attributes:
        leader: address of the leader, empty if none is known.
        unreachable: the last leader that did not respond.
        unreachable_since: monotonic time of its first failure in a row, None after a success.
        named_by_others: True if, in the last round, a control node named a leader that this node
            avoids.
    """

    __slots__ = (
        "leader",
        "membership",
        "named_by_others",
        "rpc_clients",
        "scheduler",
        "seeds",
        "unreachable",
        "unreachable_since",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: RpcClients,
        membership: MembershipView,
        seeds: tuple[str, ...],
    ) -> None:
        """Create the discovery.

        Args:
            scheduler: clock and tasks.
            rpc_clients: connections to the control nodes.
            membership: source of control nodes' addresses.
            seeds: addresses of control nodes from the settings.
        """
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.membership = membership
        self.seeds = seeds
        self.leader = ""
        self.unreachable: UnreachableLeader | None = None
        self.unreachable_since: float | None = None
        self.named_by_others = False

    @property
    def control_nodes(self) -> list[str]:
        """Addresses of all known control nodes, seeds first, without duplicates."""
        return list(dict.fromkeys([*self.seeds, *self.membership.control_addresses]))

    async def find(self, candidates: list[str]) -> None:
        """Query control nodes in parallel; the first usable answer sets the leader.

        A leader that just failed to respond is skipped for a while, since the others may keep
        naming it until they detect the failure themselves.
        """
        leaders: Queue[str] = Queue(self.scheduler)
        for address in candidates:
            self.scheduler.create_task(
                self.query(address, leaders), name="leader query", urgent=True
            )
        deadline = self.scheduler.now() + ROUND_SECONDS
        self.named_by_others = False
        for _ in candidates:
            leader = await leaders.get(max(0.0, deadline - self.scheduler.now()))
            if leader is None:
                return
            avoided = self.is_avoided(leader)
            self.named_by_others = self.named_by_others or avoided
            if leader and not avoided:
                self.leader = leader
                return

    async def query(self, address: str, leaders: Queue[str]) -> None:
        """Query one control node and queue the leader's address, empty where it knows none."""
        result = await self.rpc_clients.call(address, {"kind": LEADER_QUERY}, CALL_TIMEOUT_SECONDS)
        leader = result.ok.get("leader_address") if result.is_ok() else ""
        leaders.put(leader if isinstance(leader, str) else "")

    def is_avoided(self, address: str) -> bool:
        """Return True if the address is that of a leader that recently did not respond."""
        return (
            self.unreachable is not None
            and address == self.unreachable.address
            and self.scheduler.now() < self.unreachable.avoid_until
        )

    def record_success(self) -> None:
        """Record that the leader responded."""
        self.unreachable_since = None

    def record_failure(self) -> None:
        """Record that the leader did not respond, and discard it so that another is sought."""
        now = self.scheduler.now()
        same = self.unreachable is not None and self.unreachable.address == self.leader
        if not same or self.unreachable_since is None:
            self.unreachable_since = now
        self.unreachable = UnreachableLeader(self.leader, now + AVOID_SECONDS)
        self.leader = ""

    def may_relay_through(self, address: str) -> bool:
        """Return True if a control node may still reach the leader that this node cannot.

        That requires the others to name the leader even after RELAY_AFTER_SECONDS: by then, they
        would have noticed its failure.
        """
        if self.unreachable is None or self.unreachable_since is None:
            return False
        return (
            self.named_by_others
            and address != self.unreachable.address
            and self.scheduler.now() - self.unreachable_since >= RELAY_AFTER_SECONDS
        )
