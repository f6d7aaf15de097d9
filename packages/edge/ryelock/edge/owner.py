"""Asking the edge that keeps an object (its owner) for a copy of it.

An owner that begins a fetch, or joins one, says so at once (102 Processing): one that is silent is
told from one whose server is slow. One at work is waited for somewhat longer, up to the aim.

An ask has one step or two on one link. Where the budget of retries has no room for the owner's
silence, a lookup comes first, which lets the owner send nothing to a server: it answers at once,
with a copy or that it has none. The fetch waits for a fill that is under way there, or begins one,
and names how many servers it may send to; its answer names how many it reached. So a silent owner
has sent nothing to a server unless it fell silent within the fetch itself, and what it may have
sent is known: nothing after a lookup, at most the number that the fetch named after a silence, the
number it told otherwise.

Weighed: one step always (an owner that hangs then costs a repeat for each ask that it swallowed,
and requests are refused once none is left), a lookup always (on a site of 98 machines the round
trips cost 0.05 to 0.1 of a scale day's worth), and `Expect: 100-continue` as the second step (the
same round trip, with framing that depends on whether the body is still to come).
"""

from typing import TYPE_CHECKING

from expression import Result

from ryelock.cache import StoredResponse, copy_of
from ryelock.edge.copies import CONDITIONS, refreshed
from ryelock.edge.orders import Request
from ryelock.edge.peers import Peers
from ryelock.http import (
    ClientError,
    Fields,
    HttpExchange,
    Reader,
    Response,
    ResponseHead,
    end_to_end,
    field,
    read_response,
    send_request,
)
from ryelock.http.heads import FramingError
from ryelock.http.reader import IncompleteMessageError, ReadTimeoutError
from ryelock.membership import Session
from ryelock.replicated_state import Route
from ryelock.runtime import Connection

if TYPE_CHECKING:
    from ryelock.edge.handler import RequestHandler

OPEN_SECONDS = 0.1
LOOKUP_SECONDS = 0.25
ANSWER_PART = 0.5
TARGET_PART = 0.75
ANSWER_LEAST = 0.25
WORKING_PART = 1.0
"""An owner that works on a fetch is waited for up to this part of the aim; then a server is asked
from here, which also takes load from an owner whose link is full."""
HOME_PART = 0.7
"""The owner of a zone waits less for the home's than the edge that asked waits for it."""

PEER_FIELD = b"X-Ryelock-Peer"
SERVERS_FIELD = b"X-Ryelock-Servers"
RELAYED_FIELD = b"X-Ryelock-Relayed"
AGE_FIELD = b"X-Ryelock-Age"
ROOM_FIELD = b"X-Ryelock-Room-In"
OWN_FIELDS = frozenset(
    name.lower() for name in (PEER_FIELD, SERVERS_FIELD, RELAYED_FIELD, AGE_FIELD, ROOM_FIELD)
)
LOOKUP = 0


class Relayed:
    """A server's whole answer that is no copy, as the owner passed it on."""

    __slots__ = ("body", "head")

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body = body


class Refusal:
    """The owner has nothing for this request.

    Attributes:
        status: what it answered.
        servers: how many servers it reached; None where it does not say.
        room_in: seconds until it expects room in the service's rate; None where it is not for want
            of room that it has nothing.
    """

    __slots__ = ("room_in", "servers", "status")

    def __init__(self, status: int, servers: int | None, room_in: float | None = None) -> None:
        self.status = status
        self.servers = servers
        self.room_in = room_in


Reply = StoredResponse | Relayed | Refusal


class OwnerRequest:
    """One order's ask to the owner of its object."""

    __slots__ = (
        "connection",
        "exchange",
        "handler",
        "keep",
        "known",
        "owner",
        "peers",
        "reader",
        "request",
        "route",
        "sent",
        "until",
        "working_until",
    )

    def __init__(
        self,
        handler: "RequestHandler",
        peers: Peers,
        owner: Session,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        known: StoredResponse | None,
    ) -> None:
        self.handler = handler
        self.peers = peers
        self.owner = owner
        self.exchange = exchange
        self.request = request
        self.route = route
        self.known = known
        self.keep = False
        self.sent = 0.0
        now = handler.scheduler.now()
        most = ANSWER_PART * max(0.0, handler.deadline(exchange, route) - now)
        silent = working = most
        if route.target_seconds:
            silent = min(most, max(ANSWER_LEAST, TARGET_PART * route.target_seconds))
            working = min(most, max(ANSWER_LEAST, WORKING_PART * route.target_seconds))
        if request.peer:
            working *= HOME_PART
        self.until = now + silent
        self.working_until = now + working
        kept = peers.kept_connection(owner.request_address)
        self.connection: Connection = (
            kept[0] if kept is not None else handler.network.connect(owner.request_address)
        )
        self.reader = kept[1] if kept is not None else Reader(handler.scheduler, self.connection)

    async def run(self) -> Reply | None:
        """What the owner gives; None where the order is to be fetched from a server here.

        An owner without room in the service's rate refuses for all: what was fetched here instead
        would take as much of the rate, and serve this edge alone.
        """
        self.peers.asked[self.owner.name] += 1
        try:
            if not self.connection.connected and not await self.connection.wait_connected(
                OPEN_SECONDS
            ):
                self.peers.doubt(self.owner)
                return None
            found: Reply | None = Refusal(0, 0)
            if not self.can_pay_for_silence():
                found = await self.look_up()
            if isinstance(found, Refusal) and found.servers == 0:
                found = await self.fetch()
            if isinstance(found, Refusal) and found.room_in is None:
                return None
            return found
        finally:
            self.peers.asked[self.owner.name] -= 1
            if self.keep:
                self.peers.keep_connection(self.owner.request_address, self.connection, self.reader)
            else:
                self.connection.abort()

    def can_pay_for_silence(self) -> bool:
        """Whether the budget of retries has room for this ask and all others to the owner.

        A fetch that the owner swallows may have reached a server, so the request that goes to
        another one then is a retry.
        """
        gate = self.handler.gates.get(self.request.service)
        return gate is not None and gate.budget.tokens >= self.peers.asked[self.owner.name]

    async def look_up(self) -> Reply | None:
        """The owner's copy. Whatever comes of it, no server was sent anything."""
        until = min(self.until, self.handler.scheduler.now() + LOOKUP_SECONDS)
        self.send(LOOKUP, until)
        return await self.receive(until)

    async def fetch(self) -> Reply | None:
        """The owner's copy, fetched by it; what it may have sent is charged to the order."""
        servers = max(1, self.request.servers_left - 1)
        self.send(servers, self.handler.deadline(self.exchange, self.route))
        reply = await self.receive(self.until, patient=True)
        if reply is None:
            self.request.charge_owner(servers)
        elif isinstance(reply, Refusal):
            self.request.charge_owner(servers if reply.servers is None else reply.servers)
        return reply

    def send(self, servers: int, until: float) -> None:
        """Ask under the caller's name, since servers repeat no other."""
        handler = self.handler
        request = self.request
        head = self.exchange.head
        dialect = handler.dialect
        dropped = {*CONDITIONS, b"expect", *OWN_FIELDS, dialect.deadline.lower()}
        fields: Fields = [
            (name, value) for name, value in end_to_end(head.fields) if name.lower() not in dropped
        ]
        self.sent = handler.scheduler.now()
        if dialect.identity and field(fields, dialect.identity.lower()) is None:
            fields.append((dialect.identity, request.identity.encode("latin-1")))
        if dialect.deadline:
            fields.append((dialect.deadline, b"%d" % max(1, int((until - self.sent) * 1000))))
        if self.known is not None and self.known.etag is not None:
            fields.append((b"If-None-Match", self.known.etag))
        session = handler.member.session
        said = (
            f"{session.name} {session.probe_secret} {handler.store.purged} {handler.plan.version}"
        )
        fields.append((PEER_FIELD, said.encode()))
        fields.append((SERVERS_FIELD, b"%d" % servers))
        send_request(self.connection, b"GET", head.target, fields, b"")

    async def receive(self, until: float, patient: bool = False) -> Reply | None:
        """The owner's reply, or None where it gave no whole one that is this order's."""
        self.keep = False
        try:
            found = await self.read_head(until)
            if found.is_error() and patient and self.must_wait():
                until = self.handler.deadline(self.exchange, self.route)
                found = await self.read_head(until)
            if found.is_error():
                if self.peers.heard(self.owner) < self.sent:
                    self.peers.doubt(self.owner)
                return None
            answer = found.ok
            if not self.handler.answers(self.request, answer.head):
                return None
            until = max(until, self.working_until)
            body, whole = await self.handler.read_first(answer, until, True)
        except (IncompleteMessageError, ReadTimeoutError, FramingError):
            self.peers.doubt(self.owner)
            return None
        self.keep = whole and answer.keep_alive
        return self.read_reply(answer.head, body, whole)

    async def read_head(self, until: float) -> Result[Response, ClientError]:
        return await read_response(
            self.reader, b"GET", self.handler.settings.head_bytes, until, self.working_until
        )

    def must_wait(self) -> bool:
        """Whether no server may be sent the order from here, so that only the owner is left."""
        gate = self.handler.gates.get(self.request.service)
        return not self.connection.closed and (
            self.request.servers_left <= 1 or gate is None or gate.budget.tokens < 1.0
        )

    def read_reply(self, head: ResponseHead, body: bytes, whole: bool) -> Reply:
        servers = number_of(field(head.fields, SERVERS_FIELD.lower()))
        age = age_of(field(head.fields, AGE_FIELD.lower()))
        fields = [
            pair
            for pair in end_to_end(head.fields)
            if pair[0].lower() not in OWN_FIELDS and pair[0].lower() != b"age"
        ]
        plain = ResponseHead(head.status, head.reason, 1, fields)
        if whole and age is not None:
            self.peers.trust(self.owner)
            copy = self.read_copy(plain, body, age)
            if copy is not None:
                return copy
        elif whole and is_final(head.status) and field(head.fields, RELAYED_FIELD.lower()):
            self.peers.trust(self.owner)
            return Relayed(plain, body)
        return Refusal(head.status, servers, age_of(field(head.fields, ROOM_FIELD.lower())))

    def read_copy(self, head: ResponseHead, body: bytes, age: float) -> StoredResponse | None:
        now = self.handler.scheduler.now()
        if head.status == 304 and self.known is not None:
            copy: StoredResponse | None = refreshed(self.known, head, self.sent, now)
        else:
            copy = copy_of(self.exchange.head, self.route, head, head.fields, body, self.sent, now)
        if copy is not None:
            copy.age_then = age + (now - self.sent)
        return copy


def is_final(status: int) -> bool:
    """Whether a server's answer is worth no second server: not its own failure, nor a promise."""
    return status < 500 and status not in (304, 408, 421, 425, 429)


def number_of(value: bytes | None) -> int | None:
    """A small whole number in a field; None where there is none."""
    return int(value) if value is not None and value.isdigit() and len(value) < 4 else None


def age_of(value: bytes | None) -> float | None:
    """The age that another edge says its copy has; None where it says none."""
    try:
        age = float(value or b"none")
    except ValueError:
        return None
    return age if 0 <= age < 1e9 else None
