"""The gate before one service: its allowance, its flight, and bounded queues by route.

An order is let through at once where there is room and nobody waits. Otherwise it waits in
its route's queue, if its turn will come while the answer is still of use; if not it is
declined at once and told when to come back. Routes take turns, and no route may fill more
than its share of the queue and of the flight, so cheap orders cannot starve others.
"""

import math
from collections import deque

from ryelock.rate_limit import RetryBudget, TokenBucket
from ryelock.replicated_state import Service
from ryelock.runtime import Queue, Scheduler, Task

QUEUE_TIMEOUT = 1.0
NARROW_QUEUE_TIMEOUT = 3.0
BACK_MOST = 10.0


class Waiting:
    __slots__ = ("box", "over")

    def __init__(self, scheduler: Scheduler) -> None:
        self.box: Queue[bool] = Queue(scheduler)
        self.over = False


class AdmissionQueue:
    __slots__ = (
        "arrivals",
        "asking",
        "bucket",
        "budget",
        "demand",
        "demand_at",
        "in_flight",
        "news",
        "queues",
        "route_in_flight",
        "running",
        "scheduler",
        "service",
        "turn",
        "waiting",
    )

    def __init__(self, scheduler: Scheduler, name: str, service: Service) -> None:
        self.scheduler = scheduler
        self.service = service
        now = scheduler.now()
        self.bucket = TokenBucket(now, service.burst_seconds, service.limited)
        self.budget = RetryBudget(service.repeat_share, 1.0)
        self.in_flight = 0
        self.route_in_flight: dict[str, int] = {}
        self.queues: dict[str, deque[Waiting]] = {}
        self.turn: deque[str] = deque()
        self.waiting = 0
        self.asking = 0
        self.news: Queue[bool] = Queue(scheduler)
        self.arrivals = 0
        self.demand = 0.0
        self.demand_at = now
        self.running: Task = scheduler.create_task(self.admit_waiting(), name=f"gate of {name}")

    def resize(self, service: Service, edges: int) -> None:
        self.service = service
        self.bucket.burst_seconds = service.burst_seconds
        self.bucket.limited = service.limited
        self.budget.resize(
            service.repeat_share,
            max(1.0, service.repeat_allowance / max(1, edges)) if service.repeat_allowance else 0.0,
        )

    def measure(self) -> float:
        """Orders a second that lately came for this service; quick to rise, slow to fall."""
        now = self.scheduler.now()
        passed = now - self.demand_at
        if passed >= 0.4:
            rate = self.arrivals / passed
            weight = 0.6 if rate > self.demand else min(1.0, passed / 2.0)
            self.demand = self.demand * (1 - weight) + rate * weight
            self.arrivals = 0
            self.demand_at = now
        return self.demand

    def wanted(self) -> int:
        """Orders that wait for room by the rate."""
        return self.waiting + self.asking

    def queue_timeout(self) -> float:
        """How long an order may wait for room: longer where room comes seldom."""
        return max(QUEUE_TIMEOUT, min(NARROW_QUEUE_TIMEOUT, 1.5 / self.service.rate))

    def most_in_flight(self, share: float) -> int:
        return max(1, math.ceil(self.service.flight * share))

    def has_room(self, route: str, share: float) -> bool:
        return self.in_flight < self.service.flight and self.route_in_flight.get(
            route, 0
        ) < self.most_in_flight(share)

    async def acquire(
        self, route: str, share: float, queue_timeout: float, first: bool
    ) -> float | None:
        """Wait to be let through: None when let through, else seconds until there is room.

        Those seconds are an estimate, and infinite while this edge holds no share of the rate.

        A probe goes before all who wait: declined, it would tell of the crowd, not of the edge.
        """
        self.arrivals += 1
        now = self.scheduler.now()
        if not self.waiting and self.has_room(route, share) and self.bucket.allow(now):
            self.let_through(route)
            return None
        queue = self.queues.setdefault(route, deque())
        ahead = self.waiting
        wait = self.bucket.wait_for(now, ahead)
        queue_timeout = min(queue_timeout, self.queue_timeout())
        if not first and (
            wait > queue_timeout
            or ahead >= self.service.queue
            or len(queue) >= max(1, math.ceil(self.service.queue * share))
        ):
            return wait
        waiting = Waiting(self.scheduler)
        if first:
            queue.appendleft(waiting)
            if route in self.turn:
                self.turn.remove(route)
            self.turn.appendleft(route)
        else:
            queue.append(waiting)
            if len(queue) == 1:
                self.turn.append(route)
        self.waiting += 1
        self.news.put(True)
        try:
            allowed = await waiting.box.get(queue_timeout)
        except GeneratorExit:
            if waiting.box.items:
                self.release(route)
            raise
        finally:
            waiting.over = True
        if allowed is None:
            return self.bucket.wait_for(self.scheduler.now(), self.waiting)
        return None

    async def again(self, queue_timeout: float) -> bool:
        """Room for one redispatch, by the budget of repeats and, perhaps soon, by rate."""
        until = self.scheduler.now() + min(queue_timeout, self.queue_timeout())
        if not self.budget.try_retry():
            return False
        self.asking += 1
        try:
            while not self.bucket.allow(self.scheduler.now()):
                now = self.scheduler.now()
                wait = self.bucket.wait_for(now, self.waiting)
                if now >= until or now + wait > until:
                    return False
                await self.scheduler.sleep(min(0.05, max(0.005, wait)))
        finally:
            self.asking -= 1
        return True

    def let_through(self, route: str) -> None:
        self.in_flight += 1
        self.route_in_flight[route] = self.route_in_flight.get(route, 0) + 1

    def release(self, route: str) -> None:
        self.in_flight -= 1
        left = self.route_in_flight.get(route, 1) - 1
        if left:
            self.route_in_flight[route] = left
        else:
            self.route_in_flight.pop(route, None)
        if self.waiting:
            self.news.put(True)

    async def admit_waiting(self) -> None:
        """Let waiting orders through as room comes, route by route."""
        while True:
            self.drop_gone()
            if not self.turn:
                self.news.items.clear()
                await self.news.get()
                continue
            now = self.scheduler.now()
            if self.in_flight >= self.service.flight:
                await self.news.get(0.05)
                continue
            wait = self.bucket.wait_for(now, 0)
            if wait > 0:
                await self.news.get(min(0.05, max(0.001, wait)))
                continue
            if not self.serve_one(now):
                await self.news.get(0.05)

    def serve_one(self, now: float) -> bool:
        for _ in range(len(self.turn)):
            route = self.turn.popleft()
            queue = self.queues[route]
            while queue and queue[0].over:
                queue.popleft()
                self.waiting -= 1
            if not queue:
                continue
            if not self.has_room(route, 1.0) or not self.bucket.allow(now):
                self.turn.append(route)
                continue
            waiting = queue.popleft()
            self.waiting -= 1
            self.let_through(route)
            waiting.box.put(True)
            if queue:
                self.turn.append(route)
            return True
        return False

    def drop_gone(self) -> None:
        for route in list(self.turn):
            queue = self.queues[route]
            while queue and queue[0].over:
                queue.popleft()
                self.waiting -= 1
            if not queue:
                self.turn.remove(route)
                del self.queues[route]


def come_back(wait: float) -> float:
    """Seconds after which to come back, where the wait for room may have no known end."""
    return min(BACK_MOST, max(1.0, wait if wait != float("inf") else 1.0))
