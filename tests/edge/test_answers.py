"""Matching of responses to requests, and the number of times a request is sent.

The cells of a table (request, moment, event) are run and compared with its page. Then mechanisms
are disabled one by one, and a case must detect each.
"""

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
    AT_MOST_ONCE_KINDS,
    Cell,
    Kind,
    cells,
    run_cell,
    run_cells,
)
from ryelock.testing.scripted import DIALECT, AnswerFleet, Event, Moment

Patch = AbstractContextManager[Any]


class CellTests(testtools.TestCase):
    """Every kind of request with every event at every moment."""

    def test_no_cell_breaks_a_rule_and_the_page_shows_the_outcomes(self) -> None:
        outcomes = played()
        self.assertEqual(len(cells()), len(outcomes))
        self.assertEqual([], [line for outcome in outcomes for line in outcome.faults()])
        page = PAGE.read_text()
        self.assertEqual(with_tables(page, outcomes), page, "run answers_page.py")

    def test_the_tables_do_not_depend_on_the_seed(self) -> None:
        page = PAGE.read_text()
        for seed in (2, 3):
            outcomes = [outcome for kind in Kind for outcome in run_cells(kind, seed)]
            self.assertEqual(with_tables(page, outcomes), page, f"seed {seed}")

    def test_no_cell_breaks_a_rule_if_messages_are_reordered(self) -> None:
        for kind in Kind:
            outcomes = run_cells(kind, seed=7, steady=False)
            self.assertEqual([], [line for outcome in outcomes for line in outcome.faults()])

    def test_cells_do_not_depend_on_earlier_ones(self) -> None:
        chosen = [
            Cell(kind, moment, event)
            for kind in AT_MOST_ONCE_KINDS
            for moment in (Moment.OPENING, Moment.SENDING, Moment.SENT)
            for event in (Event.NAMELESS, Event.OTHER_LIFE, Event.FOREIGN)
        ]
        for seed in range(2, 6):
            for cell in chosen:
                outcome = run_cell(AnswerFleet(seed), cell, "alone")
                self.assertEqual([], outcome.faults(), f"seed {seed}")


class ConnectionTests(testtools.TestCase):
    """Reuse of connections to servers."""

    def connections_used(self, fleet: AnswerFleet) -> int:
        """Return the number of connections opened to servers so far."""
        return sum(
            len(node.connections)
            for name, node in fleet.world.nodes.items()
            if name.startswith("server")
        )

    def test_a_request_with_a_new_identity_reuses_a_connection(self) -> None:
        fleet = AnswerFleet(1)
        for number in range(12):
            fleet.ask_now(f"before{number}", "GET", f"/plain/{number}")
        before = self.connections_used(fleet)
        for number in range(6):
            self.assertEqual(200, fleet.ask_now(f"new{number}", "POST", "/orders/1").status)
        self.assertLess(self.connections_used(fleet) - before, 3)

    def test_a_recently_used_identity_gets_a_new_connection(self) -> None:
        """A late response to the earlier request would have the same identity."""
        fleet = AnswerFleet(2)
        for number in range(12):
            fleet.ask_now(f"before{number}", "GET", f"/plain/{number}")
        before = self.connections_used(fleet)
        for number in range(6):
            record = fleet.ask_now(f"before{number}", "POST", "/orders/1")
            self.assertEqual(200, record.status)
        self.assertEqual(6, self.connections_used(fleet) - before)

    def test_a_late_rejection_with_the_same_identity_is_not_used(self) -> None:
        """The second request with an identity must not use the connection of the first."""
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


# Disables one mechanism each; the case must then report the broken rule.


def every_response_accepted() -> list[Patch]:
    return [mock.patch.object(ResponseValidator, "belongs_to", lambda *_arguments: True)]


def dirty_idle_connections_reused() -> list[Patch]:
    def take_any_open(_servers: Servers, state: Any) -> Any:
        while state.idle_connections:
            idle = state.idle_connections.pop()
            if not idle.connection.closed:
                return idle
        return None

    return [mock.patch.object(Servers, "take_idle_connection", take_any_open)]


def every_request_idempotent() -> list[Patch]:
    original = Router.find_route

    def find_route(router: Router, request: Any) -> Any:
        route = original(router, request)
        request.request_class = RequestClass.IDEMPOTENT
        return route

    return [mock.patch.object(Router, "find_route", find_route)]


def owner_attempts_not_counted() -> list[Patch]:
    return [mock.patch.object(Request, "charge_owner", lambda *_arguments: None)]


def owner_lookup_skipped() -> list[Patch]:
    """Send the fetch without a lookup to an owner that may be down."""

    async def look_up(_request: OwnerRequest) -> OwnerRejection:
        return OwnerRejection(504, 0)

    return [mock.patch.object(OwnerRequest, "look_up", look_up)]


DISABLED_MECHANISMS: tuple[tuple[str, Callable[[], list[Patch]], str], ...] = (
    ("foreign-answer", every_response_accepted, "once"),
    ("foreign-answer", every_response_accepted, "bytes"),
    ("foreign-answer", dirty_idle_connections_reused, "idle"),
    ("silent-server", every_request_idempotent, "once"),
    ("silent-server", owner_attempts_not_counted, "servers"),
    ("silent-server", owner_lookup_skipped, "asks"),
)


class DisabledMechanismTests(testtools.TestCase):
    """Each case with its mechanism disabled; one generated test each."""


def breaks(
    name: str, disabled: Callable[[], list[Patch]], rule: str
) -> Callable[[DisabledMechanismTests], None]:
    def test(case: DisabledMechanismTests) -> None:
        broken: set[str] = set()
        for seed in (1, 2, 3):
            with ExitStack() as stack:
                for patch in disabled():
                    stack.enter_context(patch)
                broken |= {line.partition(":")[0] for line in CASES[name](seed).violations}
            if rule in broken:
                break
        case.assertIn(rule, broken, f"{name} without {disabled.__name__}")

    return test


for case_name, mechanism, broken_rule in DISABLED_MECHANISMS:
    setattr(
        DisabledMechanismTests,
        f"test_{case_name.replace('-', '_')}_without_{mechanism.__name__}_{broken_rule}",
        breaks(case_name, mechanism, broken_rule),
    )
