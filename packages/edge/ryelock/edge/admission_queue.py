"""The admission queue of one service: its rate, its limit in flight, and queues by route.

A request is admitted at once where there is room and nobody waits. Otherwise it waits in its
route's queue, if its turn will come while the response is still of use; if not it is rejected at
once, with a time to come back. Routes take turns, and no route may fill more than its share of the
queue and of the limit in flight, so cheap requests cannot starve others.
"""

import math
from collections import deque

from ryelock.rate_limit import RetryBudget, TokenBucket
from ryelock.replicated_state import Service
from ryelock.runtime import Queue, Scheduler, Task

QUEUE_TIMEOUT_SECONDS = 1.0
NARROW_QUEUE_TIMEOUT_SECONDS = 3.0
"""Longest wait at a service whose rate lets requests through seldom."""
NARROW_QUEUE_INTERVALS = 1.5
"""A narrow service's queue timeout, in intervals between two requests at its rate."""
RETRY_AFTER_SECONDS_LEAST = 1.0
RETRY_AFTER_SECONDS_MOST = 10.0
DEMAND_SECONDS_LEAST = 0.4
"""Shortest time over which demand is measured."""
DEMAND_RISE_WEIGHT = 0.6
DEMAND_FALL_SECONDS = 2.0
IN_FLIGHT_WAIT_SECONDS = 0.05
"""Longest sleep until room is looked for again."""
TOKEN_WAIT_SECONDS_LEAST = 0.001
RETRY_WAIT_SECONDS_LEAST = 0.005


class QueuedRequest:
    """A request that waits; `abandoned` once its wait is over, admitted or not."""

    __slots__ = ("abandoned", "admitted")

    def __init__(self, scheduler: Scheduler) -> None:
        """Create the entry of a request that begins to wait."""
        self.admitted: Queue[bool] = Queue(scheduler)
        self.abandoned = False


class AdmissionQueue:
    """What lets requests through to one service.

    Attributes:
        service: the service by the configuration in force.
        bucket: tokens of this edge's share of the service's rate.
        budget: the retries that may be sent.
        in_flight: requests that hold a slot.
        waiting: requests that wait in a queue; those that gave up count until they are dropped.
        demand: requests a second that lately came.
    """

    __slots__ = (
        "arrivals",
        "bucket",
        "budget",
        "capacity_changed",
        "demand",
        "demand_at",
        "in_flight",
        "queues",
        "retries_waiting",
        "route_in_flight",
        "running",
        "scheduler",
        "service",
        "turns",
        "waiting",
    )

    def __init__(self, scheduler: Scheduler, name: str, service: Service) -> None:
        """Create the queue of a service and start the task that admits who waits."""
        self.scheduler = scheduler
        self.service = service
        now = scheduler.now()
        self.bucket = TokenBucket(now, service.burst_seconds, service.limited)
        self.budget = RetryBudget(service.repeat_share, 1.0)
        self.in_flight = 0
        self.route_in_flight: dict[str, int] = {}
        self.queues: dict[str, deque[QueuedRequest]] = {}
        self.turns: deque[str] = deque()
        self.waiting = 0
        self.retries_waiting = 0
        self.capacity_changed: Queue[bool] = Queue(scheduler)
        self.arrivals = 0
        self.demand = 0.0
        self.demand_at = now
        self.running: Task = scheduler.create_task(
            self.admit_waiting(), name=f"admission queue of {name}"
        )

    def resize(self, service: Service, edges: int) -> None:
        """Follow the service's settings and the number of edges that share it."""
        self.service = service
        self.bucket.burst_seconds = service.burst_seconds
        self.bucket.limited = service.limited
        self.budget.resize(
            service.repeat_share,
            max(1.0, service.repeat_allowance / max(1, edges)) if service.repeat_allowance else 0.0,
        )

    def measure(self) -> float:
        """Return the requests a second that lately came; quick to rise, slow to fall."""
        now = self.scheduler.now()
        passed = now - self.demand_at
        if passed >= DEMAND_SECONDS_LEAST:
            rate = self.arrivals / passed
            rises = rate > self.demand
            weight = DEMAND_RISE_WEIGHT if rises else min(1.0, passed / DEMAND_FALL_SECONDS)
            self.demand = self.demand * (1 - weight) + rate * weight
            self.arrivals = 0
            self.demand_at = now
        return self.demand

    def wanted(self) -> int:
        """Return the number of requests that wait for tokens."""
        return self.waiting + self.retries_waiting

    def notify(self) -> None:
        """Have those who wait looked at again: room may have come."""
        if self.waiting:
            self.capacity_changed.put(True)

    def queue_timeout(self) -> float:
        """Return the seconds that a request may wait: longer where tokens come seldom."""
        narrow = min(NARROW_QUEUE_TIMEOUT_SECONDS, NARROW_QUEUE_INTERVALS / self.service.rate)
        return max(QUEUE_TIMEOUT_SECONDS, narrow)

    def most_in_flight(self, share: float) -> int:
        """Return the limit in flight of a route with a share of the service."""
        return max(1, math.ceil(self.service.flight * share))

    def has_capacity(self, route: str, share: float) -> bool:
        """Whether one more request of a route may be in flight."""
        return self.in_flight < self.service.flight and self.route_in_flight.get(
            route, 0
        ) < self.most_in_flight(share)

    async def acquire(
        self, route: str, share: float, queue_timeout: float, goes_first: bool
    ) -> float | None:
        """Wait for a slot and a token.

        Args:
            route: name of the request's route.
            share: the part of queue and slots that the route may fill.
            queue_timeout: longest wait in seconds.
            goes_first: whether the request goes before all who wait. A probe does: rejected, it
                would tell of the crowd, not of the edge.

        Returns:
            None once admitted; else seconds until there is room, an estimate, infinite while this
            edge holds no share of the rate.
        """
        self.arrivals += 1
        now = self.scheduler.now()
        if not self.waiting and self.has_capacity(route, share) and self.bucket.allow(now):
            self.take_slot(route)
            return None
        wait = self.bucket.seconds_until_allowed(now, self.waiting)
        queue_timeout = min(queue_timeout, self.queue_timeout())
        if not goes_first and (wait > queue_timeout or self.is_full(route, share)):
            return wait
        queued = self.enqueue(route, goes_first)
        try:
            admitted = await queued.admitted.get(queue_timeout)
        except GeneratorExit:
            # Cancelled between the admission and this task's turn: the slot would be lost.
            if queued.admitted.items:
                self.release(route)
            raise
        finally:
            queued.abandoned = True
        if admitted is None:
            return self.bucket.seconds_until_allowed(self.scheduler.now(), self.waiting)
        return None

    def is_full(self, route: str, share: float) -> bool:
        """Whether the service's queue or the route's part of it is full."""
        most = max(1, math.ceil(self.service.queue * share))
        return self.waiting >= self.service.queue or len(self.queues.get(route, ())) >= most

    def enqueue(self, route: str, goes_first: bool) -> QueuedRequest:
        """Add a request to its route's queue, and the route to those that take turns."""
        queue = self.queues.setdefault(route, deque())
        queued = QueuedRequest(self.scheduler)
        if goes_first:
            queue.appendleft(queued)
            if route in self.turns:
                self.turns.remove(route)
            self.turns.appendleft(route)
        else:
            queue.append(queued)
            if len(queue) == 1:
                self.turns.append(route)
        self.waiting += 1
        self.capacity_changed.put(True)
        return queued

    async def admit_retry(self, queue_timeout: float) -> bool:
        """Wait for a retry of an admitted request: in the budget and, perhaps soon, by rate."""
        until = self.scheduler.now() + min(queue_timeout, self.queue_timeout())
        if not self.budget.try_retry():
            return False
        self.retries_waiting += 1
        try:
            while not self.bucket.allow(self.scheduler.now()):
                now = self.scheduler.now()
                wait = self.bucket.seconds_until_allowed(now, self.waiting)
                if now >= until or now + wait > until:
                    return False
                await self.scheduler.sleep(
                    min(IN_FLIGHT_WAIT_SECONDS, max(RETRY_WAIT_SECONDS_LEAST, wait))
                )
        finally:
            self.retries_waiting -= 1
        return True

    def take_slot(self, route: str) -> None:
        """Count a request that was admitted."""
        self.in_flight += 1
        self.route_in_flight[route] = self.route_in_flight.get(route, 0) + 1

    def release(self, route: str) -> None:
        """Give a request's slot back."""
        self.in_flight -= 1
        left = self.route_in_flight.get(route, 1) - 1
        if left:
            self.route_in_flight[route] = left
        else:
            self.route_in_flight.pop(route, None)
        self.notify()

    async def admit_waiting(self) -> None:
        """Admit waiting requests as room comes, route by route; runs as a task."""
        while True:
            self.drop_abandoned()
            if not self.turns:
                self.capacity_changed.items.clear()
                await self.capacity_changed.get()
                continue
            now = self.scheduler.now()
            if self.in_flight >= self.service.flight:
                await self.capacity_changed.get(IN_FLIGHT_WAIT_SECONDS)
                continue
            wait = self.bucket.seconds_until_allowed(now, 0)
            if wait > 0:
                await self.capacity_changed.get(
                    min(IN_FLIGHT_WAIT_SECONDS, max(TOKEN_WAIT_SECONDS_LEAST, wait))
                )
                continue
            if not self.admit_next(now):
                await self.capacity_changed.get(IN_FLIGHT_WAIT_SECONDS)

    def admit_next(self, now: float) -> bool:
        """Admit one request of the first route that has room; False where none has."""
        for _ in range(len(self.turns)):
            route = self.turns.popleft()
            queue = self.queues[route]
            self.drop_abandoned_of(queue)
            if not queue:
                continue
            if not self.has_capacity(route, 1.0) or not self.bucket.allow(now):
                self.turns.append(route)
                continue
            queued = queue.popleft()
            self.waiting -= 1
            self.take_slot(route)
            queued.admitted.put(True)
            if queue:
                self.turns.append(route)
            return True
        return False

    def drop_abandoned(self) -> None:
        """Remove requests whose wait is over, and the routes for which none waits."""
        for route in list(self.turns):
            queue = self.queues[route]
            self.drop_abandoned_of(queue)
            if not queue:
                self.turns.remove(route)
                del self.queues[route]

    def drop_abandoned_of(self, queue: deque[QueuedRequest]) -> None:
        """Remove requests whose wait is over from the front of one route's queue."""
        while queue and queue[0].abandoned:
            queue.popleft()
            self.waiting -= 1


def retry_after(wait: float) -> float:
    """Return seconds after which to come back, where the wait for room may have no known end."""
    if math.isinf(wait):
        return RETRY_AFTER_SECONDS_LEAST
    return min(RETRY_AFTER_SECONDS_MOST, max(RETRY_AFTER_SECONDS_LEAST, wait))
