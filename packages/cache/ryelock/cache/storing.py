"""Storing of responses in a shared cache (RFC 9111, section 3)."""

from ryelock.cache.cache_control import age_seconds, directives
from ryelock.cache.freshness import freshness_lifetime
from ryelock.cache.stored_response import StoredResponse
from ryelock.http import Fields, RequestHead, ResponseHead, field, tokens
from ryelock.replicated_state import Route

STORABLE_STATUSES = frozenset([200, 203, 300, 301, 308, 404, 410])
ROUTE_LIFETIME_STATUSES = (200, 203)
"""Statuses that are stored with the route's lifetime if the server gave none."""
AUTHORIZED_DIRECTIVES = ("public", "s-maxage", "must-revalidate")
"""Directives that allow storing the response to a request with Authorization (RFC 9111, 3.5)."""


def vary_key(fields: Fields, names: list[bytes]) -> tuple[tuple[bytes, bytes], ...]:
    """Return the named request fields with their values, sorted by name (RFC 9111, 4.1)."""
    return tuple((name, field(fields, name) or b"") for name in sorted(set(names)))


def may_store(request: RequestHead, route: Route, head: ResponseHead, fields: Fields) -> bool:
    """Return True if a shared cache is allowed to store a response (RFC 9111, 3)."""
    if not route.cached or request.method != b"GET" or head.status not in STORABLE_STATUSES:
        return False
    response_directives = directives(fields)
    if (
        "no-store" in response_directives
        or "private" in response_directives
        or "no-store" in directives(request.fields)
    ):
        return False
    if field(fields, b"set-cookie") is not None:
        return False
    if field(request.fields, b"authorization") is not None and not any(
        name in response_directives for name in AUTHORIZED_DIRECTIVES
    ):
        return False
    return b"*" not in tokens(fields, b"vary")


def storable_response(
    request: RequestHead,
    route: Route,
    head: ResponseHead,
    fields: Fields,
    body: bytes,
    sent_at: float,
    now: float,
) -> StoredResponse | None:
    """Convert a response to its stored form; return None if it may not be stored.

    Args:
        request: the head of the request.
        route: the route of the request.
        head: the head of the response; only status and reason are used.
        fields: the end-to-end fields of the response.
        body: the complete body.
        sent_at: monotonic time in seconds at which the request was sent.
        now: monotonic time in seconds at which the response was complete.
    """
    if not may_store(request, route, head, fields):
        return None
    lifetime = freshness_lifetime(fields)
    if lifetime is None and head.status not in ROUTE_LIFETIME_STATUSES:
        return None
    # A response that is never fresh is useful only if it can be validated.
    never_fresh = (lifetime is None and route.lifetime_seconds <= 0) or lifetime == 0.0
    if never_fresh and field(fields, b"etag") is None:
        return None
    return StoredResponse(
        head,
        [(name, value) for name, value in fields if name.lower() != b"age"],
        body,
        now,
        age_seconds(fields) + (now - sent_at),
        lifetime,
        vary_key(request.fields, tokens(fields, b"vary")),
    )
