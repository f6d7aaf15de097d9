"""Whose answer it is, and how often a request is sent: every kind, moment and event in turn.

`run_cell` plays one request through one misbehaving server and notes what was sent, what the
caller was told and why; `faults_of` holds that against the servers' history. `table` plays all
cells, as docs/answers.md shows them. The cases draw cells by seed.
"""

from enum import Enum
from random import Random

from ryelock.edge.request import Attempt
from ryelock.http import Fields
from ryelock.testing.checks import Findings
from ryelock.testing.scripted import (
    ATTEMPTS,
    BODY_BYTES,
    LATE_SECONDS,
    REQUEST_SECONDS,
    SERVICE,
    AnswerFleet,
    CallerAnswer,
    Event,
    Moment,
    Script,
    body_of,
)

PROMISES = (408, 421, 425, 429, 503)
WARM_REQUESTS = 8
WARM_TURNS = 50
SETTLE_SECONDS = 0.05
HELD_SLACK_SECONDS = 0.05
CELLS_DRAWN = 30
SILENT_REQUESTS = 12


class Kind(Enum):
    """What may be done with a request."""

    ONCE = "once"
    KEYED = "once, with a key"
    REPEATABLE = "repeatable"
    CACHED = "cached"


TARGETS = {
    Kind.ONCE: ("POST", "/orders"),
    Kind.KEYED: ("POST", "/orders"),
    Kind.REPEATABLE: ("GET", "/plain"),
    Kind.CACHED: ("GET", "/covers"),
}
RUNS_ONCE = (Kind.ONCE, Kind.KEYED)
SILENT = (Event.SILENCE, Event.RESET, Event.CLOSE, Event.LATE, Event.HALF)
SPOKEN = tuple(event for event in Event if event not in SILENT)


class Cell:
    """One combination that is played."""

    __slots__ = ("event", "kind", "moment")

    def __init__(self, kind: Kind, moment: Moment, event: Event) -> None:
        """Name one cell of the table."""
        self.kind = kind
        self.moment = moment
        self.event = event

    def __str__(self) -> str:
        """Return the cell's place in the table."""
        return f"{self.kind.value} / {self.moment.value} / {self.event.value}"


class Asked:
    """One request as its caller and the servers saw it."""

    __slots__ = (
        "certain",
        "injected",
        "kind",
        "name",
        "right",
        "runs",
        "sends",
        "servers",
        "told",
        "why",
    )

    def __init__(
        self, fleet: AnswerFleet, kind: Kind, name: str, target: str, told: CallerAnswer
    ) -> None:
        """Collect what the servers saw of a request that was answered."""
        arrivals = fleet.arrivals(name)
        self.kind = kind
        self.name = name
        self.told = told
        self.sends = len(arrivals)
        self.servers = len({arrival.address for arrival in arrivals})
        self.runs = sum(arrival.ran for arrival in arrivals)
        self.certain = all(arrival.turned_away for arrival in arrivals[:-1])
        self.right = told.body == body_of(name, target.encode())
        self.injected = False
        request = fleet.handler().context.recent_requests.by_identity.get(name)
        attempts = request.attempts if request is not None else []
        self.why = [
            attempt.fault
            for attempt in attempts
            if isinstance(attempt, Attempt) and attempt.fault is not None
        ]

    def faults(self) -> list[str]:
        """What of the rules on this request is broken."""
        found: list[str] = []
        if self.kind in RUNS_ONCE and self.runs > 1:
            found.append(f"once: {self.name} ran {self.runs} times")
        if self.kind in RUNS_ONCE and not self.certain:
            found.append(f"once: {self.name} was sent again though it may have run")
        if self.kind in RUNS_ONCE and self.told.status in PROMISES and self.runs:
            found.append(f"promises: {self.name} was told {self.told.status} and ran")
        if self.told.status == 200 and not self.right and not self.injected:
            found.append(f"bytes: {self.name} got another body: {self.told.body[:40]!r}")
        if self.servers > ATTEMPTS:
            found.append(f"servers: {self.name} reached {self.servers}")
        if self.told.seconds > REQUEST_SECONDS + HELD_SLACK_SECONDS:
            found.append(f"held: {self.name} was held for {self.told.seconds:.2f} s")
        return found


class Outcome:
    """A played cell: its request, and the next one of the same kind at the same edge."""

    __slots__ = ("asked", "cell", "following")

    def __init__(self, cell: Cell, asked: Asked, following: Asked) -> None:
        """Bytes within the declared length are the server's body, whatever they are."""
        self.cell = cell
        self.asked = asked
        asked.injected = (
            cell.moment is Moment.IN_BODY
            and (cell.event in SPOKEN or cell.event is Event.HALF)
            and len(asked.told.body) == BODY_BYTES
        )
        self.following = following

    def faults(self) -> list[str]:
        """Return what broke a rule, one text each; empty where nothing did."""
        found = [*self.asked.faults(), *self.following.faults()]
        idle = self.cell.moment is Moment.IDLE
        served_at_once = self.asked.told.status == 200 and self.asked.sends == 1
        if idle and self.cell.event in SPOKEN and not served_at_once:
            found.append(f"idle: {self.asked.name} met bytes of an idle connection")
        mute = self.cell.event in (Event.SILENCE, Event.LATE) and self.cell.moment in (
            Moment.IDLE,
            Moment.BEHIND,
        )
        if self.following.told.status != 200 and not mute:
            found.append(f"following: told {self.following.told.status} {self.following.why}")
        return [f"{line} ({self.cell})" for line in found]

    def text(self) -> str:
        """What was sent and told, as a cell of the page shows it."""
        asked = self.asked
        sent = "not read" if not asked.sends else f"sent {asked.sends}"
        if asked.servers > 1:
            sent += f" (to {asked.servers})"
        return f"{sent}, {asked.told.status or 'cut'}"


def cells() -> list[Cell]:
    """Every combination there is; only requests with a body are caught while it is sent."""
    return [
        Cell(kind, moment, event)
        for moment in Moment
        for event in Event
        for kind in Kind
        if moment is not Moment.SENDING or kind in RUNS_ONCE
    ]


def ask_one(fleet: AnswerFleet, kind: Kind, name: str) -> Asked:
    """Send one request of a kind and wait for its answer."""
    method, path = TARGETS[kind]
    target = f"{path}/{name}"
    more: Fields = [(b"Idempotency-Key", name.encode())] if kind is Kind.KEYED else []
    return Asked(fleet, kind, name, target, fleet.ask_now(name, method, target, more))


def warm(fleet: AnswerFleet, stem: str) -> None:
    """Requests at the same time, until the edge keeps a connection to every server."""
    for turn in range(WARM_TURNS):
        for number in range(WARM_REQUESTS):
            name = f"{stem}-warm{turn}-{number}"
            fleet.outside.scheduler.create_task(ignore(fleet, name), name="warm")
        fleet.world.run(SETTLE_SECONDS)
        if all(
            state.idle_connections for state in fleet.handler().context.servers.by_service[SERVICE]
        ):
            return
    raise AssertionError(f"no connection is kept to some servers after {WARM_TURNS} turns")


async def ignore(fleet: AnswerFleet, name: str) -> None:
    """Send a request whose answer nobody looks at."""
    await fleet.ask(name, "GET", f"/plain/{name}")


def run_cell(fleet: AnswerFleet, cell: Cell, stem: str) -> Outcome:
    """Play one cell; `stem` begins the names of its requests."""
    fleet.script = None
    fleet.forget()
    fleet.world.run(SETTLE_SECONDS)
    name = f"{stem}-first"
    script = Script(name, cell.moment, cell.event)
    if cell.moment is not Moment.OPENING:
        warm(fleet, stem)
    if cell.moment is Moment.IDLE:
        script.done = True
        for server in fleet.servers:
            server.disturb_idle(script)
        fleet.world.run(SETTLE_SECONDS)
    fleet.script = script
    asked = ask_one(fleet, cell.kind, name)
    following = ask_one(fleet, cell.kind, f"{stem}-next")
    fleet.world.run(LATE_SECONDS + 0.3 if cell.event is Event.LATE else SETTLE_SECONDS)
    fleet.script = None
    return Outcome(
        cell,
        Asked(fleet, cell.kind, name, f"{TARGETS[cell.kind][1]}/{name}", asked.told),
        Asked(
            fleet,
            cell.kind,
            following.name,
            f"{TARGETS[cell.kind][1]}/{following.name}",
            following.told,
        ),
    )


def play(kind: Kind, seed: int = 1, steady: bool = True) -> list[Outcome]:
    """All cells of one kind of request, one after another in one fleet."""
    fleet = AnswerFleet(seed, steady=steady)
    chosen = [cell for cell in cells() if cell.kind is kind]
    return [run_cell(fleet, cell, f"c{number}") for number, cell in enumerate(chosen)]


def table(outcomes: list[Outcome]) -> str:
    """The page's tables: one a moment, a row an event, a column a kind, and why."""
    found = {
        (outcome.cell.kind, outcome.cell.moment, outcome.cell.event): outcome
        for outcome in outcomes
    }
    lines: list[str] = []
    for moment in Moment:
        lines += [f"### {moment.value[0].upper()}{moment.value[1:]}", ""]
        lines.append("| | " + " | ".join(kind.value for kind in Kind) + " | why |")
        lines.append("|---" * (len(Kind) + 2) + "|")
        for event in Event:
            row = [found.get((kind, moment, event)) for kind in Kind]
            texts = ["-" if outcome is None else outcome.text() for outcome in row]
            why: list[str] = []
            for outcome in row:
                why += outcome.asked.why if outcome is not None else []
            reasons = "; ".join(dict.fromkeys(why)) or "-"
            lines.append(f"| {event.value} | " + " | ".join(texts) + f" | {reasons} |")
        lines.append("")
    return "\n".join(lines)


# Cases.


def drawn(seed: int, moments: tuple[Moment, ...], events: tuple[Event, ...]) -> Findings:
    """Cells drawn by seed among some moments and events."""
    random = Random(f"cells {seed}")
    fleet = AnswerFleet(seed)
    found = Findings()
    able = [cell for cell in cells() if cell.moment in moments and cell.event in events]
    for number, cell in enumerate(random.sample(able, min(CELLS_DRAWN, len(able)))):
        for line in run_cell(fleet, cell, f"s{seed}n{number}").faults():
            rule, _, text = line.partition(": ")
            found.broken(rule, text)
        found.look("once", cell.kind in RUNS_ONCE)
        found.look("bytes")
    return found


def foreign_answer(seed: int) -> Findings:
    """Answers of other requests, of nobody and of another life; bytes that are no answer."""
    return drawn(seed, tuple(Moment), SPOKEN)


def silent_server(seed: int) -> Findings:
    """Servers fall silent, reset, close or answer late, and the owner of an object with them."""
    found = drawn(seed, tuple(Moment), SILENT)
    fleet = AnswerFleet(1000 + seed, edges=3)
    fleet.always = Event.SILENCE
    for number in range(SILENT_REQUESTS):
        fleet.forget()
        name = f"silent{number}"
        target = f"/covers/{seed}-{number}"
        told = fleet.ask_now(name, "GET", target, edge=number % 3)
        asked = Asked(fleet, Kind.CACHED, name, target, told)
        for line in asked.faults():
            rule, _, text = line.partition(": ")
            found.broken(rule, text)
        found.look("servers")
    fleet.always = None
    found.violations += swallowed(fleet, seed)
    found.look("asks")
    return found


def swallowed(fleet: AnswerFleet, seed: int) -> list[str]:
    """An edge that hangs swallows asks for its objects: nobody's request is lost by it."""
    fleet.forget()
    fleet.world.run(10.0)
    for number in (0, 2):
        fleet.handler(number).context.admission_queues[SERVICE].budget.tokens = 0.0
    fleet.world.freeze(fleet.edges[1], True)
    lost: list[str] = []
    for number in range(SILENT_REQUESTS):
        name = f"swallowed{number}"
        told = fleet.ask_now(name, "GET", f"/covers/s{seed}-{number}", edge=2 * (number % 2))
        if told.status != 200:
            lost.append(f"asks: {name} was told {told.status}")
    fleet.world.freeze(fleet.edges[1], False)
    fleet.world.run(2.0)
    for number in range(SILENT_REQUESTS):
        if len(fleet.arrivals(f"swallowed{number}")) > 1:
            lost.append(f"asks: swallowed{number} was sent again by the edge that hung")
    return lost
