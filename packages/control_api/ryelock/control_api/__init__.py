"""The operator's and platform's HTTP on every process, and how it reaches the leader.

Any core or edge takes any operator's order. What the leader must say is passed to it by one
ask over the wire; whether an ask that had no answer may have been taken is told apart.
"""

import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from ryelock.events import Log
from ryelock.http import Fields, HttpExchange, HttpServer, Limits
from ryelock.http.reader import IncompleteMessageError, ReadTimeoutError
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Network, Scheduler, TaskCoroutine

ASK_SECONDS = 6.0
OPERATOR = "operator"
Leader = Callable[[], str]
Others = Callable[[], list[str]]
Local = Callable[[Message], TaskCoroutine[Message]]
State = Callable[[], Message]

PATHS = {
    ("POST", "/changes"): "change",
    ("POST", "/plans"): "plan",
    ("GET", "/configuration"): "read",
    ("POST", "/purges"): "purge",
    ("POST", "/drains"): "drain",
    ("POST", "/recoveries"): "recover",
    ("GET", "/verdicts"): "verdicts",
    ("GET", "/members"): "members",
}
STATUSES = {
    "accepted": 200,
    "conflict": 409,
    "invalid": 422,
    "not-taken": 503,
    "unknown": 504,
    "declined": 409,
    "fenced": 409,
    "malformed": 400,
}


class ControlApi:
    """Answers on the control address."""

    __slots__ = (
        "explain",
        "fitness",
        "lead_here",
        "leader",
        "lines",
        "listener",
        "others",
        "scheduler",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        lines: RpcClients,
        address: str,
        leader: Leader,
        others: Others,
        lead_here: Local | None,
        fitness: State,
        explain: Local | None,
    ) -> None:
        self.scheduler = scheduler
        self.lines = lines
        self.leader = leader
        self.others = others
        self.lead_here = lead_here
        self.fitness = fitness
        self.explain = explain
        self.listener = HttpServer(
            scheduler,
            network,
            log,
            address,
            Limits(body_bytes=33_554_432, request_seconds=30.0),
            self.serve,
        )

    async def serve(self, exchange: HttpExchange) -> None:
        """One operator's order, from its bytes to its answer."""
        try:
            body = await exchange.read_body()
        except (IncompleteMessageError, ReadTimeoutError):
            return
        method = exchange.head.method.decode("latin-1")
        parts = urlsplit(exchange.head.target.decode("latin-1"))
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        if method in ("GET", "HEAD") and parts.path in ("/fitness/live", "/fitness/ready"):
            state = self.fitness()
            fine = parts.path == "/fitness/live" or state.get("ready") is True
            await answer(exchange, 200 if fine else 503, state)
            return
        if method == "GET" and parts.path == "/explain" and self.explain is not None:
            found = await self.explain(dict(query))
            await answer(exchange, 200 if "fault" not in found else 404, found)
            return
        kind = PATHS.get((method, parts.path))
        if kind is None:
            known = [allowed for allowed, path in PATHS if path == parts.path]
            await answer(exchange, 405 if known else 404, {"fault": "no such place"})
            return
        message: Message = {"kind": OPERATOR, "what": kind, "query": query}
        if method == "POST":
            try:
                message["given"] = json.loads(body)
            except (ValueError, RecursionError):
                await answer(exchange, 400, {"status": "malformed", "fault": "not JSON"})
                return
        found = await self.pass_on(message)
        status = STATUSES.get(str(found.get("status")), 200)
        await answer(exchange, status, found)

    async def pass_on(self, message: Message) -> Message:
        """To the leader, here or elsewhere; what is not taken is certain or said to be unknown.

        Where the leader is out of reach from here, another control node may reach it.
        """
        until = self.scheduler.now() + 3.0
        while True:
            leader = self.leader()
            if leader == "here" and self.lead_here is not None:
                return await self.lead_here(message)
            if leader and leader != "here":
                found = await self.ask_leader(leader, message)
                if found.get("status") != "elsewhere":
                    return found
            for other in self.others():
                if other == leader or self.scheduler.now() >= until:
                    continue
                found = await self.ask_leader(other, {**message, "through": True})
                if found.get("status") != "elsewhere":
                    return found
            if self.scheduler.now() >= until:
                return {"status": "not-taken", "reason": "no leader is known; nothing was taken"}
            await self.scheduler.sleep(0.1)

    async def ask_leader(self, leader: str, message: Message) -> Message:
        """One ask: an answer, or that it certainly was not taken there, or that nobody knows."""
        found = await self.lines.call(leader, message, ASK_SECONDS)
        if found.is_ok():
            return found.ok
        asks_only = message["what"] in ("read", "plan", "verdicts", "members")
        if found.error.sent and not asks_only:
            return {"status": "unknown", "reason": f"outcome unknown: {found.error}"}
        return {"status": "elsewhere"}


async def answer(exchange: HttpExchange, status: int, plain: object) -> None:
    fields: Fields = [(b"Content-Type", b"application/json"), (b"Cache-Control", b"no-store")]
    if status == 503:
        fields.append((b"Retry-After", b"1"))
    body = json.dumps(plain, ensure_ascii=False, default=str).encode() + b"\n"
    await exchange.respond(status, fields, body)
