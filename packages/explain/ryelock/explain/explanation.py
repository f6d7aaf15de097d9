"""An edge's explanation of one request, as its control API answers it."""

from dataclasses import dataclass, field
from typing import Annotated

from ryelock.rpc.codec import WireName, decode


@dataclass(frozen=True, slots=True)
class Explanation:
    """What became of a request, or what would become of it now.

    Every field has a default: an edge that knows no route says nothing of servers, and one that
    was asked what it would do has no status.

    Attributes:
        method: HTTP method.
        target: path and query.
        host: host that was asked for, empty where there was none.
        route: name of the route, empty where none matched.
        reason: why there is no answer of a server.
        version: configuration version that the route is of.
        service: name of the service.
        request_class: "once" (at most once) or "repeatable" (idempotent).
        is_retry: whether it was taken for a client's retry.
        cache: what the cache had for it.
        admission: how it was let through, or what the admission queue holds.
        verdicts: health verdict by zone.
        candidates: what was known of each server at the first pick.
        attempts: servers that it was sent to, with the result of each.
        picked: where it would go now.
        status: HTTP status of the answer, 0 where there was none.
        outcome: how the answer ended.
    """

    method: str | None = None
    target: str | None = None
    host: str | None = None
    route: str | None = None
    reason: str | None = None
    version: int | None = None
    service: str | None = None
    request_class: Annotated[str | None, WireName("class")] = None
    is_retry: Annotated[bool, WireName("repeat")] = False
    cache: str | None = None
    admission: Annotated[object, WireName("allowance")] = ""
    verdicts: dict[str, str] = field(default_factory=dict)
    candidates: Annotated[list[dict[str, object]], WireName("servers_weighed")] = field(
        default_factory=list
    )
    attempts: Annotated[list[dict[str, object]], WireName("dispatches")] = field(
        default_factory=list
    )
    picked: Annotated[str | None, WireName("would_go_to")] = None
    status: int = 0
    outcome: str | None = None


def decode_explanation(body: dict[str, object]) -> Explanation:
    """Return the explanation in a body; raises MalformedMessageError where it is none."""
    return decode(Explanation, body)
