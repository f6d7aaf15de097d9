"""The report that a node sends with each request for a lease."""

from ryelock.edge.member import EdgeSession
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.edge.session_messages import (
    CONFIGURATION_SOURCE,
    FailedCallersUpdate,
    NodeReport,
)


class NodeReporter:
    """Numbers the reports and knows up to which version the node has all it was sent."""

    __slots__ = ("delegate", "failures_source", "failures_version", "member", "sequence")

    def __init__(self, member: EdgeSession, delegate: SessionDelegate) -> None:
        """Create the reporter of a session."""
        self.member = member
        self.delegate = delegate
        self.sequence = 0
        self.failures_source = ""
        self.failures_version = 0

    def report(self) -> NodeReport:
        """Return the next report; failed callers are in one report only."""
        self.sequence += 1
        delegate = self.delegate
        return NodeReport(
            session=self.member.session.to_wire(),
            sequence=self.sequence,
            versions=self.versions(),
            demand=delegate.demand(),
            held_shares=delegate.held_shares(),
            wanted=delegate.wanted(),
            failed_callers=delegate.take_failed_callers(),
            recent_objects=delegate.recent_objects(),
        )

    def versions(self) -> dict[str, int]:
        """Return the versions held here, by source."""
        member = self.member
        versions = {CONFIGURATION_SOURCE: member.replicated_state.index}
        versions.update(member.server_lists.versions())
        if self.failures_source:
            versions[self.failures_source] = self.failures_version
        if member.membership.source:
            versions[member.membership.source] = member.membership.version
        return versions

    def take_failures(self, update: FailedCallersUpdate) -> None:
        """Note the version of an update of failed callers, and pass the callers on."""
        self.failures_source = update.source
        self.failures_version = update.version
        self.delegate.on_failed_callers(update.callers)
