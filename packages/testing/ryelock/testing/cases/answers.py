"""Responses of misbehaving upstream servers: their attribution to requests, and retries.

A cell combines a kind of request, a moment and an event. `run_cell` sends one request through a
misbehaving server and records the attempts, the caller's answer and the attempts' errors;
`Outcome.faults` compares them with the servers' histories. `table` formats the outcomes for
docs/answers.md. The cases draw cells by seed.
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

NOT_EXECUTED_STATUSES = (408, 421, 425, 429, 503)
WARM_UP_REQUESTS = 8
"""Concurrent requests of one round."""
MAX_WARM_UP_ROUNDS = 50
SETTLE_SECONDS = 0.05
DEADLINE_SLACK_SECONDS = 0.05
MAX_CELLS_PER_RUN = 30
SILENT_REQUESTS = 12


class Kind(Enum):
    """How a request may be retried or cached."""

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
AT_MOST_ONCE_KINDS = (Kind.ONCE, Kind.KEYED)
SILENT_EVENTS = (Event.SILENCE, Event.RESET, Event.CLOSE, Event.LATE, Event.HALF)
ANSWERING_EVENTS = tuple(event for event in Event if event not in SILENT_EVENTS)


class Cell:
    """One combination of request kind, moment and event."""

    __slots__ = ("event", "kind", "moment")

    def __init__(self, kind: Kind, moment: Moment, event: Event) -> None:
        """Create a cell of the table."""
        self.kind = kind
        self.moment = moment
        self.event = event

    def __str__(self) -> str:
        """Return the cell's row and column labels."""
        return f"{self.kind.value} / {self.moment.value} / {self.event.value}"


class RequestTrace:
    """One request: its answer, its attempts and what the servers executed.

    Attributes:
        answer: the caller's answer.
        send_count: attempts that reached a server.
        server_count: servers that received an attempt.
        run_count: executions by the servers.
        retries_were_safe: whether every attempt but the last was rejected without execution.
        body_is_expected: whether the answer has the body of its own target.
        body_was_injected: whether the fault put foreign bytes into the declared length.
        attempt_faults: errors of the attempts, in their order.
    """

    __slots__ = (
        "answer",
        "attempt_faults",
        "body_is_expected",
        "body_was_injected",
        "kind",
        "name",
        "retries_were_safe",
        "run_count",
        "send_count",
        "server_count",
    )

    def __init__(
        self, fleet: AnswerFleet, kind: Kind, name: str, target: str, answer: CallerAnswer
    ) -> None:
        """Collect the servers' records of a request that was answered."""
        arrivals = fleet.arrivals(name)
        self.kind = kind
        self.name = name
        self.answer = answer
        self.send_count = len(arrivals)
        self.server_count = len({arrival.address for arrival in arrivals})
        self.run_count = sum(arrival.ran for arrival in arrivals)
        self.retries_were_safe = all(arrival.turned_away for arrival in arrivals[:-1])
        self.body_is_expected = answer.body == body_of(name, target.encode())
        self.body_was_injected = False
        request = fleet.handler().context.recent_requests.by_identity.get(name)
        attempts = request.attempts if request is not None else []
        self.attempt_faults = [
            attempt.fault
            for attempt in attempts
            if isinstance(attempt, Attempt) and attempt.fault is not None
        ]

    def faults(self) -> list[str]:
        """Return the violated invariants of this request, one text each."""
        found: list[str] = []
        if self.kind in AT_MOST_ONCE_KINDS and self.run_count > 1:
            found.append(f"once: {self.name} ran {self.run_count} times")
        if self.kind in AT_MOST_ONCE_KINDS and not self.retries_were_safe:
            found.append(f"once: {self.name} was sent again though it may have run")
        if (
            self.kind in AT_MOST_ONCE_KINDS
            and self.answer.status in NOT_EXECUTED_STATUSES
            and self.run_count
        ):
            found.append(f"promises: {self.name} was told {self.answer.status} and ran")
        if self.answer.status == 200 and not self.body_is_expected and not self.body_was_injected:
            found.append(f"bytes: {self.name} got another body: {self.answer.body[:40]!r}")
        if self.server_count > ATTEMPTS:
            found.append(f"servers: {self.name} reached {self.server_count}")
        if self.answer.seconds > REQUEST_SECONDS + DEADLINE_SLACK_SECONDS:
            found.append(f"held: {self.name} was held for {self.answer.seconds:.2f} s")
        return found


class Outcome:
    """Result of a cell: its request, and a following one of the same kind at the same edge."""

    __slots__ = ("cell", "first", "following")

    def __init__(self, cell: Cell, first: RequestTrace, following: RequestTrace) -> None:
        """Create an outcome; bytes within the declared length count as the server's own body."""
        self.cell = cell
        self.first = first
        first.body_was_injected = (
            cell.moment is Moment.IN_BODY
            and (cell.event in ANSWERING_EVENTS or cell.event is Event.HALF)
            and len(first.answer.body) == BODY_BYTES
        )
        self.following = following

    def faults(self) -> list[str]:
        """Return the violated invariants, one text each."""
        found = [*self.first.faults(), *self.following.faults()]
        idle = self.cell.moment is Moment.IDLE
        served_at_once = self.first.answer.status == 200 and self.first.send_count == 1
        if idle and self.cell.event in ANSWERING_EVENTS and not served_at_once:
            found.append(f"idle: {self.first.name} met bytes of an idle connection")
        answer_is_lost = self.cell.event in (Event.SILENCE, Event.LATE) and self.cell.moment in (
            Moment.IDLE,
            Moment.BEHIND,
        )
        if self.following.answer.status != 200 and not answer_is_lost:
            found.append(
                f"following: told {self.following.answer.status} {self.following.attempt_faults}"
            )
        return [f"{line} ({self.cell})" for line in found]

    def text(self) -> str:
        """Return the attempts and the status as shown in the page's table."""
        first = self.first
        sent = "not read" if not first.send_count else f"sent {first.send_count}"
        if first.server_count > 1:
            sent += f" (to {first.server_count})"
        return f"{sent}, {first.answer.status or 'cut'}"


def cells() -> list[Cell]:
    """Return every cell; only requests with a body can be interrupted while sending it."""
    return [
        Cell(kind, moment, event)
        for moment in Moment
        for event in Event
        for kind in Kind
        if moment is not Moment.SENDING or kind in AT_MOST_ONCE_KINDS
    ]


def trace_request(fleet: AnswerFleet, kind: Kind, name: str) -> RequestTrace:
    """Send one request of a kind and wait for its answer."""
    method, path = TARGETS[kind]
    target = f"{path}/{name}"
    more: Fields = [(b"Idempotency-Key", name.encode())] if kind is Kind.KEYED else []
    return RequestTrace(fleet, kind, name, target, fleet.ask_now(name, method, target, more))


def warm_up(fleet: AnswerFleet, prefix: str) -> None:
    """Send concurrent requests until the edge holds an idle connection to every server."""
    for turn in range(MAX_WARM_UP_ROUNDS):
        for number in range(WARM_UP_REQUESTS):
            name = f"{prefix}-warm{turn}-{number}"
            fleet.outside.scheduler.create_task(send_ignoring_answer(fleet, name), name="warm")
        fleet.world.run(SETTLE_SECONDS)
        if all(
            state.idle_connections for state in fleet.handler().context.servers.by_service[SERVICE]
        ):
            return
    raise AssertionError(f"no connection is kept to some servers after {MAX_WARM_UP_ROUNDS} turns")


async def send_ignoring_answer(fleet: AnswerFleet, name: str) -> None:
    """Send a request and ignore its answer."""
    await fleet.ask(name, "GET", f"/plain/{name}")


def run_cell(fleet: AnswerFleet, cell: Cell, prefix: str) -> Outcome:
    """Run one cell; the names of its requests start with `prefix`."""
    fleet.script = None
    fleet.forget()
    fleet.world.run(SETTLE_SECONDS)
    name = f"{prefix}-first"
    script = Script(name, cell.moment, cell.event)
    if cell.moment is not Moment.OPENING:
        warm_up(fleet, prefix)
    if cell.moment is Moment.IDLE:
        script.done = True
        for server in fleet.servers:
            server.disturb_idle(script)
        fleet.world.run(SETTLE_SECONDS)
    fleet.script = script
    first = trace_request(fleet, cell.kind, name)
    following = trace_request(fleet, cell.kind, f"{prefix}-next")
    fleet.world.run(LATE_SECONDS + 0.3 if cell.event is Event.LATE else SETTLE_SECONDS)
    fleet.script = None
    return Outcome(
        cell,
        RequestTrace(fleet, cell.kind, name, f"{TARGETS[cell.kind][1]}/{name}", first.answer),
        RequestTrace(
            fleet,
            cell.kind,
            following.name,
            f"{TARGETS[cell.kind][1]}/{following.name}",
            following.answer,
        ),
    )


def run_cells(kind: Kind, seed: int = 1, steady: bool = True) -> list[Outcome]:
    """Run all cells of one kind of request, one after another in one fleet."""
    fleet = AnswerFleet(seed, steady=steady)
    chosen = [cell for cell in cells() if cell.kind is kind]
    return [run_cell(fleet, cell, f"c{number}") for number, cell in enumerate(chosen)]


def table(outcomes: list[Outcome]) -> str:
    """Return Markdown tables: one per moment, a row per event, a column per kind, and errors."""
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
            errors: list[str] = []
            for outcome in row:
                errors += outcome.first.attempt_faults if outcome is not None else []
            reasons = "; ".join(dict.fromkeys(errors)) or "-"
            lines.append(f"| {event.value} | " + " | ".join(texts) + f" | {reasons} |")
        lines.append("")
    return "\n".join(lines)


# Cases.


def run_drawn_cells(seed: int, moments: tuple[Moment, ...], events: tuple[Event, ...]) -> Findings:
    """Run cells drawn by seed from some moments and events."""
    random = Random(f"cells {seed}")
    fleet = AnswerFleet(seed)
    found = Findings()
    eligible = [cell for cell in cells() if cell.moment in moments and cell.event in events]
    for number, cell in enumerate(random.sample(eligible, min(MAX_CELLS_PER_RUN, len(eligible)))):
        for line in run_cell(fleet, cell, f"s{seed}n{number}").faults():
            rule, _, text = line.partition(": ")
            found.add_violation(rule, text)
        found.count_check("once", cell.kind in AT_MOST_ONCE_KINDS)
        found.count_check("bytes")
    return found


def foreign_answer(seed: int) -> Findings:
    """Run cells in which servers send foreign, unsolicited or malformed answers."""
    return run_drawn_cells(seed, tuple(Moment), ANSWERING_EVENTS)


def silent_server(seed: int) -> Findings:
    """Run cells in which servers are silent, reset, close or answer late; hang an owner edge."""
    found = run_drawn_cells(seed, tuple(Moment), SILENT_EVENTS)
    fleet = AnswerFleet(1000 + seed, edges=3)
    fleet.always = Event.SILENCE
    for number in range(SILENT_REQUESTS):
        fleet.forget()
        name = f"silent{number}"
        target = f"/covers/{seed}-{number}"
        answer = fleet.ask_now(name, "GET", target, edge=number % 3)
        first = RequestTrace(fleet, Kind.CACHED, name, target, answer)
        for line in first.faults():
            rule, _, text = line.partition(": ")
            found.add_violation(rule, text)
        found.count_check("servers")
    fleet.always = None
    found.violations += check_hung_owner(fleet, seed)
    found.count_check("asks")
    return found


def check_hung_owner(fleet: AnswerFleet, seed: int) -> list[str]:
    """Pause an edge that owns objects; return the requests that failed or were sent twice."""
    fleet.forget()
    fleet.world.run(10.0)
    for number in (0, 2):
        fleet.handler(number).context.admission_queues[SERVICE].budget.tokens = 0.0
    fleet.world.freeze(fleet.edges[1], True)
    lost: list[str] = []
    for number in range(SILENT_REQUESTS):
        name = f"swallowed{number}"
        answer = fleet.ask_now(name, "GET", f"/covers/s{seed}-{number}", edge=2 * (number % 2))
        if answer.status != 200:
            lost.append(f"asks: {name} was told {answer.status}")
    fleet.world.freeze(fleet.edges[1], False)
    fleet.world.run(2.0)
    for number in range(SILENT_REQUESTS):
        if len(fleet.arrivals(f"swallowed{number}")) > 1:
            lost.append(f"asks: swallowed{number} was sent again by the edge that hung")
    return lost
