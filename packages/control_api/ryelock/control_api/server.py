"""The HTTP server of the control API, and how a request reaches the leader."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from ryelock.control_api.errors import (
    ControlApiError,
    MalformedBodyError,
    MethodNotAllowedError,
    UnknownPathError,
)
from ryelock.control_api.requests import (
    READ_ONLY_ACTIONS,
    OperatorAction,
    OperatorRequest,
    OutcomeStatus,
)
from ryelock.events import Log
from ryelock.http import (
    Fields,
    HttpExchange,
    HttpServer,
    IncompleteMessageError,
    Limits,
    ReadTimeoutError,
)
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Network, Scheduler, TaskCoroutine

LEADER_TIMEOUT_SECONDS = 6.0
"""How long one node gets to answer a request that is passed on to it."""
FORWARD_TIMEOUT_SECONDS = 3.0
"""How long a leader is looked for."""
FORWARD_PAUSE_SECONDS = 0.1
MAX_BODY_BYTES = 33_554_432
REQUEST_TIMEOUT_SECONDS = 30.0
RETRY_AFTER_SECONDS = 1
LOCAL_LEADER = "here"
"""In place of an address: this node leads."""
LIVE_PATH = "/fitness/live"
READY_PATH = "/fitness/ready"
EXPLAIN_PATH = "/explain"
PATHS = {
    ("POST", "/changes"): OperatorAction.CHANGE,
    ("POST", "/plans"): OperatorAction.PLAN,
    ("GET", "/configuration"): OperatorAction.READ,
    ("POST", "/purges"): OperatorAction.PURGE,
    ("POST", "/drains"): OperatorAction.DRAIN,
    ("POST", "/recoveries"): OperatorAction.RECOVER,
    ("GET", "/verdicts"): OperatorAction.HEALTH,
    ("GET", "/members"): OperatorAction.MEMBERS,
}
STATUSES: dict[str, int] = {
    OutcomeStatus.ACCEPTED: 200,
    OutcomeStatus.CONFLICT: 409,
    OutcomeStatus.INVALID: 422,
    OutcomeStatus.NOT_TAKEN: 503,
    OutcomeStatus.UNKNOWN: 504,
    OutcomeStatus.REJECTED: 409,
    OutcomeStatus.FENCED: 409,
    OutcomeStatus.MALFORMED: 400,
}
"""HTTP status by outcome; 200 for any other answer."""
FindLeader = Callable[[], str]
FindControlNodes = Callable[[], list[str]]
MessageResponder = Callable[[Message], TaskCoroutine[Message]]
HealthState = Callable[[], Message]
HttpAnswer = tuple[int, Message]


class ControlApi:
    """Serves operators' requests and the node's own health on the control address.

    Every node takes every request. What only the leader can answer is passed on to it; where a
    request had no response, the answer says whether it may have been committed.
    """

    __slots__ = (
        "clients",
        "control_nodes",
        "explain",
        "health_state",
        "leader",
        "listener",
        "local_leader",
        "scheduler",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        clients: RpcClients,
        address: str,
        leader: FindLeader,
        control_nodes: FindControlNodes,
        local_leader: MessageResponder | None,
        health_state: HealthState,
        explain: MessageResponder | None,
    ) -> None:
        """Listen on the control address.

        Args:
            scheduler: clock and tasks.
            network: where to listen.
            log: the process's log.
            clients: connections to other processes.
            address: the control address, host:port.
            leader: returns the leader's address, LOCAL_LEADER, or "" while none is known.
            control_nodes: returns the addresses of other control nodes.
            local_leader: answers requests where this node leads; None where it never does.
            health_state: returns the node's state; `ready` decides about readiness.
            explain: answers /explain; None where nothing is served there.
        """
        self.scheduler = scheduler
        self.clients = clients
        self.leader = leader
        self.control_nodes = control_nodes
        self.local_leader = local_leader
        self.health_state = health_state
        self.explain = explain
        limits = Limits(body_bytes=MAX_BODY_BYTES, request_seconds=REQUEST_TIMEOUT_SECONDS)
        self.listener = HttpServer(scheduler, network, log, address, limits, self.serve)

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one HTTP request; one whose body is cut off or too slow gets no response."""
        try:
            body = await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        method = exchange.head.method.decode("latin-1")
        target = exchange.head.target.decode("latin-1")
        try:
            status, answer = await self.respond(method, target, body)
        except ControlApiError as error:
            status, answer = error.http_status, error.answer
        await send_json(exchange, status, answer)

    async def respond(self, method: str, target: str, body: bytes) -> HttpAnswer:
        """Return status and body of the response; raises ControlApiError."""
        parts = urlsplit(target)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        if method in ("GET", "HEAD") and parts.path in (LIVE_PATH, READY_PATH):
            return self.respond_health(parts.path)
        if method == "GET" and parts.path == EXPLAIN_PATH and self.explain is not None:
            explanation = await self.explain(dict(query))
            return 200 if "fault" not in explanation else 404, explanation
        request = OperatorRequest(
            find_action(method, parts.path),
            parse_json(body) if method == "POST" else None,
            query,
        )
        answer = await self.forward(request)
        return STATUSES.get(str(answer.get("status")), 200), answer

    def respond_health(self, path: str) -> HttpAnswer:
        """Return the node's state: alive in any case, ready only where the state says so."""
        state = self.health_state()
        is_healthy = path == LIVE_PATH or state.get("ready") is True
        return 200 if is_healthy else 503, state

    async def forward(self, request: OperatorRequest) -> Message:
        """Return the leader's answer to a request, here or elsewhere.

        Where the leader is out of reach from here, another control node may reach it. An answer of
        NOT_TAKEN is certain; where the outcome is not, it is UNKNOWN.
        """
        message = request.to_wire()
        until = self.scheduler.now() + FORWARD_TIMEOUT_SECONDS
        while True:
            leader = self.leader()
            if leader == LOCAL_LEADER and self.local_leader is not None:
                return await self.local_leader(message)
            answer = await self.call_nodes(leader, message, until)
            if answer is not None:
                return answer
            if self.scheduler.now() >= until:
                return {
                    "status": OutcomeStatus.NOT_TAKEN,
                    "reason": "no leader is known; nothing was taken",
                }
            await self.scheduler.sleep(FORWARD_PAUSE_SECONDS)

    async def call_nodes(self, leader: str, message: Message, until: float) -> Message | None:
        """Ask the leader, then each other control node to pass the message on, up to a time.

        Returns None where the message certainly reached no leader.
        """
        if leader and leader != LOCAL_LEADER:
            answer = await self.call_leader(leader, message)
            if answer.get("status") != OutcomeStatus.ELSEWHERE:
                return answer
        for node in self.control_nodes():
            if node == leader or self.scheduler.now() >= until:
                continue
            answer = await self.call_leader(node, {**message, "through": True})
            if answer.get("status") != OutcomeStatus.ELSEWHERE:
                return answer
        return None

    async def call_leader(self, address: str, message: Message) -> Message:
        """Call one node once.

        Returns its answer; ELSEWHERE where the message certainly was not taken there, or has no
        effect; UNKNOWN where it may have been taken.
        """
        answer = await self.clients.call(address, message, LEADER_TIMEOUT_SECONDS)
        if answer.is_ok():
            return answer.ok
        if answer.error.sent and message["what"] not in READ_ONLY_ACTIONS:
            return {"status": OutcomeStatus.UNKNOWN, "reason": f"outcome unknown: {answer.error}"}
        return {"status": OutcomeStatus.ELSEWHERE}


def find_action(method: str, path: str) -> OperatorAction:
    """Return the action of a request; raises UnknownPathError or MethodNotAllowedError."""
    action = PATHS.get((method, path))
    if action is not None:
        return action
    if any(known == path for _, known in PATHS):
        raise MethodNotAllowedError
    raise UnknownPathError


def parse_json(body: bytes) -> object:
    """Return the JSON value of a request's body; raises MalformedBodyError."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedBodyError from error


async def send_json(exchange: HttpExchange, status: int, answer: object) -> None:
    """Send a response with a JSON body; it must not be cached."""
    fields: Fields = [(b"Content-Type", b"application/json"), (b"Cache-Control", b"no-store")]
    if status == 503:
        fields.append((b"Retry-After", b"%d" % RETRY_AFTER_SECONDS))
    body = json.dumps(answer, ensure_ascii=False, default=str).encode() + b"\n"
    await exchange.respond(status, fields, body)
