"""Dispatch of requests from other processes, and their relay to the leader."""

from collections.abc import Callable

from ryelock.consensus import Consensus
from ryelock.consensus.messages import LeaseRequest
from ryelock.control_api import LOCAL_LEADER, OPERATOR_REQUEST, ControlApi, OutcomeStatus
from ryelock.control_plane.aggregator import Aggregator
from ryelock.control_plane.health_decisions import DECISION_REQUEST, HealthDecisions
from ryelock.control_plane.idempotency_keys import IdempotencyKeys
from ryelock.control_plane.leader_location import leader_location
from ryelock.control_plane.lease_renewal import LeaseRenewals
from ryelock.control_plane.operator_requests import OperatorRequests
from ryelock.control_plane.platform import PlatformReader
from ryelock.control_plane.renewal_messages import NotLeaderResponse
from ryelock.control_plane.singleton_roles import AGGREGATOR_ROLE
from ryelock.control_plane.voters import RELEASE_REQUEST, VoterManager
from ryelock.events import ROLE_FENCED, Log
from ryelock.rpc import Message, Reply, RpcClients
from ryelock.runtime import Scheduler, TaskCoroutine

RENEWAL_REQUEST = "renew"
LEAVE_REQUEST = "leave"
CLAIM_REQUEST = "claim"
RELEASE_KEY_REQUEST = "release"
PROBE_RESULTS_REQUEST = "rows"
RELAY_TIMEOUT_SECONDS = 0.5
Handler = Callable[[Message, Reply], None]
Responder = Callable[[Message], TaskCoroutine[Message]]


class RpcHandlers:
    """Dispatches each request of another process to its handler, by kind."""

    __slots__ = (
        "aggregator",
        "clients",
        "consensus",
        "control_api",
        "handlers",
        "log",
        "operator_requests",
        "platform",
        "renewals",
        "scheduler",
        "voters",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        clients: RpcClients,
        consensus: Consensus,
        platform: PlatformReader,
        renewals: LeaseRenewals,
        operator_requests: OperatorRequests,
        control_api: ControlApi,
        keys: IdempotencyKeys,
        decisions: HealthDecisions,
        voters: VoterManager,
        aggregator: Aggregator,
    ) -> None:
        """Register the handlers."""
        self.scheduler = scheduler
        self.log = log
        self.clients = clients
        self.consensus = consensus
        self.platform = platform
        self.renewals = renewals
        self.operator_requests = operator_requests
        self.control_api = control_api
        self.voters = voters
        self.aggregator = aggregator
        self.handlers: dict[object, Handler] = {
            RENEWAL_REQUEST: self.on_renewal,
            LEAVE_REQUEST: renewals.leave,
            RELEASE_REQUEST: self.on_release,
            OPERATOR_REQUEST: self.in_task("operator", self.answer_operator),
            CLAIM_REQUEST: self.in_task("claim", keys.handle),
            RELEASE_KEY_REQUEST: self.in_task("claim", keys.handle),
            DECISION_REQUEST: self.in_task("decision", decisions.commit),
            PROBE_RESULTS_REQUEST: self.on_probe_results,
        }

    def handle(self, message: Message, reply: Reply) -> None:
        """Answer one request, at once or in a new task."""
        kind = message.get("kind")
        if kind == LeaseRequest.KIND:
            self.consensus.answer(message, self.with_server_list(message, reply))
            return
        if self.consensus.answer(message, reply):
            return
        handler = self.handlers.get(kind) if isinstance(kind, str) else None
        if handler is None:
            reply({"fault": "unknown ask"})
            return
        handler(message, reply)

    def in_task(self, name: str, responder: Responder) -> Handler:
        """Return a handler that runs a responder in a new task."""

        async def respond(message: Message, reply: Reply) -> None:
            reply(await responder(message))

        def handle(message: Message, reply: Reply) -> None:
            self.scheduler.create_task(respond(message, reply), name=name)

        return handle

    def with_server_list(self, message: Message, reply: Reply) -> Reply:
        """Return a reply function that adds the server list to the answer to a `LeaseRequest`.

        An edge that serves without a leader, on a lease granted by a majority of voters, needs the
        server list too.
        """

        def reply_with_server_list(answer: Message) -> None:
            versions = message.get("vector")
            update = self.platform.update_for_node(
                versions if isinstance(versions, dict) else {}, self.scheduler.now()
            )
            reply({**answer, "listing": update} if update is not None else answer)

        return reply_with_server_list

    def on_renewal(self, message: Message, reply: Reply) -> None:
        """Answer a renewal, or relay it once if this node does not lead."""
        if self.consensus.leader_ready or message.get("passed") is True:
            coroutine = self.renewals.renew(message, reply)
        else:
            coroutine = self.relay_renewal(message, reply)
        self.scheduler.create_task(coroutine, name="renewal")

    async def relay_renewal(self, message: Message, reply: Reply) -> None:
        """Relay the renewal of an edge that cannot reach the leader.

        The edge counts its lease from before its request, so the delay only shortens the lease.
        """
        leader = leader_location(self.consensus)
        if not leader or leader == LOCAL_LEADER:
            reply(NotLeaderResponse("").to_wire())
            return
        answer = await self.clients.call(leader, {**message, "passed": True}, RELAY_TIMEOUT_SECONDS)
        reply(answer.ok if answer.is_ok() else NotLeaderResponse("").to_wire())

    async def answer_operator(self, message: Message) -> Message:
        """Answer an operator's request; relay it once to the leader if it has `through`."""
        answer = await self.operator_requests.serve(message)
        if answer.get("status") != OutcomeStatus.ELSEWHERE or message.get("through") is not True:
            return answer
        leader = leader_location(self.consensus)
        if not leader:
            return answer
        return await self.control_api.call_node(leader, {**message, "through": False})

    def on_release(self, message: Message, reply: Reply) -> None:
        """Answer the release request of a control node that shuts down."""
        reply(self.voters.on_release_request(message))

    def on_probe_results(self, message: Message, reply: Reply) -> None:
        """Record a prober's results if this node owns the aggregator role."""
        answer = self.aggregator.receive_results(message)
        if answer.get("ok") is not True:
            self.log.write(ROLE_FENCED, duty=AGGREGATOR_ROLE, epoch=message.get("epoch"))
        reply(answer)
