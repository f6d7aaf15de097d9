"""Whether a response may be stored by a shared cache, and under which key (RFC 9111, section 3)."""

from ryelock.cache.cache_control import age_field, directives
from ryelock.cache.freshness import freshness_lifetime
from ryelock.cache.stored_response import StoredResponse
from ryelock.http import Fields, RequestHead, ResponseHead, field, tokens
from ryelock.replicated_state import Route

STORED_STATUSES = frozenset([200, 203, 300, 301, 308, 404, 410])
STATUSES_WITHOUT_LIFETIME = (200, 203)
"""Statuses that are stored by the route's lifetime where the server gave none."""
AUTHORIZED_DIRECTIVES = ("public", "s-maxage", "must-revalidate")
"""Any of these lets the response to a request with Authorization be stored (RFC 9111, 3.5)."""


def vary_key(fields: Fields, names: list[bytes]) -> tuple[tuple[bytes, bytes], ...]:
    """Return the named request fields with their values, in a fixed order (RFC 9111, 4.1)."""
    return tuple((name, field(fields, name) or b"") for name in sorted(set(names)))


def may_store(request: RequestHead, route: Route, head: ResponseHead, fields: Fields) -> bool:
    """Whether directives and fields let a shared cache store a response (RFC 9111, 3)."""
    if not route.cached or request.method != b"GET" or head.status not in STORED_STATUSES:
        return False
    found = directives(fields)
    if "no-store" in found or "private" in found or "no-store" in directives(request.fields):
        return False
    if field(fields, b"set-cookie") is not None:
        return False
    if field(request.fields, b"authorization") is not None and not any(
        name in found for name in AUTHORIZED_DIRECTIVES
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
    """Return a response in the form in which it is stored; None where it may not be.

    Args:
        request: head of the request.
        route: its route.
        head: status line of the response.
        fields: fields of the response that are not of one connection.
        body: the whole body.
        sent_at: monotonic time in seconds at which the request was sent.
        now: monotonic time in seconds at which the response was complete.
    """
    if not may_store(request, route, head, fields):
        return None
    lifetime = freshness_lifetime(fields)
    if lifetime is None and head.status not in STATUSES_WITHOUT_LIFETIME:
        return None
    # What is never fresh is of use only where it can be validated.
    never_fresh = (lifetime is None and route.lifetime_seconds <= 0) or lifetime == 0.0
    if never_fresh and field(fields, b"etag") is None:
        return None
    return StoredResponse(
        head,
        [(name, value) for name, value in fields if name.lower() != b"age"],
        body,
        now,
        age_field(fields) + (now - sent_at),
        lifetime,
        vary_key(request.fields, tokens(fields, b"vary")),
    )
