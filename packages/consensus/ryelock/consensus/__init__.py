"""Raft consensus among the control nodes: one leader a term, one replicated log.

An entry is committed once a majority of the voters' disks has synced it. `Consensus` (node.py) is
one member; see docs/parts/consensus.md for its use and its parts.
"""

from ryelock.consensus.entries import Entry, EntryKind, Snapshot, Voters, majority_of
from ryelock.consensus.errors import ConsensusError
from ryelock.consensus.node import Consensus
from ryelock.consensus.settings import ConsensusSettings
from ryelock.consensus.state import Role
from ryelock.consensus.state_machine import StateMachine

__all__ = [
    "Consensus",
    "ConsensusError",
    "ConsensusSettings",
    "Entry",
    "EntryKind",
    "Role",
    "Snapshot",
    "StateMachine",
    "Voters",
    "majority_of",
]
