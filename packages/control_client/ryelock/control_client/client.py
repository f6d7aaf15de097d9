"""Requests to the control API of any control node or edge (docs/operators.md)."""

import json
from typing import NamedTuple
from urllib.parse import urlencode

from expression import Error, Ok, Result

from ryelock.control_client.errors import (
    MalformedResponseError,
    OperatorError,
    OutcomeUnknownError,
    RequestNotSentError,
)
from ryelock.http import fetch
from ryelock.runtime import Network, Scheduler

TIMEOUT_SECONDS = 25.0
"""Longer than a node waits for the outcome of a change before it responds with 504."""

JsonObject = dict[str, object]


class ControlResponse(NamedTuple):
    """Response of a node: the HTTP status and the JSON object in the body."""

    status: int
    body: JsonObject


async def call_control_api(
    scheduler: Scheduler,
    network: Network,
    address: str,
    method: str,
    target: str,
    json_body: object = None,
) -> Result[ControlResponse, OperatorError]:
    """Send one request to a control address.

    Args:
        scheduler: runs the calling task.
        network: opens the connection.
        address: the node's control address, host:port.
        method: GET to read, POST to change something.
        target: path and query.
        json_body: value sent as JSON; None sends no body.

    Returns:
        The response with any status, or the reason for having none.
    """
    body = b"" if json_body is None else json.dumps(json_body).encode()
    result = await fetch(
        scheduler,
        network,
        address,
        method.encode(),
        target.encode(),
        [(b"Content-Type", b"application/json")],
        body,
        TIMEOUT_SECONDS,
    )
    if result.is_error():
        # A GET can safely be retried; a POST that was sent may have been executed.
        outcome_unknown = result.error.sent and method == "POST"
        error = OutcomeUnknownError if outcome_unknown else RequestNotSentError
        return Error(error(address, result.error.reason))
    head, content = result.ok
    try:
        decoded = json.loads(content)
    except ValueError:
        return Error(MalformedResponseError(address, "not JSON"))
    if not isinstance(decoded, dict):
        return Error(MalformedResponseError(address, "not an object"))
    return Ok(ControlResponse(head.status, decoded))


def with_query(path: str, **query: str) -> str:
    """Append query parameters to a path."""
    return f"{path}?{urlencode(query)}" if query else path
