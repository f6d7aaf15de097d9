"""Client of an object's owner: the edge that stores the object for its zone or region.

It guards against three failures of an owner:

- An owner that hangs looks like one whose server is slow. So an owner that starts or joins a fetch
  sends 102 (Processing) at once. A request that gets no 102 is overdue at `silence_deadline`, one
  that got it at `processing_deadline`. From then on this edge may try a server itself, while it
  still waits for the owner.
- An owner that hangs during a fetch may have sent the request to servers, and to send it to one
  more is then a retry. So a fetch limits how many servers the owner may use (X-Ryelock-Servers),
  and the response reports how many it reached. Once a fetch is overdue, the limit is charged to the
  request.
- An owner that hangs would thereby use up the service's retry budget, and requests would be
  rejected. So where the budget does not cover a timeout of every request in flight to the owner, a
  lookup precedes the fetch on the same connection. A lookup lets the owner use no server, so its
  timeout costs no retry. The owner answers it at once: with a stored response, or with a rejection
  after which the fetch is sent.

A lookup costs a round trip, so it is left out where the budget suffices: always sent, it cost 0.05
to 0.1 of the value of a day of high load on 98 machines. `Expect: 100-continue` in
its place would cost the same, with framing that depends on whether the body follows.
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
"""Fraction of the time before the request's deadline that is given to the owner."""
SILENCE_TARGET_FRACTION = 0.75
"""Timeout for a 102 or a response, as a fraction of the route's latency target."""
MIN_TIMEOUT_SECONDS = 0.25
PROCESSING_TARGET_FRACTION = 1.0
"""Timeout after a 102, as a fraction of the latency target. The direct fetch that follows also
relieves an owner whose network link is saturated."""
FORWARDED_TIMEOUT_FRACTION = 0.7
"""Factor on a zone owner's processing timeout, which must expire before the requesting edge's."""
NON_FINAL_STATUSES = (304, 408, 421, 425, 429)


@dataclass(frozen=True, slots=True)
class RelayedResponse:
    """A server's complete response that must not be stored, relayed by the owner."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class OwnerRejection:
    """A reply of the owner that carries no response for the client.

    Attributes:
        status: HTTP status of the reply.
        servers_reached: number of servers that the owner reached; None if not reported.
        capacity_in: seconds until the service's rate limit should allow a request; None if the rate
            limit was not the reason.
    """

    status: int
    servers_reached: int | None
    capacity_in: float | None = None


OwnerReply = StoredResponse | RelayedResponse | OwnerRejection


class OwnerClient:
    """Requests objects from their owners."""

    __slots__ = ("context", "router", "validator")

    def __init__(self, context: EdgeContext, router: Router, validator: ResponseValidator) -> None:
        """Create the client."""
        self.context = context
        self.router = router
        self.validator = validator

    def may_use_owner(self, request: Request) -> bool:
        """Return True if a request may go to another edge.

        A probe may not: it checks this edge. Nor may, where the protocol has identities, a request
        whose client gave none: servers echo only identities that clients gave.
        """
        return not request.is_probe and (request.has_client_identity or self.context.profile.own)

    async def fetch(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        stale: StoredResponse | None,
    ) -> "OwnerReply | OwnerRequest | None":
        """Request an object from its owner.

        Args:
            exchange: the client's exchange.
            request: the request.
            route: its route.
            stale: a stored response that the owner may revalidate.

        Returns:
            The owner's reply; the request itself if it is overdue and this edge may try a server
            beside it; None if this edge has to fetch the object from a server.
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
    """One request to the owner of an object: an optional lookup, then a fetch.

    Attributes:
        stale: a stored response that the owner may revalidate.
        reusable: whether the connection can serve another request.
        overdue: whether this edge may try a server while it waits for the owner.
        closed: whether the connection was released.
        sent_at: monotonic time at which the lookup or fetch was sent.
        silence_deadline: monotonic time by which the owner must send a 102 or its response.
        processing_deadline: monotonic time by which it must respond after a 102.
    """

    __slots__ = (
        "closed",
        "connection",
        "context",
        "exchange",
        "overdue",
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
        """Take an idle connection to the owner or open one; nothing is sent yet."""
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
        self.overdue = False
        self.closed = False
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
        """Return the silence deadline and the processing deadline."""
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

    async def run(self) -> "OwnerReply | OwnerRequest | None":
        """Send the request; return None if this edge has to fetch the object from a server.

        A rejection for the service's rate limit is returned, not worked around: a direct fetch
        would use the same rate and fill the cache of this edge only. An overdue request is returned
        itself; the caller ends it by `finish` and `close`.
        """
        self.peers.requests_in_flight[self.owner.name] += 1
        try:
            if not self.connection.connected and not await self.connection.wait_connected(
                CONNECT_TIMEOUT_SECONDS
            ):
                self.peers.suspect(self.owner)
                return None
            reply = await self.look_up_and_fetch()
            if self.overdue:
                return self
            if isinstance(reply, OwnerRejection) and reply.capacity_in is None:
                return None
            return reply
        finally:
            if not self.overdue:
                self.close()

    async def finish(self) -> StoredResponse | RelayedResponse | None:
        """Wait for an overdue reply until the request's deadline; None if there is no object."""
        reply = await self.receive(self.router.deadline(self.exchange, self.route))
        return None if isinstance(reply, OwnerRejection) else reply

    def close(self) -> None:
        """Keep the connection for reuse, or abort it."""
        if self.closed:
            return
        self.closed = True
        self.peers.requests_in_flight[self.owner.name] -= 1
        if self.reusable:
            self.peers.keep_idle_connection(
                self.owner.request_address, self.connection, self.reader
            )
        else:
            self.connection.abort()

    async def look_up_and_fetch(self) -> OwnerReply | None:
        """Send the fetch, after a lookup if the retry budget does not cover a timeout."""
        if not self.retry_budget_covers_timeouts():
            reply = await self.look_up()
            if not isinstance(reply, OwnerRejection) or reply.servers_reached != 0:
                return reply
        return await self.fetch()

    def retry_budget_covers_timeouts(self) -> bool:
        """Return True if the retry budget covers a timeout of all requests in flight to the owner.

        A fetch that times out may have reached a server; sending the request to another server is
        then a retry.
        """
        queue = self.context.admission_queues.get(self.request.service)
        return (
            queue is not None
            and queue.budget.tokens >= self.peers.requests_in_flight[self.owner.name]
        )

    async def look_up(self) -> OwnerReply | None:
        """Request a stored response; the owner sends nothing to a server for it."""
        deadline = min(self.silence_deadline, self.context.scheduler.now() + LOOKUP_TIMEOUT_SECONDS)
        self.send(LOOKUP, deadline)
        return await self.receive(deadline)

    async def fetch(self) -> OwnerReply | None:
        """Request a fetch; charge the servers that the owner may have reached to the request."""
        max_servers = max(1, self.request.attempts_left - 1)
        self.send(max_servers, self.router.deadline(self.exchange, self.route))
        reply = await self.receive(self.silence_deadline, may_be_overdue=True)
        if reply is None:
            self.request.charge_owner(max_servers)
        elif isinstance(reply, OwnerRejection):
            reached = reply.servers_reached
            self.request.charge_owner(max_servers if reached is None else reached)
        return reply

    def send(self, max_servers: int, deadline: float) -> None:
        """Send a lookup or a fetch.

        Args:
            max_servers: maximum number of servers that the owner may send the request to.
            deadline: monotonic time by which the owner has to respond.
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
        """Return the field that identifies this edge and its state to the owner.

        An owner that has applied fewer purges than this edge does not use its stored responses.
        """
        context, session = self.context, self.context.member.session
        purges, version = context.store.last_purge, context.plan.version
        return f"{session.name} {session.probe_secret} {purges} {version}".encode()

    async def receive(self, deadline: float, may_be_overdue: bool = False) -> OwnerReply | None:
        """Return the owner's reply; None if it is late, broken or for another request.

        Args:
            deadline: monotonic time by which the owner must send a 102 or its response.
            may_be_overdue: whether a late reply is still waited for: here if no server may be tried
                from this edge, else by the caller.
        """
        self.reusable = False
        try:
            result = await self.read_head(deadline)
            if result.is_error() and may_be_overdue and self.depends_on_owner():
                deadline = self.router.deadline(self.exchange, self.route)
                result = await self.read_head(deadline)
            if result.is_error():
                # An owner that has responded to other requests since then is slow, not down.
                if not self.peers.responded_since(self.owner, self.sent_at):
                    self.peers.suspect(self.owner)
                self.overdue = may_be_overdue and not self.connection.closed
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
        """Read the head of the final response; a 102 extends the deadline."""
        return await read_response(
            self.reader,
            b"GET",
            self.context.settings.head_bytes,
            deadline,
            self.processing_deadline,
        )

    def depends_on_owner(self) -> bool:
        """Return True if this edge may not send the request to a server itself."""
        queue = self.context.admission_queues.get(self.request.service)
        return not self.connection.closed and (
            self.request.attempts_left <= 1 or queue is None or queue.budget.tokens < 1.0
        )

    def parse_reply(self, head: ResponseHead, body: bytes, complete: bool) -> OwnerReply:
        """Return the reply as a stored response, a relayed response or a rejection."""
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
        """Return the owner's stored response; its age includes the time of the transfer.

        Args:
            head: head of the response, without the fields between edges.
            body: body of the response.
            age: age in seconds that the owner reported.
        """
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
    """Return True if another server would not give a better response to the request."""
    return status < 500 and status not in NON_FINAL_STATUSES
