"""Deterministic simulation of complete processes with a seeded clock, network and disks."""

from ryelock.testing.simulated.world import (
    Crash,
    SimConnection,
    SimFolder,
    SimNetwork,
    SimNode,
    World,
)

__all__ = ["Crash", "SimConnection", "SimFolder", "SimNetwork", "SimNode", "World"]
