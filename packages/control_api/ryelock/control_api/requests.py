"""Operator requests, as forwarded to the leader, and their outcomes."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from ryelock.rpc import Message

OPERATOR_REQUEST = "operator"
"""Kind of the RPC message that carries an operator request."""


class OperatorAction(StrEnum):
    """Action that an operator requests; the values are used on the wire."""

    CHANGE = "change"
    PLAN = "plan"
    READ = "read"
    PURGE = "purge"
    DRAIN = "drain"
    RECOVER = "recover"
    HEALTH = "verdicts"
    MEMBERS = "members"


READ_ONLY_ACTIONS = frozenset(
    {OperatorAction.READ, OperatorAction.PLAN, OperatorAction.HEALTH, OperatorAction.MEMBERS}
)
"""Actions without side effects: without a response, they may be retried on another node."""
ACTIONS_WITH_PAYLOAD = frozenset(
    {
        OperatorAction.CHANGE,
        OperatorAction.PLAN,
        OperatorAction.PURGE,
        OperatorAction.DRAIN,
        OperatorAction.RECOVER,
    }
)


MAX_PAYLOAD_DEPTH = 64
"""Limit of lists and objects inside each other in a payload. RPC messages and log entries are
decoded up to a depth only, and encoded at any."""


class OutcomeStatus(StrEnum):
    """Outcome of a request; the values are used on the wire and in responses.

    NOT_TAKEN is definite: the request has not been executed and will not be. UNKNOWN: it may have
    been committed. ELSEWHERE: this node is not the leader.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_TAKEN = "not-taken"
    UNKNOWN = "unknown"
    REJECTED = "declined"
    FENCED = "fenced"
    MALFORMED = "malformed"
    ELSEWHERE = "elsewhere"
    LATE = "late"


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """An operator request.

    Attributes:
        action: requested action, None if its name on the wire is unknown.
        payload: JSON value of the request's body, None for actions without one.
        query: last value of each parameter in the URL's query.
    """

    action: OperatorAction | None
    payload: object = None
    query: Mapping[str, str] = field(default_factory=dict)

    def to_wire(self) -> Message:
        """Return the request as an RPC message."""
        message: Message = {
            "kind": OPERATOR_REQUEST,
            "what": str(self.action),
            "query": dict(self.query),
        }
        if self.action in ACTIONS_WITH_PAYLOAD:
            message["given"] = self.payload
        return message

    @classmethod
    def from_wire(cls, message: Message) -> "OperatorRequest":
        """Return the request in an RPC message; the query, unused by the leader, is left out."""
        name = message.get("what")
        action = next((action for action in OperatorAction if action.value == name), None)
        return cls(action, message.get("given"))


def is_nested_too_deeply(value: object) -> bool:
    """Return True if more than MAX_PAYLOAD_DEPTH lists and objects stand inside each other."""
    level = [value]
    for _ in range(MAX_PAYLOAD_DEPTH):
        level = [item for container in level for item in nested_values(container)]
        if not level:
            return False
    return any(isinstance(item, dict | list) for item in level)


def nested_values(value: object) -> Iterable[object]:
    """Return the items of a list and the values of an object; nothing for other values."""
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
