"""The operator's side of the control API: requests to a node, and exit codes for what came of them.

`client` sends a request, `errors` has the exit codes and what can go wrong.
"""

from ryelock.control_client.client import (
    ControlResponse,
    JsonObject,
    call_control_api,
    with_query,
)
from ryelock.control_client.errors import (
    ExitCode,
    MalformedResponseError,
    OperatorError,
    OutcomeUnknownError,
    RequestNotSentError,
    exit_code_of,
)

__all__ = [
    "ControlResponse",
    "ExitCode",
    "JsonObject",
    "MalformedResponseError",
    "OperatorError",
    "OutcomeUnknownError",
    "RequestNotSentError",
    "call_control_api",
    "exit_code_of",
    "with_query",
]
