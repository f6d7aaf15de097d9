"""The report that a node sends with each lease request."""

from ryelock.edge.member import EdgeSession
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.edge.session_messages import (
    CONFIGURATION_SOURCE,
    FailedCallersUpdate,
    NodeReport,
)


class NodeReporter:
    """Builds numbered reports, including the versions of the state that the node has."""

    __slots__ = (
        "delegate",
        "failed_callers_source",
        "failed_callers_version",
        "member",
        "sequence",
    )

    def __init__(self, member: EdgeSession, delegate: SessionDelegate) -> None:
        """Create the reporter of a session."""
        self.member = member
        self.delegate = delegate
        self.sequence = 0
        self.failed_callers_source = ""
        self.failed_callers_version = 0

    def report(self) -> NodeReport:
        """Return the next report; each failed caller is reported only once."""
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
        """Return the version vector of this node's state, by source."""
        member = self.member
        versions = {CONFIGURATION_SOURCE: member.replicated_state.index}
        versions.update(member.server_lists.versions())
        if self.failed_callers_source:
            versions[self.failed_callers_source] = self.failed_callers_version
        if member.membership.source:
            versions[member.membership.source] = member.membership.version
        return versions

    def apply_failed_callers(self, update: FailedCallersUpdate) -> None:
        """Store the version of an update and pass its failed callers to the delegate."""
        self.failed_callers_source = update.source
        self.failed_callers_version = update.version
        self.delegate.on_failed_callers(update.callers)
