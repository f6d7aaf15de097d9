"""Whose answer it is, and how often a request is sent: all cells, the page, cases, take-outs."""

from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from typing import Any
from unittest import mock

import testtools
from answers_page import PAGE, played, with_tables

from ryelock.edge.owner_client import OwnerRejection, OwnerRequest
from ryelock.edge.request import Request, RequestClass
from ryelock.edge.response_validator import ResponseValidator
from ryelock.edge.routing import Router
from ryelock.edge.servers import Servers
from ryelock.testing.cases import CASES
from ryelock.testing.cases.answers import (
    RUNS_ONCE,
    Cell,
    Kind,
    cells,
    play,
    run_cell,
)
from ryelock.testing.scripted import DIALECT, AnswerFleet, Event, Moment

Patch = AbstractContextManager[Any]


class CellTests(testtools.TestCase):
    """Every kind of request at every moment under every event."""

    def test_no_cell_breaks_a_rule_and_the_page_shows_what_they_give(self) -> None:
        outcomes = played()
        self.assertEqual(len(cells()), len(outcomes))
        self.assertEqual([], [line for outcome in outcomes for line in outcome.faults()])
        page = PAGE.read_text()
        self.assertEqual(with_tables(page, outcomes), page, "run answers_page.py")

    def test_the_tables_do_not_depend_on_the_seed(self) -> None:
        page = PAGE.read_text()
        for seed in (2, 3):
            outcomes = [outcome for kind in Kind for outcome in play(kind, seed)]
            self.assertEqual(with_tables(page, outcomes), page, f"seed {seed}")

    def test_no_cell_breaks_a_rule_where_messages_overtake_one_another(self) -> None:
        for kind in Kind:
            outcomes = play(kind, seed=7, steady=False)
            self.assertEqual([], [line for outcome in outcomes for line in outcome.faults()])

    def test_cells_give_the_same_whatever_was_played_before_them(self) -> None:
        chosen = [
            Cell(kind, moment, event)
            for kind in RUNS_ONCE
            for moment in (Moment.OPENING, Moment.SENDING, Moment.SENT)
            for event in (Event.NAMELESS, Event.OTHER_LIFE, Event.FOREIGN)
        ]
        for seed in range(2, 6):
            for cell in chosen:
                outcome = run_cell(AnswerFleet(seed), cell, "alone")
                self.assertEqual([], outcome.faults(), f"seed {seed}")


class ConnectionTests(testtools.TestCase):
    """Which connection a request goes by."""

    def connections_used(self, fleet: AnswerFleet) -> int:
        """Connections that servers were opened so far."""
        return sum(
            len(node.connections)
            for name, node in fleet.world.nodes.items()
            if name.startswith("server")
        )

    def test_a_request_with_a_new_name_goes_by_a_kept_connection(self) -> None:
        fleet = AnswerFleet(1)
        for number in range(12):
            fleet.ask_now(f"before{number}", "GET", f"/plain/{number}")
        before = self.connections_used(fleet)
        for number in range(6):
            self.assertEqual(200, fleet.ask_now(f"new{number}", "POST", "/orders/1").status)
        self.assertLess(self.connections_used(fleet) - before, 3)

    def test_a_name_that_was_in_use_lately_gets_a_connection_of_its_own(self) -> None:
        """A late answer to the earlier request would bear the same name."""
        fleet = AnswerFleet(2)
        for number in range(12):
            fleet.ask_now(f"before{number}", "GET", f"/plain/{number}")
        before = self.connections_used(fleet)
        for number in range(6):
            told = fleet.ask_now(f"before{number}", "POST", "/orders/1")
            self.assertEqual(200, told.status)
        self.assertEqual(6, self.connections_used(fleet) - before)

    def test_a_late_refusal_under_the_same_name_is_not_believed(self) -> None:
        """The second request of a name goes where the first one's late answer cannot come."""
        fleet = AnswerFleet(3)
        for number in range(4):
            name = f"same{number}"
            fleet.forget()
            fleet.ask_now(name, "POST", f"/orders/{number}")
            for server in fleet.servers:
                for connection, arrival in server.last.items():
                    if arrival.name == name:
                        connection.write(
                            b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
                            + DIALECT.identity
                            + b": "
                            + name.encode()
                            + b"\r\n"
                            + DIALECT.not_run
                            + b": 1\r\n\r\n"
                        )
            self.assertEqual(200, fleet.ask_now(name, "POST", f"/orders/{number}").status)
            self.assertEqual(2, sum(arrival.ran for arrival in fleet.arrivals(name)))


# Take-outs: what holds a case is taken out, and the case must then find the rule broken.


def every_answer_is_mine() -> list[Patch]:
    return [mock.patch.object(ResponseValidator, "belongs_to", lambda *_arguments: True)]


def idle_bytes_are_read() -> list[Patch]:
    def kept_link(_servers: Servers, state: Any) -> Any:
        while state.idle_connections:
            idle = state.idle_connections.pop()
            if not idle.connection.closed:
                return idle
        return None

    return [mock.patch.object(Servers, "take_idle_connection", kept_link)]


def sent_again_after_silence() -> list[Patch]:
    plain = Router.find_route

    def find_route(router: Router, request: Any) -> Any:
        route = plain(router, request)
        request.request_class = RequestClass.IDEMPOTENT
        return route

    return [mock.patch.object(Router, "find_route", find_route)]


def owners_sends_are_not_counted() -> list[Patch]:
    return [mock.patch.object(Request, "charge_owner", lambda *_arguments: None)]


def owners_fetch_unasked() -> list[Patch]:
    """No lookup: the fetch is sent to an owner that may not be there."""

    async def look_up(_ask: OwnerRequest) -> OwnerRejection:
        return OwnerRejection(504, 0)

    return [mock.patch.object(OwnerRequest, "look_up", look_up)]


TAKEN_OUT: tuple[tuple[str, Callable[[], list[Patch]], str], ...] = (
    ("foreign-answer", every_answer_is_mine, "once"),
    ("foreign-answer", every_answer_is_mine, "bytes"),
    ("foreign-answer", idle_bytes_are_read, "idle"),
    ("silent-server", sent_again_after_silence, "once"),
    ("silent-server", owners_sends_are_not_counted, "servers"),
    ("silent-server", owners_fetch_unasked, "asks"),
)


class TakenOutTests(testtools.TestCase):
    """Each case with its mechanism taken out; one test each."""


def breaks(
    name: str, taken_out: Callable[[], list[Patch]], rule: str
) -> Callable[[TakenOutTests], None]:
    def test(case: TakenOutTests) -> None:
        broken: set[str] = set()
        for seed in (1, 2, 3):
            with ExitStack() as stack:
                for patch in taken_out():
                    stack.enter_context(patch)
                broken |= {line.partition(":")[0] for line in CASES[name](seed).violations}
            if rule in broken:
                break
        case.assertIn(rule, broken, f"{name} without {taken_out.__name__}")

    return test


for one, out, broken_rule in TAKEN_OUT:
    setattr(
        TakenOutTests,
        f"test_{one.replace('-', '_')}_without_{out.__name__}_{broken_rule}",
        breaks(one, out, broken_rule),
    )
