"""Why an order went where it went: from the edge that served it, by the id in its answer.

The id starts with the edge's name, so any node can say where to ask. With a method and URL
instead, an edge says what it would do now.
"""

from http import HTTPStatus
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from ryelock.control_client import ControlResponse, OperatorError, call_control_api, with_query
from ryelock.runtime import Network, Scheduler

Plain = dict[str, object]


def edge_of(request: str) -> str:
    """The edge's name in an order's id: what stands before the incarnation and the number."""
    return request.rsplit("-", 2)[0]


async def explain_request(
    scheduler: Scheduler, network: Network, at: str, request: str
) -> Result[Plain, OperatorError]:
    """Ask the edge that served a request for its account, through any node `at`."""
    found = await call_control_api(scheduler, network, at, "GET", "/members")
    if found.is_error():
        return Error(found.error)
    members = found.ok.body.get("members")
    edge = members.get(edge_of(request)) if isinstance(members, dict) else None
    if not isinstance(edge, dict):
        return Error(OperatorError(f"no edge {edge_of(request)!r} is known"))
    answer = await call_control_api(
        scheduler, network, str(edge["control"]), "GET", with_query("/explain", order=request)
    )
    return account_of(answer)


async def explain_url(
    scheduler: Scheduler, network: Network, at: str, method: str, url: str
) -> Result[Plain, OperatorError]:
    """Ask the edge `at` what it would do with a request now."""
    parts = urlsplit(url)
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    answer = await call_control_api(
        scheduler,
        network,
        at,
        "GET",
        with_query("/explain", method=method, target=target or "/", host=parts.hostname or ""),
    )
    return account_of(answer)


def account_of(answer: Result[ControlResponse, OperatorError]) -> Result[Plain, OperatorError]:
    """Return the account in an edge's answer; any status but 200 is an error."""
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status != HTTPStatus.OK:
        return Error(OperatorError(str(answer.ok.body.get("fault"))))
    return Ok(answer.ok.body)


def format_explanation(explanation: Plain) -> list[str]:
    """The account of an order as lines to read."""
    host = explanation.get("host") or "-"
    lines = [f"{explanation.get('method')} {explanation.get('target')} host {host}"]
    if not explanation.get("route"):
        return [*lines, f"no route: {explanation.get('reason') or 'nothing matched'}"]
    lines.append(
        f"route {explanation['route']} of version {explanation['version']} -> service "
        f"{explanation['service']}, class {explanation['class']}"
    )
    if explanation.get("repeat"):
        lines.append("taken as a caller's repeat")
    if explanation.get("cache"):
        lines.append(f"cache: {explanation['cache']}")
    if explanation.get("allowance"):
        lines.append(f"allowance: {explanation['allowance']}")
    verdicts = explanation.get("verdicts")
    if isinstance(verdicts, dict) and verdicts:
        lines.append(
            "verdicts: " + ", ".join(f"{zone} {word}" for zone, word in sorted(verdicts.items()))
        )
    weighed, dispatches = explanation.get("servers_weighed"), explanation.get("dispatches")
    for server in weighed if isinstance(weighed, list) else []:
        lines.append("weighed " + " ".join(f"{key}={value}" for key, value in server.items()))
    for record in dispatches if isinstance(dispatches, list) else []:
        lines.append("dispatch " + " ".join(f"{key}={value}" for key, value in record.items()))
    if explanation.get("would_go_to"):
        lines.append(f"would go to {explanation['would_go_to']}")
    if explanation.get("status"):
        reason = f": {explanation['reason']}" if explanation.get("reason") else ""
        lines.append(f"answered {explanation['status']}, {explanation.get('outcome')}{reason}")
    return lines
