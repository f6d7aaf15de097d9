"""Agreement of the control nodes: a majority of disks, one leader an epoch.

The consensus group keeps a log of words. A word counts once a majority of the voters' disks has
synced it. One owner task works through a queue of commands, and one task per peer carries
the log to it; there is no pure core apart from them. See docs/parts/consensus.md.
"""

from ryelock.consensus.entries import Entry, Snapshot, Voters, majority_of
from ryelock.consensus.node import Consensus
from ryelock.consensus.types import ConsensusError, ConsensusSettings, StateMachine

__all__ = [
    "Consensus",
    "ConsensusError",
    "ConsensusSettings",
    "Entry",
    "Snapshot",
    "StateMachine",
    "Voters",
    "majority_of",
]
