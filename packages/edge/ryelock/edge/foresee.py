"""What would become of an order, without sending it."""

from ryelock.cache import may_use
from ryelock.edge.dispatch import Dispatch
from ryelock.edge.orders import Request
from ryelock.edge.plan import path_of


class Foresee(Dispatch):
    """The answer to an operator who asks what would happen to an order."""

    __slots__ = ()

    def foresee(self, method: str, target: str, host: str) -> dict[str, object]:
        request = Request(
            "", method, target, host, self.scheduler.now(), self.scheduler.clock.wall()
        )
        request.path = path_of(target)
        request.verdict = self.member.verdicts()
        route = self.find_route(request)
        found = {**request.plain(), "serving": self.member.serving}
        if route is None:
            return {**found, "status": 404, "reason": "no route"}
        now = self.scheduler.now()
        copy = self.store.find((request.route_name, host, target), [])
        usable = copy is not None and may_use(copy, route, [], now)
        gate = self.gates.get(request.service)
        weighed: list[dict[str, object]] = []
        state = self.servers.pick(request.service, set(), request.verdict, weighed)
        if state is not None and state.trying:
            state.trying = False
        return {
            **found,
            "cache": "hit" if usable else "miss" if route.cached else "not cached",
            "servers_weighed": weighed,
            "would_go_to": "a copy"
            if usable
            else state.server.address
            if state is not None
            else "no live server",
            "allowance": {}
            if gate is None
            else {
                "share": round(gate.bucket.current_share(now), 3),
                "flight": gate.in_flight,
                "waiting": gate.waiting,
                "repeats_left": round(gate.budget.tokens, 2),
            },
        }
