"""Errors of proposals: why the consensus group did not acknowledge one."""


class ConsensusError(Exception):
    """A proposal was not acknowledged.

    Attributes:
        reason: What went wrong, in text for operators.
        certain: True where the proposal is certainly not and never will be in the log; False
            where it may still be committed, as after a lost leadership.
    """

    def __init__(self, reason: str, certain: bool) -> None:
        """Create the error with its reason, and whether the outcome is beyond doubt."""
        super().__init__(reason)
        self.reason = reason
        self.certain = certain


class NotLeaderError(ConsensusError):
    """This member does not lead; nothing was appended."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("this node does not lead", True)


class VotersRejectedError(ConsensusError):
    """A change of voters that must not be appended now."""

    def __init__(self, reason: str) -> None:
        """Create the error with the rule that the change breaks."""
        super().__init__(reason, True)


class ProposalTimeoutError(ConsensusError):
    """No majority answered in time; the entry may be committed later."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no majority answered in time", False)


class LeaderDiskError(ConsensusError):
    """The leader's disk refused the entry.

    A record that was written in part may be found whole after a restart, so this is not certain.
    """

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the leader's disk takes no more", False)


class LeadershipLostError(ConsensusError):
    """The leader stepped down before the entry was applied; the next leader decides on it."""

    def __init__(self, reason: str) -> None:
        """Create the error with the reason of stepping down."""
        super().__init__(f"leadership was lost midway: {reason}", False)


class EntryReplacedError(ConsensusError):
    """An entry of another term was committed at the index of the proposal."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("another word took its place", True)
