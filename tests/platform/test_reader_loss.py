"""Loss of the control node that reads the platform's server list.

Guards against requests that reach draining servers late, since no control node reads the list until
the reader's role has moved (docs/incidents/frozen-reader.md).
"""

from collections.abc import Callable

import testtools

from deployment import Deployment
from ryelock.control_plane.singleton_roles import SERVER_LIST_READER_ROLE

DRAIN_LIMIT_SECONDS = 2.0
CONTACT_SECONDS = 3.0
BOUNDS = (
    "contact_ms=3000,acknowledge_ms=4000,drain_limit_ms=2000,grace_period_s=6,"
    "configuration_apply_ms=2000,retry_budget_ratio=0.2,retry_window_s=10,retry_slack=64,"
    "purge_limit_ms=2000,staleness_slack_s=2,ceiling_window_s=5,recovery_s=15"
)
LOSS_SECONDS = 5.0
STEP_SECONDS = 0.02
DRAIN_INTERVAL_SECONDS = 0.25
SERVERS_PER_ZONE = 10
SILENT_SECONDS = 0.7
"""Just longer than the interval between two reads, so that one read gets no answer."""
Lose = Callable[[Deployment, str], None]


class DrainingServers:
    """Drains servers one after another, and records when each edge knows of each of them.

    Attributes:
        known: pairs of an edge and a server that it knows to be draining.
        excess_seconds: the longest time past the drain limit in which an edge in touch did not
            know of a draining server; 0 if there was none.
    """

    def __init__(self, deployment: Deployment, edges: list[str]) -> None:
        self.deployment = deployment
        self.edges = edges
        self.waiting = list(deployment.servers_of("pages"))
        self.listed_at: dict[str, float] = {}
        self.known: set[tuple[str, str]] = set()
        self.excess_seconds = 0.0

    def drain_next(self) -> None:
        """Drain one more server; the platform's list shows it later."""
        instance = self.waiting.pop()
        self.deployment.platform.drain(instance)
        self.listed_at[instance.identifier] = (
            self.deployment.world.time + self.deployment.platform.lag
        )

    def observe(self, in_touch_at: float) -> None:
        """Record what the edges know now; they are in touch from a time on."""
        now = self.deployment.world.time
        for edge in self.edges:
            self.known.update((edge, identifier) for identifier in self.leaving_servers(edge))
            for identifier, listed_at in self.listed_at.items():
                limit = max(listed_at + DRAIN_LIMIT_SECONDS, in_touch_at)
                if (edge, identifier) not in self.known:
                    self.excess_seconds = max(self.excess_seconds, now - limit)

    def leaving_servers(self, edge: str) -> list[str]:
        """Return the servers that an edge knows to be draining."""
        handler = self.deployment.node(edge).traffic.handler
        assert handler is not None
        return [
            state.server.incarnation
            for states in handler.context.servers.by_service.values()
            for state in states
            if state.server.leaving
        ]


def freeze(deployment: Deployment, machine: str) -> None:
    for role in ("core", "edge"):
        deployment.world.freeze(f"{machine}.{role}", True)


def kill(deployment: Deployment, machine: str) -> None:
    for role in ("core", "edge"):
        deployment.kill(f"{machine}.{role}")


def lose_power(deployment: Deployment, machine: str) -> None:
    for role in ("core", "edge"):
        deployment.kill(f"{machine}.{role}", power=True)


def isolate(deployment: Deployment, machine: str) -> None:
    deployment.world.isolate(machine)


class ReaderLossTests(testtools.TestCase):
    """Edges in touch know of draining servers within the limit while the reader is lost."""

    def deploy(self, seed: int) -> Deployment:
        deployment = Deployment(seed, servers=SERVERS_PER_ZONE)
        for lines in deployment.lines.values():
            lines["bounds"] = BOUNDS
        deployment.set_up()
        # Begins the losses of different seeds at different times between two readings.
        deployment.world.run(3 + 0.11 * seed)
        return deployment

    def reader(self, deployment: Deployment) -> str:
        """Return the name of the control node that reads the list."""
        state = deployment.node(deployment.cores[0]).core.replicated_state
        return state.singletons[SERVER_LIST_READER_ROLE].owner

    def excess_seconds(self, deployment: Deployment, name: str, lose: Lose) -> float:
        """Lose the machine of a control node while servers drain; see `DrainingServers`."""
        world = deployment.world
        machine = name.removesuffix(".core")
        servers = DrainingServers(
            deployment, [edge for edge in deployment.edges if edge != f"{machine}.edge"]
        )
        lost_at = world.time + deployment.platform.lag
        lost = False
        next_drain_at = world.time
        while world.time < lost_at + LOSS_SECONDS:
            if world.time >= next_drain_at:
                servers.drain_next()
                next_drain_at += DRAIN_INTERVAL_SECONDS
            if not lost and world.time >= lost_at:
                lose(deployment, machine)
                lost = True
            world.run(STEP_SECONDS)
            servers.observe(lost_at + CONTACT_SECONDS)
        self.assertGreater(len(servers.known), 0)
        return servers.excess_seconds

    def check(self, lose: Lose, leads: bool) -> None:
        """Lose the reader, which leads as well or doesn't, with several seeds."""
        played = 0
        for seed in range(1, 25):
            deployment = self.deploy(seed)
            reader = self.reader(deployment)
            if deployment.node(reader).core.consensus.leader_ready != leads:
                continue
            excess = self.excess_seconds(deployment, reader, lose)
            self.assertEqual(0.0, excess, f"seed {seed}: {excess:.2f} s late")
            played += 1
        self.assertGreater(played, 3)

    def test_edges_know_of_draining_servers_while_the_reader_is_frozen(self) -> None:
        self.check(freeze, leads=False)

    def test_edges_know_of_draining_servers_while_reader_and_leader_are_frozen(self) -> None:
        self.check(freeze, leads=True)

    def test_edges_know_of_draining_servers_after_the_reader_is_killed(self) -> None:
        self.check(kill, leads=False)

    def test_edges_know_of_draining_servers_after_reader_and_leader_lose_power(self) -> None:
        self.check(lose_power, leads=True)

    def test_edges_know_of_draining_servers_while_the_reader_is_isolated(self) -> None:
        self.check(isolate, leads=False)

    def test_a_read_without_an_answer_delays_the_next_one_within_the_limit(self) -> None:
        played = 0
        for seed in range(1, 13):
            deployment = self.deploy(seed)
            if not deployment.node(self.reader(deployment)).core.consensus.leader_ready:
                continue
            servers = DrainingServers(deployment, deployment.edges)
            servers.drain_next()
            deployment.world.run(deployment.platform.lag)
            deployment.platform.silent = True
            for _ in range(round(DRAIN_LIMIT_SECONDS / STEP_SECONDS)):
                deployment.world.run(STEP_SECONDS)
                servers.observe(0.0)
                deployment.platform.silent = deployment.platform.silent and (
                    deployment.world.time < next(iter(servers.listed_at.values())) + SILENT_SECONDS
                )
            self.assertEqual(len(deployment.edges), len(servers.known), f"seed {seed}")
            played += 1
        self.assertGreater(played, 1)
