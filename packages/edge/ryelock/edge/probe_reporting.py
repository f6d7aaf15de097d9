"""Reporting of probe results to the aggregator."""

from dataclasses import dataclass
from typing import Annotated

from ryelock.edge.member import EdgeSession
from ryelock.health import Prober, ProbeResult
from ryelock.rpc import RpcClients
from ryelock.rpc.codec import WireName, encode
from ryelock.runtime import Scheduler
from ryelock.singleton import SingletonRole

PROBE_RESULTS = "rows"
AGGREGATOR = "aggregator"
CALL_TIMEOUT_SECONDS = 2.0
MAX_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ProbeResultsMessage:
    """Results for the aggregator, which rejects a message with another fencing token."""

    kind: str
    fencing_token: Annotated[int, WireName("epoch")]
    owner: Annotated[str, WireName("holder")]
    results: Annotated[list[list[object]], WireName("rows")]


class ProbeReporter:
    """Reports probe results to the owner of the aggregator role.

    A result counts as sent once the owner has acknowledged it. A new owner gets all stored results
    again.
    """

    __slots__ = (
        "fencing_token",
        "interval_seconds",
        "member",
        "prober",
        "rpc_clients",
        "scheduler",
        "sent_sequence",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: RpcClients,
        member: EdgeSession,
        prober: Prober,
        verdict_seconds: float,
    ) -> None:
        """Create the reporter.

        Args:
            scheduler: clock and tasks.
            rpc_clients: connections to the control nodes.
            member: the session with the control plane, which knows the role's owner.
            prober: source of the results.
            verdict_seconds: interval at which the aggregator evaluates the results.
        """
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.member = member
        self.prober = prober
        self.interval_seconds = min(MAX_INTERVAL_SECONDS, verdict_seconds / 2)
        self.fencing_token: int | None = None
        self.sent_sequence = 0

    async def run(self) -> None:
        """Report periodically, forever."""
        while True:
            await self.scheduler.sleep(self.interval_seconds)
            role = self.member.replicated_state.singletons.get(AGGREGATOR)
            if role is not None:
                await self.report_to(role)

    async def report_to(self, role: SingletonRole) -> None:
        """Send the results that the role's owner has not acknowledged yet."""
        if role.fencing_token != self.fencing_token:
            self.fencing_token = role.fencing_token
            self.sent_sequence = 0
        results = self.prober.results_since(self.sent_sequence)
        owner = self.member.members.get(role.owner)
        if not results or owner is None:
            return
        message = self.message(role, results)
        result = await self.rpc_clients.call(owner.rpc_address, message, CALL_TIMEOUT_SECONDS)
        acknowledged = result.is_ok() and result.ok.get("ok") is True
        # The role may have moved during the call, and its new owner has none of these results.
        if acknowledged and role.fencing_token == self.fencing_token:
            self.sent_sequence = results[-1].sequence

    def message(self, role: SingletonRole, results: list[ProbeResult]) -> dict[str, object]:
        """Return the message that carries results to the role's owner."""
        now = self.scheduler.now()
        return encode(
            ProbeResultsMessage(
                PROBE_RESULTS,
                role.fencing_token,
                role.owner,
                [result.to_wire(now) for result in results],
            )
        )
