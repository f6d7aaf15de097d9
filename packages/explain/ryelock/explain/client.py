"""Asking an edge for an explanation over its control API.

A request's id starts with the edge's name, so any node can say which edge to ask. With a method
and a URL instead, an edge says what it would do now.
"""

from http import HTTPStatus
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from ryelock.control_client import ControlResponse, OperatorError, call_control_api, with_query
from ryelock.explain.explanation import decode_explanation
from ryelock.rpc.errors import MalformedMessageError
from ryelock.runtime import Network, Scheduler

Body = dict[str, object]
"""An explanation as the edge sent it; see `Explanation`."""


def edge_name(request_id: str) -> str:
    """Return the edge's name in a request's id: what stands before incarnation and number."""
    return request_id.rsplit("-", 2)[0]


async def explain_request(
    scheduler: Scheduler, network: Network, at: str, request: str
) -> Result[Body, OperatorError]:
    """Ask the edge that served a request to explain it.

    Args:
        scheduler: clock and timers.
        network: where connections are opened.
        at: control address of any node, which knows the edge's.
        request: id of the request.
    """
    found = await call_control_api(scheduler, network, at, "GET", "/members")
    if found.is_error():
        return Error(found.error)
    members = found.ok.body.get("members")
    name = edge_name(request)
    edge = members.get(name) if isinstance(members, dict) else None
    if not isinstance(edge, dict):
        return Error(OperatorError(f"no edge {name!r} is known"))
    target = with_query("/explain", order=request)
    answer = await call_control_api(scheduler, network, str(edge["control"]), "GET", target)
    return explanation_in(answer)


async def explain_url(
    scheduler: Scheduler, network: Network, at: str, method: str, url: str
) -> Result[Body, OperatorError]:
    """Ask an edge what it would do with a request now.

    Args:
        scheduler: clock and timers.
        network: where connections are opened.
        at: control address of the edge.
        method: HTTP method of the request.
        url: URL of the request.
    """
    parts = urlsplit(url)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    target = with_query("/explain", method=method, target=path or "/", host=parts.hostname or "")
    answer = await call_control_api(scheduler, network, at, "GET", target)
    return explanation_in(answer)


def explanation_in(answer: Result[ControlResponse, OperatorError]) -> Result[Body, OperatorError]:
    """Return the explanation in an edge's answer; any status but 200 is an error."""
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status != HTTPStatus.OK:
        return Error(OperatorError(str(answer.ok.body.get("fault"))))
    try:
        decode_explanation(answer.ok.body)
    except MalformedMessageError as error:
        return Error(OperatorError(f"malformed explanation: {error}"))
    return Ok(answer.ok.body)
