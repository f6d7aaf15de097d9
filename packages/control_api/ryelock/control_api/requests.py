"""Operators' requests as they are passed to the leader, and what becomes of them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from ryelock.rpc import Message

OPERATOR_REQUEST = "operator"
"""Kind of the message that carries an operator's request."""


class OperatorAction(StrEnum):
    """What an operator asks the leader for; the values are those on the wire."""

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
"""Actions without effect: one without a response may be repeated elsewhere."""
ACTIONS_WITH_PAYLOAD = frozenset(
    {
        OperatorAction.CHANGE,
        OperatorAction.PLAN,
        OperatorAction.PURGE,
        OperatorAction.DRAIN,
        OperatorAction.RECOVER,
    }
)


class OutcomeStatus(StrEnum):
    """What became of a request; the values are those on the wire and in responses.

    NOT_TAKEN is certain: the request has no effect and will have none. UNKNOWN says that it may
    have been committed. ELSEWHERE: this node does not lead.
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
    """One operator's request.

    Attributes:
        action: what is asked for, None where the sender named something unknown.
        payload: JSON value of the request's body, None for actions without one.
        query: the last value of each name in the URL's query.
    """

    action: OperatorAction | None
    payload: object = None
    query: Mapping[str, str] = field(default_factory=dict)

    def to_wire(self) -> Message:
        """Return the message that carries the request."""
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
        """Return the request in a message; the query is of no use to the leader."""
        name = message.get("what")
        action = next((known for known in OperatorAction if known.value == name), None)
        return cls(action, message.get("given"))
