"""Application of the replicated configuration to an edge's request path."""

from ryelock.edge.admission_queue import AdmissionQueue
from ryelock.edge.context import EdgeContext
from ryelock.edge.member import EdgeSession
from ryelock.edge.plan import Plan
from ryelock.http import Limits
from ryelock.replicated_state import CallerLimits, Configuration, Route
from ryelock.runtime import Scheduler
from ryelock.settings import Settings


class ConfigurationRollout:
    """Updates an edge's plan, cache, client limits and admission queues for a new configuration."""

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
            scheduler: runs the admission queues' tasks.
            settings: default client limits, where the configuration has none.
            member: source of the replicated state and the number of edges.
            context: shared state of the request path, which is updated.
            limits: limits of the request server, which are updated.
        """
        self.scheduler = scheduler
        self.settings = settings
        self.member = member
        self.replicated_state = member.replicated_state
        self.context = context
        self.limits = limits

    def apply(self) -> None:
        """Apply the replicated state at its current index."""
        state = self.replicated_state
        if self.context.plan.version != state.version:
            configuration = state.configuration
            previous = self.context.plan
            self.context.plan = Plan(state.version, configuration)
            self.invalidate_cache(changed_routes(previous, configuration))
            self.set_client_limits(configuration.limits.get("callers"))
            self.resize_admission_queues(configuration)
        self.context.store.apply_purges(state.purges, state.purge_number)

    def invalidate_cache(self, routes: set[str]) -> None:
        """Remove the stored responses of routes; cache fills in progress will not be stored."""
        self.context.store.invalidate_routes(routes)

    def set_client_limits(self, configured: CallerLimits | None) -> None:
        """Set the request size and idle limits, using the settings where none are configured."""
        limits, settings = self.limits, self.settings
        configured = configured or CallerLimits()
        limits.head_bytes = configured.head_bytes or settings.head_bytes
        limits.body_bytes = configured.body_bytes or settings.body_bytes
        limits.idle_seconds = configured.idle_seconds or settings.idle_seconds

    def resize_admission_queues(self, configuration: Configuration) -> None:
        """Create, resize and remove admission queues, so that each service has one."""
        queues = self.context.admission_queues
        for name, service in configuration.services.items():
            queue = queues.get(name)
            if queue is None:
                queue = queues[name] = AdmissionQueue(self.scheduler, name, service)
            queue.resize(service, self.member.edges)
        for name in [name for name in queues if name not in configuration.services]:
            queues.pop(name).admission_task.cancel()


def changed_routes(previous: Plan, configuration: Configuration) -> set[str]:
    """Return the routes of a plan whose stored responses the configuration makes invalid."""
    return {
        name
        for name, route in zip(previous.route_names, previous.routes, strict=True)
        if invalidates_responses(route, configuration.routes.get(name))
    }


def invalidates_responses(before: Route, after: Route | None) -> bool:
    """Return True if a route was removed, uses another service or split, or changed caching."""
    if after is None:
        return True
    return (after.service, after.split, after.cached) != (
        before.service,
        before.split,
        before.cached,
    )
