"""Who calls at a platform's edges: callers by their rules, the entrance that sends them, operators.

Every try of a caller has an identity of its own and stands in its notes with all that came
back. `broken` holds notes and servers' histories against each other; nothing of the system's
own word is asked.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field as dataclass_field
from random import Random

from ryelock.http import Fields, Reader, fetch, field, read_response, send_request
from ryelock.http.errors import FramingError, IncompleteMessageError, ReadTimeoutError
from ryelock.runtime import Network, Scheduler
from ryelock.testing.hosting_platform.platform import Arrival, ServiceStandIn, Words
from ryelock.testing.stand_ins.persistent_connection import PersistentConnection

SAFE, UNSAFE, CACHEABLE = "safe", "unsafe", "cacheable"
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
OPERATOR_FINAL = (200, 400, 409, 412, 413, 422)
TRIES_MOST = 4
MISSED_MOST = 2
CONNECT_SECONDS = 1.0
HEAD_MOST = 65_536
BODY_MOST = 1 << 24


@dataclass(slots=True, eq=False)
class Note:
    """One try of a caller and what it was told.

    Attributes:
        at: monotonic time of the try.
        edge: name of the node it was sent to.
        kind: SAFE, UNSAFE or CACHEABLE.
        method: HTTP method.
        host: value of the Host field.
        target: path with query.
        identity: name of the try; the request's name, a dash, and the number of the try.
        body: body that was sent.
        deadline: seconds until the caller leaves.
        status: status that was told, 0 without an answer.
        fields: header fields of the answer.
        said: body of the answer.
        whole: whether the answer came whole.
        end: how the try ended.
        seconds: how long it took.
    """

    at: float
    edge: str
    kind: str
    method: str
    host: str
    target: str
    identity: str
    body: bytes
    deadline: float
    status: int = 0
    fields: Fields = dataclass_field(default_factory=list)
    said: bytes = b""
    whole: bool = False
    end: str = ""
    seconds: float = 0.0

    @property
    def request(self) -> str:
        """Name of the request that this is a try of."""
        return self.identity.rpartition("-")[0]

    @property
    def served(self) -> bool:
        """Whether the caller got a whole success."""
        return self.whole and 200 <= self.status < 300

    def field(self, name: bytes) -> bytes | None:
        """Return a field of the answer, None where it has none."""
        return field(self.fields, name.lower())


class Entrance:
    """Asks nodes every second whether they are ready, and hands callers to those that are."""

    __slots__ = ("asked", "fronts", "missed", "network", "readiness", "scheduler", "zones")

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        """Create an entrance without nodes."""
        self.scheduler = scheduler
        self.network = network
        self.fronts: dict[str, str] = {}
        self.readiness: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.missed: dict[str, int] = {}
        self.asked = 0

    def add(self, name: str, zone: str, front: str, readiness: str) -> None:
        """Add a node by its request and readiness addresses; it starts as not ready."""
        self.fronts[name], self.readiness[name], self.zones[name] = front, readiness, zone
        self.missed[name] = MISSED_MOST

    async def work(self) -> None:
        """Check every node's readiness each second."""
        while True:
            for name in self.fronts:
                self.scheduler.create_task(self.ask(name), name=f"asks {name}")
            await self.scheduler.sleep(1.0)

    async def ask(self, name: str) -> None:
        """Check one node's readiness."""
        found = await fetch(
            self.scheduler, self.network, self.readiness[name], b"GET", b"/readiness", [], b"", 0.9
        )
        self.asked += 1
        ready = found.is_ok() and found.ok[0].status == 200
        self.missed[name] = 0 if ready else self.missed[name] + 1

    def taken(self, zone: str) -> list[str]:
        """The nodes that get a zone's callers: the ready ones, all where too few are."""
        mine = [name for name, other in self.zones.items() if other == zone]
        ready = [name for name in mine if self.missed[name] < MISSED_MOST]
        if not ready:
            return [name for name in self.zones if self.missed[name] < MISSED_MOST] or mine
        return ready if len(ready) * 2 >= len(mine) else mine


class Client:
    """One caller; its first try may go over a kept link, each other over a new one."""

    __slots__ = (
        "connection",
        "count",
        "entrance",
        "name",
        "notes",
        "random",
        "scheduler",
        "words",
        "zone",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        words: Words,
        entrance: Entrance,
        name: str,
        zone: str,
        notes: list[Note],
        seed: int = 0,
    ) -> None:
        """Create a caller of a zone; its tries are appended to `notes`."""
        self.scheduler = scheduler
        self.words = words
        self.entrance = entrance
        self.name = name
        self.zone = zone
        self.notes = notes
        self.random = Random(f"client {seed} {name}")
        self.count = 0
        self.connection = PersistentConnection(scheduler, network)

    def close(self) -> None:
        """Close the persistent connection."""
        self.connection.close()

    async def request(
        self,
        kind: str,
        method: str,
        host: str,
        target: str,
        body: bytes = b"",
        deadline: float = 1.0,
        fields: Fields | None = None,
        tries: int = TRIES_MOST,
        edge: str = "",
    ) -> Note:
        """One order and its further tries by the rules; the last try's note."""
        self.count += 1
        request = f"{self.name}.{self.count}"
        until = self.scheduler.now() + deadline
        number = 0
        while True:
            number += 1
            now = self.scheduler.now()
            name = edge or self.random.choice(self.entrance.taken(self.zone))
            note = Note(
                now, name, kind, method, host, target, f"{request}-{number}", body, until - now
            )
            self.notes.append(note)
            await self.one_try(note, until, fields or [])
            note.seconds = self.scheduler.now() - now
            left = until - self.scheduler.now()
            if number >= tries or left <= 0.01 or not self.may_try_again(note):
                return note
            back = float(note.field(b"retry-after") or b"0.01")
            await self.scheduler.sleep(min(back, left / 3))

    def may_try_again(self, note: Note) -> bool:
        """Tell whether the rules let the caller send the request again."""
        if note.whole and (200 <= note.status < 400 or note.status in FINAL):
            return False
        if note.kind == UNSAFE:
            return (note.whole and note.status in PROMISES) or note.end == "no link"
        return True

    async def one_try(self, note: Note, until: float, given: Fields) -> None:
        """Send one try and fill in its note."""
        left = max(0.0, until - self.scheduler.now())
        front = self.entrance.fronts[note.edge]
        opened = await self.connection.open(front, min(CONNECT_SECONDS, left))
        if opened is None:
            note.end = "no link"
            return
        connection, reader = opened
        fields = self.fields_of(note, until, given)
        send_request(connection, note.method.encode(), note.target.encode(), fields, note.body)
        try:
            keep = await self.take_answer(reader, note, until)
        except (IncompleteMessageError, ReadTimeoutError, FramingError) as error:
            note.end = type(error).__name__
            keep = False
        if not keep:
            self.close()

    def fields_of(self, note: Note, until: float, given: Fields) -> Fields:
        """Return the header fields of a try: its identity, its deadline, and the given ones."""
        dialect = self.words.dialect
        left = max(1, int((until - self.scheduler.now()) * 1000))
        return [
            (b"Host", note.host.encode()),
            (dialect.identity, note.identity.encode()),
            (dialect.deadline, b"%d" % left),
            *given,
        ]

    async def take_answer(self, reader: Reader, note: Note, until: float) -> bool:
        """Read the answer into the note; return whether the connection may be kept."""
        found = await read_response(reader, note.method.encode(), HEAD_MOST, until)
        if found.is_error():
            note.end = found.error.reason
            return False
        answer = found.ok
        note.status, note.fields = answer.head.status, answer.head.fields
        note.said = await answer.body.read_all(BODY_MOST, until)
        note.whole = True
        note.end = "whole"
        return answer.keep_alive and 200 <= note.status < 300


class OperatorCaller:
    """Sends what it sends unchanged, to any node, until it gets a clear answer."""

    __slots__ = ("network", "nodes", "random", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network, seed: int = 0) -> None:
        """Create an operator that knows no node yet."""
        self.scheduler = scheduler
        self.network = network
        self.nodes: list[str] = []
        self.random = Random(f"operator {seed}")

    async def once(
        self, node: str, method: bytes, place: bytes, fields: Fields, body: bytes
    ) -> tuple[int, bytes]:
        """Send one request to a node; status 0 where no answer came."""
        found = await fetch(self.scheduler, self.network, node, method, place, fields, body, 5.0)
        return (found.ok[0].status, found.ok[1]) if found.is_ok() else (0, b"")

    async def send(
        self, method: bytes, place: bytes, fields: Fields, body: bytes = b"", seconds: float = 20.0
    ) -> tuple[int, bytes]:
        """Send until a clear answer comes; return the last status and body."""
        until = self.scheduler.now() + seconds
        pause = 0.1
        status, said = 0, b""
        while self.scheduler.now() < until:
            node = self.random.choice(self.nodes)
            status, said = await self.once(node, method, place, fields, body)
            if status in OPERATOR_FINAL:
                break
            await self.scheduler.sleep(pause)
            pause = min(1.0, pause * 2)
        return status, said


Allowed = Callable[[Note], set[str]]
OwnRead = Callable[[Arrival], bool]


def broken(
    notes: list[Note],
    arrivals: list[Arrival],
    services: dict[str, ServiceStandIn],
    words: Words,
    allowed: Allowed,
    own_read: OwnRead,
) -> list[str]:
    """What of the rules on orders and answers is broken; empty where all held.

    `own_read` tells of an order that no caller sent whether the system may send it by itself.
    """
    found: list[str] = []
    sent = {note.identity: note for note in notes}
    runs: dict[str, int] = {}
    for arrival in arrivals:
        if not arrival.ran:
            continue
        note = sent.get(arrival.identity)
        if note is None:
            if not own_read(arrival):
                found.append(f"unasked: {arrival.identity!r} was run and nobody sent it")
            continue
        runs[note.identity] = runs.get(note.identity, 0) + 1
        if (arrival.method, arrival.target, arrival.body) != (note.method, note.target, note.body):
            found.append(f"unasked: {note.identity} was changed on its way")
        if arrival.service not in allowed(note):
            found.append(f"route: {note.identity} was run by {arrival.service}")
        if note.kind == UNSAFE and arrival.at - 1.0 > note.at + note.deadline:
            found.append(f"late: {note.identity} was run long after its caller left")
    for note in notes:
        if note.kind == UNSAFE and runs.get(note.identity, 0) > 1:
            found.append(f"twice: {note.identity} ran {runs[note.identity]} times")
        if note.kind == UNSAFE and note.status in PROMISES and runs.get(note.identity):
            found.append(f"promised: {note.identity} was told {note.status} and has run")
        if note.served:
            found += mixed(note, services, words, allowed(note))
    return found


def mixed(
    note: Note, services: dict[str, ServiceStandIn], words: Words, allowed: set[str]
) -> list[str]:
    """Faults of one success: whose it is, its mark, and every byte of it."""
    if note.field(words.dialect.identity) != note.identity.encode():
        return [f"mixed: {note.identity} got an answer of another order"]
    seal = note.field(words.dialect.seal)
    if seal is None:
        return [f"mixed: {note.identity} got a success without its mark"]
    if note.field(b"content-encoding") is not None:
        return [f"mixed: {note.identity} got bytes that are encoded"]
    revision = seal.partition(b".")[0]
    if not revision.isdigit():
        return [f"mixed: {note.identity} got a mark of nobody's"]
    for name in sorted(allowed):
        service = services[name]
        if service.seal(note.target, int(revision)) == seal:
            body = service.body(note.target, int(revision))
            place = (note.field(b"content-range") or b"").removeprefix(b"bytes ")
            first, _, rest = place.partition(b"-")
            if note.status == 206:
                body = body[int(first) : int(rest.partition(b"/")[0]) + 1]
            return [] if body == note.said else [f"mixed: {note.identity} got other bytes"]
    return [f"mixed: {note.identity} got another service's answer"]


def over_ceiling(
    arrivals: list[Arrival], service: str, rate: float, seconds: float = 5.0, overshoot: float = 1.1
) -> list[str]:
    """Spans in which a service got more orders than its rate allows."""
    times = sorted(arrival.at for arrival in arrivals if arrival.service == service)
    most = rate * seconds * overshoot + 5
    found: list[str] = []
    first = 0
    for number, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        if number - first + 1 > most:
            found.append(f"ceiling: {number - first + 1} orders to {service} until {at:.2f}")
    return found[:3]


def over_budget(
    notes: list[Note],
    arrivals: list[Arrival],
    service: str,
    routed: Callable[[Note], set[str]],
    ratio: float = 0.2,
    slack: float = 68,
    seconds: float = 10.0,
) -> list[str]:
    """Spans in which a service got more repeats than a part of its callers' orders allows.

    A read without a name is no caller's order, so it repeats none; every named one is counted.
    """
    seen: set[str] = set()
    repeats: list[float] = []
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if arrival.service != service or not arrival.identity:
            continue
        if arrival.identity in seen:
            repeats.append(arrival.at)
        seen.add(arrival.identity)
    sent = sorted(note.at for note in notes if service in routed(note))
    found: list[str] = []
    for until in repeats:
        count = sum(until - seconds < at <= until for at in repeats)
        requests = max(
            sum(until - seconds - back < at <= until - back for at in sent)
            for back in (0.0, seconds / 2, seconds)
        )
        if count > ratio * requests + slack:
            found.append(
                f"budget: {count} repeats to {service} until {until:.2f}, {requests} orders"
            )
    return found[:3]
