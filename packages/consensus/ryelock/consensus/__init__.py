"""Raft consensus among the control nodes: one leader per term, one replicated log.

An entry is committed once a majority of the voters has synced it to disk. `Consensus` (node.py) is
a member of the group; docs/parts/consensus.md describes its use and its components.
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
