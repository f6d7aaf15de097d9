"""The operator's side: orders to any core's or edge's control address, and exit codes.

Exit codes: 0 done; 1 declined, invalid or lost race; 3 certainly not taken, come back; 4
outcome unknown, ask again with the same id; 5 no node could be reached.
"""

import json
from typing import NamedTuple
from urllib.parse import urlencode

from expression import Error, Ok, Result

from ryelock.http import fetch
from ryelock.runtime import Network, Scheduler

DONE, DECLINED, NOT_TAKEN, UNKNOWN, UNREACHED = 0, 1, 3, 4, 5
CODES = {200: DONE, 503: NOT_TAKEN, 504: UNKNOWN}
SECONDS = 25.0
Plain = dict[str, object]


class ControlResponse(NamedTuple):
    """What a node answered: the HTTP status and the JSON object of its body."""

    status: int
    body: Plain


class OperatorError(Exception):
    """No node answered, or not in JSON.

    Attributes:
        code: the exit code: UNKNOWN where the request may have been done, else UNREACHED.
    """

    def __init__(self, text: str, code: int = UNREACHED) -> None:
        """Create the error; the text is for the operator."""
        super().__init__(text)
        self.code = code


async def call_control_api(
    scheduler: Scheduler,
    network: Network,
    address: str,
    method: str,
    target: str,
    json_body: object = None,
) -> Result[ControlResponse, OperatorError]:
    """One order to one control address: the HTTP status and the JSON answered."""
    body = b"" if json_body is None else json.dumps(json_body).encode()
    found = await fetch(
        scheduler,
        network,
        address,
        method.encode(),
        target.encode(),
        [(b"Content-Type", b"application/json")],
        body,
        SECONDS,
    )
    if found.is_error():
        sent = found.error.sent and method == "POST"
        text, code = ("outcome unknown", UNKNOWN) if sent else ("not sent", UNREACHED)
        return Error(OperatorError(f"{address}: {found.error.reason}; {text}", code))
    try:
        plain = json.loads(found.ok[1])
    except ValueError:
        return Error(OperatorError(f"{address}: not JSON"))
    if not isinstance(plain, dict):
        return Error(OperatorError(f"{address}: not an object"))
    return Ok(ControlResponse(found.ok[0].status, plain))


def code_of(status: int) -> int:
    """Return the exit code for an HTTP status."""
    return CODES.get(status, DECLINED)


def with_query(path: str, **query: str) -> str:
    """Append query parameters to a path."""
    return f"{path}?{urlencode(query)}" if query else path
