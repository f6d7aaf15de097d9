"""Callers who got a failure from one edge, passed on to all others.

A caller that retries at another edge is known there as one that repeats, and its request is
counted against the budget of retries.
"""

from collections import deque
from dataclasses import dataclass

from ryelock.rpc import Message

MAX_FAILED_CALLERS = 1000
"""So many are kept by the leader, and taken from one edge at once."""
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class FailedCaller:
    """One failure: its number, the edge that reported it, and the caller's digest."""

    version: int
    edge: str
    caller: bytes


class FailedCallers:
    """The newest failures of all edges, numbered."""

    __slots__ = ("failures", "source", "version")

    def __init__(self, source: str) -> None:
        """Create an empty record; nodes keep its version under the name `source`."""
        self.source = source
        self.version = 0
        self.failures: deque[FailedCaller] = deque(maxlen=MAX_FAILED_CALLERS)

    def report(self, edge: str, callers: list[bytes]) -> None:
        """Record callers who got a failure from an edge."""
        for caller in callers:
            self.version += 1
            self.failures.append(FailedCaller(self.version, edge, caller))

    def update_for(self, edge: str, versions: dict[str, int]) -> Message:
        """Return the callers that other edges reported since the version that an edge has.

        An edge that has none starts from the present version.
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
