"""The simulator: whole processes on a seeded clock, network and disk."""

from ryelock.testing.simulated.world import (
    Crash,
    SimConnection,
    SimFolder,
    SimNetwork,
    SimNode,
    World,
)

__all__ = ["Crash", "SimConnection", "SimFolder", "SimNetwork", "SimNode", "World"]
