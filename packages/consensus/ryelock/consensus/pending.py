"""Proposals that a leader appended and that wait until their entry is applied."""

from expression import Error, Ok, Result

from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.errors import ConsensusError, EntryReplacedError
from ryelock.runtime import Queue

Outcome = Result[object, ConsensusError]
"""What applying a proposal returned, or why it was not acknowledged."""


class Proposal:
    """Data to append, and the queue that its outcome is put into."""

    __slots__ = ("data", "kind", "outcome")

    def __init__(self, kind: EntryKind, data: bytes, outcome: Queue[Outcome]) -> None:
        """Create a proposal of an entry."""
        self.kind = kind
        self.data = data
        self.outcome = outcome

    def reject(self, error: ConsensusError) -> None:
        """Tell the proposer that there will be no outcome."""
        self.outcome.put(Error(error))


class PendingProposals:
    """The appended proposals by index, with the term that they were appended in."""

    __slots__ = ("by_index",)

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_index: dict[int, tuple[int, Proposal]] = {}

    def add(self, entry: Entry, proposal: Proposal) -> None:
        """Remember who waits for an entry."""
        self.by_index[entry.index] = (entry.term, proposal)

    def resolve(self, entry: Entry, result: object) -> None:
        """Answer the proposal whose entry was applied.

        Where the committed entry is of another term, another leader's entry has replaced the one
        proposed, which then can never be committed (log matching, Raft section 5.3).
        """
        found = self.by_index.pop(entry.index, None)
        if found is None:
            return
        term, proposal = found
        if term == entry.term:
            proposal.outcome.put(Ok(result))
        else:
            proposal.reject(EntryReplacedError())

    def fail_all(self, error: ConsensusError) -> None:
        """Answer all proposals with an error."""
        for _, proposal in self.by_index.values():
            proposal.reject(error)
        self.by_index = {}
