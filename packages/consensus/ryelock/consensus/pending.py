"""Proposals that a leader has appended and that wait until their entry is applied."""

from expression import Error, Ok, Result

from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.errors import ConsensusError, EntryReplacedError
from ryelock.runtime import Queue

Outcome = Result[object, ConsensusError]
"""The result of applying a proposal, or why it was not acknowledged."""


class Proposal:
    """Data to append to the log, with a queue for the outcome."""

    __slots__ = ("data", "kind", "outcome")

    def __init__(self, kind: EntryKind, data: bytes, outcome: Queue[Outcome]) -> None:
        """Create a proposal of an entry."""
        self.kind = kind
        self.data = data
        self.outcome = outcome

    def reject(self, error: ConsensusError) -> None:
        """Complete the proposal with an error."""
        self.outcome.put(Error(error))


class PendingProposals:
    """The appended proposals by index, with the term in which each was appended."""

    __slots__ = ("by_index",)

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_index: dict[int, tuple[int, Proposal]] = {}

    def add(self, entry: Entry, proposal: Proposal) -> None:
        """Register the proposal that waits for an entry."""
        self.by_index[entry.index] = (entry.term, proposal)

    def resolve(self, entry: Entry, result: object) -> None:
        """Complete the proposal at the index of an applied entry.

        If the applied entry is of another term, another leader's entry has replaced the proposed
        one, which can then never be committed (log matching; Raft, section 5.3).
        """
        pending = self.by_index.pop(entry.index, None)
        if pending is None:
            return
        term, proposal = pending
        if term == entry.term:
            proposal.outcome.put(Ok(result))
        else:
            proposal.reject(EntryReplacedError())

    def fail_all(self, error: ConsensusError) -> None:
        """Complete all proposals with an error."""
        for _, proposal in self.by_index.values():
            proposal.reject(error)
        self.by_index = {}
