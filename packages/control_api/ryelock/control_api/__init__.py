"""The control API: HTTP for operators and the platform, served by every process.

- `server`: the HTTP server, which forwards to the leader what only the leader can answer.
- `requests`: operator requests and their outcomes.
- `errors`: errors of a request, with the HTTP response to each.
"""

from ryelock.control_api.errors import ControlApiError
from ryelock.control_api.requests import (
    OPERATOR_REQUEST,
    OperatorAction,
    OperatorRequest,
    OutcomeStatus,
    is_nested_too_deeply,
)
from ryelock.control_api.server import LOCAL_LEADER, PATHS, STATUSES, ControlApi

__all__ = [
    "LOCAL_LEADER",
    "OPERATOR_REQUEST",
    "PATHS",
    "STATUSES",
    "ControlApi",
    "ControlApiError",
    "OperatorAction",
    "OperatorRequest",
    "OutcomeStatus",
    "is_nested_too_deeply",
]
