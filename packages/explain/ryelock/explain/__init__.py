"""Why an order went where it went: from the edge that served it, by the id in its answer.

The id starts with the edge's name, so any node can say where to ask. With a method and URL
instead, an edge says what it would do now.
"""

from http import HTTPStatus
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from ryelock.control_client import OperatorError, Reply, ask, with_query
from ryelock.runtime import Network, Scheduler

Plain = dict[str, object]


def edge_of(request: str) -> str:
    """The edge's name in an order's id: what stands before the incarnation and the number."""
    return request.rsplit("-", 2)[0]


async def explain_request(
    scheduler: Scheduler, network: Network, at: str, request: str
) -> Result[Plain, OperatorError]:
    """Ask the edge that served a request for its account, through any node `at`."""
    found = await ask(scheduler, network, at, "GET", "/members")
    if found.is_error():
        return Error(found.error)
    members = found.ok.plain.get("members")
    edge = members.get(edge_of(request)) if isinstance(members, dict) else None
    if not isinstance(edge, dict):
        return Error(OperatorError(f"no edge {edge_of(request)!r} is known"))
    answer = await ask(
        scheduler, network, str(edge["control"]), "GET", with_query("/explain", order=request)
    )
    return account_of(answer)


async def explain_url(
    scheduler: Scheduler, network: Network, at: str, method: str, url: str
) -> Result[Plain, OperatorError]:
    """Ask the edge `at` what it would do with a request now."""
    parts = urlsplit(url)
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    answer = await ask(
        scheduler,
        network,
        at,
        "GET",
        with_query("/explain", method=method, target=target or "/", host=parts.hostname or ""),
    )
    return account_of(answer)


def account_of(answer: Result[Reply, OperatorError]) -> Result[Plain, OperatorError]:
    """Return the account in an edge's answer; any status but 200 is an error."""
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status != HTTPStatus.OK:
        return Error(OperatorError(str(answer.ok.plain.get("fault"))))
    return Ok(answer.ok.plain)


def in_words(plain: Plain) -> list[str]:
    """The account of an order as lines to read."""
    lines = [f"{plain.get('method')} {plain.get('target')} host {plain.get('host') or '-'}"]
    if not plain.get("route"):
        return [*lines, f"no route: {plain.get('reason') or 'nothing matched'}"]
    lines.append(
        f"route {plain['route']} of version {plain['version']} -> service "
        f"{plain['service']}, class {plain['class']}"
    )
    if plain.get("repeat"):
        lines.append("taken as a caller's repeat")
    if plain.get("cache"):
        lines.append(f"cache: {plain['cache']}")
    if plain.get("allowance"):
        lines.append(f"allowance: {plain['allowance']}")
    verdicts = plain.get("verdicts")
    if isinstance(verdicts, dict) and verdicts:
        lines.append(
            "verdicts: " + ", ".join(f"{zone} {word}" for zone, word in sorted(verdicts.items()))
        )
    weighed, dispatches = plain.get("servers_weighed"), plain.get("dispatches")
    for server in weighed if isinstance(weighed, list) else []:
        lines.append("weighed " + " ".join(f"{key}={value}" for key, value in server.items()))
    for record in dispatches if isinstance(dispatches, list) else []:
        lines.append("dispatch " + " ".join(f"{key}={value}" for key, value in record.items()))
    if plain.get("would_go_to"):
        lines.append(f"would go to {plain['would_go_to']}")
    if plain.get("status"):
        reason = f": {plain['reason']}" if plain.get("reason") else ""
        lines.append(f"answered {plain['status']}, {plain.get('outcome')}{reason}")
    return lines
