"""Location of the current leader."""

from ryelock.consensus import Consensus, Role
from ryelock.control_api import LOCAL_LEADER


def leader_location(consensus: Consensus) -> str:
    """Return the leader's address, LOCAL_LEADER if this node leads, or "" if unknown."""
    if consensus.role == Role.LEADER:
        return LOCAL_LEADER
    return consensus.leader_address if consensus.knows_leader() else ""
