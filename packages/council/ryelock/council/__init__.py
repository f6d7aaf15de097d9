"""Agreement of the control nodes: a majority of disks, one leader an epoch.

The council keeps a log of words. A word counts once a majority of the voters' disks has
synced it. One owner task works through a queue of commands, and one task per peer carries
the log to it; there is no pure core apart from them. See docs/parts/council.md.
"""

from ryelock.council.entries import Entry, Image, Voters, majority_of
from ryelock.council.seat import Council
from ryelock.council.types import CouncilError, Machine, Pace

__all__ = ["Council", "CouncilError", "Entry", "Image", "Machine", "Pace", "Voters", "majority_of"]
