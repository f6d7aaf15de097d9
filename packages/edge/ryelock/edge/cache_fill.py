"""Fills the cache with responses of servers and peers, and wakes the requests that wait for them.

A purge during a fetch invalidates it: the response serves the request that fetched it and is not
stored.
"""

from dataclasses import dataclass

from ryelock.cache import Fill, StoredResponse, freshen, storable_response
from ryelock.edge.cache_lookup import CacheLookup
from ryelock.edge.context import EdgeContext
from ryelock.edge.request import CacheStatus, Request
from ryelock.edge.response_validator import ResponseValidator
from ryelock.edge.upstream_response import UpstreamResponse
from ryelock.http import HttpExchange, end_to_end
from ryelock.replicated_state import Route

NOT_MODIFIED = 304


@dataclass(frozen=True, slots=True)
class FillInProgress:
    """A fetch for the cache in progress.

    Attributes:
        fill: the fill that other requests may join.
        stale: a stored response that may be revalidated.
        purged_before: number of the newest purge when the fetch began.
    """

    fill: Fill
    stale: StoredResponse | None
    purged_before: int


class CacheFiller:
    """Stores the responses of fetches."""

    __slots__ = ("context", "lookup", "validator")

    def __init__(
        self, context: EdgeContext, lookup: CacheLookup, validator: ResponseValidator
    ) -> None:
        """Create the filler."""
        self.context = context
        self.lookup = lookup
        self.validator = validator

    def begin(
        self, request: Request, stored: StoredResponse | None, shareable: bool
    ) -> FillInProgress:
        """Begin a fetch; other requests may join it if it is shareable and the first for its key.

        The request handler ends `request.fill` in any case, so that no request waits forever.
        """
        store, key = self.context.store, request.cache_key
        fill = store.begin_fill(key) if shareable and key not in store.fills else Fill(key)
        request.fill = fill
        stale = stored if stored is not None and stored.etag is not None else None
        return FillInProgress(fill, stale, store.last_purge)

    def store_from_owner(self, progress: FillInProgress, response: StoredResponse) -> None:
        """Store a response from the object's owner, unless it was purged meanwhile."""
        self.finish(progress, response if self.may_store(progress, response) else None)

    def store_from_server(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        progress: FillInProgress,
        upstream: UpstreamResponse,
    ) -> StoredResponse | None:
        """Store a server's response if it is cacheable.

        A probe that bypasses the cache does not change it: it would repair the stored response that
        a later probe is to check as a client gets it.

        Returns:
            The response to send in the form of a stored one; None if the server's response is to be
            streamed.
        """
        response = self.storable(exchange, request, route, progress, upstream)
        if response is None:
            if upstream.complete and request.cache_status is CacheStatus.MISS:
                request.cache_status = CacheStatus.NOT_STORED
            if not request.is_probe:
                self.context.store.remove(progress.fill.key)
            self.finish(progress, None)
            return None
        bypasses_cache = request.is_probe and not self.lookup.may_reuse(response, route, exchange)
        should_store = not bypasses_cache and self.may_store(progress, response)
        self.finish(progress, response if should_store else None)
        return response

    def storable(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        progress: FillInProgress,
        upstream: UpstreamResponse,
    ) -> StoredResponse | None:
        """Return a storable response: a new one, or the stale one freshened by a 304."""
        head, now = upstream.head, self.context.scheduler.now()
        if head.status == NOT_MODIFIED and progress.stale is not None:
            request.cache_status = CacheStatus.REVALIDATED
            return freshen(progress.stale, head, upstream.sent_at, now)
        if not upstream.complete or not self.validator.is_sealed(head):
            return None
        fields = end_to_end(head.fields)
        return storable_response(
            exchange.head, route, head, fields, upstream.prefix, upstream.sent_at, now
        )

    def may_store(self, progress: FillInProgress, response: StoredResponse) -> bool:
        """Return True if no purge since the fetch began matches the response."""
        fill = progress.fill
        purged = self.context.store.is_purged_since(progress.purged_before, fill.key, response)
        return not fill.invalidated and not purged

    def finish(self, progress: FillInProgress, response: StoredResponse | None) -> None:
        """End the fill: store the response, if any, and wake the requests that wait for it."""
        self.context.store.end_fill(progress.fill, response)
