"""Freshness and reuse of stored responses (RFC 9111, section 4).

Ages are computed from the monotonic clock and the response's own fields (Age, and Expires relative
to Date), never from the local wall clock, which may be off by minutes. Stale responses are never
served; max-stale is ignored.
"""

from ryelock.cache.cache_control import age_seconds, directive_seconds, directives
from ryelock.cache.stored_response import StoredResponse
from ryelock.http import Fields, ResponseHead, end_to_end, field, parse_http_date
from ryelock.replicated_state import Route


def freshness_lifetime(fields: Fields) -> float | None:
    """Return the explicit freshness lifetime of a response in seconds (RFC 9111, 4.2.1).

    None if the response has none; heuristic freshness (4.2.2) is not used.
    """
    response_directives = directives(fields)
    for name in ("s-maxage", "max-age"):
        seconds = directive_seconds(response_directives, name)
        if seconds is not None:
            return seconds
    expires = field(fields, b"expires")
    if expires is None:
        return None
    expires_at, date = parse_http_date(expires), parse_http_date(field(fields, b"date"))
    return max(0.0, expires_at - date) if expires_at is not None and date is not None else 0.0


def effective_lifetime(stored: StoredResponse, route: Route) -> float:
    """Return the lifetime in seconds: the server's, capped by the route's if it has one."""
    if stored.lifetime is None:
        return route.lifetime_seconds
    if route.lifetime_seconds > 0:
        return min(stored.lifetime, route.lifetime_seconds)
    return stored.lifetime


def may_reuse(stored: StoredResponse, route: Route, request: Fields, now: float) -> bool:
    """Return True if a stored response can be used without validation (RFC 9111, 4 and 5.2.1).

    Args:
        stored: the stored response.
        route: the route of the request.
        request: the fields of the request.
        now: monotonic time in seconds.
    """
    request_directives = directives(request)
    if "no-cache" in request_directives or stored.needs_validation:
        return False
    if not request_directives and field(request, b"pragma") == b"no-cache":
        return False
    age = stored.age(now)
    remaining = effective_lifetime(stored, route) - age
    max_age = directive_seconds(request_directives, "max-age")
    min_fresh = directive_seconds(request_directives, "min-fresh") or 0.0
    return remaining > min_fresh and (max_age is None or age <= max_age)


def freshen(
    stored: StoredResponse, head: ResponseHead, sent_at: float, now: float
) -> StoredResponse:
    """Return a stored response updated with the fields of a 304 (RFC 9111, 4.3.4).

    Args:
        stored: the stored response that was validated.
        head: the head of the 304 response.
        sent_at: monotonic time in seconds at which the conditional request was sent.
        now: monotonic time in seconds.
    """
    updated = {name.lower() for name, _ in head.fields}
    fields = [(name, value) for name, value in stored.fields if name.lower() not in updated]
    fields += [pair for pair in end_to_end(head.fields) if pair[0].lower() != b"age"]
    lifetime = freshness_lifetime(fields)
    return StoredResponse(
        ResponseHead(stored.status, stored.reason, 1, fields),
        fields,
        stored.body,
        now,
        age_seconds(head.fields) + (now - sent_at),
        stored.lifetime if lifetime is None else lifetime,
        stored.vary,
    )
