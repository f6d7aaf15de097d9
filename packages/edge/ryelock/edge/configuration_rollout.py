"""Making an edge's request path follow the replicated configuration."""

from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.edge.context import EdgeContext
from ryelock.edge.member import EdgeSession
from ryelock.edge.plan import Plan
from ryelock.http import Limits
from ryelock.replicated_state import CallerLimits, Configuration, Route
from ryelock.runtime import Scheduler
from ryelock.settings import Settings


class ConfigurationRollout:
    """Replaces the plan, the cache's content, the limits and the admission queues of an edge."""

    __slots__ = ("context", "limits", "member", "replicated_state", "scheduler", "settings")

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        member: EdgeSession,
        context: EdgeContext,
        limits: Limits,
    ) -> None:
        """Create the rollout.

        Args:
            scheduler: for the admission queues' tasks.
            settings: limits of callers where the configuration names none.
            member: holds the replicated state and the number of edges.
            context: what the request path shares, which follows.
            limits: limits of the request server that follow.
        """
        self.scheduler = scheduler
        self.settings = settings
        self.member = member
        self.replicated_state = member.replicated_state
        self.context = context
        self.limits = limits

    def apply(self) -> None:
        """Follow the replicated state at its present index."""
        state = self.replicated_state
        if self.context.plan.version != state.version:
            configuration = state.configuration
            previous = self.context.plan
            self.context.plan = Plan(state.version, configuration)
            self.invalidate_cache(changed_routes(previous, configuration))
            self.limit_callers(configuration.limits.get("callers"))
            self.resize_admission_queues(configuration)
        self.context.store.apply_purges(state.purges, state.purge_number)

    def invalidate_cache(self, routes: set[str]) -> None:
        """Remove the stored responses of routes, and store none of the fills under way."""
        self.context.store.invalidate_routes(routes)

    def limit_callers(self, configured: CallerLimits | None) -> None:
        """Set what callers may send, by the configuration or else by the settings."""
        limits, settings = self.limits, self.settings
        configured = configured or CallerLimits()
        limits.head_bytes = configured.head_bytes or settings.head_bytes
        limits.body_bytes = configured.body_bytes or settings.body_bytes
        limits.idle_seconds = configured.idle_seconds or settings.idle_seconds

    def resize_admission_queues(self, configuration: Configuration) -> None:
        """Create, resize and end admission queues, one a service."""
        queues = self.context.admission_queues
        for name, service in configuration.services.items():
            queue = queues.get(name)
            if queue is None:
                queue = queues[name] = AdmissionQueue(self.scheduler, name, service)
            queue.resize(service, self.member.edges)
        for name in [name for name in queues if name not in configuration.services]:
            queues.pop(name).admission_task.cancel()


def changed_routes(previous: Plan, configuration: Configuration) -> set[str]:
    """Return the routes of a plan that are gone or lead elsewhere: their responses are stale."""
    return {
        name
        for name, route in zip(previous.route_names, previous.routes, strict=True)
        if leads_elsewhere(route, configuration.routes.get(name))
    }


def leads_elsewhere(before: Route, after: Route | None) -> bool:
    """Return whether a route's responses may come from another service or are cached no more."""
    if after is None:
        return True
    return (after.service, after.split, after.cached) != (
        before.service,
        before.split,
        before.cached,
    )
