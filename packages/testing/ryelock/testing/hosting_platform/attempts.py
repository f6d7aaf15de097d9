"""What a caller of the platform keeps of each attempt of a request."""

from dataclasses import dataclass
from dataclasses import field as dataclass_field

from ryelock.http import Fields, field

SAFE, UNSAFE, CACHEABLE = "safe", "unsafe", "cacheable"
"""Kinds of requests, as a route's configuration spells them."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which an edge says that the request was not run."""


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt of a caller's request and its answer.

    Attributes:
        sent_at: monotonic seconds at which it was sent.
        edge: name of the node it was sent to.
        kind: SAFE, UNSAFE or CACHEABLE.
        method: HTTP method.
        host: value of the Host field.
        target: path with query.
        identity: name of the attempt; the request's name, a dash, and the attempt's number.
        body: body that was sent.
        deadline: seconds until the caller leaves.
        status: status of the answer; 0 without one.
        fields: header fields of the answer.
        response_body: body of the answer.
        complete: whether the answer came to its end.
        ending: COMPLETE, NO_CONNECTION or the error that ended it; empty while it runs.
        seconds: how long it took.
    """

    sent_at: float
    edge: str
    kind: str
    method: str
    host: str
    target: str
    identity: str
    body: bytes
    deadline: float
    status: int = 0
    fields: Fields = dataclass_field(default_factory=list)
    response_body: bytes = b""
    complete: bool = False
    ending: str = ""
    seconds: float = 0.0

    @property
    def request_name(self) -> str:
        """Name of the request that this is an attempt of."""
        return self.identity.rpartition("-")[0]

    @property
    def served(self) -> bool:
        """Whether the caller got a complete success."""
        return self.complete and 200 <= self.status < 300

    def field(self, name: bytes) -> bytes | None:
        """Return a field of the answer, None where it has none."""
        return field(self.fields, name.lower())
