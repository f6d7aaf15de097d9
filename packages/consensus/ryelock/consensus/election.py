"""Leader election: pre-vote, campaign and voting (Raft, section 5.2; dissertation, section 9.6).

A candidate becomes leader of a term once a majority has persisted votes for it. A pre-vote runs
first, so that a candidate that cannot win does not raise the term and depose a healthy leader.
"""

from dataclasses import dataclass

from ryelock.consensus.election_timer import ElectionTimer
from ryelock.consensus.entries import majority_of
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.member_events import ElectionWon, EventQueue, HigherTermSeen
from ryelock.consensus.messages import (
    Request,
    StatusRequest,
    TimeoutNowReply,
    TimeoutNowRequest,
    VoteReply,
    VoteRequest,
    request_to_wire,
)
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.consensus.state import MemberState, Role, seconds_since
from ryelock.rpc import RpcClients
from ryelock.rpc.codec import Natural, decode
from ryelock.rpc.errors import MalformedMessageError
from ryelock.runtime import Queue

DISK_RETRY_SECONDS = 2.0
"""How long a member does not campaign after a failed disk write."""
VOTE_TIMEOUTS = 0.8
"""How long a candidate waits for votes, in election timeouts."""
PROBE_REPLY_TIMEOUTS = 0.3
"""RPC timeout of a reachability probe, in election timeouts."""
PROBE_WAIT_TIMEOUTS = 0.4
"""How long a reachability probe waits for each next response, in election timeouts."""
PROBE_SILENCE_TIMEOUTS = 0.5
"""How long without leader contact before the voters are probed, in election timeouts."""
PROBE_INTERVAL_TIMEOUTS = 0.6
"""Minimum interval between probes, in election timeouts."""


@dataclass(frozen=True, slots=True)
class VoterResponse:
    """A voter's response to a vote request or a reachability probe.

    Attributes:
        granted: True if the voter granted its vote.
        reached: True if a reply arrived and was not from another disk at the address.
    """

    granted: bool
    reached: bool


class Election:
    """Runs campaigns when the election timer expires, and votes for other candidates.

    Attributes:
        campaign_number: The number of the newest campaign; older campaigns abort.
        probed_at: When the voters were last probed for reachability.
    """

    __slots__ = (
        "campaign_number",
        "events",
        "leadership",
        "lease",
        "probed_at",
        "rpc",
        "state",
        "timer",
    )

    def __init__(
        self,
        state: MemberState,
        rpc: RpcClients,
        events: EventQueue,
        timer: ElectionTimer,
        lease: QuorumLease,
        leadership: Leadership,
    ) -> None:
        """Create the election component of a member."""
        self.state = state
        self.rpc = rpc
        self.events = events
        self.timer = timer
        self.lease = lease
        self.leadership = leadership
        self.campaign_number = 0
        self.probed_at: float | None = None

    # Voting.

    def on_vote(self, request: VoteRequest) -> VoteReply:
        """Handle a vote request; a pre-vote gets the answer without recording a vote."""
        if request.recipient != self.state.disk:
            return self.vote_reply(other_disk=True)
        if not self.may_vote_for(request):
            return self.vote_reply()
        if request.pre_vote:
            return self.vote_reply(granted=request.term > self.state.term)
        return self.vote_reply(granted=self.vote_for(request.term, request.candidate))

    def vote_reply(self, granted: bool = False, other_disk: bool = False) -> VoteReply:
        """Return a vote reply with this member's current term."""
        term = Natural(self.state.term)
        return VoteReply(sender=self.state.disk, term=term, granted=granted, other_disk=other_disk)

    def may_vote_for(self, request: VoteRequest) -> bool:
        """Return True if this member's state and the candidate's log allow granting the vote.

        A member in contact with a leader grants no vote (dissertation, section 4.2.3): otherwise a
        removed or partitioned server would depose a healthy leader. The exception is a leadership
        transfer (section 3.10). The candidate's log must be at least as up-to-date as this one, so
        that every leader has all committed entries (Raft, section 5.4.1).
        """
        if self.lease.active:
            return False
        if self.state.knows_leader() and not request.transfer and request.term >= self.state.term:
            return False
        up_to_date = (request.last_term, request.last_index) >= self.state.last_position()
        return up_to_date and request.term >= self.state.term

    def vote_for(self, term: int, candidate: str) -> bool:
        """Cast the vote of a term; return False if it was cast for another or the write failed."""
        if term == self.state.term and self.state.replicated_log.voted_for not in ("", candidate):
            return False
        self.leadership.step_down("another election")
        # Persist the vote before replying, so that a restarted member cannot vote twice in a term.
        if not self.state.save_vote(term, candidate):
            return False
        self.timer.reset()
        return True

    # Campaigning.

    def on_timeout_now(self, request: TimeoutNowRequest) -> TimeoutNowReply:
        """Campaign immediately without a pre-vote, as the leader transfers leadership to us."""
        if request.term != self.state.term or not self.state.may_campaign:
            return TimeoutNowReply(ok=False)
        self.start_campaign(pre_vote=False)
        return TimeoutNowReply(ok=True)

    def check_timers(self) -> None:
        """Start a reachability probe or a campaign if due; called by the owner of a non-leader."""
        if not self.state.may_campaign:
            return
        self.probe_if_due()
        if not self.timer.expired or self.state.leaving:
            return
        if seconds_since(self.state.now(), self.state.disk_failed_at) < DISK_RETRY_SECONDS:
            return
        self.timer.reset()
        self.start_campaign(pre_vote=True)

    def probe_if_due(self) -> None:
        """Start a reachability probe if there has been no leader contact for a while."""
        now = self.state.now()
        timeout = self.state.settings.election_timeout
        silence = seconds_since(now, self.state.last_leader_contact_at)
        since_probe = seconds_since(now, self.probed_at)
        if silence > PROBE_SILENCE_TIMEOUTS * timeout and since_probe > (
            PROBE_INTERVAL_TIMEOUTS * timeout
        ):
            self.probed_at = now
            self.state.scheduler.create_task(self.probe_voters(), name="consensus reach")

    async def probe_voters(self) -> None:
        """Check whether a majority of the voters is reachable, without waiting for an election.

        An election takes longer to fail than an edge's lease lasts, and an expired quota share
        cannot be resumed, so voters may grant leases to edges as soon as this probe fails.
        """
        timeout = self.state.settings.election_timeout
        voters = dict(self.state.voters)
        responses: Queue[VoterResponse] = Queue(self.state.scheduler)
        for disk, address in voters.items():
            if disk != self.state.disk:
                request = self.query_voter(
                    address, StatusRequest(), PROBE_REPLY_TIMEOUTS * timeout, responses
                )
                self.state.scheduler.create_task(request, name="consensus reach")
        reached = 1
        for _ in range(len(voters) - 1):
            response = await responses.get(PROBE_WAIT_TIMEOUTS * timeout)
            reached += response is not None and response.reached
        self.lease.record_reachability(reached >= majority_of(len(voters)))

    def start_campaign(self, pre_vote: bool) -> None:
        """Start a campaign, replacing any campaign in progress."""
        self.campaign_number += 1
        self.state.scheduler.create_task(
            self.campaign(self.campaign_number, pre_vote), name="consensus election"
        )

    async def campaign(self, number: int, pre_vote: bool) -> None:
        """Request votes for the next term; a leadership transfer skips the pre-vote."""
        if pre_vote and not await self.win_pre_vote(number):
            return
        if self.state.is_leader:
            return
        term = self.state.term + 1
        if not self.state.save_vote(term, self.state.disk):
            return
        self.state.role = Role.CANDIDATE
        self.timer.reset()
        won, _ = await self.gather_votes(term, pre_vote=False, transfer=not pre_vote)
        if not self.is_candidate_of(term) or number != self.campaign_number:
            return
        if won and not self.lease.active:
            self.events.put(ElectionWon(term))
        else:
            self.state.role = Role.FOLLOWER

    def is_candidate_of(self, term: int) -> bool:
        """Return True if this member is still a candidate in a term."""
        return self.state.term == term and self.state.role is Role.CANDIDATE

    async def win_pre_vote(self, number: int) -> bool:
        """Return True if a majority granted a pre-vote and the campaign is still valid."""
        won, reached = await self.gather_votes(self.state.term + 1, pre_vote=True, transfer=False)
        if number != self.campaign_number or self.state.is_leader:
            return False
        self.lease.record_reachability(reached)
        return won and not self.lease.active and not self.state.knows_leader()

    async def gather_votes(self, term: int, pre_vote: bool, transfer: bool) -> tuple[bool, bool]:
        """Request votes; return (a majority granted its vote, a majority was reached)."""
        voters = dict(self.state.voters)
        if not self.state.may_campaign:
            return False, False
        responses: Queue[VoterResponse] = Queue(self.state.scheduler)
        timeout = self.state.settings.election_timeout * VOTE_TIMEOUTS
        for disk, address in voters.items():
            if disk != self.state.disk:
                request = self.vote_request(disk, term, pre_vote, transfer)
                self.state.scheduler.create_task(
                    self.query_voter(address, request, timeout, responses), name="consensus vote"
                )
        return await self.count_responses(voters, responses, timeout)

    async def count_responses(
        self, voters: dict[str, str], responses: Queue[VoterResponse], timeout: float
    ) -> tuple[bool, bool]:
        """Count responses until a majority grants, all voters respond, or the timeout passes."""
        own = int(self.state.disk in voters)
        granted, reached, counted = own, own, own
        needed = majority_of(len(voters))
        deadline = self.state.now() + timeout
        while granted < needed and counted < len(voters):
            response = await responses.get(max(0.0, deadline - self.state.now()))
            if response is None:
                break
            counted += 1
            granted += response.granted
            reached += response.reached
        return granted >= needed, reached >= needed

    def vote_request(self, disk: str, term: int, pre_vote: bool, transfer: bool) -> VoteRequest:
        """Build the vote request to one voter."""
        last_term, last_index = self.state.last_position()
        return VoteRequest(
            recipient=disk,
            candidate=self.state.disk,
            term=Natural(term),
            pre_vote=pre_vote,
            transfer=transfer,
            last_index=Natural(last_index),
            last_term=Natural(last_term),
        )

    async def query_voter(
        self, address: str, request: Request, timeout: float, responses: Queue[VoterResponse]
    ) -> None:
        """Send a request to one voter and queue its response."""
        result = await self.rpc.call(address, request_to_wire(request), timeout)
        if result.is_error():
            responses.put(VoterResponse(granted=False, reached=False))
            return
        try:
            reply = decode(VoteReply, result.ok)
        except MalformedMessageError:
            reply = VoteReply()
        if reply.term is not None and reply.term > self.state.term:
            self.events.put(HigherTermSeen(reply.term))
        responses.put(VoterResponse(granted=reply.granted, reached=not reply.other_disk))
