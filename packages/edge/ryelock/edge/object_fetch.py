"""Fetches an object for the cache: from its owner, else from a server.

An owner that is silent is not given up to make room for a fetch of this edge: a server may be at
work for it, and the fetch would have less time. Once the owner is overdue, a server is tried beside
it, if admission and retry budget allow that, and the first response is used.
"""

from expression import Error, Ok, Result

from ryelock.cache import StoredResponse
from ryelock.edge.admission import AdmissionController
from ryelock.edge.attempts import UpstreamAttempts
from ryelock.edge.cache_fill import FillInProgress
from ryelock.edge.context import EdgeContext
from ryelock.edge.failures import Failure, FailureKind
from ryelock.edge.owner_client import OwnerClient, OwnerRejection, OwnerRequest, RelayedResponse
from ryelock.edge.race import Race
from ryelock.edge.request import CacheStatus, Request
from ryelock.edge.routing import Router
from ryelock.edge.upstream_request import UpstreamCall
from ryelock.edge.upstream_response import UpstreamResponse
from ryelock.http import HttpExchange
from ryelock.replicated_state import Route

OwnedObject = StoredResponse | RelayedResponse
OWNER_FAILED = Failure(FailureKind.SERVER_FAILED, 502, "neither the owner nor a server answered")
FetchedObject = Result[OwnedObject | UpstreamResponse, Failure]


class ObjectFetcher:
    """Fetches objects that requests on cached routes need."""

    __slots__ = ("admission", "attempts", "context", "owner_client", "router")

    def __init__(
        self,
        context: EdgeContext,
        router: Router,
        admission: AdmissionController,
        owner_client: OwnerClient,
        attempts: UpstreamAttempts,
    ) -> None:
        """Create the fetcher."""
        self.context = context
        self.router = router
        self.admission = admission
        self.owner_client = owner_client
        self.attempts = attempts

    async def fetch(
        self,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        progress: FillInProgress,
        shareable: bool,
    ) -> FetchedObject:
        """Fetch an object.

        Args:
            exchange: the client's exchange.
            request: the request.
            route: its route.
            progress: the fill that the response ends.
            shareable: whether the response may serve other requests, so that the owner is asked.
        """
        if shareable:
            reply = await self.owner_client.fetch(exchange, request, route, progress.stale)
            if isinstance(reply, OwnerRequest):
                return await self.fetch_beside_owner(reply, exchange, request, route, progress)
            if isinstance(reply, OwnerRejection):
                return Error(owner_over_rate(reply))
            if reply is not None:
                return Ok(reply)
        return await self.fetch_from_server(exchange, request, route, progress)

    async def fetch_from_server(
        self, exchange: HttpExchange, request: Request, route: Route, progress: FillInProgress
    ) -> FetchedObject:
        """Fetch an object from a server, once the request is admitted."""
        failure = await self.admission.admit(exchange, request, route)
        if failure is not None:
            return Error(failure)
        assert request.admitted_to is not None
        request.cache_status = request.cache_status or CacheStatus.MISS
        call = UpstreamCall(
            exchange,
            request,
            route,
            request.admitted_to,
            True,
            progress.stale,
            self.router.deadline(exchange, route),
        )
        return await self.attempts.run(call)

    async def fetch_beside_owner(
        self,
        owner: OwnerRequest,
        exchange: HttpExchange,
        request: Request,
        route: Route,
        progress: FillInProgress,
    ) -> FetchedObject:
        """Wait for an overdue owner and try a server beside it; the first response is used.

        A failure, or a server's 5xx, is returned only once the owner has failed as well.
        """
        race: Race[FetchedObject] = Race(self.context.scheduler, discard_fetched)
        fallback: FetchedObject | None = None
        try:
            race.start(finish_owner(owner), "overdue owner")
            race.start(
                self.fetch_from_server(exchange, request, route, progress), "fetch beside owner"
            )
            for _ in range(2):
                result = await race.next_result()
                if result is None:
                    continue
                if is_success(result):
                    return result
                fallback = result
            if fallback is None:
                return Error(OWNER_FAILED)
            result, fallback = fallback, None
            return result
        finally:
            race.cancel()
            owner.close()
            if fallback is not None:
                discard_fetched(fallback)


async def finish_owner(owner: OwnerRequest) -> FetchedObject | None:
    """Wait for an overdue owner; return None if it does not respond with the object."""
    reply = await owner.finish()
    return None if reply is None else Ok(reply)


def is_success(result: FetchedObject) -> bool:
    """Return True for an object of the owner and for a server's response other than 5xx."""
    if result.is_error():
        return False
    return not isinstance(result.ok, UpstreamResponse) or result.ok.head.status < 500


def discard_fetched(result: FetchedObject) -> None:
    """Abort the connection of a server's response that is not used."""
    if result.is_ok() and isinstance(result.ok, UpstreamResponse):
        result.ok.connection.abort()


def owner_over_rate(rejection: OwnerRejection) -> Failure:
    """Return the failure of a request whose owner is at the service's rate limit."""
    return Failure(
        FailureKind.OWNER_OVER_RATE,
        503,
        "the service is at its rate; the order was not sent",
        capacity_in=rejection.capacity_in or 0.0,
    )
