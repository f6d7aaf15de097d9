"""Asks the edge that keeps an object (its owner) for it.

An owner that begins a fetch, or joins one, says so at once (102 Processing): one that is silent is
told from one whose server is slow. One at work is waited for somewhat longer, up to the route's
latency target.

A request to an owner has one step or two on one connection. Where the budget of retries has no
room for the owner's silence, a lookup comes first, which lets the owner send nothing to a server:
it answers at once, with a stored response or that it has none. The fetch waits for a fill that is
under way there, or begins one, and names how many servers it may send to; its response names how
many it reached. So a silent owner has sent nothing to a server unless it fell silent within the
fetch itself, and what it may have sent is known: nothing after a lookup, at most the number that
the fetch named after a silence, the number it reported otherwise.

Weighed: one step always (an owner that hangs then costs a retry for each request that it swallowed,
and requests are rejected once none is left), a lookup always (on a site of 98 machines the round
trips cost 0.05 to 0.1 of a scale day's value), and `Expect: 100-continue` as the second step (the
same round trip, with framing that depends on whether the body is still to come).
"""

from dataclasses import dataclass

from expression import Result

from ryelock.cache import CONDITIONAL_FIELDS, StoredResponse, freshen, storable_response
from ryelock.edge.context import EdgeContext
from ryelock.edge.peer_protocol import (
    AGE_FIELD,
    CAPACITY_FIELD,
    LOOKUP,
    PEER_FIELD,
    PEER_FIELDS,
    RELAYED_FIELD,
    SERVERS_FIELD,
    parse_count,
    parse_seconds,
)
from ryelock.edge.peers import Peers
from ryelock.edge.request import Request
from ryelock.edge.response_validator import ResponseValidator
from ryelock.edge.routing import Router
from ryelock.edge.upstream_response import read_prefix
from ryelock.http import (
    ClientError,
    Fields,
    FramingError,
    HttpExchange,
    IncompleteMessageError,
    Reader,
    ReadTimeoutError,
    Response,
    ResponseHead,
    end_to_end,
    field,
    read_response,
    send_request,
)
from ryelock.membership import Session
from ryelock.replicated_state import Route
from ryelock.runtime import Connection

CONNECT_TIMEOUT_SECONDS = 0.1
LOOKUP_TIMEOUT_SECONDS = 0.25
DEADLINE_FRACTION = 0.5
"""Part of the time left that an owner may take."""
SILENCE_TARGET_FRACTION = 0.75
"""Part of the latency target up to which an owner that says nothing is waited for."""
MIN_TIMEOUT_SECONDS = 0.25
PROCESSING_TARGET_FRACTION = 1.0
"""An owner that works on a fetch is waited for up to this part of the latency target; then a server
is asked from here, which also takes load from an owner whose connection is full."""
FORWARDED_TIMEOUT_FRACTION = 0.7
"""The owner of a zone waits less for the home's than the edge that asked waits for it."""
RETRYABLE_STATUSES = (304, 408, 421, 425, 429)


@dataclass(frozen=True, slots=True)
class RelayedResponse:
    """A server's whole response that is not stored, as the owner relayed it."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class OwnerRejection:
    """The owner has nothing for this request.

    Attributes:
        status: what it answered.
        servers_reached: how many servers it reached; None where it does not say.
        capacity_in: seconds until it expects room in the service's rate; None where that is not why
            it has nothing.
    """

    status: int
    servers_reached: int | None
    capacity_in: float | None = None


OwnerReply = StoredResponse | RelayedResponse | OwnerRejection


class OwnerClient:
    """Asks the owners of objects."""

    __slots__ = ("context", "router", "validator")

    def __init__(self, context: EdgeContext, router: Router, validator: ResponseValidator) -> None:
        """Create the client of an edge."""
        self.context = context
        self.router = router
        self.validator = validator

    def may_use_owner(self, request: Request) -> bool:
        """Whether a request may go to another edge: no probe, and none without a name."""
        return not request.is_probe and (request.named_by_caller or self.context.profile.own)

    async def fetch(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        stale: StoredResponse | None,
    ) -> OwnerReply | None:
        """Ask the edge that keeps an object for the zone or the region.

        Returns:
            What it gives; None where the object is to be fetched from a server here.
        """
        peers = self.context.peers
        if peers is None or not self.may_use_owner(request):
            return None
        peers.update_members(self.context.member.members)
        zone = "" if request.peer is None else request.peer.zone
        owner = peers.owner_to_ask((request.host, request.target), zone)
        if owner is None:
            return None
        return await OwnerRequest(self, peers, owner, exchange, request, route, stale).run()


class OwnerRequest:
    """One request to the owner of its object.

    Attributes:
        stale: a stored response that the owner may say is unchanged.
        reusable: whether the connection can be used again.
        sent_at: monotonic time of the last step's sending.
        silence_deadline: monotonic time up to which a silent owner is waited for.
        processing_deadline: the same for one that says that it is at work.
    """

    __slots__ = (
        "connection",
        "context",
        "exchange",
        "owner",
        "peers",
        "processing_deadline",
        "reader",
        "request",
        "reusable",
        "route",
        "router",
        "sent_at",
        "silence_deadline",
        "stale",
        "validator",
    )

    def __init__(
        self,
        client: OwnerClient,
        peers: Peers,
        owner: Session,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        stale: StoredResponse | None,
    ) -> None:
        """Take a connection to the owner; nothing is sent yet."""
        self.context = client.context
        self.router = client.router
        self.validator = client.validator
        self.peers = peers
        self.owner = owner
        self.exchange = exchange
        self.request = request
        self.route = route
        self.stale = stale
        self.reusable = False
        self.sent_at = 0.0
        self.silence_deadline, self.processing_deadline = self.deadlines()
        idle = peers.take_idle_connection(owner.request_address)
        if idle is not None:
            self.connection: Connection = idle.connection
            self.reader = idle.reader
        else:
            self.connection = self.context.network.connect(owner.request_address)
            self.reader = Reader(self.context.scheduler, self.connection)

    def deadlines(self) -> tuple[float, float]:
        """Return until when the owner is waited for: while it is silent, and while it works."""
        now = self.context.scheduler.now()
        remaining = self.router.deadline(self.exchange, self.route) - now
        silence_timeout = processing_timeout = limit = DEADLINE_FRACTION * max(0.0, remaining)
        target = self.route.target_seconds
        if target:
            silence_timeout = min(limit, max(MIN_TIMEOUT_SECONDS, SILENCE_TARGET_FRACTION * target))
            processing_timeout = min(
                limit, max(MIN_TIMEOUT_SECONDS, PROCESSING_TARGET_FRACTION * target)
            )
        if self.request.peer is not None:
            processing_timeout *= FORWARDED_TIMEOUT_FRACTION
        return now + silence_timeout, now + processing_timeout

    async def run(self) -> OwnerReply | None:
        """Ask the owner; None where the object is to be fetched from a server here.

        An owner without room in the service's rate rejects for all: what was fetched here instead
        would take as much of the rate, and serve this edge alone.
        """
        self.peers.requests_in_flight[self.owner.name] += 1
        try:
            if not self.connection.connected and not await self.connection.wait_connected(
                CONNECT_TIMEOUT_SECONDS
            ):
                self.peers.suspect(self.owner)
                return None
            reply = await self.look_up_and_fetch()
            if isinstance(reply, OwnerRejection) and reply.capacity_in is None:
                return None
            return reply
        finally:
            self.peers.requests_in_flight[self.owner.name] -= 1
            if self.reusable:
                self.peers.keep_idle_connection(
                    self.owner.request_address, self.connection, self.reader
                )
            else:
                self.connection.abort()

    async def look_up_and_fetch(self) -> OwnerReply | None:
        """Have the owner fetch, after a lookup where its silence could not be paid for."""
        if not self.retry_budget_covers_timeouts():
            reply = await self.look_up()
            if not isinstance(reply, OwnerRejection) or reply.servers_reached != 0:
                return reply
        return await self.fetch()

    def retry_budget_covers_timeouts(self) -> bool:
        """Whether the budget of retries has room for this request and all others to the owner.

        A fetch that the owner swallows may have reached a server, so the request that goes to
        another one then is a retry.
        """
        queue = self.context.admission_queues.get(self.request.service)
        return (
            queue is not None
            and queue.budget.tokens >= self.peers.requests_in_flight[self.owner.name]
        )

    async def look_up(self) -> OwnerReply | None:
        """Ask for a stored response. Whatever comes of it, no server was sent anything."""
        deadline = min(self.silence_deadline, self.context.scheduler.now() + LOOKUP_TIMEOUT_SECONDS)
        self.send(LOOKUP, deadline)
        return await self.receive(deadline)

    async def fetch(self) -> OwnerReply | None:
        """Have the owner fetch; what it may have sent to servers is charged to the request."""
        max_servers = max(1, self.request.attempts_left - 1)
        self.send(max_servers, self.router.deadline(self.exchange, self.route))
        reply = await self.receive(self.silence_deadline, may_extend=True)
        if reply is None:
            self.request.charge_owner(max_servers)
        elif isinstance(reply, OwnerRejection):
            reached = reply.servers_reached
            self.request.charge_owner(max_servers if reached is None else reached)
        return reply

    def send(self, max_servers: int, deadline: float) -> None:
        """Send one step.

        Args:
            max_servers: how many servers the owner may send the request to.
            deadline: monotonic time up to which it may work on it.
        """
        profile = self.context.profile
        head = self.exchange.head
        dropped = {*CONDITIONAL_FIELDS, b"expect", *PEER_FIELDS, profile.deadline.lower()}
        fields: Fields = [
            (name, value) for name, value in end_to_end(head.fields) if name.lower() not in dropped
        ]
        self.sent_at = self.context.scheduler.now()
        if profile.identity and field(fields, profile.identity.lower()) is None:
            fields.append((profile.identity, self.request.identity.encode("latin-1")))
        if profile.deadline:
            remaining = int((deadline - self.sent_at) * 1000)
            fields.append((profile.deadline, b"%d" % max(1, remaining)))
        if self.stale is not None and self.stale.etag is not None:
            fields.append((b"If-None-Match", self.stale.etag))
        fields.append((PEER_FIELD, self.peer_field()))
        fields.append((SERVERS_FIELD, b"%d" % max_servers))
        send_request(self.connection, b"GET", head.target, fields, b"")

    def peer_field(self) -> bytes:
        """Return what the owner is told of this edge.

        An owner that knows of fewer purges uses nothing that it has stored.
        """
        context, session = self.context, self.context.member.session
        purges, version = context.store.last_purge, context.plan.version
        return f"{session.name} {session.probe_secret} {purges} {version}".encode()

    async def receive(self, deadline: float, may_extend: bool = False) -> OwnerReply | None:
        """Return the owner's reply, or None where it gave no whole one to this request.

        Args:
            deadline: monotonic time up to which a silent owner is waited for.
            may_extend: whether to wait on where nothing can be sent to a server from here.
        """
        self.reusable = False
        try:
            result = await self.read_head(deadline)
            if result.is_error() and may_extend and self.depends_on_owner():
                deadline = self.router.deadline(self.exchange, self.route)
                result = await self.read_head(deadline)
            if result.is_error():
                # An owner that answered others meanwhile is slow, not gone.
                if not self.peers.responded_since(self.owner, self.sent_at):
                    self.peers.suspect(self.owner)
                return None
            response = result.ok
            if not self.validator.belongs_to(self.request, response.head):
                return None
            body, complete = await read_prefix(
                response,
                max(deadline, self.processing_deadline),
                self.context.settings.answer_bytes,
            )
        except (IncompleteMessageError, ReadTimeoutError, FramingError):
            self.peers.suspect(self.owner)
            return None
        self.reusable = complete and response.keep_alive
        return self.parse_reply(response.head, body, complete)

    async def read_head(self, deadline: float) -> Result[Response, ClientError]:
        """Read the head of the final response."""
        return await read_response(
            self.reader,
            b"GET",
            self.context.settings.head_bytes,
            deadline,
            self.processing_deadline,
        )

    def depends_on_owner(self) -> bool:
        """Whether no server may be sent the request from here, so that only the owner is left."""
        queue = self.context.admission_queues.get(self.request.service)
        return not self.connection.closed and (
            self.request.attempts_left <= 1 or queue is None or queue.budget.tokens < 1.0
        )

    def parse_reply(self, head: ResponseHead, body: bytes, complete: bool) -> OwnerReply:
        """Tell a stored response from a relayed one and from a rejection."""
        age = parse_seconds(field(head.fields, AGE_FIELD.lower()))
        fields = [
            pair
            for pair in end_to_end(head.fields)
            if pair[0].lower() not in PEER_FIELDS and pair[0].lower() != b"age"
        ]
        server_head = ResponseHead(head.status, head.reason, 1, fields)
        if complete and age is not None:
            self.peers.record_response(self.owner)
            stored = self.parse_stored_response(server_head, body, age)
            if stored is not None:
                return stored
        elif complete and is_final(head.status) and field(head.fields, RELAYED_FIELD.lower()):
            self.peers.record_response(self.owner)
            return RelayedResponse(server_head, body)
        return OwnerRejection(
            head.status,
            parse_count(field(head.fields, SERVERS_FIELD.lower())),
            parse_seconds(field(head.fields, CAPACITY_FIELD.lower())),
        )

    def parse_stored_response(
        self, head: ResponseHead, body: bytes, age: float
    ) -> StoredResponse | None:
        """Return the owner's stored response, as old as the owner says and the way here took."""
        now = self.context.scheduler.now()
        if head.status == 304 and self.stale is not None:
            stored: StoredResponse | None = freshen(self.stale, head, self.sent_at, now)
        else:
            stored = storable_response(
                self.exchange.head, self.route, head, head.fields, body, self.sent_at, now
            )
        if stored is not None:
            stored.initial_age = age + (now - self.sent_at)
        return stored


def is_final(status: int) -> bool:
    """Whether a second server could not do better: not the server's own failure, nor "not run"."""
    return status < 500 and status not in RETRYABLE_STATUSES
