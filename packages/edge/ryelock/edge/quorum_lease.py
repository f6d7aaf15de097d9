"""Quorum leases: leases granted by a majority of voters while there is no leader.

Each granting voter promises to follow no leader for the lease period. Every majority contains one
of them, so no leader can commit a change during the lease. No granting voter may have a log entry
that this node has not applied. See quorum_votes.py for the argument, and docs/consensus.md.
"""

from dataclasses import dataclass, field

from ryelock.edge.member import EdgeSession
from ryelock.edge.node_report import NodeReporter
from ryelock.edge.quorum_votes import QuorumLeaseVote, decode_vote, is_quorum
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.edge.session_messages import QuorumLeaseUpdate, quorum_lease_request
from ryelock.events import LEASE_GRANTED_BY_QUORUM, Log
from ryelock.rpc import Message, RpcClients
from ryelock.rpc.codec import decode
from ryelock.rpc.errors import MalformedMessageError
from ryelock.runtime import Queue, Scheduler
from ryelock.settings import NodeRole

CALL_TIMEOUT_SECONDS = 0.4
ROUND_SECONDS = 0.25


@dataclass(slots=True)
class Ballot:
    """The votes granted in a round, and the response that carried the last of them."""

    votes: list[QuorumLeaseVote] = field(default_factory=list)
    last_response: Message = field(default_factory=dict)


class QuorumLeaseClient:
    """Requests a quorum lease from the voters."""

    __slots__ = ("delegate", "log", "member", "reporter", "rpc_clients", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: RpcClients,
        log: Log,
        member: EdgeSession,
        reporter: NodeReporter,
        delegate: SessionDelegate,
    ) -> None:
        """Create the client.

        Args:
            scheduler: clock and tasks.
            rpc_clients: connections to the voters.
            log: event log for granted leases.
            member: the session whose lease is extended.
            reporter: builds the node's report for the request.
            delegate: receives the quota shares and the server list.
        """
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.log = log
        self.member = member
        self.reporter = reporter
        self.delegate = delegate

    @property
    def is_eligible(self) -> bool:
        """True if this node is an edge that needs a lease and has a configuration to serve."""
        member = self.member
        return (
            member.session.role == NodeRole.EDGE
            and not member.lease.released
            and member.replicated_state.index != 0
            and not member.settings.serve_lapsed
        )

    async def acquire(self) -> None:
        """Ask all voters once; extend the lease if a quorum of them granted it."""
        if not self.is_eligible:
            return
        requested_at = self.scheduler.now()
        ballot = await self.collect_votes(requested_at)
        index = self.member.replicated_state.index
        # A voter's log entry beyond this node's index may be committed. Serving without it would
        # ignore a change that was already acknowledged to an operator.
        behind = any(vote.last_index > index for vote in ballot.votes)
        if behind or not is_quorum(ballot.votes):
            return
        expires_at = requested_at + self.member.settings.lease_seconds
        self.member.lease.extend(expires_at)
        self.delegate.on_shares(self.delegate.quorum_lease_shares(), expires_at, self.member.edges)
        self.apply_server_list(ballot.last_response, requested_at)
        self.log.write(LEASE_GRANTED_BY_QUORUM, voters=sorted({vote.disk for vote in ballot.votes}))
        self.member.lease.log_transition()

    async def collect_votes(self, requested_at: float) -> Ballot:
        """Return the votes granted within a round; stops as soon as they form a quorum."""
        responses: Queue[Message | None] = Queue(self.scheduler)
        addresses = self.member.discovery.control_nodes
        message = quorum_lease_request(self.reporter.report(), self.member.settings.lease_seconds)
        for address in addresses:
            self.scheduler.create_task(
                self.request_vote(address, message, responses),
                name="quorum lease vote",
                urgent=True,
            )
        ballot = Ballot()
        deadline = requested_at + ROUND_SECONDS
        for _ in addresses:
            response = await responses.get(max(0.0, deadline - self.scheduler.now()))
            vote = None if response is None else decode_vote(response)
            if response is None or vote is None:
                continue
            ballot.votes.append(vote)
            ballot.last_response = response
            if is_quorum(ballot.votes):
                break
        return ballot

    async def request_vote(
        self, address: str, message: Message, responses: Queue[Message | None]
    ) -> None:
        """Request one voter's vote and queue its response, None where the call failed."""
        result = await self.rpc_clients.call(address, message, CALL_TIMEOUT_SECONDS)
        responses.put(result.ok if result.is_ok() else None)

    def apply_server_list(self, response: Message, requested_at: float) -> None:
        """Apply a voter's server list; a malformed one is ignored and does not affect the lease."""
        try:
            update = decode(QuorumLeaseUpdate, response).server_list
            if update is None:
                return
            adopted = self.member.server_lists.apply(update, requested_at)
        except (MalformedMessageError, ValueError):
            return
        if adopted is not None:
            self.delegate.on_server_list(adopted)
