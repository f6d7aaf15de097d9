"""Client of the control API: operator requests, and the exit codes of their outcomes.

`client` sends a request; `errors` has the exit codes and the errors.
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
