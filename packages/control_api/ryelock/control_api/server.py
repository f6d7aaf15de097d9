"""The HTTP server of the control API, and the forwarding of requests to the leader."""

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
    is_nested_too_deeply,
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

CALL_TIMEOUT_SECONDS = 6.0
"""Timeout of a request forwarded to one node."""
FORWARD_TIMEOUT_SECONDS = 3.0
"""How long to look for a leader before giving up with NOT_TAKEN."""
FORWARD_RETRY_INTERVAL_SECONDS = 0.1
MAX_BODY_BYTES = 33_554_432
REQUEST_TIMEOUT_SECONDS = 30.0
RETRY_AFTER_SECONDS = 1
LOCAL_LEADER = "here"
"""Returned in place of the leader's address if this node is the leader."""
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
"""HTTP status by outcome; 200 for a response without one of these."""
FindLeader = Callable[[], str]
FindControlNodes = Callable[[], list[str]]
MessageHandler = Callable[[Message], TaskCoroutine[Message]]
HealthState = Callable[[], Message]
StatusAndBody = tuple[int, Message]


class ControlApi:
    """Serves operator requests and the node's own health on the control address.

    Every node accepts every request and forwards to the leader what only the leader can answer. If
    the leader does not respond, the outcome shows whether the request may have been committed.
    """

    __slots__ = (
        "clients",
        "explain",
        "find_control_nodes",
        "find_leader",
        "health_state",
        "listener",
        "scheduler",
        "serve_as_leader",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        clients: RpcClients,
        address: str,
        find_leader: FindLeader,
        find_control_nodes: FindControlNodes,
        serve_as_leader: MessageHandler | None,
        health_state: HealthState,
        explain: MessageHandler | None,
    ) -> None:
        """Listen on the control address.

        Args:
            scheduler: clock and tasks.
            network: the network to listen on.
            log: log of the process.
            clients: RPC clients for calls to other processes.
            address: the control address, host:port.
            find_leader: returns the leader's address, LOCAL_LEADER, or "" if unknown.
            find_control_nodes: returns the addresses of other control nodes.
            serve_as_leader: answers requests while this node is the leader; None if it never is.
            health_state: returns the node's state; the node is ready if `ready` in it is True.
            explain: answers /explain; None if the path is not served.
        """
        self.scheduler = scheduler
        self.clients = clients
        self.find_leader = find_leader
        self.find_control_nodes = find_control_nodes
        self.serve_as_leader = serve_as_leader
        self.health_state = health_state
        self.explain = explain
        limits = Limits(body_bytes=MAX_BODY_BYTES, request_seconds=REQUEST_TIMEOUT_SECONDS)
        self.listener = HttpServer(scheduler, network, log, address, limits, self.serve)

    async def serve(self, exchange: HttpExchange) -> None:
        """Serve one HTTP request; send no response if its body is incomplete or times out."""
        try:
            body = await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        method = exchange.head.method.decode("latin-1")
        target = exchange.head.target.decode("latin-1")
        try:
            status, content = await self.respond(method, target, body)
        except ControlApiError as error:
            status, content = error.http_status, error.body
        await send_json(exchange, status, content)

    async def respond(self, method: str, target: str, body: bytes) -> StatusAndBody:
        """Return the status and the body of the response; raises ControlApiError."""
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

    def respond_health(self, path: str) -> StatusAndBody:
        """Return the node's state: always live, but ready only if `ready` in the state is True."""
        state = self.health_state()
        is_healthy = path == LIVE_PATH or state.get("ready") is True
        return 200 if is_healthy else 503, state

    async def forward(self, request: OperatorRequest) -> Message:
        """Return the leader's answer to a request; the leader may be this node.

        If this node cannot reach the leader, another control node may. The status is NOT_TAKEN
        only if the request certainly was not executed, and UNKNOWN if it may have been.
        """
        if is_nested_too_deeply(request.payload):
            return {"status": OutcomeStatus.MALFORMED, "fault": "nested too deeply"}
        message = request.to_wire()
        until = self.scheduler.now() + FORWARD_TIMEOUT_SECONDS
        while True:
            leader = self.find_leader()
            if leader == LOCAL_LEADER and self.serve_as_leader is not None:
                return await self.serve_as_leader(message)
            answer = await self.call_nodes(leader, message, until)
            if answer is not None:
                return answer
            if self.scheduler.now() >= until:
                return {
                    "status": OutcomeStatus.NOT_TAKEN,
                    "reason": "no leader is known; nothing was taken",
                }
            await self.scheduler.sleep(FORWARD_RETRY_INTERVAL_SECONDS)

    async def call_nodes(self, leader: str, message: Message, until: float) -> Message | None:
        """Call the leader, then the other control nodes, which may forward the message to it.

        Returns None if the message certainly was not executed by a leader. The other nodes are not
        called after `until`, in monotonic seconds.
        """
        if leader and leader != LOCAL_LEADER:
            answer = await self.call_node(leader, message)
            if answer.get("status") != OutcomeStatus.ELSEWHERE:
                return answer
        for node in self.find_control_nodes():
            if node == leader or self.scheduler.now() >= until:
                continue
            answer = await self.call_node(node, {**message, "through": True})
            if answer.get("status") != OutcomeStatus.ELSEWHERE:
                return answer
        return None

    async def call_node(self, address: str, message: Message) -> Message:
        """Call one node once and return its answer.

        Without a response, returns ELSEWHERE if the message certainly was not sent or has no side
        effects, and UNKNOWN if it may have been executed.
        """
        result = await self.clients.call(address, message, CALL_TIMEOUT_SECONDS)
        if result.is_ok():
            return result.ok
        if result.error.sent and message["what"] not in READ_ONLY_ACTIONS:
            return {"status": OutcomeStatus.UNKNOWN, "reason": f"outcome unknown: {result.error}"}
        return {"status": OutcomeStatus.ELSEWHERE}


def find_action(method: str, path: str) -> OperatorAction:
    """Return the action of a request; raises UnknownPathError or MethodNotAllowedError."""
    action = PATHS.get((method, path))
    if action is not None:
        return action
    if any(served_path == path for _, served_path in PATHS):
        raise MethodNotAllowedError
    raise UnknownPathError


def parse_json(body: bytes) -> object:
    """Return the JSON value in a request's body; raises MalformedBodyError."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedBodyError from error


async def send_json(exchange: HttpExchange, status: int, content: object) -> None:
    """Send an uncacheable response with a JSON body."""
    fields: Fields = [(b"Content-Type", b"application/json"), (b"Cache-Control", b"no-store")]
    if status == 503:
        fields.append((b"Retry-After", b"%d" % RETRY_AFTER_SECONDS))
    body = json.dumps(content, ensure_ascii=False, default=str).encode() + b"\n"
    await exchange.respond(status, fields, body)
