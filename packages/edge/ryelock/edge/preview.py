"""Preview of a request for explain: route, cache state and server, without sending it."""

from ryelock.cache import may_reuse
from ryelock.edge.context import EdgeContext
from ryelock.edge.plan import parse_path
from ryelock.edge.request import Request
from ryelock.edge.routing import Router


class RequestPreview:
    """Describes how a request would be served at present."""

    __slots__ = ("context", "router")

    def __init__(self, context: EdgeContext, router: Router) -> None:
        """Create the preview."""
        self.context = context
        self.router = router

    def describe(self, method: str, target: str, host: str) -> dict[str, object]:
        """Return the preview of a request in the form that explain shows."""
        context = self.context
        now = context.scheduler.now()
        request = Request("", method, target, host, now, context.scheduler.clock.wall())
        request.path = parse_path(target)
        request.zone_verdicts = context.member.zone_statuses()
        route = self.router.find_route(request)
        description = {**request.to_wire(), "serving": context.member.serving}
        if route is None:
            return {**description, "status": 404, "reason": "no route"}
        stored = context.store.find((request.route_name, host, target), [])
        is_hit = stored is not None and may_reuse(stored, route, [], now)
        candidates: list[dict[str, object]] = []
        address = self.pick_address(request, candidates)
        return {
            **description,
            "cache": "hit" if is_hit else "miss" if route.cached else "not cached",
            "servers_weighed": candidates,
            "would_go_to": "a copy" if is_hit else address,
            "allowance": self.admission_state(request.service, now),
        }

    def pick_address(self, request: Request, candidates: list[dict[str, object]]) -> str:
        """Return the address of the server that would be picked.

        If the pick starts a trial of an ejected server, the trial is cancelled.
        """
        state = self.context.servers.pick(request.service, set(), request.zone_verdicts, candidates)
        if state is None:
            return "no live server"
        if state.trial_in_flight:
            state.trial_in_flight = False
        return state.server.address

    def admission_state(self, service: str, now: float) -> dict[str, object]:
        """Return the state of the service's admission queue; empty if there is none."""
        queue = self.context.admission_queues.get(service)
        if queue is None:
            return {}
        return {
            "share": round(queue.bucket.current_share(now), 3),
            "flight": queue.in_flight,
            "waiting": queue.waiting,
            "repeats_left": round(queue.budget.tokens, 2),
        }
