"""Servers that misbehave at one moment of one order, and a small fleet before them.

A `Script` names an order, a moment of it and an event; the server that the order reaches does
the event at that moment, once, and is a proper server otherwise. Whatever reaches a server stands
in one history with whether it was run; that history decides, not the system's own word. The fleet
is three control nodes and edges on the simulator that speak a dialect in which answers say whose
they are.
"""

from enum import Enum

from ryelock.control_client import call_control_api
from ryelock.edge.handler import RequestHandler
from ryelock.edge.process import TrafficNode
from ryelock.http import (
    Fields,
    FramingError,
    ProtocolProfile,
    Reader,
    RequestHead,
    content_length,
    fetch,
    field,
    parse_request_head,
)
from ryelock.http.errors import IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Connection
from ryelock.settings import read_settings
from ryelock.testing.simulated.world import SimNode, World
from ryelock.testing.stand_ins.servers import PlatformStandIn

DIALECT = ProtocolProfile(
    b"X-Request-Name", b"X-Milliseconds-Left", b"X-Seal", b"X-Server-Life", b"X-Not-Run", b"X-Tags"
)
SERVICE = "pages"
SERVERS = 4
ATTEMPTS = 3
WORK_SECONDS = 0.01
STEADY_SECONDS = 0.001
LATE_SECONDS = 1.2
REQUEST_SECONDS = 0.8
HEAD_BYTES = 65_536
FOREVER = 3600.0
BODY_BYTES = 400
POST_BODY = b"b" * 100_000
PLATFORM = "10.9.0.3:80"
CONFIGURATION: dict[str, object] = {
    "services": {SERVICE: {"rate": 100_000, "answer_seconds": 2}},
    "routes": {
        "covers": {
            "path": "/covers",
            "service": SERVICE,
            "cached": True,
            "lifetime_seconds": 600,
            "attempts": ATTEMPTS,
        },
        "plain": {"path": "/plain", "service": SERVICE, "attempts": ATTEMPTS},
        "orders": {"path": "/orders", "service": SERVICE, "once": True, "attempts": ATTEMPTS},
    },
}


class Moment(Enum):
    """When, within one order, a server does something else than it should."""

    OPENING = "on a new connection, before the request"
    IDLE = "on a kept connection, before the request"
    SENDING = "before the request's body was read"
    SENT = "after the request, before the answer"
    IN_HEAD = "inside the answer's head"
    IN_BODY = "inside the answer's body"
    BEHIND = "behind the whole answer"


class Event(Enum):
    """What it does then."""

    SILENCE = "silence"
    RESET = "reset"
    CLOSE = "close"
    HALF = "half an answer, then a close"
    SECOND = "a second answer at once"
    LATE = "late by 1.2 s"
    NAMELESS = "'not run' under no name"
    FOREIGN = "'not run' under another name"
    OTHER_LIFE = "421 by another life"
    CONTINUE = "100 Continue"
    EARLY = "stray bytes"


class Script:
    """An event at a moment of one request; done once."""

    __slots__ = ("done", "event", "moment", "name")

    def __init__(self, name: str, moment: Moment, event: Event) -> None:
        """Plan one event at a moment of the named request."""
        self.name = name
        self.moment = moment
        self.event = event
        self.done = False


class Arrival:
    """One request as it reached a server."""

    __slots__ = ("address", "at", "method", "name", "ran", "target", "turned_away")

    def __init__(self, at: float, address: str, head: RequestHead) -> None:
        """Note a request's head as a server read it."""
        self.at = at
        self.address = address
        self.method = head.method
        self.target = head.target
        self.name = (field(head.fields, DIALECT.identity.lower()) or b"").decode("latin-1")
        self.ran = False
        self.turned_away = False


def body_of(name: str, target: bytes) -> bytes:
    """The one right body: an object's own, or one that only this request's answer has."""
    start = b"OBJECT " + target if target.startswith(b"/covers") else b"FOR " + name.encode()
    return start.ljust(BODY_BYTES, b".")


def answer_bytes(status: bytes, name: str, body: bytes, more: Fields) -> tuple[bytes, bytes]:
    """Head and body of an answer; an empty name is left out."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body)]
    if name:
        lines.append(DIALECT.identity + b": " + name.encode())
    lines += [key + b": " + value for key, value in more]
    return b"\r\n".join(lines) + b"\r\n\r\n", body


def not_run(name: str, status: bytes = b"503 Full") -> bytes:
    """Return a whole answer which says that the named request was not run."""
    head, body = answer_bytes(status, name, b"", [(DIALECT.not_run, b"1")])
    return head + body


class ScriptedServer:
    """One life of a server at an address."""

    __slots__ = ("address", "fleet", "last", "life", "mute", "node", "slow", "waiting")

    def __init__(self, fleet: "AnswerFleet", node: SimNode, address: str, life: str) -> None:
        """Listen on an address as one life of a server."""
        self.fleet = fleet
        self.node = node
        self.address = address
        self.life = life
        self.waiting: list[Connection] = []
        self.mute: set[Connection] = set()
        self.slow: set[Connection] = set()
        self.last: dict[Connection, Arrival] = {}
        node.network.listen(address, self.greet)

    def greet(self, connection: Connection) -> None:
        """Take a new connection."""
        self.node.scheduler.create_task(self.take(connection), name="requests")

    async def take(self, connection: Connection) -> None:
        """Every request of one link."""
        scheduler = self.node.scheduler
        reader = Reader(scheduler, connection)
        try:
            script = self.fleet.due(Moment.OPENING)
            if script is not None and not await self.misbehave(connection, script, None):
                return
            while True:
                if not reader.buffer:
                    self.waiting.append(connection)
                    try:
                        await reader.receive(scheduler.now() + FOREVER)
                    finally:
                        self.waiting.remove(connection)
                until = scheduler.now() + FOREVER
                head = parse_request_head(await reader.read_head(HEAD_BYTES, until))
                if not await self.serve(connection, reader, head):
                    return
        except (IncompleteMessageError, ReadTimeoutError, FramingError):
            connection.close()

    async def serve(self, connection: Connection, reader: Reader, head: RequestHead) -> bool:
        """One request, whether the link is read on afterwards."""
        arrival = Arrival(self.node.world.time, self.address, head)
        self.fleet.history.append(arrival)
        self.last[connection] = arrival
        if not await self.moment(connection, Moment.SENDING, arrival):
            return False
        left = content_length(head.fields) or 0
        while left:
            left -= len(await reader.read_some(left, self.node.scheduler.now() + FOREVER))
        if arrival.turned_away:
            return True
        expected = field(head.fields, DIALECT.expected.lower()) or b""
        if expected != self.life.encode():
            connection.write(not_run(arrival.name, b"421 Misdirected"))
            return True
        if not await self.moment(connection, Moment.SENT, arrival):
            arrival.ran = True
            return False
        if arrival.turned_away:
            return True
        arrival.ran = True
        if connection in self.mute:
            return False
        if connection in self.slow:
            await self.node.scheduler.sleep(LATE_SECONDS)
        await self.node.scheduler.sleep(WORK_SECONDS)
        return await self.give(connection, arrival)

    async def give(self, connection: Connection, arrival: Arrival) -> bool:
        """The whole answer, in the pieces between which something may happen."""
        head, body = self.whole(arrival)
        connection.write(head[: len(head) // 2])
        if not await self.moment(connection, Moment.IN_HEAD, arrival):
            return False
        connection.write(head[len(head) // 2 :] + body[: len(body) // 2])
        if not await self.moment(connection, Moment.IN_BODY, arrival):
            return False
        connection.write(body[len(body) // 2 :])
        return await self.moment(connection, Moment.BEHIND, arrival)

    def whole(self, arrival: Arrival) -> tuple[bytes, bytes]:
        """Return head and body of a proper answer."""
        return answer_bytes(
            b"200 OK",
            arrival.name,
            body_of(arrival.name, arrival.target),
            [(DIALECT.seal, b"seal"), (b"Keep-Alive", b"timeout=60")],
        )

    async def moment(self, connection: Connection, moment: Moment, arrival: Arrival) -> bool:
        """Play what is planned at a moment; False where the connection is done with."""
        script = self.fleet.due(moment, arrival)
        if script is None:
            return True
        return await self.misbehave(connection, script, arrival)

    def disturb_idle(self, script: Script) -> None:
        """Do a script's event on every link that waits for a request."""
        for connection in list(self.waiting):
            self.node.scheduler.create_task(
                self.on_idle(connection, script, self.last.get(connection)), name="idle"
            )

    async def on_idle(self, connection: Connection, script: Script, last: Arrival | None) -> None:
        """Play an event on a kept connection that carries no request."""
        if script.event is Event.SILENCE:
            self.mute.add(connection)
        elif script.event is Event.LATE:
            self.slow.add(connection)
        else:
            await self.misbehave(connection, script, last)

    async def misbehave(
        self, connection: Connection, script: Script, arrival: Arrival | None
    ) -> bool:
        """Do the event; says whether the server goes on with the link as if nothing had been."""
        event = script.event
        if event is Event.SILENCE:
            return False
        if event is Event.RESET:
            connection.abort()
            return False
        if event is Event.CLOSE:
            connection.close()
            return False
        if event is Event.LATE:
            await self.node.scheduler.sleep(LATE_SECONDS)
            if script.moment is Moment.BEHIND and arrival is not None:
                connection.write(b"".join(self.whole(arrival)))
            return True
        if event in (Event.HALF, Event.SECOND):
            return self.write_answer(connection, event, arrival)
        connection.write(self.bytes_for(event, arrival))
        if event is Event.OTHER_LIFE and arrival is not None and not arrival.ran:
            arrival.turned_away = True
        return True

    def write_answer(self, connection: Connection, event: Event, arrival: Arrival | None) -> bool:
        """Write the answer that an event asks for; False where the connection ends."""
        if arrival is None:
            answer = b"".join(answer_bytes(b"200 OK", "", b"unasked", [(DIALECT.seal, b"seal")]))
        else:
            answer = b"".join(self.whole(arrival))
        if event is Event.SECOND:
            connection.write(answer)
            return True
        connection.write(answer[: len(answer) // 2])
        connection.close()
        return False

    def bytes_for(self, event: Event, arrival: Arrival | None) -> bytes:
        """Return the bytes that an event puts on the connection."""
        name = arrival.name if arrival is not None else ""
        return {
            Event.NAMELESS: not_run(""),
            Event.FOREIGN: not_run("somebody-else"),
            Event.OTHER_LIFE: not_run(name, b"421 Misdirected"),
            Event.CONTINUE: b"HTTP/1.1 100 Continue\r\n\r\n",
            Event.EARLY: b"HTTP/1.1 200 OK\r\nbytes that belong to nothing",
        }[event]


class CallerAnswer:
    """What a caller was answered: the status (0 for no whole answer) and the body."""

    __slots__ = ("body", "seconds", "status")

    def __init__(self, status: int, body: bytes, seconds: float) -> None:
        """Keep what a caller was answered."""
        self.status = status
        self.body = body
        self.seconds = seconds


class SteadyWorld(World):
    """A network on which every message takes the same time, so that none overtakes another."""

    __slots__ = ()

    def delay(self) -> float:
        """Seconds that every message takes."""
        return STEADY_SECONDS


class AnswerFleet:
    """Control nodes, edges of one zone and scripted servers of one service.

    On a `steady` network what a run gives does not depend on what else is sent meanwhile.
    """

    __slots__ = (
        "always",
        "cores",
        "edges",
        "history",
        "outside",
        "platform",
        "script",
        "servers",
        "world",
    )

    def __init__(self, seed: int, edges: int = 1, steady: bool = False) -> None:
        """Build the fleet of a seed; nothing runs yet."""
        self.world = SteadyWorld(seed) if steady else World(seed)
        self.world.spikes = 0.0
        self.history: list[Arrival] = []
        self.script: Script | None = None
        self.always: Event | None = None
        self.outside = self.world.add("outside", "outside", "10.9.0.1")
        platform = self.world.add("platform", "platform", "10.9.0.3")
        self.platform = PlatformStandIn(
            platform.scheduler, platform.network, platform.log, PLATFORM
        )
        self.servers: list[ScriptedServer] = []
        for number in range(SERVERS):
            self.add_server(number)
        self.cores = [f"core{number}" for number in range(3)]
        self.edges = [f"edge{number}" for number in range(edges)]
        for place, name in enumerate(self.cores + self.edges):
            self.start(name, f"10.1.0.{1 + place}")
        self.set_up()

    # Building.

    def add_server(self, number: int) -> None:
        """Add one scripted server and list it."""
        host = f"10.8.0.{1 + number}"
        node = self.world.add(f"server{number}", f"server{number}", host)
        self.servers.append(ScriptedServer(self, node, f"{host}:80", "1"))
        self.platform.show(SERVICE, f"{host}:80", "zone0", 1)

    def start(self, name: str, host: str) -> None:
        """Start one control node or edge."""
        node = self.world.add(name, name, host)
        plain: dict[str, object] = {
            "name": name,
            "zone": "zone0",
            "machine": name,
            "seeds": [f"10.1.0.{number}:1" for number in (1, 2, 3)],
            "wire_address": f"{host}:1",
            "control_address": f"{host}:2",
            "share_copies": True,
        }
        if name in self.cores:
            plain.update(data_folder="/data", platform_address=PLATFORM)
            self.world.start_daemon(node, "core", plain)
            return
        plain["order_address"] = f"{host}:3"
        settings = read_settings("edge", "", plain)
        self.world.start_built(
            node,
            lambda: TrafficNode(
                "edge", settings, node.scheduler, node.network, node.log, node.random, DIALECT
            ),
        )

    def set_up(self) -> None:
        """A leader, the configuration, and edges that are ready."""
        world = self.world
        cores = [world.nodes[name].core for name in self.cores]
        if not world.run_until(lambda: any(core.consensus.leader_ready for core in cores), 30):
            raise AssertionError("no leader")
        given = {"id": "setup", "base": 0, "put": CONFIGURATION}
        found = world.task(
            self.outside,
            call_control_api(
                self.outside.scheduler,
                self.outside.network,
                "10.1.0.1:2",
                "POST",
                "/changes",
                given,
            ),
            40,
        )
        if found.is_error() or found.ok[0] != 200:
            raise AssertionError(f"set-up was told {found}")
        if not world.run_until(
            lambda: all(world.nodes[name].traffic.ready for name in self.edges), 30
        ):
            raise AssertionError("edges are not ready")
        world.run(2.0)

    def handler(self, edge: int = 0) -> RequestHandler:
        """Return the request path of a running edge."""
        handler = self.world.nodes[self.edges[edge]].traffic.handler
        assert handler is not None
        return handler

    # Running.

    def due(self, moment: Moment, arrival: Arrival | None = None) -> Script | None:
        """The script, if its event is to be done now; it is not done again.

        `always` stands for a script of every request, between it and its answer.
        """
        if self.always is not None and arrival is not None and moment is Moment.SENT:
            return Script(arrival.name, moment, self.always)
        script = self.script
        if script is None or script.done or script.moment is not moment:
            return None
        if arrival is not None and arrival.name != script.name:
            return None
        script.done = True
        return script

    def forget(self) -> None:
        """Every edge as it was at first: no kept links, no servers set aside, repeats to spend."""
        for number in range(len(self.edges)):
            handler = self.handler(number)
            for state in handler.context.servers.by_service.get(SERVICE, []):
                state.close_idle()
                state.failures, state.full_until, state.ejection_seconds = 0, 0.0, 0.0
                state.ejected_until, state.trial_in_flight, state.latency = 0.0, False, 0.0
            budget = handler.context.admission_queues[SERVICE].budget
            budget.tokens = budget.allowance
        for server in self.servers:
            server.mute.clear()
            server.slow.clear()

    async def ask(
        self, name: str, method: str, target: str, more: Fields | None = None, edge: int = 0
    ) -> CallerAnswer:
        """One request of a caller, on a link of its own."""
        started = self.world.time
        found = await fetch(
            self.outside.scheduler,
            self.outside.network,
            f"10.1.0.{4 + edge}:3",
            method.encode(),
            target.encode(),
            [
                (b"Host", b"site"),
                (DIALECT.identity, name.encode()),
                (DIALECT.deadline, b"%d" % int(REQUEST_SECONDS * 1000)),
                *(more or []),
            ],
            POST_BODY if method == "POST" else b"",
            REQUEST_SECONDS + 1.0,
        )
        status, body = (found.ok[0].status, found.ok[1]) if found.is_ok() else (0, b"")
        return CallerAnswer(status, body, self.world.time - started)

    def ask_now(
        self, name: str, method: str, target: str, more: Fields | None = None, edge: int = 0
    ) -> CallerAnswer:
        """Send one request and run the simulation until it is answered."""
        return self.world.task(self.outside, self.ask(name, method, target, more, edge), 20)

    def arrivals(self, name: str) -> list[Arrival]:
        """Return what servers saw of the named request, in order."""
        return [arrival for arrival in self.history if arrival.name == name]
