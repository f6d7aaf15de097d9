"""A lease without a leader: on the promises of enough voters to follow none for a while.

Where no voter knows a leader, so many voters must promise to join none that no majority can exist
without one of them, and none of them may hold a log entry that this node has not applied. See
quorum_votes.py for the argument and docs/consensus.md.
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
    """Votes granted so far, and the answer that brought the last of them."""

    votes: list[QuorumLeaseVote] = field(default_factory=list)
    last_answer: Message = field(default_factory=dict)


class QuorumLeaseClient:
    """Asks the voters for a lease while there is no leader."""

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
            log: where a granted lease is written.
            member: the session whose lease is extended.
            reporter: what the node says of itself.
            delegate: what the lease's shares and servers are passed to.
        """
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.log = log
        self.member = member
        self.reporter = reporter
        self.delegate = delegate

    @property
    def may_ask(self) -> bool:
        """Whether this node needs a lease and has a configuration to serve by."""
        member = self.member
        return (
            member.session.role == NodeRole.EDGE
            and not member.lease.released
            and member.replicated_state.index != 0
            and not member.settings.serve_lapsed
        )

    async def acquire(self) -> None:
        """Ask all voters once; extend the lease where enough of them granted it."""
        if not self.may_ask:
            return
        requested_at = self.scheduler.now()
        ballot = await self.collect(requested_at)
        index = self.member.replicated_state.index
        # A voter's later log entry may be committed: serving without it would break a change that
        # was acknowledged.
        behind = any(vote.last_index > index for vote in ballot.votes)
        if behind or not is_quorum(ballot.votes):
            return
        expires_at = requested_at + self.member.settings.lease_seconds
        self.member.lease.extend(expires_at)
        self.delegate.on_shares(self.delegate.quorum_lease_shares(), expires_at, self.member.edges)
        self.take_server_list(ballot.last_answer, requested_at)
        self.log.write(LEASE_GRANTED_BY_QUORUM, voters=sorted({vote.disk for vote in ballot.votes}))
        self.member.lease.log_transition()

    async def collect(self, requested_at: float) -> Ballot:
        """Return the votes that came within a round, no more than are enough."""
        answers: Queue[Message | None] = Queue(self.scheduler)
        addresses = self.member.discovery.control_nodes
        message = quorum_lease_request(self.reporter.report(), self.member.settings.lease_seconds)
        for address in addresses:
            self.scheduler.create_task(
                self.ask(address, message, answers), name="quorum lease vote", urgent=True
            )
        ballot = Ballot()
        deadline = requested_at + ROUND_SECONDS
        for _ in addresses:
            answer = await answers.get(max(0.0, deadline - self.scheduler.now()))
            vote = None if answer is None else decode_vote(answer)
            if answer is None or vote is None:
                continue
            ballot.votes.append(vote)
            ballot.last_answer = answer
            if is_quorum(ballot.votes):
                break
        return ballot

    async def ask(self, address: str, message: Message, answers: Queue[Message | None]) -> None:
        """Ask one voter; None stands for no answer."""
        found = await self.rpc_clients.call(address, message, CALL_TIMEOUT_SECONDS)
        answers.put(found.ok if found.is_ok() else None)

    def take_server_list(self, answer: Message, requested_at: float) -> None:
        """Follow the voter's list of servers; a malformed one leaves the lease as it is."""
        try:
            update = decode(QuorumLeaseUpdate, answer).server_list
            if update is None:
                return
            adopted = self.member.server_lists.apply(update, requested_at)
        except (MalformedMessageError, ValueError):
            return
        if adopted is not None:
            self.delegate.on_server_list(adopted)
