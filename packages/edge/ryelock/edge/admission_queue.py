"""The admission queue of one service: rate limit, concurrency limit, and a queue for each route.

A request is admitted at once if the limits allow it and no request waits. Otherwise it waits in its
route's queue, unless the expected wait exceeds its timeout: then it is rejected at once, with a
Retry-After. Routes are served round-robin, so that one cannot starve the others. Each is limited to
its share of the queue; beyond its share of the concurrency limit, its requests have to queue.
"""

import math
from collections import deque

from ryelock.rate_limit import RetryBudget, TokenBucket
from ryelock.replicated_state import Service
from ryelock.runtime import Queue, Scheduler, Task

QUEUE_TIMEOUT_SECONDS = 1.0
MAX_LOW_RATE_QUEUE_TIMEOUT_SECONDS = 3.0
LOW_RATE_QUEUE_TIMEOUT_INTERVALS = 1.5
"""Queue timeout of a service with a low rate limit, in intervals between requests at that rate."""
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 10.0
MIN_DEMAND_WINDOW_SECONDS = 0.4
DEMAND_RISE_WEIGHT = 0.6
DEMAND_DECAY_SECONDS = 2.0
CAPACITY_POLL_SECONDS = 0.05
"""Longest wait before the limits are checked again, in case no notification comes."""
MIN_TOKEN_WAIT_SECONDS = 0.001
MIN_RETRY_WAIT_SECONDS = 0.005


class QueuedRequest:
    """A waiting request; `abandoned` once it no longer waits, so that its entry is dropped."""

    __slots__ = ("abandoned", "admitted")

    def __init__(self, scheduler: Scheduler) -> None:
        """Create the entry of a request."""
        self.admitted: Queue[bool] = Queue(scheduler)
        self.abandoned = False


class AdmissionQueue:
    """Admits requests to one service.

    Attributes:
        service: the service's settings in the configuration in force.
        bucket: token bucket with this edge's share of the service's rate.
        budget: retry budget of the service on this edge.
        in_flight: number of requests that hold a slot.
        route_in_flight: the same by route.
        queues_by_route: waiting requests by route.
        route_rotation: routes with waiting requests, in the order in which they are served.
        waiting: number of queued requests, including abandoned ones that are not dropped yet.
        retries_waiting: number of retries that wait for a token.
        capacity_changed: wakes the admission task.
        arrivals: number of requests since `demand_measured_at`.
        demand: smoothed arrival rate in requests a second.
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
        """Create the queue of a service and start its admission task."""
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
        """Apply the service's settings and the number of edges that share its retry budget."""
        self.service = service
        self.bucket.burst_seconds = service.burst_seconds
        self.bucket.limited = service.limited
        self.budget.resize(
            service.repeat_share,
            max(1.0, service.repeat_allowance / max(1, edges)) if service.repeat_allowance else 0.0,
        )

    def measure_demand(self) -> float:
        """Return the arrival rate in requests a second, smoothed more when it falls."""
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
        """Return the number of requests and retries that wait."""
        return self.waiting + self.retries_waiting

    def notify(self) -> None:
        """Wake the admission task after a change of the limits or the requests in flight."""
        if self.waiting:
            self.capacity_changed.put(True)

    def queue_timeout(self) -> float:
        """Return the seconds that a request may wait; more for a service with a low rate limit."""
        low_rate_timeout = min(
            MAX_LOW_RATE_QUEUE_TIMEOUT_SECONDS, LOW_RATE_QUEUE_TIMEOUT_INTERVALS / self.service.rate
        )
        return max(QUEUE_TIMEOUT_SECONDS, low_rate_timeout)

    def max_route_in_flight(self, share: float) -> int:
        """Return the concurrency limit of a route with a share of the service."""
        return max(1, math.ceil(self.service.flight * share))

    def has_capacity(self, route: str, share: float) -> bool:
        """Return True if the concurrency limits allow one more request of a route."""
        return self.in_flight < self.service.flight and self.route_in_flight.get(
            route, 0
        ) < self.max_route_in_flight(share)

    async def acquire(
        self, route: str, share: float, queue_timeout: float, has_priority: bool
    ) -> float | None:
        """Wait for a slot and a token.

        Args:
            route: name of the request's route.
            share: fraction of the queue and of the concurrency limit that the route may use.
            queue_timeout: longest wait in seconds.
            has_priority: whether to put the request at the front and never reject it without a
                wait. Set for probes, which would else report the load and not the edge's health.

        Returns:
            None if admitted; else the estimated seconds until the request could be admitted,
            infinite while this edge has no share of the rate.
        """
        self.arrivals += 1
        now = self.scheduler.now()
        if not self.waiting and self.has_capacity(route, share) and self.bucket.allow(now):
            self.acquire_slot(route)
            return None
        wait = self.bucket.seconds_until_allowed(now, self.waiting)
        queue_timeout = min(queue_timeout, self.queue_timeout())
        if not has_priority and (wait > queue_timeout or self.is_full(route, share)):
            return wait
        queued = self.enqueue(route, has_priority)
        try:
            admitted = await queued.admitted.get(queue_timeout)
        except GeneratorExit:
            # The task was cancelled after the admission, before it ran: the slot would leak.
            if queued.admitted.items:
                self.release(route)
            raise
        finally:
            queued.abandoned = True
        if admitted is None:
            return self.bucket.seconds_until_allowed(self.scheduler.now(), self.waiting)
        return None

    def is_full(self, route: str, share: float) -> bool:
        """Return True if the service's queue or the route's share of it is full."""
        route_limit = max(1, math.ceil(self.service.queue * share))
        return (
            self.waiting >= self.service.queue
            or len(self.queues_by_route.get(route, ())) >= route_limit
        )

    def enqueue(self, route: str, has_priority: bool) -> QueuedRequest:
        """Add a request to its route's queue, and the route to the rotation."""
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
        """Take a retry from the budget and wait for a token; return False if either fails.

        The request keeps its slot. The retry stays charged if no token comes in time.
        """
        deadline = self.scheduler.now() + min(queue_timeout, self.queue_timeout())
        if not self.budget.try_retry():
            return False
        self.retries_waiting += 1
        try:
            while not self.bucket.allow(self.scheduler.now()):
                now = self.scheduler.now()
                wait = self.bucket.seconds_until_allowed(now, self.waiting)
                if now >= deadline or now + wait > deadline:
                    return False
                await self.scheduler.sleep(
                    min(CAPACITY_POLL_SECONDS, max(MIN_RETRY_WAIT_SECONDS, wait))
                )
        finally:
            self.retries_waiting -= 1
        return True

    def acquire_slot(self, route: str) -> None:
        """Count an admitted request as in flight."""
        self.in_flight += 1
        self.route_in_flight[route] = self.route_in_flight.get(route, 0) + 1

    def release(self, route: str) -> None:
        """Release a request's slot."""
        self.in_flight -= 1
        remaining = self.route_in_flight.get(route, 1) - 1
        if remaining:
            self.route_in_flight[route] = remaining
        else:
            self.route_in_flight.pop(route, None)
        self.notify()

    async def admit_waiting(self) -> None:
        """Admit waiting requests as the limits allow; runs as a task until cancelled."""
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
            wait = self.bucket.seconds_until_allowed(now, 0)
            if wait > 0:
                await self.capacity_changed.get(
                    min(CAPACITY_POLL_SECONDS, max(MIN_TOKEN_WAIT_SECONDS, wait))
                )
                continue
            if not self.admit_next(now):
                await self.capacity_changed.get(CAPACITY_POLL_SECONDS)

    def admit_next(self, now: float) -> bool:
        """Admit a request of the first route in the rotation that may; return False if none may."""
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
        """Drop abandoned requests, and routes without waiting requests."""
        for route in list(self.route_rotation):
            queue = self.queues_by_route[route]
            self.drop_abandoned_from(queue)
            if not queue:
                self.route_rotation.remove(route)
                del self.queues_by_route[route]

    def drop_abandoned_from(self, queue: deque[QueuedRequest]) -> None:
        """Drop abandoned requests from the front of one route's queue."""
        while queue and queue[0].abandoned:
            queue.popleft()
            self.waiting -= 1


def retry_after(wait: float) -> float:
    """Return the seconds for Retry-After, for an estimated wait that may be infinite."""
    if math.isinf(wait):
        return MIN_RETRY_AFTER_SECONDS
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
