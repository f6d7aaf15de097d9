"""Disables one safeguard at a time; the run that passes with it must then violate a rule."""

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


def faulty_servers(manner: Manner, kind: str, method: str, target: str) -> Run:
    """Return a run of requests to servers that all have one fault."""

    def run() -> list[str]:
        deployment = Deployment(1, ONE_ZONE, edges=3, cores=3).set_up()
        for number in range(8):
            for instance in deployment.servers.values():
                instance.manner = manner
            deployment.request(
                kind, method, f"{target}{number}", b"body" if method == "POST" else b"", attempts=1
            )
            deployment.request(kind, method, f"{target}more-{number}", attempts=1)
        deployment.world.run(2)
        return deployment.violations()

    return run


def swapped_addresses() -> list[str]:
    """Return violations of a run in which servers of two services swap addresses."""
    deployment = Deployment(8, servers=1).set_up()
    deployment.start_clients(
        12,
        10.0,
        lambda number: (
            (SAFE, "GET", f"/plain/{number}")
            if number % 2
            else (UNSAFE, "POST", f"/orders/{number}")
        ),
    )
    deployment.world.run(2)
    instances = [deployment.servers_of(name)[0] for name in ("pages", "desks")]
    for instance in instances:
        deployment.platform.crash(instance)
    deployment.world.run(0.3)
    deployment.add_server("desks", "a", instances[0].address)
    deployment.add_server("pages", "a", instances[1].address)
    deployment.world.run(6)
    return deployment.violations()


def purged_object() -> list[str]:
    """Return violations, and "stale" if a purged object is served."""
    deployment = Deployment(2).set_up()
    deployment.request(CACHEABLE, "GET", "/covers/1")
    deployment.services["pages"].objects.change("/covers/1", 0.0)
    deployment.purge(host=HOST, path="/covers/1")
    deployment.world.run(2)
    record = deployment.request(CACHEABLE, "GET", "/covers/1")
    seal = record.field(b"Server-Seal") or b""
    return [*deployment.violations(), *(["stale"] if seal.startswith(b"0.") else [])]


def failing_service() -> list[str]:
    """Return violations of the retry budget while every second request fails."""
    deployment = Deployment(84).set_up()
    deployment.start_clients(24, 10.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
    deployment.world.run(3)
    every_second = deque((Manner.LOST, Manner.WHOLE) * 2500)
    for instance in deployment.servers_of("pages"):
        instance.manners = every_second
    deployment.world.run(8)
    return retry_violations(
        deployment.records, deployment.history, "pages", deployment.allowed_services
    )


def rate_limited_service() -> list[str]:
    """Return violations of a service's rate limit under higher load."""
    deployment = Deployment(81)
    services: Any = deployment.configuration["services"]
    services[1] = {**services[1], "rate_per_s": 40.0}
    deployment.set_up()
    deployment.start_clients(24, 10.0, lambda number: (UNSAFE, "POST", f"/orders/{number}"))
    deployment.world.run(8)
    return rate_violations(deployment.history, "desks", 40.0)


def route_as_idempotent(self: Any, request: Any) -> Any:
    """Replace Router.find_route: treats each request as idempotent, so unsafe ones are retried."""
    route = FIND_ROUTE(self, request)
    request.request_class = RequestClass.IDEMPOTENT
    return route


def retry_any_503(self: Any, request: Any, head: Any) -> ClientError | None:
    """Replace ResponseValidator.find_error: retries each 503, executed or not."""
    if head.status == 503:
        return ServerRejectedError(503)
    error = FIND_ERROR(self, request, head)
    return error if error is None or isinstance(error, ClientError) else None


FIND_ROUTE = Router.find_route
FIND_ERROR = ResponseValidator.find_error
SAFEGUARDS: dict[str, tuple[Run, Any, str, Any]] = {
    "identity_check": (
        faulty_servers(Manner.TWIN, SAFE, "GET", "/plain/"),
        ResponseValidator,
        "belongs_to",
        lambda _self, _request, _head: True,
    ),
    "seal_check": (
        faulty_servers(Manner.UNSEALED, SAFE, "GET", "/plain/"),
        ResponseValidator,
        "is_sealed",
        lambda _self, _head: True,
    ),
    "instance_check": (
        swapped_addresses,
        deployments,
        "PROFILE",
        dataclasses.replace(PROFILE, expected=b"X-Nothing"),
    ),
    "unsafe_request_class": (
        faulty_servers(Manner.LOST, UNSAFE, "POST", "/orders/"),
        Router,
        "find_route",
        route_as_idempotent,
    ),
    "not_executed_check": (
        faulty_servers(Manner.VAGUE, UNSAFE, "POST", "/orders/"),
        ResponseValidator,
        "find_error",
        retry_any_503,
    ),
    "purges": (purged_object, CacheStore, "apply_purges", lambda _self, _purges, _number: None),
    "retry_budget": (failing_service, RetryBudget, "try_retry", lambda _self: True),
    "rate_limit": (rate_limited_service, TokenBucket, "allow", lambda _self, _now: True),
}


class SafeguardTests(testtools.TestCase):
    """Two tests per safeguard: with it the run violates no rule, without it one."""


def enabled_safeguard_test(run: Run) -> Callable[[SafeguardTests], None]:
    def test(case: SafeguardTests) -> None:
        case.assertEqual([], run())

    return test


def disabled_safeguard_test(
    run: Run, target: Any, name: str, replacement: Any
) -> Callable[[SafeguardTests], None]:
    def test(case: SafeguardTests) -> None:
        with mock.patch.object(target, name, replacement):
            case.assertNotEqual([], run())

    return test


for safeguard, (run, target, name, replacement) in SAFEGUARDS.items():
    setattr(SafeguardTests, f"test_with_{safeguard}", enabled_safeguard_test(run))
    setattr(
        SafeguardTests,
        f"test_without_{safeguard}",
        disabled_safeguard_test(run, target, name, replacement),
    )
