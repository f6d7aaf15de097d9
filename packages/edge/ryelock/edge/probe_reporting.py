"""Sending a prober's results to the node that aggregates them."""

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
INTERVAL_MAX_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ProbeResultsMessage:
    """Results for the aggregator, which rejects those under another fencing token."""

    kind: str
    fencing_token: Annotated[int, WireName("epoch")]
    owner: Annotated[str, WireName("holder")]
    results: Annotated[list[list[object]], WireName("rows")]


class ProbeReporter:
    """Reports probe results to the owner of the aggregator's singleton role.

    A result counts as sent once the owner acknowledged it; a new owner gets all that are kept.
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
        """Create the reporter; `verdict_seconds` is how often the aggregator judges."""
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.member = member
        self.prober = prober
        self.interval_seconds = min(INTERVAL_MAX_SECONDS, verdict_seconds / 2)
        self.fencing_token: int | None = None
        self.sent_sequence = 0

    async def run(self) -> None:
        """Report for ever."""
        while True:
            await self.scheduler.sleep(self.interval_seconds)
            role = self.member.replicated_state.singletons.get(AGGREGATOR)
            if role is not None:
                await self.report_to(role)

    async def report_to(self, role: SingletonRole) -> None:
        """Send the results that the owner of the role does not have yet."""
        if role.fencing_token != self.fencing_token:
            self.fencing_token = role.fencing_token
            self.sent_sequence = 0
        results = self.prober.results_since(self.sent_sequence)
        owner = self.member.members.get(role.owner)
        if not results or owner is None:
            return
        message = self.message(role, results)
        found = await self.rpc_clients.call(owner.rpc_address, message, CALL_TIMEOUT_SECONDS)
        acknowledged = found.is_ok() and found.ok.get("ok") is True
        # The role may have moved while the call was under way: its new owner has none of these.
        if acknowledged and role.fencing_token == self.fencing_token:
            self.sent_sequence = results[-1].sequence

    def message(self, role: SingletonRole, results: list[ProbeResult]) -> dict[str, object]:
        """Return the message that brings results to the owner of the role."""
        now = self.scheduler.now()
        return encode(
            ProbeResultsMessage(
                PROBE_RESULTS,
                role.fencing_token,
                role.owner,
                [result.to_wire(now) for result in results],
            )
        )
