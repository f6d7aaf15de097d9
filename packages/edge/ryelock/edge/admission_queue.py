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
MAX_LOW_RATE_QUEUE_TIMEOUT_SECONDS = 3.0
"""Longest wait at a service whose rate lets requests through seldom."""
LOW_RATE_QUEUE_TIMEOUT_INTERVALS = 1.5
"""A narrow service's queue timeout, in intervals between two requests at its rate."""
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 10.0
MIN_DEMAND_WINDOW_SECONDS = 0.4
"""Shortest time over which demand is measured."""
DEMAND_RISE_WEIGHT = 0.6
DEMAND_DECAY_SECONDS = 2.0
CAPACITY_POLL_SECONDS = 0.05
"""Longest sleep until room is looked for again."""
MIN_TOKEN_WAIT_SECONDS = 0.001
MIN_RETRY_WAIT_SECONDS = 0.005


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
        "admission_task",
        "arrivals",
        "bucket",
        "budget",
        "capacity_changed",
        "demand",
        "demand_measured_at",
        "in_flight",
        "queues_by_route",
        "retries_waiting",
        "route_in_flight",
        "route_rotation",
        "scheduler",
        "service",
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
        self.queues_by_route: dict[str, deque[QueuedRequest]] = {}
        self.route_rotation: deque[str] = deque()
        self.waiting = 0
        self.retries_waiting = 0
        self.capacity_changed: Queue[bool] = Queue(scheduler)
        self.arrivals = 0
        self.demand = 0.0
        self.demand_measured_at = now
        self.admission_task: Task = scheduler.create_task(
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

    def measure_demand(self) -> float:
        """Return the requests a second that lately came; quick to rise, slow to fall."""
        now = self.scheduler.now()
        elapsed = now - self.demand_measured_at
        if elapsed >= MIN_DEMAND_WINDOW_SECONDS:
            rate = self.arrivals / elapsed
            is_rising = rate > self.demand
            weight = DEMAND_RISE_WEIGHT if is_rising else min(1.0, elapsed / DEMAND_DECAY_SECONDS)
            self.demand = self.demand * (1 - weight) + rate * weight
            self.arrivals = 0
            self.demand_measured_at = now
        return self.demand

    def count_waiting(self) -> int:
        """Return the number of requests that wait for tokens."""
        return self.waiting + self.retries_waiting

    def notify(self) -> None:
        """Have those who wait looked at again: room may have come."""
        if self.waiting:
            self.capacity_changed.put(True)

    def queue_timeout(self) -> float:
        """Return the seconds that a request may wait: longer where tokens come seldom."""
        low_rate_timeout = min(
            MAX_LOW_RATE_QUEUE_TIMEOUT_SECONDS, LOW_RATE_QUEUE_TIMEOUT_INTERVALS / self.service.rate
        )
        return max(QUEUE_TIMEOUT_SECONDS, low_rate_timeout)

    def max_route_in_flight(self, share: float) -> int:
        """Return the limit in flight of a route with a share of the service."""
        return max(1, math.ceil(self.service.flight * share))

    def has_capacity(self, route: str, share: float) -> bool:
        """Whether one more request of a route may be in flight."""
        return self.in_flight < self.service.flight and self.route_in_flight.get(
            route, 0
        ) < self.max_route_in_flight(share)

    async def acquire(
        self, route: str, share: float, queue_timeout: float, has_priority: bool
    ) -> float | None:
        """Wait for a slot and a token.

        Args:
            route: name of the request's route.
            share: the part of queue and slots that the route may fill.
            queue_timeout: longest wait in seconds.
            has_priority: whether the request goes before all who wait. A probe does: rejected, it
                would tell of the crowd, not of the edge.

        Returns:
            None once admitted; else seconds until there is room, an estimate, infinite while this
            edge holds no share of the rate.
        """
        self.arrivals += 1
        now = self.scheduler.now()
        if not self.waiting and self.has_capacity(route, share) and self.bucket.allow(now):
            self.acquire_slot(route)
            return None
        wait = self.bucket.wait_for(now, self.waiting)
        queue_timeout = min(queue_timeout, self.queue_timeout())
        if not has_priority and (wait > queue_timeout or self.is_full(route, share)):
            return wait
        queued = self.enqueue(route, has_priority)
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
            return self.bucket.wait_for(self.scheduler.now(), self.waiting)
        return None

    def is_full(self, route: str, share: float) -> bool:
        """Whether the service's queue or the route's part of it is full."""
        route_limit = max(1, math.ceil(self.service.queue * share))
        return (
            self.waiting >= self.service.queue
            or len(self.queues_by_route.get(route, ())) >= route_limit
        )

    def enqueue(self, route: str, has_priority: bool) -> QueuedRequest:
        """Add a request to its route's queue, and the route to those that take turns."""
        queue = self.queues_by_route.setdefault(route, deque())
        queued = QueuedRequest(self.scheduler)
        if has_priority:
            queue.appendleft(queued)
            if route in self.route_rotation:
                self.route_rotation.remove(route)
            self.route_rotation.appendleft(route)
        else:
            queue.append(queued)
            if len(queue) == 1:
                self.route_rotation.append(route)
        self.waiting += 1
        self.capacity_changed.put(True)
        return queued

    async def admit_retry(self, queue_timeout: float) -> bool:
        """Wait for a retry of an admitted request: in the budget and, perhaps soon, by rate."""
        deadline = self.scheduler.now() + min(queue_timeout, self.queue_timeout())
        if not self.budget.try_retry():
            return False
        self.retries_waiting += 1
        try:
            while not self.bucket.allow(self.scheduler.now()):
                now = self.scheduler.now()
                wait = self.bucket.wait_for(now, self.waiting)
                if now >= deadline or now + wait > deadline:
                    return False
                await self.scheduler.sleep(
                    min(CAPACITY_POLL_SECONDS, max(MIN_RETRY_WAIT_SECONDS, wait))
                )
        finally:
            self.retries_waiting -= 1
        return True

    def acquire_slot(self, route: str) -> None:
        """Count a request that was admitted."""
        self.in_flight += 1
        self.route_in_flight[route] = self.route_in_flight.get(route, 0) + 1

    def release(self, route: str) -> None:
        """Give a request's slot back."""
        self.in_flight -= 1
        remaining = self.route_in_flight.get(route, 1) - 1
        if remaining:
            self.route_in_flight[route] = remaining
        else:
            self.route_in_flight.pop(route, None)
        self.notify()

    async def admit_waiting(self) -> None:
        """Admit waiting requests as room comes, route by route; runs as a task."""
        while True:
            self.drop_abandoned()
            if not self.route_rotation:
                self.capacity_changed.items.clear()
                await self.capacity_changed.get()
                continue
            now = self.scheduler.now()
            if self.in_flight >= self.service.flight:
                await self.capacity_changed.get(CAPACITY_POLL_SECONDS)
                continue
            wait = self.bucket.wait_for(now, 0)
            if wait > 0:
                await self.capacity_changed.get(
                    min(CAPACITY_POLL_SECONDS, max(MIN_TOKEN_WAIT_SECONDS, wait))
                )
                continue
            if not self.admit_next(now):
                await self.capacity_changed.get(CAPACITY_POLL_SECONDS)

    def admit_next(self, now: float) -> bool:
        """Admit one request of the first route that has room; False where none has."""
        for _ in range(len(self.route_rotation)):
            route = self.route_rotation.popleft()
            queue = self.queues_by_route[route]
            self.drop_abandoned_from(queue)
            if not queue:
                continue
            if not self.has_capacity(route, 1.0) or not self.bucket.allow(now):
                self.route_rotation.append(route)
                continue
            queued = queue.popleft()
            self.waiting -= 1
            self.acquire_slot(route)
            queued.admitted.put(True)
            if queue:
                self.route_rotation.append(route)
            return True
        return False

    def drop_abandoned(self) -> None:
        """Remove requests whose wait is over, and the routes for which none waits."""
        for route in list(self.route_rotation):
            queue = self.queues_by_route[route]
            self.drop_abandoned_from(queue)
            if not queue:
                self.route_rotation.remove(route)
                del self.queues_by_route[route]

    def drop_abandoned_from(self, queue: deque[QueuedRequest]) -> None:
        """Remove requests whose wait is over from the front of one route's queue."""
        while queue and queue[0].abandoned:
            queue.popleft()
            self.waiting -= 1


def retry_after(wait: float) -> float:
    """Return seconds after which to come back, where the wait for room may have no known end."""
    if math.isinf(wait):
        return MIN_RETRY_AFTER_SECONDS
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
