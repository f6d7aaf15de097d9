"""A change of the server list ends the hold of renewals, so that edges get it at once."""

import testtools

from ryelock.testing.scenario import Scenario

HOLD_SECONDS = 1.0
UPDATE_SECONDS = 0.3


class ServerListUpdateTests(testtools.TestCase):
    def update_seconds(self, seed: int) -> float:
        """Return the seconds from the leader's update until the last edge has it."""
        scenario = Scenario(seed, probers=0, settings={"hold_seconds": HOLD_SECONDS})
        scenario.world.spikes = 0.0
        scenario.set_up()
        scenario.world.run(3 + seed * 0.17)
        leader = scenario.node(scenario.leader()).core
        server = next(iter(scenario.servers.values()))
        before = leader.platform.server_list
        assert before is not None
        version = before.version
        scenario.platform.show(server.service, server.address, scenario.zones[0], 1, True)

        def leader_knows() -> bool:
            listing = leader.platform.server_list
            return listing is not None and listing.version > version

        def edges_know() -> bool:
            listings = [
                scenario.node(edge).traffic.member.server_lists.current for edge in scenario.edges
            ]
            return all(
                listing is not None and any(server.leaving for server in listing.servers)
                for listing in listings
            )

        self.assertTrue(scenario.world.run_until(leader_knows, 3))
        since = scenario.world.time
        self.assertTrue(scenario.world.run_until(edges_know, 3))
        return scenario.world.time - since

    def test_a_leaving_server_reaches_every_edge_soon(self) -> None:
        seconds = [self.update_seconds(seed) for seed in range(6)]
        self.assertLess(max(seconds), UPDATE_SECONDS, seconds)
