"""An edge's explanation of one request, as its control API returns it."""

from dataclasses import dataclass, field
from typing import Annotated

from ryelock.rpc.codec import WireName, decode


@dataclass(frozen=True, slots=True)
class Explanation:
    """How an edge routed a request, or would route it now.

    Every field has a default: without a matching route there are no servers, and an explanation of
    how a request would be routed has no status.

    Attributes:
        method: HTTP method.
        target: path and query.
        host: requested host, empty if there was none.
        route: name of the route, empty if none matched.
        reason: why there is no response from a server.
        version: configuration version of the route.
        service: name of the service.
        request_class: "once" (at most once) or "repeatable" (idempotent).
        is_retry: True if it was classified as a client's retry.
        cache: result of the cache lookup.
        admission: how it was admitted, or the state of the admission queue.
        verdicts: health verdict by zone.
        candidates: state of each server at the first selection.
        attempts: servers that it was sent to, with the result of each.
        picked: server that would be selected now.
        status: HTTP status of the response, 0 if there was none.
        outcome: how the response ended.
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
    """Return the explanation in a body; raises MalformedMessageError if it is invalid."""
    return decode(Explanation, body)
