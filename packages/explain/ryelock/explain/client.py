"""Fetch of explanations from an edge over its control API.

A request's id, which clients get in the response, starts with the name of the edge that served it;
any node knows the control address of that edge. Given a method and a URL instead of an id, an edge
explains how it would route such a request now.
"""

from http import HTTPStatus
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from ryelock.control_client import ControlResponse, OperatorError, call_control_api, with_query
from ryelock.explain.explanation import decode_explanation
from ryelock.rpc.errors import MalformedMessageError
from ryelock.runtime import Network, Scheduler

ExplanationBody = dict[str, object]
"""An explanation as a JSON object; see `Explanation`."""


def edge_name(request_id: str) -> str:
    """Return the name of the edge in a request's id, EDGE-INCARNATION-NUMBER."""
    return request_id.rsplit("-", 2)[0]


async def explain_request(
    scheduler: Scheduler, network: Network, address: str, request_id: str
) -> Result[ExplanationBody, OperatorError]:
    """Fetch the explanation of a request from the edge that served it.

    Args:
        scheduler: clock and timers.
        network: opens the connections.
        address: control address of any node, which is asked for that of the edge.
        request_id: id of the request.
    """
    response = await call_control_api(scheduler, network, address, "GET", "/members")
    if response.is_error():
        return Error(response.error)
    members = response.ok.body.get("members")
    name = edge_name(request_id)
    edge = members.get(name) if isinstance(members, dict) else None
    if not isinstance(edge, dict):
        return Error(OperatorError(f"no edge {name!r} is known"))
    target = with_query("/explain", order=request_id)
    response = await call_control_api(scheduler, network, str(edge["control"]), "GET", target)
    return parse_explanation(response)


async def explain_url(
    scheduler: Scheduler, network: Network, address: str, method: str, url: str
) -> Result[ExplanationBody, OperatorError]:
    """Fetch an edge's explanation of how it would route a request now.

    Args:
        scheduler: clock and timers.
        network: opens the connection.
        address: control address of the edge.
        method: HTTP method of the request.
        url: URL of the request.
    """
    parts = urlsplit(url)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    target = with_query("/explain", method=method, target=path or "/", host=parts.hostname or "")
    response = await call_control_api(scheduler, network, address, "GET", target)
    return parse_explanation(response)


def parse_explanation(
    response: Result[ControlResponse, OperatorError],
) -> Result[ExplanationBody, OperatorError]:
    """Return the explanation in an edge's response; any status other than 200 is an error."""
    if response.is_error():
        return Error(response.error)
    if response.ok.status != HTTPStatus.OK:
        return Error(OperatorError(str(response.ok.body.get("fault"))))
    try:
        decode_explanation(response.ok.body)
    except MalformedMessageError as error:
        return Error(OperatorError(f"malformed explanation: {error}"))
    return Ok(response.ok.body)
