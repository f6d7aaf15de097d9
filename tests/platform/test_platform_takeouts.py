"""What holds a rule in the platform's words is taken out, and the same run must then break it."""

import dataclasses
from collections import deque
from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

import deployment as deployments
from deployment import HOST, Deployment
from header_fields import PROFILE
from ryelock.cache import CacheStore
from ryelock.edge.failures import ServerRejectedError
from ryelock.edge.request import RequestClass
from ryelock.edge.response_validator import ResponseValidator
from ryelock.edge.routing import Router
from ryelock.http import ClientError
from ryelock.rate_limit import RetryBudget, TokenBucket
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE
from ryelock.testing.hosting_platform.checks import rate_violations, retry_violations

Run = Callable[[], list[str]]
ONE_ZONE = {"a": "north"}


def broken_by(manner: Manner, kind: str, method: str, target: str) -> Run:
    """Orders at servers of one manner, whatever rule that breaks."""

    def run() -> list[str]:
        deployment = Deployment(1, ONE_ZONE, edges=3, cores=3).set_up()
        for number in range(8):
            for instance in deployment.servers.values():
                instance.manner = manner
            deployment.ask(
                kind, method, f"{target}{number}", b"body" if method == "POST" else b"", tries=1
            )
            deployment.ask(kind, method, f"{target}more-{number}", tries=1)
        deployment.world.run(2)
        return deployment.broken()

    return run


def handed_addresses() -> list[str]:
    deployment = Deployment(8, servers=1).set_up()
    deployment.crowd(
        12,
        10.0,
        lambda number: (
            (SAFE, "GET", f"/plain/{number}")
            if number % 2
            else (UNSAFE, "POST", f"/orders/{number}")
        ),
    )
    deployment.world.run(2)
    instances = [deployment.of_service(name)[0] for name in ("pages", "desks")]
    for instance in instances:
        deployment.platform.crash(instance)
    deployment.world.run(0.3)
    deployment.add_server("desks", "a", instances[0].address)
    deployment.add_server("pages", "a", instances[1].address)
    deployment.world.run(6)
    return deployment.broken()


def purged() -> list[str]:
    deployment = Deployment(2).set_up()
    deployment.ask(CACHEABLE, "GET", "/covers/1")
    deployment.services["pages"].objects.change("/covers/1", 0.0)
    deployment.purge(host=HOST, path="/covers/1")
    deployment.world.run(2)
    note = deployment.ask(CACHEABLE, "GET", "/covers/1")
    seal = note.field(b"Server-Seal") or b""
    return [*deployment.broken(), *(["stale"] if seal.startswith(b"0.") else [])]


def failing() -> list[str]:
    deployment = Deployment(84).set_up()
    deployment.crowd(24, 10.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
    deployment.world.run(3)
    every_second = deque((Manner.LOST, Manner.WHOLE) * 2500)
    for instance in deployment.of_service("pages"):
        instance.manners = every_second
    deployment.world.run(8)
    return retry_violations(deployment.notes, deployment.history, "pages", deployment.allowed)


def limited() -> list[str]:
    deployment = Deployment(81)
    services: Any = deployment.configuration["services"]
    services[1] = {**services[1], "rate_per_s": 40.0}
    deployment.set_up()
    deployment.crowd(24, 10.0, lambda number: (UNSAFE, "POST", f"/orders/{number}"))
    deployment.world.run(8)
    return rate_violations(deployment.history, "desks", 40.0)


def as_repeatable(self: Any, request: Any) -> Any:
    route = ROUTE_OF(self, request)
    request.request_class = RequestClass.IDEMPOTENT
    return route


def any_503(self: Any, request: Any, head: Any) -> ClientError | None:
    if head.status == 503:
        return ServerRejectedError(503)
    error = UNFIT(self, request, head)
    return error if error is None or isinstance(error, ClientError) else None


ROUTE_OF = Router.find_route
UNFIT = ResponseValidator.find_error
TAKEOUTS: dict[str, tuple[Run, Any, str, Any]] = {
    "answers_names": (
        broken_by(Manner.TWIN, SAFE, "GET", "/plain/"),
        ResponseValidator,
        "belongs_to",
        lambda _self, _order, _head: True,
    ),
    "seals": (
        broken_by(Manner.UNSEALED, SAFE, "GET", "/plain/"),
        ResponseValidator,
        "is_sealed",
        lambda _self, _head: True,
    ),
    "lives": (
        handed_addresses,
        deployments,
        "PROFILE",
        dataclasses.replace(PROFILE, expected=b"X-Nothing"),
    ),
    "once": (
        broken_by(Manner.LOST, UNSAFE, "POST", "/orders/"),
        Router,
        "find_route",
        as_repeatable,
    ),
    "only_what_is_said_not_to_have_run": (
        broken_by(Manner.VAGUE, UNSAFE, "POST", "/orders/"),
        ResponseValidator,
        "find_error",
        any_503,
    ),
    "purges": (purged, CacheStore, "apply_purges", lambda _self, _purges, _number: None),
    "budgets": (failing, RetryBudget, "try_retry", lambda _self: True),
    "rates": (limited, TokenBucket, "allow", lambda _self, _now: True),
}


class TakeoutTests(testtools.TestCase):
    """Two tests for each: the run holds, and without its mechanism it does not."""


def holds(run: Run) -> Callable[[TakeoutTests], None]:
    def test(case: TakeoutTests) -> None:
        case.assertEqual([], run())

    return test


def breaks(run: Run, place: Any, name: str, other: Any) -> Callable[[TakeoutTests], None]:
    def test(case: TakeoutTests) -> None:
        with mock.patch.object(place, name, other):
            case.assertNotEqual([], run())

    return test


for named, (run, place, name, other) in TAKEOUTS.items():
    setattr(TakeoutTests, f"test_{named}_hold", holds(run))
    setattr(TakeoutTests, f"test_without_{named}_it_breaks", breaks(run, place, name, other))
