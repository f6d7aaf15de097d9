"""The role of reading the platform's server list, and who reads in place of its owner.

The role moves to another node only once its owner's session has ended, which takes longer than a
draining server may be used. Until then the leader reads the list: it has the readings of all
control nodes and passes them on to edges. A node without a leader reads too, since edges without a
leader get the list together with their quorum leases.
"""

from enum import Enum, auto

from ryelock.consensus import Consensus, Role
from ryelock.control_plane.singleton_roles import SERVER_LIST_READER_ROLE
from ryelock.replicated_state import ReplicatedState
from ryelock.settings import Settings


class ReaderDuty(Enum):
    """Reason for which a control node reads the list."""

    OWNER = auto()
    """It owns the role, or each node reads for itself."""
    SUBSTITUTE = auto()
    """It leads or knows no leader: it reads once the owner's readings are overdue."""
    STANDBY = auto()
    """It relies on the leader and only renews its own reading when that has expired."""


class ReaderRole:
    """Decides how old a node's newest reading may be before the node reads the list."""

    __slots__ = ("consensus", "replicated_state", "settings")

    def __init__(
        self, settings: Settings, consensus: Consensus, replicated_state: ReplicatedState
    ) -> None:
        """Create the role as one node sees it."""
        self.settings = settings
        self.consensus = consensus
        self.replicated_state = replicated_state

    @property
    def owner(self) -> str:
        """Name of the node that owns the role; empty if there is none."""
        role = self.replicated_state.singletons.get(SERVER_LIST_READER_ROLE)
        return role.owner if role is not None else ""

    def duty(self) -> ReaderDuty:
        """Return this node's present duty."""
        if not self.settings.reader_duty or self.owner == self.settings.name:
            return ReaderDuty.OWNER
        if self.consensus.role == Role.LEADER or not self.consensus.knows_leader():
            return ReaderDuty.SUBSTITUTE
        return ReaderDuty.STANDBY

    def max_reading_age(self, duty: ReaderDuty) -> float:
        """Return the age in seconds of the newest reading at which the node reads the list."""
        if duty is ReaderDuty.OWNER:
            return 0.0
        if duty is ReaderDuty.SUBSTITUTE:
            return self.settings.listing_takeover
        return self.settings.listing_term
