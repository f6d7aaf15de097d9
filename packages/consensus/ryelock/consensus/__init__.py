"""Agreement of the control nodes: a majority of disks, one leader an epoch.

The consensus group keeps a log of words. A word counts once a majority of the voters' disks has
synced it. One owner task works through a queue of commands, and one task per peer carries
the log to it; there is no pure core apart from them. See docs/parts/consensus.md.
"""

from ryelock.consensus.entries import Entry, Image, Voters, majority_of
from ryelock.consensus.node import Consensus
from ryelock.consensus.types import ConsensusError, Machine, Pace

__all__ = [
    "Consensus",
    "ConsensusError",
    "Entry",
    "Image",
    "Machine",
    "Pace",
    "Voters",
    "majority_of",
]
