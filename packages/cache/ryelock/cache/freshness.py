"""How long a response is fresh, and whether a stored one may be used (RFC 9111, section 4).

Ages rest on the monotonic clock and on what the server said (Age, Expires against its own Date),
never on this machine's wall clock, which may be wrong by minutes. Stale responses are never
served, whatever max-stale asks.
"""

from ryelock.cache.cache_control import age_field, directive_seconds, directives
from ryelock.cache.stored_response import StoredResponse
from ryelock.http import Fields, ResponseHead, end_to_end, field, parse_http_date
from ryelock.replicated_state import Route


def freshness_lifetime(fields: Fields) -> float | None:
    """Return the seconds for which the server says a response is fresh (RFC 9111, 4.2.1).

    None where it says nothing; there is no heuristic lifetime here (4.2.2).
    """
    found = directives(fields)
    for name in ("s-maxage", "max-age"):
        seconds = directive_seconds(found, name)
        if seconds is not None:
            return seconds
    expires = field(fields, b"expires")
    if expires is None:
        return None
    expires_at, dated = parse_http_date(expires), parse_http_date(field(fields, b"date"))
    return max(0.0, expires_at - dated) if expires_at is not None and dated is not None else 0.0


def effective_lifetime(stored: StoredResponse, route: Route) -> float:
    """Return the lifetime of a stored response: the server's, but never above the route's."""
    if stored.lifetime is None:
        return route.lifetime_seconds
    if route.lifetime_seconds > 0:
        return min(stored.lifetime, route.lifetime_seconds)
    return stored.lifetime


def may_reuse(stored: StoredResponse, route: Route, request: Fields, now: float) -> bool:
    """Whether a stored response may answer without asking the server (RFC 9111, 4 and 5.2.1).

    Args:
        stored: the response.
        route: the route of the request.
        request: fields of the request.
        now: monotonic time in seconds.
    """
    asked = directives(request)
    if "no-cache" in asked or stored.needs_validation:
        return False
    if not asked and field(request, b"pragma") == b"no-cache":
        return False
    age = stored.age(now)
    left = effective_lifetime(stored, route) - age
    max_age = directive_seconds(asked, "max-age")
    min_fresh = directive_seconds(asked, "min-fresh") or 0.0
    return left > min_fresh and (max_age is None or age <= max_age)


def freshen(
    stored: StoredResponse, head: ResponseHead, sent_at: float, now: float
) -> StoredResponse:
    """Return a stored response with the newer fields of a 304 (RFC 9111, 4.3.4).

    Args:
        stored: the response that its server says is unchanged.
        head: head of the 304.
        sent_at: monotonic time in seconds at which the validation was sent.
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
        age_field(head.fields) + (now - sent_at),
        stored.lifetime if lifetime is None else lifetime,
        stored.vary,
    )
