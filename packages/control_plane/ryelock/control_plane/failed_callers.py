"""Callers that got a failure from one edge, for distribution to the other edges.

If such a caller sends its request to another edge, that edge counts it as a retry against the retry
budget.
"""

from collections import deque
from dataclasses import dataclass

from ryelock.rpc import Message

MAX_FAILED_CALLERS = 1000
"""Maximum number kept by the leader, and accepted in one report of an edge."""
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class FailedCaller:
    """A caller that got a failure.

    Attributes:
        version: sequence number of the failure.
        edge: name of the edge that reported it.
        caller: digest of the caller.
    """

    version: int
    edge: str
    caller: bytes


class FailedCallers:
    """The newest failures of all edges, each with its version."""

    __slots__ = ("failures", "source", "version")

    def __init__(self, source: str) -> None:
        """Create an empty record; `source` is its key among the versions that edges keep."""
        self.source = source
        self.version = 0
        self.failures: deque[FailedCaller] = deque(maxlen=MAX_FAILED_CALLERS)

    def report(self, edge: str, callers: list[bytes]) -> None:
        """Record the callers that got a failure from an edge."""
        for caller in callers:
            self.version += 1
            self.failures.append(FailedCaller(self.version, edge, caller))

    def update_for(self, edge: str, versions: dict[str, int]) -> Message:
        """Return the callers that other edges reported since an edge's version.

        An edge without a version gets none and starts from the current one.
        """
        since = versions.get(self.source, self.version)
        return {
            "source": self.source,
            "version": self.version,
            "callers": [
                failure.caller
                for failure in self.failures
                if failure.edge != edge and failure.version > since
            ],
        }
