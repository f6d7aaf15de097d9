"""Errors of proposals that were not acknowledged."""


class ConsensusError(Exception):
    """A proposal was not acknowledged.

    Attributes:
        reason: A description for operators, who receive it in replies.
        certain: True if the proposal is not in the log and never will be; False if it may still be
            committed, as after a loss of leadership.
    """

    def __init__(self, reason: str, certain: bool) -> None:
        """Create the error with its reason and whether the rejection is certain."""
        super().__init__(reason)
        self.reason = reason
        self.certain = certain


class NotLeaderError(ConsensusError):
    """This member is not the leader; nothing was appended."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("this node does not lead", True)


class VotersRejectedError(ConsensusError):
    """The change of voters must not be appended now."""

    def __init__(self, reason: str) -> None:
        """Create the error with the rule that the change violates."""
        super().__init__(reason, True)


class ProposalTimeoutError(ConsensusError):
    """No majority replied in time; the entry may still be committed."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("no majority answered in time", False)


class LeaderDiskError(ConsensusError):
    """The leader failed to store the entry.

    The outcome is uncertain, because a restart may find that the record was written completely.
    """

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the leader's disk takes no more", False)


class LeadershipLostError(ConsensusError):
    """The leader stepped down before the entry was applied; a later leader may commit it."""

    def __init__(self, reason: str) -> None:
        """Create the error with the reason for stepping down."""
        super().__init__(f"leadership was lost midway: {reason}", False)


class EntryReplacedError(ConsensusError):
    """An entry of another term was committed at the index of the proposal."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("another word took its place", True)
