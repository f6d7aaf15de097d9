"""The HTTP API for operators and the platform on every process.

`server` serves it and passes on to the leader what only the leader can answer; `requests` has the
requests and outcomes, `errors` what is wrong with a request.
"""

from ryelock.control_api.errors import ControlApiError
from ryelock.control_api.requests import (
    OPERATOR_REQUEST,
    OperatorAction,
    OperatorRequest,
    OutcomeStatus,
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
]
