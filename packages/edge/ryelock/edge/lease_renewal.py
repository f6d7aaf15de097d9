"""Renewal of a node's session and lease with the control leader.

One task renews in a loop. Each request reports the node's state and demand; the response carries
log entries, members, servers, quota shares and a lease. The lease period starts before the request
was sent and is shortened by the age of the leader's last quorum confirmation, so that it ends here
before the leader considers it expired. See docs/design.md.
"""

from ryelock.edge.configuration_updates import UpdateOutcome, apply_update
from ryelock.edge.member import EdgeSession
from ryelock.edge.node_report import NodeReporter
from ryelock.edge.quorum_lease import QuorumLeaseClient
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.edge.session_messages import LEAVE, LeaveRequest, RenewalResponse, renewal_request
from ryelock.events import Log
from ryelock.rate_limit import Grant
from ryelock.rpc import Message, RpcClients
from ryelock.rpc.codec import decode, encode
from ryelock.rpc.errors import MalformedMessageError
from ryelock.runtime import Scheduler, Task

HOLD_SECONDS_PER_EDGE = 0.01
MAX_HOLD_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 0.4
"""Timeout of a response, in addition to the time for which the leader may hold it."""
RETRY_DELAY_SECONDS = 0.1
LEAVE_TIMEOUT_SECONDS = 1.0


class LeaseRenewal:
    """Keeps a node's session alive and ends it when the node leaves."""

    __slots__ = (
        "delegate",
        "member",
        "quorum_lease",
        "reporter",
        "rpc_clients",
        "running",
        "scheduler",
        "unconfirmed",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: RpcClients,
        log: Log,
        member: EdgeSession,
        delegate: SessionDelegate,
    ) -> None:
        """Create the renewal of a session; `start` starts its task.

        Args:
            scheduler: clock and tasks.
            rpc_clients: connections to the control nodes.
            log: event log for quorum leases.
            member: the session.
            delegate: supplies the node's part of reports and receives updates.
        """
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.member = member
        self.delegate = delegate
        self.reporter = NodeReporter(member, delegate)
        self.quorum_lease = QuorumLeaseClient(
            scheduler, rpc_clients, log, member, self.reporter, delegate
        )
        self.unconfirmed = False
        self.running: Task | None = None

    def start(self) -> None:
        """Start the renewal task."""
        self.running = self.scheduler.create_task(self.run(), name="lease renewal", urgent=True)

    def stop(self) -> None:
        """Stop the renewal task; the lease expires on its own."""
        if self.running is not None:
            self.running.cancel()

    async def leave(self) -> None:
        """Release the lease and leave the membership, so the node is not reported as lost."""
        self.member.lease.release()
        self.stop()
        leader = self.member.leader
        if not leader:
            return
        session = self.member.session
        request = LeaveRequest(LEAVE, session.name, session.incarnation)
        await self.rpc_clients.call(leader, encode(request), LEAVE_TIMEOUT_SECONDS)

    async def run(self) -> None:
        """Renew forever, looking for the leader whenever none is known."""
        discovery = self.member.discovery
        attempt = 0
        while True:
            self.member.lease.log_transition()
            if not discovery.leader:
                candidates = discovery.control_nodes
                await discovery.find(candidates)
                attempt += 1
            if not discovery.leader:
                await self.renew_without_leader(candidates[attempt % len(candidates)])
                continue
            if await self.renew(discovery.leader):
                discovery.record_success()
            else:
                discovery.record_failure()
            if self.unconfirmed:
                await self.quorum_lease.acquire()

    async def renew_without_leader(self, relay: str) -> None:
        """Renew through a node that may reach the leader, or else ask for a quorum lease."""
        if self.member.discovery.may_relay_through(relay) and await self.renew(relay):
            return
        await self.quorum_lease.acquire()
        await self.scheduler.sleep(RETRY_DELAY_SECONDS)

    @property
    def hold_seconds(self) -> float:
        """Seconds for which the leader may hold the response (long polling).

        With `serve_lapsed`, grows with the number of edges to lower the load on the leader.
        """
        settings = self.member.settings
        if not settings.serve_lapsed:
            return settings.hold_seconds
        by_size = min(MAX_HOLD_SECONDS, self.member.edges * HOLD_SECONDS_PER_EDGE)
        return max(settings.hold_seconds, by_size)

    async def renew(self, address: str) -> bool:
        """Send one renewal and apply its response; return False if none could be used."""
        requested_at = self.scheduler.now()
        self.unconfirmed = False
        hold_seconds = self.hold_seconds
        message = renewal_request(self.reporter.report(), hold_seconds)
        result = await self.rpc_clients.call(
            address, message, hold_seconds + RESPONSE_TIMEOUT_SECONDS
        )
        if result.is_error() or result.ok.get("ok") is not True:
            return False
        try:
            return self.apply(result.ok, requested_at)
        except (KeyError, TypeError, ValueError):
            return False

    def apply(self, message: Message, requested_at: float) -> bool:
        """Apply a response; return True if the leader sent it, which a stale response proves too.

        Raises:
            KeyError, TypeError, ValueError: a part of the response is malformed.
        """
        response = decode(RenewalResponse, message)
        if response.majority_age < 0:
            raise MalformedMessageError(
                f"RenewalResponse: age must be 0 or more, got {response.majority_age}"
            )
        outcome = apply_update(self.member.replicated_state, response)
        if outcome is UpdateOutcome.STALE:
            return True
        if outcome is UpdateOutcome.CHANGED:
            self.delegate.on_configuration()
        self.apply_views(response, requested_at)
        expires_at = requested_at + self.member.settings.lease_seconds - response.majority_age
        self.unconfirmed = not response.confirmed
        if response.confirmed:
            self.member.lease.extend(expires_at)
        self.apply_quota(response, requested_at, expires_at)
        self.member.lease.log_transition()
        return True

    def apply_views(self, response: RenewalResponse, requested_at: float) -> None:
        """Apply the server list and the membership update of a response."""
        if response.server_list is not None:
            adopted = self.member.server_lists.apply(response.server_list, requested_at)
            if adopted is not None:
                self.delegate.on_server_list(adopted)
        if response.members is not None:
            self.member.membership.apply(response.members)

    def apply_quota(
        self, response: RenewalResponse, requested_at: float, expires_at: float
    ) -> None:
        """Apply quota shares, failed callers reported by other edges, and granted requests."""
        if response.shares is not None and response.edges is not None:
            self.member.edges = response.edges
            self.delegate.on_shares(response.shares, expires_at, response.edges)
        if response.failed_callers is not None:
            self.reporter.apply_failed_callers(response.failed_callers)
        if response.grants is not None:
            grants = {name: Grant(*values) for name, values in response.grants.items()}
            self.delegate.on_grants(grants, requested_at)
